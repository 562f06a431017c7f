import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type Milliseconds} from '../clock/clock.js';
import {ManualClock} from '../clock/manual-clock.js';
import {silentLogger} from '../observability/logger.js';
import {toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type ConnectionStatement, type StatementReply} from '../statement/types.js';
import {CallerSessionState} from './caller-session-state.js';
import {ConnectionPlacement} from './connection-placement.js';
import {QueueRefusalError} from './connection-requests.js';
import {MemberPool} from './member-pool.js';
import {FakeMemberConnector, FakeMemberServer} from './member-server-fake.js';
import {type PooledConnection} from './pooled-connection.js';
import {SessionFixture, testAnnouncement} from './session-fixture.js';

const connectionLimit = 10;

/** Number of statements in flight before the first reply. */
const initialLimit = 2;

const read: ConnectionStatement = {kind: 'read', id: 'r', text: 'READ 1'};

/** Placement of a gateway near the member, until it loses that role. */
class GatewayPlacement extends ConnectionPlacement {
	override readonly isByCustomer = false;
	override readonly isExact = true;
	hasRole = true;

	override get isGateway(): boolean {
		return this.hasRole;
	}

	override pathFor(): undefined {
		return undefined;
	}

	override maximumConnections(): number {
		return connectionLimit;
	}

	override keptConnections(): number {
		return connectionLimit;
	}

	override isAllowed(): boolean {
		return this.hasRole;
	}

	override idleTimeout(): number {
		return 20_000;
	}
}

class GatewayFixture {
	readonly clock = new ManualClock();
	readonly placement = new GatewayPlacement();
	readonly member = new FakeMemberServer({...testAnnouncement('a', {role: 'primary', slots: 4}), isGone: false});
	readonly pool: MemberPool;

	constructor() {
		this.member.role = 'primary';
		this.pool = new MemberPool(this.member.server, {
			connector: new FakeMemberConnector([this.member]), clock: this.clock, logger: silentLogger, maximumConnections: () => connectionLimit, placement: this.placement,
		});
	}

	/** Acquires a connection for a statement of a caller. */
	async acquire(priority = 1, timeout = 800, customer?: string): Promise<PooledConnection> {
		return this.pool.acquireForCaller(timeout, {priority, isForTransaction: false, targetAt: this.clock.now() + 400}, new CallerSessionState(), customer);
	}

	/** Runs a read as the sessions do. Resolves with 'done', the reason of a refusal or the error. */
	async read(priority = 1, timeout: Milliseconds = 800, customer?: string): Promise<unknown> {
		let connection: PooledConnection | undefined;
		const deadline = this.clock.now() + timeout;
		try {
			connection = await this.acquire(priority, timeout, customer);
			const reply = await connection.execute(read, deadline - this.clock.now());
			this.pool.release(connection);
			return reply.outcome === 'done' ? 'done' : reply.reason;
		} catch (error) {
			if (connection) {
				this.pool.releaseAfterRollback(connection);
			}

			return toBuckthornhitchError(error);
		}
	}

	/** Opens transactions, one after the other. */
	async begin(count: number): Promise<readonly PooledConnection[]> {
		const begun: PooledConnection[] = [];
		for (let index = 0; index < count; index++) {
			const acquired = this.pool.acquireForCaller(800, {priority: 2, isForTransaction: true}, new CallerSessionState(), undefined);
			await this.advance(30);
			const connection = await acquired;
			await connection.execute({kind: 'begin', isReadOnly: false}, 500);
			begun.push(connection);
		}

		return begun;
	}

	async advance(duration: Milliseconds): Promise<void> {
		await this.clock.advanceInSteps(duration, 5);
	}

	/** Number of reads that the member has received. */
	get readCount(): number {
		return this.member.receivedKinds.filter(kind => kind === 'read').length;
	}
}

// Four gateways would send a member more than it can queue, and it would refuse the excess whatever its priority.
test('statements outside transactions wait at the gateway while as many as the limit allows are in flight', async () => {
	const fixture = new GatewayFixture();
	fixture.member.holdsReplies = true;
	const reads = Array.from({length: 6}, async () => fixture.read());
	await fixture.advance(100);
	assert.equal(fixture.readCount, initialLimit);
	fixture.member.releaseReplies();
	await fixture.advance(50);
	assert.deepEqual(await Promise.all(reads), Array.from({length: 6}, () => 'done'));
});

// A transaction holds locks for which other requests wait; holding back its statements would delay them as well.
test('statements of open transactions are sent at once while the limit is reached, and count', async () => {
	const fixture = new GatewayFixture();
	const begun = await fixture.begin(4);
	fixture.member.holdsReplies = true;
	const pending = begun.map(async connection => connection.execute(read, 800));
	const waiting = fixture.read(0);
	await fixture.advance(100);
	assert.equal(fixture.readCount, 4, 'only the statements of the transactions were sent');
	fixture.member.releaseReplies();
	await fixture.advance(50);
	await Promise.all(pending);
	assert.equal(await waiting, 'done', 'transactions without a statement in flight hold nothing back');
});

// The search for the primary must not wait for the callers' statements, which may wait for the primary.
test('statements of the proxy itself are neither counted nor held back', async () => {
	const fixture = new GatewayFixture();
	fixture.member.holdsReplies = true;
	const reads = Array.from({length: initialLimit + 1}, async () => fixture.read());
	await fixture.advance(100);
	const checks = Array.from({length: 3}, async () => {
		const connection = await fixture.pool.acquire(400, 0);
		await connection.execute({kind: 'begin', isReadOnly: false}, 400);
		return connection;
	});
	await fixture.advance(100);
	assert.equal(fixture.member.receivedKinds.filter(kind => kind === 'begin').length, 3);
	fixture.member.releaseReplies();
	await fixture.advance(50);
	assert.deepEqual(await Promise.all(reads), ['done', 'done', 'done']);
	await Promise.all(checks);
});

// Statements without an answer would use up the limit, and a member that answers again would get no statement.
test('a member that has answered nothing gets statements again once their connections are closed', async () => {
	const fixture = new GatewayFixture();
	fixture.member.holdsReplies = true;
	const lost = Array.from({length: initialLimit}, async () => fixture.read());
	await fixture.advance(900);
	for (const outcome of await Promise.all(lost)) {
		assert.equal(toBuckthornhitchError(outcome).codeName, 'linkOutcomeUnknown');
	}

	await fixture.advance(6100);
	const next = fixture.read();
	await fixture.advance(50);
	assert.equal(fixture.readCount, initialLimit + 1);
	fixture.member.releaseReplies();
	await fixture.advance(50);
	assert.equal(await next, 'done');
});

// A holder that sends nothing would keep the others from the member.
test('a connection that was handed out and is not used holds back nobody for long', async () => {
	const fixture = new GatewayFixture();
	const held = Array.from({length: initialLimit}, async () => fixture.acquire());
	await fixture.advance(30);
	await Promise.all(held);
	const next = fixture.read();
	await fixture.advance(30);
	assert.equal(await next, 'done');
});

// A queue full of the lowest priority must not refuse the highest; what it refuses has not run and is told how long the queue is.
test('a full queue refuses the last request in its order with the expected wait', async () => {
	const fixture = new GatewayFixture();
	fixture.member.holdsReplies = true;
	const busy = Array.from({length: initialLimit}, async () => fixture.read(2, 8000));
	await fixture.advance(10);
	const ended: unknown[] = [];
	const low = Array.from({length: connectionLimit * 24}, async () => {
		ended.push(await fixture.read(2, 8000));
	});
	await fixture.advance(10);
	assert.equal(ended.length, 0);
	const high = fixture.read(0, 8000);
	await fixture.advance(10);
	assert.equal(ended.length, 1);
	const [refused] = ended;
	assert.ok(refused instanceof QueueRefusalError && refused.codeName === 'queueFull' && refused.expectedWait > 0, String(refused));
	fixture.member.releaseReplies();
	await fixture.advance(3000);
	assert.equal(await high, 'done');
	await Promise.all([...busy, ...low]);
});

// A caller that is refused at its deadline has lost the time in which it could have gone elsewhere.
test('requests that cannot be answered in time are refused as not run long before their deadline', async () => {
	const fixture = new GatewayFixture();
	fixture.member.holdsReplies = true;
	const busy = [fixture.read(1, 5000), fixture.read(1, 5000)];
	await fixture.advance(400);
	const startedAt = fixture.clock.now();
	const refused: Milliseconds[] = [];
	const waiting = Array.from({length: 20}, async () => {
		const outcome = await fixture.read(1, 800);
		assert.equal(toBuckthornhitchError(outcome).codeName, 'deadlinePassed');
		refused.push(fixture.clock.now() - startedAt);
	});
	await fixture.advance(850);
	await Promise.all(waiting);
	assert.ok(refused.filter(elapsed => elapsed < 400).length >= 15, `refused after ${refused.join(', ')} ms`);
	assert.equal(fixture.readCount, initialLimit);
	fixture.member.releaseReplies();
	await fixture.advance(10);
	assert.deepEqual(await Promise.all(busy), ['done', 'done']);
});

// Connections are opened for customers one after the other; one must not be closed for another while an idle one can serve the next request.
test('an idle connection of the next customer is used instead of replacing the released one', async () => {
	const fixture = new GatewayFixture();
	for (const customer of ['first', 'second', 'third']) {
		const warm = fixture.read(1, 800, customer);
		await fixture.advance(20);
		assert.equal(await warm, 'done');
	}

	fixture.member.holdsReplies = true;
	const reads = ['first', 'second', 'third'].map(async customer => fixture.read(1, 800, customer));
	await fixture.advance(20);
	assert.equal(fixture.readCount, 3 + initialLimit);
	fixture.member.releaseReplies();
	await fixture.advance(20);
	assert.deepEqual(await Promise.all(reads), ['done', 'done', 'done']);
	assert.equal(fixture.member.connections.length, 3);
	assert.ok(fixture.member.connections.every(({isClosed}) => !isClosed));
});

// Requests that other instances sent would wait until their deadline at an instance that opens no connections for them any more.
test('the waiting requests of other instances are refused when the instance loses its gateway role', async () => {
	const fixture = new GatewayFixture();
	fixture.member.holdsReplies = true;
	const busy = Array.from({length: initialLimit}, async () => fixture.read());
	await fixture.advance(20);
	const relayed = fixture.pool.acquireForRelay(800, {priority: 1, isForTransaction: false}, new CallerSessionState(), undefined);
	const refused = assert.rejects(relayed, {codeName: 'notGateway'});
	await fixture.advance(20);
	fixture.placement.hasRole = false;
	fixture.member.releaseReplies();
	await fixture.advance(20);
	await refused;
	assert.deepEqual(await Promise.all(busy), ['done', 'done'], 'statements in flight keep their outcome');
	await assert.rejects(fixture.pool.acquireForRelay(800, {priority: 1, isForTransaction: false}, new CallerSessionState(), undefined), {codeName: 'notGateway'});
});

// A request that the queue has refused would wait in it again until its deadline, and cost a round trip between regions each time.
test('a request that a queue refused is not sent to the same member again, and its caller is told the expected wait', async context => {
	const expectedWait = 400;
	const attempts = context.mock.method(MemberPool.prototype, 'acquireForCaller', async () => {
		throw new QueueRefusalError('deadlinePassed', 'refused', expectedWait);
	});
	const fixture = new SessionFixture();
	const session = await fixture.open();
	for (const [statement, memberCount] of [[{kind: 'write', id: 'w', text: 'WRITE 1 x'}, 1], [{kind: 'read', id: 'r', text: 'READ 1'}, fixture.members.length]] as const) {
		attempts.mock.resetCalls();
		const reply = await fixture.run(session, statement);
		assert.equal(attempts.mock.callCount(), memberCount, statement.kind);
		assertRetryAfter(reply, expectedWait);
	}

	attempts.mock.resetCalls();
	await fixture.run(session, {kind: 'begin', id: 'b', isReadOnly: false});
	assertRetryAfter(await fixture.run(session, {kind: 'write', id: 'w', text: 'WRITE 1 x'}), expectedWait);
	assert.equal(attempts.mock.callCount(), 1, 'a transaction');
});

function assertRetryAfter(reply: StatementReply, expected: Milliseconds): void {
	const time = Number(/come back in (\d+) ms/v.exec(reply.outcome === 'refused' ? reply.detail : '')?.[1]);
	assert.ok(time >= expected * 0.75 && time <= expected * 1.25, JSON.stringify(reply));
}
