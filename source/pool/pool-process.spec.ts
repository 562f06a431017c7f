import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../clock/manual-clock.js';
import {FakeGroup} from '../database-group/group-fake.js';
import {LinkClient} from '../links/link-client.js';
import {StaticProcessDirectory} from '../membership/process-directory.js';
import {ownershipOrder} from '../ownership/rendezvous.js';
import {type BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {FakeBackendConnector} from './backend-connector-fake.js';
import {
	createPoolRecord, startTestPool, testDatabase, type TestPool,
} from './pool-fixture.js';

const memberAddresses = ['a', 'b', 'c'].map(name => ({name, address: name}));

async function startPool() {
	const clock = new ManualClock();
	const group = new FakeGroup(clock);
	group.setPrimary('a', 1);
	const connector = new FakeBackendConnector(clock, group);
	const pool = startTestPool({clock, backendClients: {connector, clients: group}});
	await pool.announce(memberAddresses);
	await clock.advanceInSteps(500, 10);
	return {
		clock, group, connector, pool, advanceClock: async (duration: number) => advanceWithAnnouncements(clock, [pool], duration),
	};
}

async function advanceWithAnnouncements(clock: ManualClock, pools: readonly TestPool[], duration: number): Promise<void> {
	for (let passed = 0; passed < duration; passed += 1000) {
		await Promise.all(pools.map(async pool => pool.announce(memberAddresses)));
		await clock.advanceInSteps(Math.min(1000, duration - passed), 10);
	}
}

const rejectsWith = async (response: Promise<unknown>, codeName: string) => assert.rejects(response, {codeName});

// A write that only the isolated primary has may be lost in a failover.
test('a write on an isolated primary is never acknowledged', async () => {
	const {connector, pool, advanceClock} = await startPool();
	connector.isReplicating = false;
	const write = rejectsWith(pool.execute('INSERT 1', {deadline: 1000}), 'outcomeUnknown');
	await advanceClock(7000);
	await write;
	assert.equal(connector.countExecuted('INSERT 1'), 1);
});

// A record that only the primary has may be lost in a failover, and the abandoned request could then run.
test('a request id is reported as abandoned only after a majority has its record', async () => {
	const {clock, group, connector, pool} = await startPool();
	connector.isReplicating = false;
	let isSettled = false;
	const abandoned = (async () => {
		const response = await pool.abandon('r1', {deadline: 2000});
		isSettled = true;
		return response;
	})();
	await clock.advanceInSteps(500, 10);
	assert.deepEqual([connector.countExecuted('\'abandoned\''), isSettled], [1, false]);
	group.member('b').position = group.member('a').position;
	await clock.advanceInSteps(400, 10);
	assert.deepEqual(await abandoned, {outcome: 'abandoned'});
});

test('abandoning a request id ends with an unknown outcome if no majority confirms the record in time', async () => {
	const {connector, pool, advanceClock} = await startPool();
	connector.isReplicating = false;
	const abandoned = rejectsWith(pool.abandon('r1', {deadline: 1000}), 'outcomeUnknown');
	await advanceClock(1100);
	await abandoned;
	assert.equal(connector.countExecuted('\'abandoned\''), 1);
});

test('abandoning a request id ends with an unknown outcome if the response of the primary is lost', async () => {
	const {clock, connector, pool} = await startPool();
	connector.responseFault = 'lost';
	const abandoned = assert.rejects(pool.abandon('r1', {deadline: 1000}), (error: BuckthornhitchError) => error.resultCode.execution === 'unknown');
	await clock.advanceInSteps(1100, 10);
	await abandoned;
	assert.equal(pool.pool.serviceOf(testDatabase).isIdle, true);
});

// The write is missing on the members that follow the new primary, so it is lost.
test('a write is not acknowledged if its primary is superseded before a majority has the write', async () => {
	const {clock, group, connector, pool} = await startPool();
	connector.isReplicating = false;
	const write = rejectsWith(pool.execute('INSERT 1'), 'outcomeUnknown');
	await clock.advanceInSteps(20, 1);
	for (const name of ['b', 'c']) {
		group.member(name).promise(9);
	}

	group.member('b').promote(9);
	group.member('c').follow(9, group.member('b'));
	await clock.advanceInSteps(400, 10);
	await write;
});

// The write may have taken effect, and a repetition could apply it twice.
test('a write without a request id whose response is lost ends with an unknown outcome and is not sent again', async () => {
	const {clock, connector, pool} = await startPool();
	connector.responseFault = 'lost';
	const write = rejectsWith(pool.execute('INSERT 1'), 'outcomeUnknown');
	await clock.advanceInSteps(20, 1);
	connector.responseFault = 'none';
	await clock.advanceInSteps(2000, 10);
	await write;
	assert.equal(connector.countExecuted('INSERT 1'), 1);
});

test('a read whose response is lost is sent to another member', async () => {
	const {clock, connector, pool} = await startPool();
	connector.responseFault = 'lost';
	const read = pool.execute('SELECT 1', {access: 'read', neededPoint: {term: 1, position: 1}});
	await clock.advanceInSteps(1, 1);
	connector.responseFault = 'none';
	await clock.advanceInSteps(100, 1);
	const {servedByRole} = await read;
	assert.equal(servedByRole, 'replica');
	assert.deepEqual(connector.executedStatements.map(text => text.charAt(0)).toSorted((first, second) => first.localeCompare(second)), ['b', 'c']);
});

// A function called by the read could write, and the write would be acknowledged before a majority has it.
test('a read on the primary runs in read-only mode', async () => {
	const {clock, connector, pool} = await startPool();
	await pool.announce(memberAddresses, ['b', 'c']);
	const read = pool.execute('SELECT 1', {access: 'read', maximumAge: 5000});
	await clock.advanceInSteps(50, 10);
	await read;
	const setting = 'a SET default_transaction_read_only =';
	assert.deepEqual(connector.executedStatements, [`${setting} on`, 'a SELECT 1', `${setting} off`]);
});

// A write that stays queued after its rejection could run in addition to the caller's own retry.
test('a write without a primary is rejected as not run and does not run later', async () => {
	const {group, connector, pool, advanceClock} = await startPool();
	for (const member of group.members.values()) {
		member.isUnreachable = true;
	}

	await advanceClock(1500);
	const write = rejectsWith(pool.execute('INSERT 1', {deadline: 500}), 'noPrimary');
	await advanceClock(600);
	await write;
	for (const member of group.members.values()) {
		member.isUnreachable = false;
	}

	await advanceClock(3000);
	assert.equal(connector.countExecuted('INSERT 1'), 0);
});

// Once the lease has expired, another pool may hold it.
test('a member whose lease has expired receives no statement, and its connections are closed', async () => {
	const {clock, group, connector, pool, advanceClock} = await startPool();
	group.member('b').isUnreachable = true;
	group.member('c').isUnreachable = true;
	await advanceClock(1200);
	assert.ok(connector.connections.filter(({member}) => member.name !== 'a').every(({isClosed}) => isClosed));
	const read = pool.execute('SELECT 1', {access: 'read', maximumAge: 5000});
	await clock.advanceInSteps(100, 10);
	const {servedBy} = await read;
	assert.equal(servedBy, 'a');
});

// A member that is isolated with the pool may lack writes that were acknowledged elsewhere.
test('a read with a maximum age is rejected once no majority has responded for that long', async () => {
	const {group, pool, advanceClock} = await startPool();
	group.member('b').isUnreachable = true;
	group.member('c').isUnreachable = true;
	await advanceClock(3000);
	const read = rejectsWith(pool.execute('SELECT 1', {access: 'read', maximumAge: 2000, deadline: 100}), 'noFreshMember');
	await advanceClock(200);
	await read;
});

test('a leaving member receives no new statements', async () => {
	const {clock, connector, pool} = await startPool();
	await pool.announce(memberAddresses, ['b']);
	const reads = Array.from({length: 6}, async () => pool.execute('SELECT 1', {access: 'read', maximumAge: 5000}));
	await clock.advanceInSteps(100, 10);
	await Promise.all(reads);
	assert.equal(connector.executedStatements.filter(text => text.startsWith('b')).length, 0);
});

test('a leaving primary is switched over to another member without rejecting a write', async () => {
	const {clock, group, pool} = await startPool();
	await pool.announce(memberAddresses, ['a']);
	const write = pool.execute('INSERT 1');
	await clock.advanceInSteps(500, 10);
	const {servedBy} = await write;
	assert.notEqual(servedBy, 'a');
	assert.equal(group.member('a').role, 'replica');
});

// The statement would take effect although the rest of its transaction was rolled back.
test('a statement of a lost transaction is rejected and does not run outside the transaction', async () => {
	const {clock, connector, pool} = await startPool();
	const begin = pool.execute('BEGIN', {transactionId: 't'});
	await clock.advanceInSteps(50, 10);
	await begin;
	await pool.server.request('closeTransaction', {database: testDatabase, transactionId: 't'});
	await rejectsWith(pool.execute('INSERT 1', {transactionId: 't'}), 'transactionLost');
	await rejectsWith(pool.execute('INSERT 2', {transactionId: 'unknown'}), 'transactionLost');
	assert.equal(connector.countExecuted('INSERT'), 0);
});

// COMMIT AND CHAIN leaves a transaction open, so the commit could be missed and acknowledged without confirmation.
test('a commit that also opens the next transaction is acknowledged only after a majority has it', async () => {
	const {clock, connector, pool} = await startPool();
	const statements = ['BEGIN', 'INSERT 1', 'COMMIT AND CHAIN'];
	for (const statement of statements.slice(0, 2)) {
		const response = pool.execute(statement, {transactionId: 't'});
		await clock.advanceInSteps(50, 10);
		await response;
		connector.isReplicating = false;
	}

	const chained = rejectsWith(pool.execute(statements[2], {transactionId: 't', deadline: 100}), 'outcomeUnknown');
	await clock.advanceInSteps(6000, 10);
	await chained;
});

// A transaction that nobody can end would keep its locks and its connection.
test('a transaction whose caller or link disappears while it is being opened does not stay open', async () => {
	const {clock, connector, pool} = await startPool();
	connector.responseFault = 'none';
	const begins = ['t1', 't2'].map(async transactionId => pool.execute('BEGIN', {transactionId}));
	await pool.server.request('closeTransaction', {database: testDatabase, transactionId: 't1'});
	pool.server.closeLink(1);
	await clock.advanceInSteps(50, 10);
	await Promise.all(begins);
	assert.equal(pool.pool.serviceOf(testDatabase).isIdle, true);
	assert.ok(connector.connections.every(({isClosed, transactionStatus}) => isClosed || transactionStatus === 'idle'));
});

// Without a majority, the outcome of a write that was sent would be unknown. A write that was not sent can be rejected as not run.
test('a write is not sent to a primary while no majority of members responds to the pool', async () => {
	const {group, connector, pool, advanceClock} = await startPool();
	group.member('b').isUnreachable = true;
	group.member('c').isUnreachable = true;
	await advanceClock(1500);
	const write = rejectsWith(pool.execute('INSERT 1', {deadline: 500}), 'noPrimary');
	await advanceClock(600);
	await write;
	assert.equal(connector.countExecuted('INSERT 1'), 0);
});

// A killed pool releases no leases, so its successor must not depend on their release.
test('a pool whose predecessor was killed serves as soon as the leases of the predecessor have expired', async () => {
	const {clock, group, connector, pool} = await startPool();
	pool.pool.stop();
	const next = startTestPool({name: 'pool-2', clock, backendClients: {connector, clients: group}});
	await advanceWithAnnouncements(clock, [next], 1500);
	const write = next.execute('INSERT 1');
	await clock.advanceInSteps(50, 10);
	const {servedBy} = await write;
	assert.equal(servedBy, 'a');
});

// Only a commit may have taken effect; after any other statement the transaction is certainly rolled back.
test('a commit whose response is lost ends with an unknown outcome, any other statement with a lost transaction', async () => {
	const {clock, connector, pool} = await startPool();
	for (const [id, statement, codeName] of [['t1', 'COMMIT', 'outcomeUnknown'], ['t2', 'SELECT 1', 'transactionLost']]) {
		const begin = pool.execute('BEGIN', {transactionId: id});
		await clock.advanceInSteps(50, 10);
		await begin;
		connector.responseFault = 'lost';
		const statementEnd = rejectsWith(pool.execute(statement, {transactionId: id}), codeName);
		await clock.advanceInSteps(20, 1);
		connector.responseFault = 'none';
		await statementEnd;
	}
});

class InMemoryLinkClient extends LinkClient {
	readonly pools = new Map<string, TestPool>();

	override async request(address: string, name: string, body: unknown): Promise<unknown> {
		return this.pools.get(address)?.server.request(name, body);
	}

	override notify(): void {
		throw new Error('The test sends no notices.');
	}
}

// The holder renews its leases, so a new owner that did not request the handover could never serve.
test('a pool that becomes the owner takes over the leases from their holder, and only one pool serves at a time', async () => {
	const clock = new ManualClock();
	const group = new FakeGroup(clock);
	group.setPrimary('a', 1);
	const backendClients = {connector: new FakeBackendConnector(clock, group), clients: group};
	const [owner, second] = ownershipOrder(testDatabase, [createPoolRecord('pool-1'), createPoolRecord('pool-2')], 'chc-a');
	const linkClient = new InMemoryLinkClient();
	const directory = new StaticProcessDirectory([second]);
	const start = (record: typeof owner): TestPool => {
		const pool = startTestPool({
			name: record.name, clock, backendClients, linkClient, directory,
		});
		linkClient.pools.set(record.linkAddress, pool);
		return pool;
	};

	const secondPool = start(second);
	const pools = [secondPool];
	await advanceWithAnnouncements(clock, pools, 1000);
	assert.equal(secondPool.pool.status().databases[0].leaseHeld, true);
	directory.replace([owner, second]);
	const ownerPool = start(owner);
	pools.push(ownerPool);
	await advanceWithAnnouncements(clock, pools, 3000);
	assert.equal(ownerPool.pool.status().databases[0].leaseHeld, true);
	await assert.rejects(secondPool.execute('INSERT 1'), {codeName: 'notOwner', detail: owner.name});
	const write = ownerPool.execute('INSERT 2');
	await clock.advanceInSteps(50, 10);
	await write;
});
