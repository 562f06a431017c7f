import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../clock/manual-clock.js';
import {silentLogger} from '../observability/logger.js';
import {CallerSessionState} from './caller-session-state.js';
import {ConnectionPlacement} from './connection-placement.js';
import {MemberPool} from './member-pool.js';
import {FakeMemberConnector, FakeMemberServer} from './member-server-fake.js';
import {type PooledConnection} from './pooled-connection.js';
import {testAnnouncement} from './session-fixture.js';

const connectionLimit = 10;
const idleTransactionLimit = 3000;

/** Placement of a gateway near the member. */
class GatewayPlacement extends ConnectionPlacement {
	override readonly isByCustomer = false;
	override readonly isExact = true;

	override pathFor(): undefined {
		return undefined;
	}

	override maximumConnections(): number {
		return connectionLimit;
	}

	override isAllowed(): boolean {
		return true;
	}

	override keptConnections(): number {
		return connectionLimit;
	}

	override idleTimeout(): number {
		return 20_000;
	}
}

class GatewayFixture {
	readonly clock = new ManualClock();
	readonly pool: MemberPool;

	constructor() {
		const member = new FakeMemberServer({...testAnnouncement('a', {role: 'primary'}), isGone: false});
		this.pool = new MemberPool(member.server, {
			connector: new FakeMemberConnector([member]), clock: this.clock, logger: silentLogger, maximumConnections: () => connectionLimit, placement: new GatewayPlacement(),
		});
	}

	/** Begins transactions whose callers rest until the idle limit. Returns the connections of those that have begun, as they begin. */
	beginIdleTransactions(count: number): readonly PooledConnection[] {
		const begun: PooledConnection[] = [];
		for (let index = 0; index < count; index++) {
			void this.pool.acquireForCaller(idleTransactionLimit * 3, {priority: 1, isForTransaction: true}, new CallerSessionState(), undefined).then(connection => {
				begun.push(connection);
			});
		}

		return begun;
	}
}

// Callers that rested inside transactions held all connections to a primary, and statements waited until the idle limit of 3 s.
test('statements outside transactions get a connection while more callers rest in transactions than there are connections', async () => {
	const {clock, pool, ...fixture} = bound(new GatewayFixture());
	const begun = fixture.beginIdleTransactions(28);
	await clock.advanceInSteps(2500, 5);
	assert.equal(begun.length, connectionLimit - 1);
	for (let statement = 0; statement < 20; statement++) {
		const acquired = pool.acquire(400, 1, new CallerSessionState());
		await clock.advanceInSteps(10, 5);
		pool.release(await acquired);
	}
});

// A place that is not given back would leave fewer and fewer connections for transactions.
test('a waiting transaction begins when another one ends, is rolled back or loses its connection', async () => {
	const {clock, pool, ...fixture} = bound(new GatewayFixture());
	const begun = fixture.beginIdleTransactions(connectionLimit + 2);
	await clock.advanceInSteps(2500, 5);
	assert.equal(begun.length, connectionLimit - 1);
	pool.release(begun[0]);
	pool.releaseAfterRollback(begun[1]);
	pool.discard(begun[2]);
	await clock.advanceInSteps(1000, 5);
	assert.equal(begun.length, connectionLimit + 2);
});

function bound(fixture: GatewayFixture) {
	const {clock, pool} = fixture;
	return {clock, pool, beginIdleTransactions: (count: number) => fixture.beginIdleTransactions(count)};
}
