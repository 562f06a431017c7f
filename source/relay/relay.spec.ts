import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../clock/manual-clock.js';
import {silentLogger} from '../observability/logger.js';
import {SeededRandom} from '../random/random.js';
import {type EntryRecord} from '../registry/messages.js';
import {toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {CallerSessionState} from '../session-proxy/caller-session-state.js';
import {FakeMemberConnector, FakeMemberServer} from '../session-proxy/member-server-fake.js';
import {MemberPool} from '../session-proxy/member-pool.js';
import {testAnnouncement} from '../session-proxy/session-fixture.js';
import {type MemberStatement, type StatementReply} from '../statement/types.js';
import {divideConnections} from '../connection-budget/connection-budget.js';
import {selectGateways, allocateConnections, type ConnectionAllocation} from './connection-allocation.js';
import {InMemoryLinks} from './in-memory-links-fixture.js';
import {RelayServer} from './relay-server.js';
import {RelayingConnector} from './relaying-connector.js';

const entries: readonly EntryRecord[] = ['first', 'gateway', 'third'].map(name => ({name, address: `${name}:1`, dataCentre: 'here'}));
const directAllocation: ConnectionAllocation = {connectionsPerEntry: 4, gatewaysPerDataCentre: undefined};
const begin: MemberStatement = {kind: 'begin', isReadOnly: false};
const write: MemberStatement = {kind: 'write', id: 'w', text: 'WRITE 1 x'};

/** The entry `first`, which does not reach the member directly, and the entry `gateway`, which does. */
class RelayFixture {
	readonly clock = new ManualClock();
	readonly links = new InMemoryLinks();
	readonly member = new FakeMemberServer({...testAnnouncement('a', {role: 'primary'}), isGone: false});
	/** The member as `first` reaches it directly. */
	readonly directMember = new FakeMemberServer(this.member.server);
	readonly gatewayPool: MemberPool;
	readonly server: RelayServer;
	readonly connector: RelayingConnector;
	readonly pool: MemberPool;

	constructor(allocation: ConnectionAllocation = directAllocation, knownEntries = entries.slice(0, 2)) {
		this.member.role = 'primary';
		this.directMember.isUnresponsive = true;
		const {clock, links} = this;
		this.gatewayPool = new MemberPool(this.member.server, {
			connector: new FakeMemberConnector([this.member]), clock, logger: silentLogger, maximumConnections: () => 4,
		});
		this.server = new RelayServer({
			clock, logger: silentLogger, linkServer: links.serverAt('gateway:1'), poolOf: () => this.gatewayPool,
		});
		this.server.start();
		this.connector = new RelayingConnector({
			name: 'first',
			clock,
			random: new SeededRandom(1),
			logger: silentLogger,
			linkClient: links,
			direct: new FakeMemberConnector([this.directMember]),
			entries: () => knownEntries,
			connectionAllocation: () => allocation,
			isKnownMember: () => true,
		});
		this.pool = new MemberPool(this.member.server, {
			connector: this.connector, clock, logger: silentLogger, maximumConnections: () => 4,
		});
	}

	/** Advances the clock until the promise is settled. */
	async settle<Value>(promise: Promise<Value>): Promise<Value> {
		const settled: Array<{readonly value?: Value; readonly error?: unknown}> = [];
		promise.then(value => {
			settled.push({value});
		}, (error: unknown) => {
			settled.push({error});
		});
		for (let passed = 0; settled.length === 0 && passed < 3000; passed += 5) {
			await this.clock.advanceInSteps(5, 5);
		}

		const [outcome] = settled;
		if (outcome?.error !== undefined) {
			throw toBuckthornhitchError(outcome.error);
		}

		return outcome.value!;
	}
}

const signatureOrReason = (reply: StatementReply): string => reply.outcome === 'done' ? reply.signature : reply.reason;

test('an entry that does not reach a member directly reaches it through a gateway', async () => {
	const fixture = new RelayFixture();
	const connection = await fixture.settle(fixture.pool.acquire(2000, 1));
	assert.equal(connection.memberConnection.isRelayed, true);
	assert.equal(signatureOrReason(await fixture.settle(connection.execute(write, 500))), 'signed a');
	assert.deepEqual(fixture.member.receivedKinds, ['write']);
});

// A gateway replies to session changes itself; counted as answers of the member, they would hide that the member is lost.
test('replies that a gateway makes itself do not count as answers of the member', async () => {
	const fixture = new RelayFixture();
	const state = new CallerSessionState();
	state.variables.set('zone', 'north');
	const connection = await fixture.settle(fixture.pool.acquire(2000, 1));
	await fixture.settle(connection.applySession(state, undefined, 500));
	assert.equal(fixture.pool.reachability.answeredAgo, null);
	await fixture.settle(connection.execute(write, 500));
	assert.notEqual(fixture.pool.reachability.answeredAgo, null);
});

test('a relayed transaction runs on one connection of the gateway, after the session\'s variables were set there', async () => {
	const fixture = new RelayFixture();
	const state = new CallerSessionState();
	state.variables.set('zone', 'north');
	const connection = await fixture.settle(fixture.pool.acquire(2000, 1));
	await fixture.settle(connection.applySession(state, undefined, 500));
	for (const statement of [begin, write, {kind: 'commit', id: 'c'} as const]) {
		await fixture.settle(connection.execute(statement, 500));
	}

	assert.deepEqual(fixture.member.receivedKinds, ['set', 'begin', 'write', 'commit']);
	assert.equal(new Set(fixture.member.received.map(({connectionNumber}) => connectionNumber)).size, 1);
	assert.equal(fixture.server.activeRelayCount, 0);
});

// Relays share the gateway's connections; a variable left on one would take effect in another session.
test('variables of one session are reset before another session uses the gateway\'s connection', async () => {
	const fixture = new RelayFixture();
	const state = new CallerSessionState();
	state.variables.set('zone', 'north');
	const first = await fixture.settle(fixture.pool.acquire(2000, 1));
	await fixture.settle(first.applySession(state, undefined, 500));
	await fixture.settle(first.execute(write, 500));
	const second = await fixture.settle(fixture.pool.acquire(2000, 1));
	await fixture.settle(second.execute(write, 500));
	assert.deepEqual(fixture.member.receivedKinds, ['set', 'write', 'reset', 'write']);
});

// A statement that ran after the rollback would take effect outside its transaction.
test('the gateway rolls a transaction back when the link is lost, and no later statement of it runs', async () => {
	const fixture = new RelayFixture();
	const connection = await fixture.settle(fixture.pool.acquire(2000, 1));
	await fixture.settle(connection.execute(begin, 500));
	await fixture.settle(connection.execute(write, 500));
	fixture.links.dropLink('gateway:1');
	await fixture.clock.advanceInSteps(50, 5);
	fixture.links.unreachableAddresses.clear();
	assert.deepEqual(fixture.member.receivedKinds, ['begin', 'write', 'rollback']);
	const reply = await fixture.settle(connection.execute(write, 500));
	assert.equal(signatureOrReason(reply), 'busy');
	assert.equal(reply.transaction, 'failed');
	assert.equal(fixture.member.receivedKinds.includes('commit'), false);
});

test('a draining gateway refuses new relays and statements but lets an open transaction end', async () => {
	const fixture = new RelayFixture();
	const connection = await fixture.settle(fixture.pool.acquire(2000, 1));
	await fixture.settle(connection.execute(begin, 500));
	fixture.server.drain();
	assert.equal(fixture.server.activeRelayCount, 1);
	await assert.rejects(fixture.settle(fixture.connector.connect(fixture.member.server, 700)), {codeName: 'memberUnreachable'});
	assert.equal(signatureOrReason(await fixture.settle(connection.execute({kind: 'commit', id: 'c'}, 500))), 'signed a');
	assert.equal(fixture.server.activeRelayCount, 0);
	assert.equal(signatureOrReason(await fixture.settle(connection.execute(write, 500))), 'busy');
	assert.equal(connection.memberConnection.isClosed, true);
});

// Reporting a statement that may have run as not run would let the caller run it twice.
test('a statement without an answer from the gateway has an unknown outcome, and one that could not be sent is reported as not sent', async () => {
	const fixture = new RelayFixture();
	const connection = await fixture.settle(fixture.pool.acquire(2000, 1));
	fixture.member.holdsReplies = true;
	await assert.rejects(fixture.settle(connection.execute(write, 300)), {codeName: 'linkOutcomeUnknown'});
	const other = await fixture.settle(fixture.pool.acquire(2000, 1));
	fixture.links.dropLink('gateway:1');
	await assert.rejects(fixture.settle(other.execute(write, 300)), {codeName: 'linkNotSent'});
});

// The rollback overtook the begin, and the connection with the open transaction was given to another session, whose statements then ran inside it.
test('a transaction that a closed relay was about to begin does not stay open on a connection of the gateway', async () => {
	const fixture = new RelayFixture();
	const state = new CallerSessionState();
	state.variables.set('zone', 'north');
	const connection = await fixture.settle(fixture.pool.acquire(2000, 1));
	await fixture.settle(connection.applySession(state, undefined, 500));
	fixture.member.heldKinds = new Set(['set', 'begin', 'rollback']);
	fixture.member.holdsReplies = true;
	const begun = connection.execute(begin, 500).catch(() => undefined);
	await fixture.clock.advanceInSteps(20, 5);
	assert.deepEqual(fixture.member.receivedKinds, ['set']);
	fixture.pool.discard(connection);
	await fixture.clock.advanceInSteps(20, 5);
	fixture.member.releaseReplies();
	fixture.member.holdsReplies = true;
	await fixture.clock.advanceInSteps(20, 5);
	fixture.member.releaseReplies();
	await fixture.settle(begun);
	await fixture.clock.advanceInSteps(20, 5);
	const other = await fixture.settle(fixture.gatewayPool.acquire(500, 1));
	await fixture.settle(other.execute(write, 500));
	assert.equal(fixture.member.received.at(-1)?.statement, write);
	assert.equal(fixture.member.received.at(-1)?.transaction, 'idle');
});

// The value was noted before the member had confirmed it, so that later sessions ran without it.
test('a variable that the member refused is set again when the connection is used next', async () => {
	const fixture = new RelayFixture();
	const state = new CallerSessionState();
	state.variables.set('zone', 'north');
	const connection = await fixture.settle(fixture.gatewayPool.acquire(500, 1));
	fixture.member.refusedKinds.add('set');
	await assert.rejects(fixture.settle(connection.applySession(state, undefined, 500)), {codeName: 'setupRefused'});
	fixture.member.refusedKinds.clear();
	await fixture.settle(connection.applySession(state, undefined, 500));
	assert.deepEqual(fixture.member.receivedKinds, ['set', 'set']);
});

test('direct connections are used again once the member is directly reachable', async () => {
	const fixture = new RelayFixture();
	const connection = await fixture.settle(fixture.pool.acquire(2000, 1));
	await fixture.settle(connection.execute(write, 500));
	fixture.pool.release(connection);
	fixture.directMember.isUnresponsive = false;
	await fixture.clock.advanceInSteps(1100, 5);
	const next = await fixture.settle(fixture.pool.acquire(2000, 1));
	assert.equal(next.memberConnection.isRelayed, false);
});

// Two entries that relayed to each other would relay a statement in a loop.
test('a gateway does not relay a statement through another gateway', async () => {
	const fixture = new RelayFixture();
	const relayedPool = fixture.pool;
	const third = new RelayServer({
		clock: fixture.clock, logger: silentLogger, linkServer: fixture.links.serverAt('third:1'), poolOf: () => relayedPool,
	});
	third.start();
	await fixture.settle(fixture.links.request('third:1', 'openRelay', {relay: 1, service: 'ledger', member: 'a'}, 300));
	const response = await fixture.settle(fixture.links.request('third:1', 'relayStatement', {
		relay: 1, sequence: 0, statement: write, timeout: 500,
	}, 300)) as {readonly kind: string};
	assert.equal(response.kind, 'notRun');
	assert.deepEqual(fixture.member.receivedKinds, []);
});

test('every entry gets direct connections if there are enough, otherwise a few gateways get them within the limit', () => {
	assert.deepEqual(allocateConnections({
		connectionLimit: 45, controlCount: 5, entryCount: 15, dataCentreCount: 3,
	}), {connectionsPerEntry: 4, gatewaysPerDataCentre: undefined});
	const scarce = allocateConnections({
		connectionLimit: 106, controlCount: 5, entryCount: 145, dataCentreCount: 6,
	});
	assert.deepEqual(scarce, {connectionsPerEntry: 5, gatewaysPerDataCentre: 3});
	assert.ok(scarce.connectionsPerEntry * scarce.gatewaysPerDataCentre * 6 <= 106);
	for (const connectionLimit of [10, 20, 45, 106, 300]) {
		for (const dataCentreCount of [1, 3, 6]) {
			for (const hasCustomers of [false, true]) {
				const {connectionsPerEntry, gatewaysPerDataCentre, gatewaysNearMember} = allocateConnections({
					connectionLimit, controlCount: 5, entryCount: 400, dataCentreCount, hasCustomers,
				});
				const gateways = gatewaysNearMember ?? (gatewaysPerDataCentre! * dataCentreCount);
				const {entryConnections, controlConnections} = divideConnections({connectionLimit, controlCount: 5});
				assert.ok(entryConnections + controlConnections < connectionLimit);
				assert.ok(connectionsPerEntry * gateways <= entryConnections, `${connectionLimit} ${dataCentreCount} ${String(hasCustomers)}`);
			}
		}
	}
});

// Entries that chose different gateways would together exceed the connection limit of the member.
test('all entries select the same gateways to a member but differ in which one they try first', () => {
	const many = Array.from({length: 24}, (_, index) => ({name: `entry-${index}`, address: `entry-${index}:1`, dataCentre: 'here'}));
	const orders = many.map(({name}) => selectGateways('a', many, 3, name).map(entry => entry.name));
	assert.equal(new Set(orders.map(order => order.toSorted((first, second) => first.localeCompare(second)).join(' '))).size, 1);
	assert.equal(new Set(orders.map(([first]) => first)).size, 3);
});

test('an entry without allocated direct connections uses a gateway even if it reaches the member directly', async () => {
	const gateways = selectGateways('a', entries.slice(0, 2), 1, 'first').map(({name}) => name);
	assert.deepEqual(gateways, ['gateway']);
	const fixture = new RelayFixture({connectionsPerEntry: 2, gatewaysPerDataCentre: 1});
	fixture.directMember.isUnresponsive = false;
	const connection = await fixture.settle(fixture.pool.acquire(2000, 1));
	assert.equal(connection.memberConnection.isRelayed, true);
	assert.equal(signatureOrReason(await fixture.settle(connection.execute(write, 500))), 'signed a');
	assert.equal(fixture.directMember.connections.length, 0);
});

test('a gateway that is not near the member states no support for primary reads', async () => {
	const fixture = new RelayFixture();
	assert.deepEqual(await fixture.links.request('gateway:1', 'openRelay', {relay: 1, service: 'ledger', member: 'a'}, 300), {usesSentNames: true});
});
