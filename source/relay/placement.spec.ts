import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../clock/manual-clock.js';
import {type EntryRecord} from '../registry/messages.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type MemberStatement, type StatementReply} from '../statement/types.js';
import {allocateConnections, orderByDistance, orderGateways} from './connection-allocation.js';
import {GatewayLoad} from './gateway-load.js';
import {RelayedConnection} from './relayed-connection.js';
import {PlacementFixture} from './placement-fixture.js';

const read: MemberStatement = {kind: 'read', id: 'r', text: 'READ 1'};
const write: MemberStatement = {kind: 'write', id: 'w', text: 'WRITE 1 x'};

test('gateways are near the member only where a gateway in each data centre would have under 4 connections, or with customers', () => {
	assert.deepEqual(allocateConnections({
		connectionLimit: 46, controlCount: 5, entryCount: 83, dataCentreCount: 6,
	}), {connectionsPerEntry: 10, gatewaysPerDataCentre: undefined, gatewaysNearMember: 4});
	const many = {
		connectionLimit: 112, controlCount: 5, entryCount: 142, dataCentreCount: 6,
	};
	assert.deepEqual(allocateConnections(many), {connectionsPerEntry: 5, gatewaysPerDataCentre: 3});
	assert.deepEqual(allocateConnections({...many, hasCustomers: true}), {
		connectionsPerEntry: 26, gatewaysPerDataCentre: undefined, gatewaysNearMember: 4, isByCustomer: true,
	});
	assert.deepEqual(allocateConnections({
		connectionLimit: 45, controlCount: 5, entryCount: 15, dataCentreCount: 3, hasCustomers: true,
	}), {connectionsPerEntry: 4, gatewaysPerDataCentre: undefined});
});

test('entries in the data centre of the member become gateways first, then those in its region', () => {
	const {order} = new PlacementFixture({entriesPerDataCentre: 2});
	assert.deepEqual(order.map(({record}) => record.dataCentre.slice(0, 5)), ['north', 'north', 'north', 'north', 'south', 'south', 'south', 'south']);
	assert.deepEqual(order.slice(0, 2).map(({record}) => record.dataCentre), ['north-1', 'north-1']);
});

test('the region of a member without entries in its data centre is unknown, and any entries become gateways', () => {
	const {entries} = new PlacementFixture();
	const records = entries.map(({record}) => record);
	assert.deepEqual(orderByDistance('a', 'east-1', records).map(({name}) => name), orderByDistance('a', undefined, records).map(({name}) => name));
});

test('without customers entries differ in their first gateway; with them a customer has the same one everywhere', () => {
	const gateways: readonly EntryRecord[] = ['w', 'x', 'y', 'z'].map(name => ({name, address: `${name}:1`, dataCentre: 'here'}));
	const requesters = Array.from({length: 40}, (_, index) => `entry-${index}`);
	const firstOf = (requester: string, customer?: string): string => orderGateways('a', gateways, requester, customer)[0].name;
	assert.equal(new Set(requesters.map(name => firstOf(name))).size, 4);
	assert.equal(new Set(requesters.map(name => firstOf(name, 'some customer'))).size, 1);
	assert.equal(new Set(requesters.map(customer => firstOf('entry-1', customer))).size, 4);
});

// Gateways in every data centre had 2 connections each; a single slow transaction then delayed all requests of a data centre.
test('only the gateways near the member connect to it, and all other entries relay through them', async () => {
	const fixture = new PlacementFixture();
	const connections = await Promise.all(fixture.entries.map(async ({pool}) => fixture.settle(pool.acquire(2000, 1))));
	const direct = fixture.entries.filter((_, index) => !connections[index].memberConnection.isRelayed);
	assert.deepEqual(new Set(direct), new Set(fixture.order.slice(0, 4)));
	for (const [index, connection] of connections.entries()) {
		const reply: StatementReply = await fixture.settle(connection.execute(write, 500));
		assert.equal(reply.outcome, 'done');
		fixture.entries[index].pool.release(connection);
	}
});

// Relays through another gateway than the one used last counted as obsolete, so that requests waited until the last one was tried again.
test('when the gateway used so far fails, the next one is used at once', async () => {
	const fixture = new PlacementFixture();
	const requester = fixture.order.at(-1)!;
	assert.equal(await fixture.attempt(requester.pool, write), 'done');
	fixture.links.silentAddresses.add(fixture.firstGatewayOf(requester));
	assert.notEqual(await fixture.attempt(requester.pool, write), 'done');
	await fixture.clock.advanceInSteps(400, 5);
	const startedAt = fixture.clock.now();
	assert.equal(await fixture.attempt(requester.pool, write), 'done');
	assert.ok(fixture.clock.now() - startedAt < 300);
});

// Lists of only the local data centre would make 4 entries of every data centre connect.
test('no entry connects directly before it knows the entries of all data centres', async () => {
	const fixture = new PlacementFixture();
	fixture.knowsAllEntries = false;
	await assert.rejects(fixture.settle(fixture.order[0].pool.acquire(500, 1)), {codeName: 'memberRefused'});
	assert.equal(fixture.member.connections.length, 0);
});

// A write that was sent to a frozen gateway would have an unknown outcome, and its caller could not repeat it.
test('while a new gateway does not answer, a write is not sent, and the next attempt uses another gateway', async () => {
	const fixture = new PlacementFixture();
	const requester = fixture.order.at(-1)!;
	fixture.links.silentAddresses.add(fixture.firstGatewayOf(requester));
	const startedAt = fixture.clock.now();
	assert.equal(await fixture.attempt(requester.pool, write), 'linkNotSent');
	assert.ok(fixture.clock.now() - startedAt <= 310);
	assert.equal(await fixture.attempt(requester.pool, write), 'done');
	assert.equal(requester.pool.isFailing, false);
	assert.deepEqual(fixture.member.receivedKinds, ['write']);
});

// The round trip to open the relay took up to 24 ms for each customer and member.
test('a read is sent together with the request to open the relay, and a write after it was opened', async () => {
	const fixture = new PlacementFixture();
	const requester = fixture.order.at(-1)!;
	const sent = (): readonly string[] => fixture.links.requests.map(({name}) => name);
	fixture.links.silentAddresses.add(fixture.firstGatewayOf(requester));
	const reading = fixture.attempt(requester.pool, read);
	await fixture.clock.advanceInSteps(5, 5);
	assert.deepEqual(sent(), ['openRelay', 'relayStatement']);
	// Whether the gateway will run the read later is not known; that is no failure of the member.
	assert.equal(await reading, 'outcomeUnknown');
	assert.equal(requester.pool.isFailing, false);
	assert.equal(await fixture.attempt(requester.pool, read), 'done');
	const other = fixture.order.at(-2)!;
	fixture.links.silentAddresses.add(fixture.firstGatewayOf(other));
	const since = sent().length;
	const writing = fixture.attempt(other.pool, write);
	await fixture.clock.advanceInSteps(5, 5);
	assert.deepEqual(sent().slice(since), ['openRelay']);
	await writing;
});

test('a statement that was sent with the request to open a relay is not run when the gateway refuses it', async () => {
	const {links, clock} = new PlacementFixture();
	const failures: string[] = [];
	links.serverAt('gateway:1').handle('relayStatement', async () => ({
		kind: 'notRun', reason: 'busy', detail: 'the relay is not known', isLost: true,
	}));
	const opening = clock.sleep(10).then(() => {
		throw new BuckthornhitchError('memberUnreachable', 'the gateway is stopping');
	});
	const connection = new RelayedConnection({
		clock,
		linkClient: links,
		gateway: 'gateway:1',
		relay: 1,
		sendsPriority: true,
		opening,
		isObsolete: () => false,
		onFailure({message}) {
			failures.push(message);
		},
	});
	const written = connection.execute(write, 500).catch((error: unknown) => toBuckthornhitchError(error).codeName);
	const later = connection.execute(read, 500).catch((error: unknown) => toBuckthornhitchError(error).codeName);
	assert.equal(links.requests.length, 0, 'no statement overtakes an earlier one that waits for the relay');
	await clock.advanceInSteps(20, 5);
	assert.deepEqual([await written, await later], ['linkNotSent', 'linkNotSent']);
	assert.equal(connection.isClosed, true);
	assert.equal(failures.length, 1);
	const first = new PlacementFixture();
	const requester = first.order.at(-1)!;
	first.entries.find(({record}) => record.address === first.firstGatewayOf(requester))!.relayServer.drain();
	assert.notEqual(await first.attempt(requester.pool, read), 'done');
	assert.deepEqual(first.member.receivedKinds, []);
	assert.equal(await first.attempt(requester.pool, read), 'done');
});

test('a read that a gateway answers as not run ends its relay', async () => {
	const {links, clock} = new PlacementFixture();
	links.serverAt('gateway:1').handle('relayStatement', async () => ({
		kind: 'notRun', reason: 'busy', detail: 'the relay is not known', isLost: true,
	}));
	const connection = new RelayedConnection({
		clock,
		linkClient: links,
		gateway: 'gateway:1',
		relay: 1,
		sendsPriority: true,
		opening: clock.sleep(10),
		isObsolete: () => false,
		onFailure() {
			// Failures of the gateway are not counted here.
		},
	});
	const reply = await connection.execute(read, 500);
	assert.equal(reply.outcome === 'refused' && reply.reason, 'busy');
	assert.equal(connection.isClosed, true);
});

// If every entry connected directly when the gateways fail, the member would refuse most of them and hold connections of each.
test('while no gateway answers, two reserve gateways connect with 2 connections each, and the other entries are refused', async () => {
	const fixture = new PlacementFixture();
	for (const {record} of fixture.order.slice(0, 4)) {
		fixture.links.unreachableAddresses.add(record.address);
	}

	const others = fixture.order.slice(4, 10);
	for (const {pool} of [...others, ...others, ...others, ...others]) {
		assert.equal(await fixture.attempt(pool, write), 'linkNotSent');
	}

	const requests = others.flatMap(({pool}) => Array.from({length: 4}, async () => pool.acquire(500, 1).catch(() => undefined)));
	await fixture.settle(Promise.all(requests));
	assert.equal(fixture.member.connections.length, 4);
	assert.deepEqual(others.filter(({pool}) => pool.isFailing), [], 'failures of gateways are not failures of the member');
	await assert.rejects(fixture.settle(fixture.order[6].pool.acquire(500, 1)), {codeName: 'memberRefused'});
});

// Entries that do not learn of the failure would keep sending reads to the member.
test('a member that its gateways do not reach counts as failing at the other entries', async () => {
	const fixture = new PlacementFixture();
	fixture.member.isUnresponsive = true;
	const outsider = fixture.order.at(-1)!;
	for (let round = 0; round < 6 && !outsider.pool.isFailing; round++) {
		// A gateway that does not reach the member first tries to relay through the others, which have not noticed the failure yet.
		for (const {pool} of [...fixture.order.slice(0, 4), outsider]) {
			assert.notEqual(await fixture.attempt(pool, write), 'done');
		}
	}

	assert.equal(await fixture.attempt(outsider.pool, write), 'memberUnreachable');
	assert.equal(outsider.pool.isFailing, true);
});

test('an entry that is not a gateway refuses to relay', async () => {
	const fixture = new PlacementFixture();
	const other = fixture.order[6];
	const request = {relay: 1, service: 'ledger', member: 'a'};
	await assert.rejects(fixture.links.request(other.record.address, 'openRelay', request, 300), {codeName: 'notGateway'});
});

// A gateway with a long transaction, or beside a busy neighbour, otherwise delays the same entries until it fails.
test('an entry moves on to another gateway when its statements queue, and not when all gateways are equally slow', () => {
	const clock = new ManualClock();
	const load = new GatewayLoad(clock);
	const candidates = ['first', 'second', 'third'];
	for (let sample = 0; sample < 20; sample++) {
		load.record('first', 6);
	}

	assert.equal(load.chooseFaster('first', candidates), undefined);
	for (let sample = 0; sample < 20; sample++) {
		load.record('first', 150);
	}

	assert.equal(load.chooseFaster('first', candidates), 'second');
	load.record('second', 140);
	assert.equal(load.chooseFaster('second', candidates), undefined, 'an entry stays with a gateway for a moment');
	load.record('third', 140);
	clock.advance(1000);
	load.record('second', 140);
	load.record('third', 140);
	load.record('first', 150);
	assert.equal(load.chooseFaster('second', candidates), undefined);
});

test('relays through a gateway at which statements queue are replaced by relays through another one', async () => {
	const fixture = new PlacementFixture();
	const requester = fixture.order.at(-1)!;
	const slow = fixture.firstGatewayOf(requester);
	assert.equal(await fixture.attempt(requester.pool, write), 'done');
	fixture.member.holdsReplies = true;
	const delayed = fixture.attempt(requester.pool, write);
	await fixture.clock.advanceInSteps(150, 5);
	fixture.member.releaseReplies();
	assert.equal(await delayed, 'done');
	const since = fixture.links.requests.length;
	assert.equal(await fixture.attempt(requester.pool, write), 'done');
	const used = fixture.links.requests.slice(since).filter(({name}) => name === 'relayStatement').map(({address}) => address);
	assert.equal(used.length, 1);
	assert.notEqual(used[0], slow);
});
