import assert from 'node:assert/strict';
import {test} from 'node:test';
import fastCheck from 'fast-check';
import {MemoryStorage} from '../control-log/memory-storage.js';
import {defaultVoterTiming} from '../control-log/voter-options.js';
import {voterKey} from '../control-log/types.js';
import {TestControlGroup} from './control-group-fixture.js';

/** Returns a group of three bootstrapped control processes with a leader. */
async function bootstrappedGroup(seed: number, compactAfterEntries = defaultVoterTiming.compactAfterEntries): Promise<TestControlGroup> {
	const group = new TestControlGroup(seed, undefined, {...defaultVoterTiming, compactAfterEntries});
	await group.bootstrap();
	return group;
}

const leaderName = (group: TestControlGroup): string => group.leader!.voter.self.name;

/** Stops a process and starts it again on an empty disk. */
async function loseDisk(group: TestControlGroup, name: string, diskId: string): Promise<void> {
	await group.kill(name);
	await group.start(name, new MemoryStorage(diskId));
}

/** Returns whether the leader's voter list is committed and contains these voters. */
function hasVoters(group: TestControlGroup, keys: readonly string[]): boolean {
	const voter = group.leader?.voter;
	return voter?.voterChangePending === false && keys.every(key => voter.voterList.voters.some(record => voterKey(record) === key));
}

test('an accepted change survives the loss of the leader', async () => {
	const group = await bootstrappedGroup(1);
	assert.equal(await group.applyChange('first', 0), 1);
	const killed = leaderName(group);
	await group.kill(killed);
	const response = await group.settle(group.client.configurationSince({revision: 0}));
	assert.deepEqual(response, {kind: 'snapshot', configuration: {revision: 1, files: {base: 'first'}, memberSets: {}}});
	assert.notEqual(leaderName(group), killed);
});

test('of two changes that expect the same revision, only one is accepted', async () => {
	const group = await bootstrappedGroup(2);
	const responses = await group.settle(Promise.all(['ann', 'ben'].map(async operator => group.clientFrom(operator).apply({
		changeId: operator, expectedRevision: 0, files: {base: operator}, operator,
	}))));
	assert.deepEqual(responses.map(response => response.code).sort((first, second) => first - second), [0, 4002]);
	assert.deepEqual(responses.map(response => response.revision), [1, 1]);
});

// The new leader must recognize the resent change by its change id, which is part of the replicated state.
test('a change whose response was lost is applied once and gets its first response when it is resent to a new leader', async () => {
	const group = await bootstrappedGroup(3);
	const request = {
		changeId: 'one', expectedRevision: 0, files: {base: 'text'}, operator: 'ann',
	};
	group.network.droppedResponses.add('apply');
	await assert.rejects(group.settle(group.client.apply(request, 3000)), {codeName: 'notConfirmed'});
	group.network.droppedResponses.clear();
	await group.kill(leaderName(group));
	assert.equal(await group.applyChange('later', 1), 2);
	assert.deepEqual(await group.settle(group.client.apply(request)), {code: 0, revision: 1, detail: ''});
	assert.equal(group.leader!.revision, 2);
	const reused = await group.settle(group.client.apply({...request, files: {base: 'other'}}));
	assert.equal(reused.code, 4003);
});

// The isolated leader does not know of the new one, so that its answers would be outdated.
test('an isolated leader answers no requests after another leader was elected', async () => {
	const group = await bootstrappedGroup(4);
	const oldLeader = group.leader!;
	group.network.isolatedProcesses.add(oldLeader.voter.self.name);
	await group.advanceUntil(() => group.leader !== undefined && group.leader !== oldLeader);
	await assert.rejects(group.settle(oldLeader.configurationSince({revision: 0})), {codeName: /notConfirmed|notLeader/v});
	assert.equal(await group.applyChange('during', 0), 1);
	await group.advance(5000);
	assert.equal(oldLeader.status().leaseLive, false);
	group.network.isolatedProcesses.clear();
	await group.advanceUntil(() => oldLeader.revision === 1);
});

// Before its restart, the voter may have acknowledged the old leader and thereby extended its lease. If it voted right after its start,
// there could be two leaders with a valid lease, which the fixture reports as a failure.
test('a restarted voter does not elect another leader while the lease of the old one is valid', async () => {
	const group = await bootstrappedGroup(16);
	for (let round = 0; round < 20; round++) {
		const leader = leaderName(group);
		const [restarted, other] = group.otherNames(leader);
		group.network.partitionedPairs.add(`${leader} ${other}`);
		await group.advance(1000 + (round * 35));
		await group.kill(restarted);
		await group.start(restarted);
		group.network.isolatedProcesses.add(leader);
		await group.advanceUntil(() => group.leader?.voter.self.name === other || group.leader?.voter.self.name === restarted);
		group.network.isolatedProcesses.clear();
		group.network.partitionedPairs.clear();
		await group.advance(1000);
	}
});

test('a change that an isolated leader could not confirm is reported as notConfirmed, and a resend gets the actual outcome', async () => {
	const group = await bootstrappedGroup(5);
	const oldLeader = group.leader!;
	group.network.isolatedProcesses.add(oldLeader.voter.self.name);
	const request = {
		changeId: 'lost', expectedRevision: 0, files: {base: 'lost'}, operator: 'ann',
	};
	await assert.rejects(group.settle(oldLeader.apply(request)), {codeName: 'notConfirmed'});
	assert.equal(await group.applyChange('won', 0), 1);
	group.network.isolatedProcesses.clear();
	const response = await group.settle(group.client.apply(request));
	assert.deepEqual([response.code, response.revision], [4002, 1]);
});

// The voter has forgotten its votes and the accepted entries. If its vote counted, a leader without these entries could be elected.
test('a voter with an empty disk does not vote under its old identity, and rejoins under a new one', async () => {
	const group = await bootstrappedGroup(6);
	await group.applyChange('first', 0);
	const [lost, remaining] = group.otherNames(leaderName(group));
	const oldLeader = leaderName(group);
	await group.kill(oldLeader);
	await loseDisk(group, lost, 'new-disk');
	await group.advance(20_000);
	assert.equal(group.processes.get(lost)!.process.status().role, 'waiting');
	assert.equal(group.processes.get(remaining)!.process.status().leaseLive, false);
	await group.start(oldLeader);
	await group.advanceUntil(() => hasVoters(group, [`${lost}/new-disk`]));
	assert.equal(await group.applyChange('second', 1), 2);
});

// If a replacement became a voter before it had all committed entries, the loss of the next disk could lose these entries.
test('no accepted change is lost when further disks are lost one by one, each right after the previous voter was replaced', async () => {
	const group = await bootstrappedGroup(7, 5);
	let revision = 0;
	for (const [round, name] of ['one', 'two', 'three', 'one'].entries()) {
		for (let change = 0; change < 7; change++) {
			revision = await group.applyChange(`${round}.${change}`, revision);
		}

		await loseDisk(group, name, `disk-${round}`);
		await group.advanceUntil(() => hasVoters(group, [`${name}/disk-${round}`]));
	}

	assert.equal(revision, 28);
	await group.advanceUntil(() => [...group.processes.values()].every(testProcess => testProcess.process.revision === 28));
	assert.equal(group.leader!.voter.voterList.voters.length, 3);
});

test('a voter that comes back at another address is found there, with its disk or with a new one', async () => {
	const group = await bootstrappedGroup(17);
	const [kept, lost] = group.otherNames(leaderName(group));
	await group.kill(kept);
	await group.kill(lost);
	group.currentAddresses.set(kept, 'new address of kept').set(lost, 'new address of lost');
	await group.start(kept);
	await group.advanceUntil(() => group.leader !== undefined);
	await group.start(lost, new MemoryStorage('new-disk'));
	await group.advanceUntil(() => hasVoters(group, [`${lost}/new-disk`]));
	assert.equal(group.leader!.voter.voterList.voters.find(voter => voter.name === lost)!.address, 'new address of lost');
});

// If one change replaced both voters, a quorum of the new voter list could share no voter with a quorum of the old one.
test('two voters that lost their disks at once are replaced one after the other', async () => {
	const group = new TestControlGroup(15, ['one', 'two', 'three', 'four', 'five']);
	await group.bootstrap();
	await group.applyChange('first', 0);
	const [first, second] = group.otherNames(leaderName(group));
	await loseDisk(group, first, 'new-first');
	await loseDisk(group, second, 'new-second');
	await group.advanceUntil(() => hasVoters(group, [`${first}/new-first`, `${second}/new-second`]));
	const changes = group.timeline.events().filter(event => event.kind === 'votersChanged');
	const sizes = changes.map(({detail}) => detail.split(';')[0].split(',').length);
	assert.deepEqual(sizes, [4, 5, 4, 5]);
	assert.equal(await group.applyChange('second', 1), 2);
});

test('after the loss of two of three disks, no leader is elected and no voter is replaced', async () => {
	const group = await bootstrappedGroup(8);
	await group.applyChange('first', 0);
	const [first, second] = group.otherNames(leaderName(group));
	await loseDisk(group, first, 'new-first');
	await loseDisk(group, second, 'new-second');
	await group.advance(20_000);
	assert.equal(group.leader, undefined);
	for (const {process} of group.processes.values()) {
		await assert.rejects(group.settle(process.configurationSince({revision: 0})), {codeName: /notConfirmed|notLeader|notBootstrapped/v});
	}
});

test('a disk that comes back after its voter was replaced does not count as a voter', async () => {
	const group = await bootstrappedGroup(9);
	const [name] = group.otherNames(leaderName(group));
	const {storage} = group.processes.get(name)!;
	await loseDisk(group, name, 'new-disk');
	await group.advanceUntil(() => hasVoters(group, [`${name}/new-disk`]));
	await group.applyChange('first', 0);
	await group.kill(name);
	const returned = await group.start(name, storage);
	await group.advance(5000);
	assert.notEqual(returned.status().role, 'leader');
	const other = group.otherNames(name).find(other => other !== leaderName(group))!;
	await group.kill(other);
	await group.advance(5000);
	assert.equal(group.leader, undefined);
	await group.start(other);
	assert.equal(await group.applyChange('second', 1), 2);
});

test('a leader with a full disk loses no accepted change, and the group accepts further changes without this voter', async () => {
	const group = await bootstrappedGroup(10);
	await group.applyChange('first', 0);
	const leaderWithFullDisk = group.leader!;
	const storage = group.processes.get(leaderWithFullDisk.voter.self.name)!.storage as MemoryStorage;
	storage.failing = true;
	assert.equal(await group.applyChange('second', 1), 2);
	assert.equal(leaderWithFullDisk.voter.role, 'failed');
	await assert.rejects(leaderWithFullDisk.apply({
		changeId: 'third', expectedRevision: 2, files: {}, operator: 'ann',
	}), {codeName: 'storageFailed'});
	storage.failing = false;
	await group.advanceUntil(() => leaderWithFullDisk.revision === 2 && leaderWithFullDisk.voter.role === 'follower');
	await group.kill(leaderName(group));
	assert.equal(await group.applyChange('third', 2), 3);
});

// Changes that are replayed after the restart must not be recorded in the timeline again, so each of the three processes records one event.
test('after 300 changes and a restart of all processes, the revision and the latest deltas are unchanged', async () => {
	const group = await bootstrappedGroup(11, 100);
	for (let revision = 0; revision < 300; revision++) {
		await group.applyChange(`change ${revision}`, revision);
	}

	for (const name of group.names) {
		await group.kill(name);
	}

	for (const name of group.names) {
		await group.start(name);
	}

	await group.advanceUntil(() => group.leader !== undefined);
	assert.equal(group.leader!.revision, 300);
	assert.deepEqual(await group.settle(group.client.configurationSince({revision: 299})), {
		kind: 'deltas', deltas: [{revision: 300, files: {base: 'change 299'}, memberSets: {}}],
	});
	assert.equal(await group.applyChange('after', 300), 301);
	const changes = group.timeline.events().filter(event => event.kind === 'apply' && event.subject === 'revision 299');
	assert.equal(changes.length, 3);
});

test('bootstrap does not change a group that has another voter list, and can be repeated after it failed halfway', async () => {
	const group = new TestControlGroup(12, ['one', 'two', 'three', 'four']);
	for (const name of group.names) {
		await group.start(name, new MemoryStorage(`disk-${name}`));
	}

	const controls = ['one', 'two', 'three'];
	const client = group.clientFrom('operator', controls);
	const voters = controls.map(name => ({name, diskId: `disk-${name}`, address: name}));
	await group.processes.get('one')!.process.voter.bootstrap({voters});
	await group.advance(5000);
	assert.equal(group.leader, undefined);
	await assert.rejects(group.settle(group.clientFrom('operator', ['one', 'two', 'four']).bootstrap()), {codeName: 'alreadyBootstrapped'});
	await group.settle(client.bootstrap());
	await group.advanceUntil(() => group.leader !== undefined);
	await group.settle(client.bootstrap());
	await loseDisk(group, 'three', 'new-disk');
	await assert.rejects(group.settle(client.bootstrap()), {codeName: 'alreadyBootstrapped'});
});

test('invalid files, an unknown database and a member beyond the configured number are refused and do not raise the revision', async () => {
	const group = await bootstrappedGroup(13);
	const invalid = {
		changeId: 'invalid', expectedRevision: 0, files: {base: 'invalid'}, operator: 'ann',
	};
	await assert.rejects(group.settle(group.client.apply(invalid)), {codeName: 'configurationInvalid'});
	await assert.rejects(group.settle(group.client.registerMember({database: 'missing', member: 'm1'})), {codeName: 'unknownDatabase'});
	const codes: number[] = [];
	for (const member of ['m1', 'm2', 'm2', 'm3', 'm4']) {
		const {code} = await group.settle(group.client.registerMember({database: 'notices', member}));
		codes.push(code);
	}

	assert.deepEqual(codes, [0, 0, 0, 0, 5005]);
	await group.advanceUntil(() => [...group.processes.values()].every(testProcess => testProcess.process.revision === 3));
	assert.deepEqual(group.processes.get('one')!.publisher.revisions, [1, 2, 3]);
	assert.equal(await group.applyChange('with the revision before the members', 0), 4);
});

const faultArbitrary = fastCheck.record({
	kind: fastCheck.constantFrom('kill', 'killTwo', 'isolate', 'loseDisk', 'fullDisk', 'loss'),
	victim: fastCheck.nat(2),
	duration: fastCheck.integer({min: 50, max: 4000}),
});

/** Injects a fault and ends it after its duration. */
async function injectFault(group: TestControlGroup, fault: {readonly kind: string; readonly victim: number; readonly duration: number}, round: number): Promise<void> {
	const name = group.names[fault.victim];
	const {network} = group;
	switch (fault.kind) {
		case 'kill': {
			await group.kill(name);
			await group.advance(fault.duration);
			await group.start(name);
			break;
		}

		case 'killTwo': {
			const other = group.names[(fault.victim + 1) % group.names.length];
			await group.kill(name);
			await group.kill(other);
			await group.advance(fault.duration);
			await group.start(other);
			await group.start(name);
			break;
		}

		case 'isolate': {
			network.isolatedProcesses.add(name);
			await group.advance(fault.duration);
			network.isolatedProcesses.clear();
			break;
		}

		case 'loseDisk': {
			await loseDisk(group, name, `disk-${round}`);
			await group.advanceUntil(() => hasVoters(group, [`${name}/disk-${round}`]));
			break;
		}

		case 'fullDisk': {
			const storage = group.processes.get(name)!.storage as MemoryStorage;
			storage.failing = true;
			await group.advance(fault.duration);
			storage.failing = false;
			break;
		}

		default: {
			network.lossRate = 0.2;
			await group.advance(fault.duration);
			network.lossRate = 0;
		}
	}
}

/** Sends changes one after the other until the run has ended; checks that the confirmed revision never decreases. Resolves with the accepted revisions. */
async function sendChanges(group: TestControlGroup, operator: string, runState: {ended: boolean}): Promise<readonly number[]> {
	const client = group.clientFrom(operator);
	const accepted: number[] = [];
	let revision = 0;
	for (let change = 0; !runState.ended; change++) {
		const request = {
			changeId: `${operator}${change}`, expectedRevision: revision, files: {base: `${operator}${change}`}, operator,
		};
		try {
			const response = await client.apply(request);
			assert.ok(response.revision >= revision, `the revision decreased from ${revision} to ${response.revision}`);
			revision = response.revision;
			if (response.code === 0) {
				accepted.push(response.revision);
			}
		} catch (error) {
			assert.equal((error as {readonly codeName: string}).codeName, 'notConfirmed');
		}
	}

	return accepted;
}

// Each fault ends before the next begins, while two operators keep sending changes.
test('under random faults, the confirmed revision never decreases and no two changes are accepted with the same revision', async () => {
	await fastCheck.assert(fastCheck.asyncProperty(fastCheck.array(faultArbitrary, {minLength: 1, maxLength: 6}), fastCheck.nat(1000), async (faultList, seed) => {
		const group = await bootstrappedGroup(seed, 20);
		const runState = {ended: false};
		const operators = ['ann', 'ben'].map(async operator => sendChanges(group, operator, runState));
		for (const [round, fault] of faultList.entries()) {
			await injectFault(group, fault, round);
			await group.advanceUntil(() => group.leader !== undefined);
		}

		runState.ended = true;
		const acceptedByOperator = await group.settle(Promise.all(operators));
		const accepted = acceptedByOperator.flat();
		assert.equal(new Set(accepted).size, accepted.length);
		await group.advanceUntil(() => [...group.processes.values()].every(testProcess => testProcess.process.revision >= Math.max(0, ...accepted)));
	}), {seed: 21, numRuns: 15});
});

// With a sync for each change, throughput would be limited by the sync time of the disk.
test('many concurrent changes share a few syncs', async () => {
	const group = await bootstrappedGroup(14);
	const storage = group.processes.get(leaderName(group))!.storage as MemoryStorage;
	const syncsBefore = storage.syncCount;
	const responses = await group.settle(Promise.all(Array.from({length: 50}, async (_, number) => group.leader!.registerMember({database: `d${number}`, member: 'm'}))));
	assert.equal(new Set(responses.map(response => response.revision)).size, 50);
	assert.ok(storage.syncCount - syncsBefore <= 3, `${storage.syncCount - syncsBefore} syncs`);
});
