import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../clock/manual-clock.js';
import {silentLogger} from '../observability/logger.js';
import {CallerSessionState} from './caller-session-state.js';
import {MemberPool} from './member-pool.js';
import {FakeMemberConnector, FakeMemberServer} from './member-server-fake.js';
import {SharedPlacement, type ConnectionPlacement} from './connection-placement.js';
import {type PooledConnection} from './pooled-connection.js';
import {testAnnouncement} from './session-fixture.js';

/** Placement that keeps idle connections of customers, but only some of them. */
class KeepingPlacement extends SharedPlacement {
	override keptConnections(): number {
		return 2;
	}

	override idleTimeout(): number {
		return 20_000;
	}
}

/** Pool with a limit on its connections, and the order in which its requests were served. */
class PoolFixture {
	readonly clock = new ManualClock();
	readonly member = new FakeMemberServer({...testAnnouncement('a', {role: 'primary'}), isGone: false});
	readonly served: string[] = [];
	readonly pool: MemberPool;

	constructor(maximumConnections: number, placement?: ConnectionPlacement) {
		this.pool = new MemberPool(this.member.server, {
			connector: new FakeMemberConnector([this.member]), clock: this.clock, logger: silentLogger, maximumConnections: () => maximumConnections, placement,
		});
	}

	/** Number of open connections. */
	get openCount(): number {
		return this.member.connections.filter(({isClosed}) => !isClosed).length;
	}

	/** Customers of the open connections. */
	get customers(): ReadonlyArray<string | undefined> {
		return this.member.connections.filter(({isClosed}) => !isClosed).map(({customer}) => customer);
	}

	async acquire(customer: string | undefined, priority = 1): Promise<PooledConnection> {
		const connection = await this.pool.acquire(10_000, priority, new CallerSessionState(), customer);
		this.served.push(customer ?? '-');
		return connection;
	}

	async advance(duration = 400): Promise<void> {
		await this.clock.advanceInSteps(duration, 5);
	}
}

// A request under another customer's name would be counted against that customer and could see its data.
test('an idle connection serves only requests of its own customer', async () => {
	const {pool, member, acquire} = bound(new PoolFixture(4));
	const first = await acquire('first');
	pool.release(first);
	const second = await acquire('second');
	assert.notEqual(second, first);
	pool.release(second);
	assert.equal(await acquire('first'), first);
	const anonymous = await acquire(undefined);
	assert.equal(anonymous.customer, undefined);
	assert.deepEqual(member.connections.map(({customer}) => customer), ['first', 'second', undefined]);
});

test('statements of the proxy itself use an idle connection of any customer', async () => {
	const {pool, member, acquire} = bound(new PoolFixture(4));
	const first = await acquire('first');
	pool.release(first);
	assert.equal(await pool.acquire(1000, 0), first);
	assert.equal(member.connections.length, 1);
});

test('at the limit the least recently used idle connection of another customer is closed', async () => {
	const fixture = new PoolFixture(2);
	const {pool, acquire} = bound(fixture);
	for (const customer of ['first', 'second']) {
		pool.release(await acquire(customer));
	}

	pool.release(await acquire('first'));
	await acquire('third');
	assert.deepEqual(fixture.customers, ['first', 'third']);
});

test('a released connection is replaced for the next waiting request of another customer', async () => {
	const fixture = new PoolFixture(1);
	const {pool, acquire} = bound(fixture);
	const first = await acquire('first');
	const waiting = acquire('second');
	await fixture.advance();
	assert.deepEqual(fixture.customers, ['first']);
	pool.release(first);
	await fixture.advance(50);
	const served = await waiting;
	assert.equal(served.customer, 'second');
	assert.deepEqual(fixture.customers, ['second']);
});

// With requests served by arrival, a customer that sends eight times its usual rate delayed all the others.
test('a customer that floods the pool does not delay the requests of another one', async () => {
	const fixture = new PoolFixture(2);
	const {pool, acquire} = bound(fixture);
	const held: PooledConnection[] = [];
	const flood = Array.from({length: 20}, async () => {
		held.push(await acquire('loud'));
	});
	await fixture.advance();
	assert.equal(held.length, 2);
	const quiet = acquire('quiet');
	pool.release(held.shift()!);
	await fixture.advance(50);
	const served = await quiet;
	assert.equal(served.customer, 'quiet');
	assert.equal(held.length, 1, 'the connection went to the quiet customer');
	pool.close();
	await Promise.allSettled(flood);
});

test('among requests of different priority the higher one is served first, whoever sends it', async () => {
	const fixture = new PoolFixture(1);
	const {pool, acquire} = bound(fixture);
	const first = await acquire('first');
	const low = acquire('quiet', 2);
	const high = acquire('first', 0);
	pool.release(first);
	await fixture.advance(50);
	pool.release(await high);
	await fixture.advance(50);
	await low;
	assert.deepEqual(fixture.served, ['first', 'first', 'quiet']);
});

test('a customer does not get the last connection of a pool while another one waits', async () => {
	const fixture = new PoolFixture(2);
	const {pool, acquire} = bound(fixture);
	const [first] = await Promise.all([acquire('loud', 0), acquire('loud', 0)]);
	await fixture.advance();
	const urgent = acquire('loud', 0);
	const quiet = acquire('quiet', 2);
	pool.release(first);
	await fixture.advance(50);
	const served = await quiet;
	assert.equal(served.customer, 'quiet');
	pool.release(served);
	await fixture.advance(50);
	await urgent;
});

// Each failed replacement lost a connection, until the pool had none left.
test('while the member refuses more connections, the pool keeps those that it has', async () => {
	const fixture = new PoolFixture(4);
	const {pool, acquire, member} = bound(fixture);
	for (const customer of ['first', 'second', 'third', 'fourth']) {
		pool.release(await acquire(customer));
		await fixture.advance(150);
	}

	member.refusesConnections = true;
	const waiting = acquire('fifth');
	await fixture.advance(350);
	assert.equal(fixture.openCount, 3, 'one was closed to make room');
	member.refusesConnections = false;
	await fixture.advance(400);
	const served = await waiting;
	assert.equal(served.customer, 'fifth');
});

// After a loss of power, members refused the connections of the restarted gateways for 3 s, since they still counted those of before.
test('idle connections beyond those that are kept are closed after a moment, the least recently used first', async () => {
	const fixture = new PoolFixture(6, new KeepingPlacement(() => 6));
	const {pool, acquire} = bound(fixture);
	for (const customer of ['first', 'second', 'third', 'fourth']) {
		pool.release(await acquire(customer));
		await fixture.advance(150);
	}

	assert.equal(fixture.openCount, 4, 'a burst of customers gets its connections');
	await fixture.advance(2500);
	assert.deepEqual(fixture.customers, ['third', 'fourth']);
});

function bound(fixture: PoolFixture): {readonly pool: MemberPool; readonly member: FakeMemberServer; readonly acquire: (customer: string | undefined, priority?: number) => Promise<PooledConnection>} {
	return {pool: fixture.pool, member: fixture.member, acquire: async (customer, priority) => fixture.acquire(customer, priority)};
}
