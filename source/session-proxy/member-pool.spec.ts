import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../clock/manual-clock.js';
import {silentLogger} from '../observability/logger.js';
import {SharedPlacement} from './connection-placement.js';
import {FakeMemberConnector, FakeMemberServer} from './member-server-fake.js';
import {MemberPool} from './member-pool.js';
import {testAnnouncement} from './session-fixture.js';

// Otherwise another request would be sent on a connection that may never answer.
test('idle connections to a member that does not answer are closed', async () => {
	const clock = new ManualClock();
	const member = new FakeMemberServer({...testAnnouncement('a'), isGone: false});
	const pool = new MemberPool(member.server, {
		connector: new FakeMemberConnector([member]), clock, logger: silentLogger, maximumConnections: () => 4,
	});
	pool.release(await pool.acquire(1000, 1));
	clock.advance(100);
	pool.reportFailure(clock.now());
	assert.equal(member.connections[0].isClosed, true);
	const next = await pool.acquire(1000, 1);
	assert.notEqual(next.memberConnection, member.connections[0]);
});

// "no connection within -1 ms" was logged for requests whose time had run out before they asked for a connection.
test('a request for a connection without time left is refused without a negative number in its message', async () => {
	const clock = new ManualClock();
	const member = new FakeMemberServer({...testAnnouncement('a'), isGone: false});
	const pool = new MemberPool(member.server, {
		connector: new FakeMemberConnector([member]), clock, logger: silentLogger, maximumConnections: () => 1,
	});
	await pool.acquire(1000, 1);
	const refused = assert.rejects(pool.acquire(-1, 1), {codeName: 'deadlinePassed', message: /no connection to a before the deadline, which had passed/v});
	await clock.advanceInSteps(5, 5);
	await refused;
});

test('a member that has answered since an unanswered statement was sent is not marked as failing', async () => {
	const clock = new ManualClock();
	const member = new FakeMemberServer({...testAnnouncement('a'), isGone: false});
	const pool = new MemberPool(member.server, {
		connector: new FakeMemberConnector([member]), clock, logger: silentLogger, maximumConnections: () => 4,
	});
	const sentAt = clock.now();
	clock.advance(100);
	const connection = await pool.acquire(1000, 1);
	await connection.execute({kind: 'read', id: 'r', text: 'READ 1'}, 100);
	pool.release(connection);
	pool.reportFailure(sentAt);
	assert.equal(pool.isFailing, false);
	assert.equal(member.connections[0].isClosed, false);
});

class YieldingPlacement extends SharedPlacement {
	override get isYielding(): boolean {
		return true;
	}
}

// The leader of the control log could not send a command to a member whose only connection served callers without a pause.
test('the only connection of a member is given up for a moment, between two statements', async () => {
	const clock = new ManualClock();
	const member = new FakeMemberServer({...testAnnouncement('a'), isGone: false});
	const pool = new MemberPool(member.server, {
		connector: new FakeMemberConnector([member]), clock, logger: silentLogger, maximumConnections: () => 1, placement: new YieldingPlacement(() => 1),
	});
	let freeTime = 0;
	let served = 0;
	const step = 10;
	const serve = async (): Promise<void> => {
		for (;;) {
			const connection = await pool.acquire(2000, 1);
			await clock.sleep(step);
			assert.equal(connection.memberConnection.isClosed, false, 'no connection in use is closed');
			pool.release(connection);
			served++;
		}
	};

	void serve().catch(() => undefined);
	for (let passed = 0; passed < 10_000; passed += step) {
		await clock.advanceInSteps(step, step);
		freeTime += member.connections.every(({isClosed}) => isClosed) ? step : 0;
	}

	assert.ok(freeTime >= 1000, `the member had a connection free for ${freeTime} ms`);
	assert.ok(served >= 700, `${served} statements were served`);
	pool.close();
});

test('an idle only connection of a member is given up as well', async () => {
	const clock = new ManualClock();
	const member = new FakeMemberServer({...testAnnouncement('a'), isGone: false});
	const pool = new MemberPool(member.server, {
		connector: new FakeMemberConnector([member]), clock, logger: silentLogger, maximumConnections: () => 1, placement: new YieldingPlacement(() => 1),
	});
	pool.release(await pool.acquire(1000, 1));
	await clock.advanceInSteps(2000, 10);
	assert.equal(member.connections[0].isClosed, true);
	pool.close();
});
