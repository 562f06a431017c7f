import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type Milliseconds} from '../clock/clock.js';
import {ManualClock} from '../clock/manual-clock.js';
import {LinkClient, type LinkPeer, type RequestHandler} from '../links/link-client.js';
import {silentLogger} from '../observability/logger.js';
import {SeededRandom} from '../random/random.js';
import {type EntryRecord} from '../registry/messages.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {CallerSessionState} from '../session-proxy/caller-session-state.js';
import {FakeMemberConnector, FakeMemberServer} from '../session-proxy/member-server-fake.js';
import {MemberPool} from '../session-proxy/member-pool.js';
import {testAnnouncement} from '../session-proxy/session-fixture.js';
import {type MemberStatement, type StatementReply} from '../statement/types.js';
import {gatewaysTo, allocateConnections, type ConnectionAllocation} from './connection-allocation.js';
import {RelayServer} from './relay-server.js';
import {RelayingConnector} from './relaying-connector.js';

/** Links between entries in memory; a test may cut one of them. */
class MemoryLinks extends LinkClient {
	readonly cut = new Set<string>();
	readonly #handlers = new Map<string, Map<string, RequestHandler>>();
	readonly #closeListeners = new Map<string, (peer: LinkPeer) => void>();

	serverAt(address: string): {handle(name: string, handler: RequestHandler): void; onLinkClosed(listener: (peer: LinkPeer) => void): void} {
		const handlers = new Map<string, RequestHandler>();
		this.#handlers.set(address, handlers);
		return {
			handle(name, handler) {
				handlers.set(name, handler);
			},
			onLinkClosed: listener => {
				this.#closeListeners.set(address, listener);
			},
		};
	}

	/** Loses the link to the address; the peer learns it. */
	lose(address: string): void {
		this.cut.add(address);
		this.#closeListeners.get(address)?.({linkId: 1});
	}

	override async request(address: string, name: string, body: unknown, timeout: Milliseconds): Promise<unknown> {
		const handler = this.#handlers.get(address)?.get(name);
		if (this.cut.has(address) || !handler) {
			throw new BuckthornhitchError('linkNotSent', `${address} ${timeout}`);
		}

		return handler(body, {linkId: 1});
	}

	override notify(address: string, name: string, body: unknown): void {
		if (!this.cut.has(address)) {
			void this.#handlers.get(address)?.get(name)?.(body, {linkId: 1});
		}
	}
}

const entries: readonly EntryRecord[] = ['first', 'gateway', 'third'].map(name => ({name, address: `${name}:1`, dataCentre: 'here'}));
const ownConnections: ConnectionAllocation = {connections: 4, gateways: undefined};
const begin: MemberStatement = {kind: 'begin', isReadOnly: false};
const write: MemberStatement = {kind: 'write', id: 'w', text: 'WRITE 1 x'};

/** The entry `first`, cut off from the member, and `gateway`, which reaches it. */
class RelayFixture {
	readonly clock = new ManualClock();
	readonly links = new MemoryLinks();
	readonly member = new FakeMemberServer({...testAnnouncement('a', {role: 'primary'}), isGone: false});
	readonly unreached = new FakeMemberServer(this.member.server);
	readonly gatewayPool: MemberPool;
	readonly server: RelayServer;
	readonly connector: RelayingConnector;
	readonly pool: MemberPool;

	constructor(share: ConnectionAllocation = ownConnections, known = entries.slice(0, 2)) {
		this.member.role = 'primary';
		this.unreached.isUnresponsive = true;
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
			direct: new FakeMemberConnector([this.unreached]),
			entries: () => known,
			connectionAllocation: () => share,
			isPresent: () => true,
		});
		this.pool = new MemberPool(this.member.server, {
			connector: this.connector, clock, logger: silentLogger, maximumConnections: () => 4,
		});
	}

	/** Resolves while time passes. */
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

const signatureOf = (reply: StatementReply): string => reply.outcome === 'done' ? reply.signature : reply.reason;

test('an entry that is cut off from a member reaches it through another entry', async () => {
	const fixture = new RelayFixture();
	const link = await fixture.settle(fixture.pool.acquire(2000, 1));
	assert.equal(link.memberConnection.isRelayed, true);
	assert.equal(signatureOf(await fixture.settle(link.execute(write, 500))), 'signed a');
	assert.deepEqual(fixture.member.receivedKinds, ['write']);
});

test('what a gateway answers itself does not show that the member lives', async () => {
	const fixture = new RelayFixture();
	const state = new CallerSessionState();
	state.variables.set('zone', 'north');
	const link = await fixture.settle(fixture.pool.acquire(2000, 1));
	await fixture.settle(link.applySession(state, undefined, 500));
	assert.equal(fixture.pool.contact.answeredAgo, null);
	await fixture.settle(link.execute(write, 500));
	assert.notEqual(fixture.pool.contact.answeredAgo, null);
});

test('a relayed transaction keeps one connection of the gateway, and values of the session reach it before its statements', async () => {
	const fixture = new RelayFixture();
	const state = new CallerSessionState();
	state.variables.set('zone', 'north');
	const link = await fixture.settle(fixture.pool.acquire(2000, 1));
	await fixture.settle(link.applySession(state, undefined, 500));
	for (const statement of [begin, write, {kind: 'commit', id: 'c'} as const]) {
		await fixture.settle(link.execute(statement, 500));
	}

	assert.deepEqual(fixture.member.receivedKinds, ['set', 'begin', 'write', 'commit']);
	assert.equal(new Set(fixture.member.received.map(({connection}) => connection)).size, 1);
	assert.equal(fixture.server.activeRelayCount, 0);
});

test('values of one session do not stay on the gateway\'s connection for another one', async () => {
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

test('a link that is lost within a transaction rolls it back at the gateway, and nothing more of it runs', async () => {
	const fixture = new RelayFixture();
	const link = await fixture.settle(fixture.pool.acquire(2000, 1));
	await fixture.settle(link.execute(begin, 500));
	await fixture.settle(link.execute(write, 500));
	fixture.links.lose('gateway:1');
	await fixture.clock.advanceInSteps(50, 5);
	fixture.links.cut.clear();
	assert.deepEqual(fixture.member.receivedKinds, ['begin', 'write', 'rollback']);
	const reply = await fixture.settle(link.execute(write, 500));
	assert.equal(signatureOf(reply), 'busy');
	assert.equal(reply.transaction, 'failed');
	assert.equal(fixture.member.receivedKinds.includes('commit'), false);
});

test('a gateway that stops takes no new work and lets an open transaction end', async () => {
	const fixture = new RelayFixture();
	const link = await fixture.settle(fixture.pool.acquire(2000, 1));
	await fixture.settle(link.execute(begin, 500));
	fixture.server.drain();
	assert.equal(fixture.server.activeRelayCount, 1);
	await assert.rejects(fixture.settle(fixture.connector.connect(fixture.member.server, 700)), {codeName: 'memberUnreachable'});
	assert.equal(signatureOf(await fixture.settle(link.execute({kind: 'commit', id: 'c'}, 500))), 'signed a');
	assert.equal(fixture.server.activeRelayCount, 0);
	assert.equal(signatureOf(await fixture.settle(link.execute(write, 500))), 'busy');
	assert.equal(link.memberConnection.isClosed, true);
});

test('a statement whose gateway is lost on the way has an unknown outcome, and one that was not sent has not run', async () => {
	const fixture = new RelayFixture();
	const link = await fixture.settle(fixture.pool.acquire(2000, 1));
	fixture.member.holdsReplies = true;
	await assert.rejects(fixture.settle(link.execute(write, 300)), {codeName: 'linkOutcomeUnknown'});
	const other = await fixture.settle(fixture.pool.acquire(2000, 1));
	fixture.links.lose('gateway:1');
	await assert.rejects(fixture.settle(other.execute(write, 300)), {codeName: 'linkNotSent'});
});

test('a cut that ends brings the connections of the instance\'s own back', async () => {
	const fixture = new RelayFixture();
	const link = await fixture.settle(fixture.pool.acquire(2000, 1));
	await fixture.settle(link.execute(write, 500));
	fixture.pool.release(link);
	fixture.unreached.isUnresponsive = false;
	await fixture.clock.advanceInSteps(1100, 5);
	const next = await fixture.settle(fixture.pool.acquire(2000, 1));
	assert.equal(next.memberConnection.isRelayed, false);
});

test('a gateway does not pass a statement on through a third entry', async () => {
	const fixture = new RelayFixture();
	const relayedPool = fixture.pool;
	const third = new RelayServer({
		clock: fixture.clock, logger: silentLogger, linkServer: fixture.links.serverAt('third:1'), poolOf: () => relayedPool,
	});
	third.start();
	await fixture.settle(fixture.links.request('third:1', 'openRelay', {relay: 1, service: 'ledger', member: 'a'}, 300));
	const answer = await fixture.settle(fixture.links.request('third:1', 'relayStatement', {
		relay: 1, sequence: 0, statement: write, timeout: 500,
	}, 300)) as {readonly kind: string};
	assert.equal(answer.kind, 'notRun');
	assert.deepEqual(fixture.member.receivedKinds, []);
});

test('entries have connections of their own while these suffice, otherwise a few gateways share them without exceeding the limit', () => {
	assert.deepEqual(allocateConnections({connectionLimit: 45, entryCount: 15, dataCentreCount: 3}), {connections: 4, gateways: undefined});
	const scarce = allocateConnections({connectionLimit: 106, entryCount: 145, dataCentreCount: 6});
	assert.deepEqual(scarce, {connections: 5, gateways: 3});
	assert.ok(scarce.connections * scarce.gateways * 6 <= 106);
	for (const connectionLimit of [10, 20, 45, 106, 300]) {
		for (const dataCentreCount of [1, 3, 6]) {
			const {connections, gateways} = allocateConnections({connectionLimit, entryCount: 400, dataCentreCount});
			assert.ok(connections * gateways! * dataCentreCount <= connectionLimit, `${connectionLimit} ${dataCentreCount}`);
		}
	}
});

test('all entries agree on the gateways to a member, and share them among themselves', () => {
	const many = Array.from({length: 24}, (_, index) => ({name: `entry-${index}`, address: `entry-${index}:1`, dataCentre: 'here'}));
	const orders = many.map(({name}) => gatewaysTo('a', many, 3, name).map(entry => entry.name));
	assert.equal(new Set(orders.map(order => order.toSorted((first, second) => first.localeCompare(second)).join(' '))).size, 1);
	assert.equal(new Set(orders.map(([first]) => first)).size, 3);
});

test('an entry that is no gateway sends through one, also while it reaches the member itself', async () => {
	const gateways = gatewaysTo('a', entries.slice(0, 2), 1, 'first').map(({name}) => name);
	assert.deepEqual(gateways, ['gateway']);
	const fixture = new RelayFixture({connections: 2, gateways: 1});
	fixture.unreached.isUnresponsive = false;
	const link = await fixture.settle(fixture.pool.acquire(2000, 1));
	assert.equal(link.memberConnection.isRelayed, true);
	assert.equal(signatureOf(await fixture.settle(link.execute(write, 500))), 'signed a');
	assert.equal(fixture.unreached.links.length, 0);
});
