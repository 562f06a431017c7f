import assert from 'node:assert/strict';
import {test} from 'node:test';
import {CallerSessionState} from '../session-proxy/caller-session-state.js';
import {SessionFixture} from '../session-proxy/session-fixture.js';
import {type MemberStatement} from '../statement/types.js';
import {type RelayStatementResponse} from './messages.js';
import {PlacementFixture, type PlacedEntry} from './placement-fixture.js';

const write: MemberStatement = {kind: 'write', id: 'w', text: 'WRITE 1 x'};

/** Number of connections that each of the gateways has to the member. */
const connectionsOfGateway = 10;

/** Takes all connections of a gateway and returns them after the duration in milliseconds. */
async function occupy(fixture: PlacementFixture, {pool}: PlacedEntry, duration: number): Promise<void> {
	const held = await Promise.all(Array.from({length: connectionsOfGateway}, async () => fixture.settle(pool.acquire(2000, 1, new CallerSessionState(), undefined))));
	fixture.clock.schedule(duration, () => {
		for (const connection of held) {
			pool.release(connection);
		}
	});
}

// The queue is at the gateway, so that without its part of the wait a late request would be blamed on the member.
test('a relayed connection states its gateway and the time for which its statements waited there', async () => {
	const fixture = new PlacementFixture();
	const requester = fixture.order.at(-1)!;
	const gateway = fixture.entries.find(({record}) => record.address === fixture.firstGatewayOf(requester))!;
	const session = new CallerSessionState();
	await occupy(fixture, gateway, 300);
	const {memberConnection} = await fixture.settle(requester.pool.acquire(2000, 1, session, undefined));
	await fixture.settle(memberConnection.execute(write, 1000));
	assert.equal(memberConnection.gateway, gateway.record.name);
	assert.ok(memberConnection.gatewayWait >= 250, `${memberConnection.gatewayWait} ms`);
	const waitBefore = memberConnection.gatewayWait;
	await fixture.settle(memberConnection.execute(write, 1000));
	assert.equal(memberConnection.gatewayWait, waitBefore, 'a statement that did not wait adds nothing');
	const direct = await fixture.settle(gateway.pool.acquire(2000, 1, session, undefined));
	assert.equal(direct.memberConnection.gateway, undefined);
});

test('the line that explains a late request names the gateway and the wait there', async () => {
	const fixture = new PlacementFixture();
	const requester = fixture.order.at(-1)!;
	const sessions = new SessionFixture('readYourWrites', requester.connector, fixture.clock);
	const session = await sessions.open();
	await sessions.run(session, {kind: 'write', id: 'first', text: 'WRITE 1 x'});
	const gateway = fixture.entries.find(({record}) => record.address === fixture.links.requests.at(-1)!.address)!;
	await occupy(fixture, gateway, 500);
	await sessions.run(session, {kind: 'write', id: 'late', text: 'WRITE 1 x'});
	const [line] = sessions.log.explained;
	assert.deepEqual([line.request, line.explained, line.attempts.length], ['late', 'late', 1]);
	assert.equal(line.attempts[0].gateway, gateway.record.name);
	assert.ok(line.attempts[0].gatewayWait! >= 450 && line.attempts[0].memberTime! < 50, JSON.stringify(line));
	assert.match(line.cause, /the request waited at gateway [\-\da-z]+ for a connection to [a-c]$/v);
});

// A deployment without gateways near the member is served with the same messages as before.
test('a gateway states no wait for a statement without a priority', async () => {
	const fixture = new PlacementFixture();
	const requester = fixture.order.at(-1)!;
	const address = fixture.firstGatewayOf(requester);
	await fixture.settle(fixture.links.request(address, 'openRelay', {relay: 1, service: 'ledger', member: 'a'}, 100));
	const gateway = fixture.entries.find(({record}) => record.address === address)!;
	await occupy(fixture, gateway, 300);
	const response = await fixture.settle(fixture.links.request(address, 'relayStatement', {
		relay: 1, sequence: 0, statement: write, timeout: 1000,
	}, 1000)) as RelayStatementResponse;
	assert.deepEqual(Object.keys(response), ['kind', 'reply']);
});

// The gateway refused such a write only when its time limit had passed, after the requesting entry had given it up as in doubt, so that the caller could not repeat it.
test('a write that finds no connection at its gateway is refused as not run within its time limit', async () => {
	const fixture = new PlacementFixture();
	const requester = fixture.order.at(-1)!;
	const sessions = new SessionFixture('readYourWrites', requester.connector, fixture.clock);
	const session = await sessions.open();
	await sessions.run(session, {kind: 'write', id: 'first', text: 'WRITE 1 x'});
	const gateway = fixture.entries.find(({record}) => record.address === fixture.links.requests.at(-1)!.address)!;
	await occupy(fixture, gateway, 5000);
	const reply = await sessions.run(session, {kind: 'write', id: 'refused', text: 'WRITE 1 x'});
	assert.deepEqual([reply.outcome, reply.outcome === 'refused' && reply.reason], ['refused', 'busy']);
});
