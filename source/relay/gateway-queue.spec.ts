import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type Milliseconds} from '../clock/clock.js';
import {CallerSessionState} from '../session-proxy/caller-session-state.js';
import {type PooledConnection} from '../session-proxy/pooled-connection.js';
import {type MemberStatement, type StatementReply} from '../statement/types.js';
import {type RelayStatementRequest} from './messages.js';
import {PlacementFixture, type PlacedEntry} from './placement-fixture.js';

const read: MemberStatement = {kind: 'read', id: 'r', text: 'READ 1'};

/** Entries of deployment B, the last of which sends its statements through a gateway near the member. */
class RelayFixture extends PlacementFixture {
	readonly requester = this.order.at(-1)!;

	/** Gateway that the requester tries first. */
	get gateway(): PlacedEntry {
		return this.entries.find(({record}) => record.address === this.firstGatewayOf(this.requester))!;
	}

	/** Requests that were sent to execute a statement of the kind. */
	sent(kind: MemberStatement['kind']): readonly RelayStatementRequest[] {
		return this.links.requests.filter(({name}) => name === 'relayStatement').map(({body}) => body as RelayStatementRequest).filter(({statement}) => statement.kind === kind);
	}

	/** Acquires a relayed connection for a caller whose target is so far away. */
	async acquire(target: Milliseconds, isForTransaction = false): Promise<PooledConnection> {
		return this.settle(this.requester.pool.acquireForCaller(2000, {priority: 1, isForTransaction, targetAt: this.clock.now() + target}, new CallerSessionState(), undefined));
	}
}

// A gateway that does not know how much of the target is left would prefer requests that have come a short way to those that are nearly late.
test('a relayed statement states what is left of its latency target, also when it is late', async () => {
	const fixture = new RelayFixture();
	const targetAt = fixture.clock.now() + 400;
	const connection = await fixture.acquire(400);
	const left: Milliseconds[] = [];
	for (const pause of [50, 500]) {
		await fixture.clock.advanceInSteps(pause, 5);
		left.push(targetAt - fixture.clock.now());
		await fixture.settle(connection.execute(read, 500));
	}

	assert.ok(left[0] > 0 && left[1] < 0);
	assert.deepEqual(fixture.sent('read').map(({latencyTarget}) => latencyTarget), left);
});

// The search for the primary has no caller; its statements are answered at once.
test('a statement of the proxy itself states no latency target', async () => {
	const fixture = new RelayFixture();
	const connection = await fixture.settle(fixture.requester.pool.acquire(400, 0));
	await fixture.settle(connection.execute({kind: 'begin', isReadOnly: false}, 400));
	assert.deepEqual(fixture.sent('begin').map(request => 'latencyTarget' in request), [false]);
});

// Deployments with gateways in every data centre must send the same messages as before.
test('no latency target is sent to gateways that are not near the member', async () => {
	const fixture = new RelayFixture({connectionLimit: 112, entriesPerDataCentre: 20});
	for (const {pool} of fixture.entries) {
		await fixture.attempt(pool, read);
	}

	assert.ok(fixture.sent('read').length > 0);
	assert.ok(fixture.sent('read').every(request => !('latencyTarget' in request) && !('priority' in request)));
});

// Requests at the gateway would be served by arrival, and one with a near target would wait behind those with far ones.
test('statements wait at the gateway in the order of their targets, and those without one in that of their timeouts', async () => {
	const fixture = new RelayFixture();
	const connections = await Promise.all([1500, 300, 700].map(async target => fixture.acquire(target)));
	const other = await fixture.settle(fixture.requester.pool.acquire(2000, 1, new CallerSessionState()));
	fixture.member.holdsReplies = true;
	const busy = Array.from({length: 2}, async () => {
		const connection = await fixture.gateway.pool.acquire(2000, 0, new CallerSessionState());
		await connection.execute(read, 2000);
		fixture.gateway.pool.release(connection);
	});
	await fixture.clock.advanceInSteps(20, 5);
	const statements = [...connections, other].map(async (connection, index) => connection.execute({kind: 'read', id: ['1500', '300', '700', '1000'][index], text: 'READ 1'}, 1000));
	await fixture.clock.advanceInSteps(20, 5);
	fixture.member.releaseReplies();
	await fixture.settle(Promise.all([...busy, ...statements]));
	const received = fixture.member.received.map(({statement}) => statement.kind === 'read' ? statement.id : '-').filter(id => /^\d/v.test(id));
	assert.deepEqual(received, ['300', '700', '1500', '1000'].toSorted((first, second) => Math.min(1000, Number(first)) - Math.min(1000, Number(second))));
});

// Without the wait, refused clients would all come back after the same time, long before the queue is gone.
test('a refusal of the gateway states the expected wait, and the statement has not run', async () => {
	const fixture = new RelayFixture();
	const connections = await Promise.all(Array.from({length: 8}, async () => fixture.acquire(400)));
	fixture.member.holdsReplies = true;
	const replies: StatementReply[] = [];
	for (const connection of connections) {
		void connection.execute(read, 800).then(reply => replies.push(reply), () => undefined);
	}

	await fixture.clock.advanceInSteps(750, 5);
	assert.ok(replies.length >= 4, `${replies.length} of 6 waiting statements were refused`);
	for (const reply of replies) {
		assert.ok(reply.outcome === 'refused' && reply.reason === 'busy' && reply.expectedWait !== undefined && reply.expectedWait > 0, JSON.stringify(reply));
	}

	assert.equal(fixture.member.received.length, 2);
});

// A request that waited at a former gateway until its deadline could have run on another one.
test('when a gateway loses its role its waiting statements are refused as not run, and the relay is lost', async () => {
	const fixture = new RelayFixture();
	const connections = await Promise.all(Array.from({length: 3}, async () => fixture.acquire(400)));
	fixture.member.holdsReplies = true;
	const replies = connections.map(async connection => connection.execute(read, 800));
	await fixture.clock.advanceInSteps(20, 5);
	assert.equal(fixture.member.received.length, 2);
	fixture.knowsAllEntries = false;
	fixture.member.releaseReplies();
	const answered = await fixture.settle(Promise.all(replies));
	assert.deepEqual(answered.map(reply => reply.outcome === 'refused' ? reply.reason : reply.outcome), ['done', 'done', 'busy']);
	assert.equal(connections[2].memberConnection.isClosed, true);
	assert.equal(fixture.member.received.length, 2);
});
