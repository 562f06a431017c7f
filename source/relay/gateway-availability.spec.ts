import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../clock/manual-clock.js';
import {silentLogger} from '../observability/logger.js';
import {SeededRandom} from '../random/random.js';
import {type EntryRecord} from '../registry/messages.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type MemberStatement} from '../statement/types.js';
import {GatewayAvailability, gatewayAvoidanceTime} from './gateway-availability.js';
import {PlacementFixture} from './placement-fixture.js';

const gateway: EntryRecord = {name: 'x', address: 'x:1', dataCentre: 'here'};

function createAvailability(probe: () => Promise<void>, isKnown = (): boolean => true): {readonly clock: ManualClock; readonly availability: GatewayAvailability} {
	const clock = new ManualClock();
	return {
		clock, availability: new GatewayAvailability({
			clock, random: new SeededRandom(1), logger: silentLogger, probe, isKnown,
		}),
	};
}

// Each member's requests found out by themselves that a gateway was gone, so that one lost gateway cost a request for each of 18 members.
test('a gateway that does not answer is avoided for every member until it answers a probe', async () => {
	let answers = false;
	let probeCount = 0;
	const {clock, availability} = createAvailability(async () => {
		probeCount++;
		if (!answers) {
			throw new BuckthornhitchError('linkOutcomeUnknown', 'no answer');
		}
	});
	void availability.suspect(gateway, 'no answer');
	void availability.suspect(gateway, 'no answer');
	await clock.advanceInSteps(10_000, 10);
	assert.equal(availability.isAvoided({gateway, member: 'a'}) && availability.isAvoided({gateway, member: 'b'}), true);
	assert.ok(probeCount >= 10 && probeCount <= 30, `${probeCount} probes in 10 s`);
	answers = true;
	await clock.advanceInSteps(1000, 10);
	assert.equal(availability.isAvoided({gateway, member: 'a'}), false);
	const probesUntilAnswered = probeCount;
	await clock.advanceInSteps(5000, 10);
	assert.equal(probeCount, probesUntilAnswered);
});

// A gateway of an earlier build does not know the probe; it would stay unavailable for good.
test('an answer with an error shows that the gateway is available', async () => {
	const {clock, availability} = createAvailability(async () => {
		throw new BuckthornhitchError('unknownRequest', 'probeGateway');
	});
	void availability.suspect(gateway, 'no answer');
	await clock.advanceInSteps(200, 10);
	assert.equal(availability.isUnavailable(gateway), false);
});

// After a loss of power of all instances, gateways that had just started answered slowly; each time one counted as lost, all relays through it were opened at another one, and again when it answered.
test('a gateway that is only slow stays available for the other members', async () => {
	const {clock, availability} = createAvailability(async () => {
		await clock.sleep(400);
	});
	availability.avoid({gateway, member: 'a'}, 'no answer');
	void availability.suspect(gateway, 'no answer');
	for (let passed = 0; passed < 1000; passed += 50) {
		assert.equal(availability.isAvoided({gateway, member: 'b'}), false);
		await clock.advanceInSteps(50, 10);
	}
});

// Gateways that were replaced have new names; their probes would go on for the lifetime of the process.
test('a gateway that is no longer an entry is not probed any more', async () => {
	let isKnown = true;
	let probeCount = 0;
	const {clock, availability} = createAvailability(async () => {
		probeCount++;
		throw new BuckthornhitchError('linkNotSent', 'refused');
	}, () => isKnown);
	void availability.suspect(gateway, 'refused');
	await clock.advanceInSteps(500, 10);
	isKnown = false;
	await clock.advanceInSteps(1000, 10);
	const lastProbe = probeCount;
	await clock.advanceInSteps(3000, 10);
	assert.equal(probeCount, lastProbe);
});

test('a refusal of a gateway concerns one member and ends by itself', () => {
	const {clock, availability} = createAvailability(async () => undefined);
	availability.avoid({gateway, member: 'a'}, 'not a gateway');
	assert.equal(availability.isAvoided({gateway, member: 'a'}), true);
	assert.equal(availability.isAvoided({gateway, member: 'b'}), false);
	clock.advance(gatewayAvoidanceTime);
	assert.equal(availability.isAvoided({gateway, member: 'a'}), false);
});

// Each request tried every gateway again, 300 ms each, while half of the entries were without power.
test('while all gateways are silent, a request is refused at once, and the first one to answer a probe is used', async () => {
	const fixture = new PlacementFixture();
	const requester = fixture.order.at(-1)!;
	for (const {record} of fixture.order.slice(0, 4)) {
		fixture.links.silentAddresses.add(record.address);
	}

	for (let round = 0; round < 4; round++) {
		await fixture.attempt(requester.pool, {kind: 'write', id: 'w', text: 'WRITE 1 x'});
	}

	await fixture.clock.advanceInSteps(600, 10);
	const startedAt = fixture.clock.now();
	await assert.rejects(fixture.settle(requester.pool.acquire(2000, 1)), {codeName: 'memberRefused'});
	assert.ok(fixture.clock.now() - startedAt <= 20);
	assert.equal(requester.pool.isFailing, false);
	fixture.links.silentAddresses.delete(fixture.order[2].record.address);
	await fixture.clock.advanceInSteps(1500, 10);
	assert.equal(await fixture.attempt(requester.pool, {kind: 'write', id: 'w', text: 'WRITE 1 x'}), 'done');
});

// Links between entries are silent while no request is open; an entry lost inside a transaction would keep its connection for 30 s.
test('a gateway watches the requesting entry while a transaction is open', async () => {
	const fixture = new PlacementFixture();
	const {links, order} = fixture;
	const {address} = order[0].record;
	const execute = async (sequence: number, statement: MemberStatement): Promise<unknown> => fixture.settle(links.requestOn(7, address, 'relayStatement', {
		relay: 1, sequence, statement, timeout: 500,
	}, 800));
	await links.requestOn(7, address, 'openRelay', {relay: 1, service: 'ledger', member: 'a'}, 300);
	await execute(0, {kind: 'read', id: 'r', text: 'READ 1'});
	assert.deepEqual([...links.watchedLinks], []);
	await execute(1, {kind: 'begin', isReadOnly: false});
	assert.deepEqual([...links.watchedLinks], [7]);
	await execute(2, {kind: 'rollback'});
	assert.deepEqual([...links.watchedLinks], []);
});
