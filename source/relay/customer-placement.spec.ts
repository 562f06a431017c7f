import assert from 'node:assert/strict';
import {test} from 'node:test';
import {CallerSessionState} from '../session-proxy/caller-session-state.js';
import {type MemberPool} from '../session-proxy/member-pool.js';
import {type ConnectionStatement, type StatementReply} from '../statement/types.js';
import {orderGateways} from './connection-allocation.js';
import {type OpenRelayRequest, type RelayStatementRequest} from './messages.js';
import {PlacementFixture, type PlacedEntry} from './placement-fixture.js';

const write: ConnectionStatement = {kind: 'write', id: 'w', text: 'WRITE 1 x'};
const begin: ConnectionStatement = {kind: 'begin', isReadOnly: false};

/** Entries where each customer has its own order of the 4 gateways. */
class CustomerFixture extends PlacementFixture {
	constructor() {
		super({connectionLimit: 46, hasCustomers: true});
	}

	/** Gateways of a customer in its order. */
	gatewaysOf(customer: string): readonly PlacedEntry[] {
		return orderGateways('a', this.order.slice(0, 4).map(({record}) => record), '', customer).map(({name}) => this.entry(name));
	}

	/** Names of the customers of the open connections to the member. */
	get customers(): ReadonlyArray<string | undefined> {
		return this.member.connections.filter(({isClosed}) => !isClosed).map(({customer}) => customer);
	}

	/** Addresses to which requests of a kind were sent since the index. */
	addressesOf(name: string, since = 0): readonly string[] {
		return [...new Set(this.links.requests.slice(since).filter(request => request.name === name).map(({address}) => address))];
	}

	async write(pool: MemberPool, customer: string): Promise<StatementReply> {
		const connection = await this.settle(pool.acquire(2000, 1, new CallerSessionState(), customer));
		const reply = await this.settle(connection.execute(write, 500));
		pool.release(connection);
		return reply;
	}
}

// Spread over all gateways, 87 customers would need four times as many connections, or a new one for most requests.
test('the requests of a customer at all entries use the connections of one gateway', async () => {
	const fixture = new CustomerFixture();
	const [first] = fixture.gatewaysOf('shop');
	for (const {pool} of fixture.entries) {
		const reply = await fixture.write(pool, 'shop');
		assert.equal(reply.outcome, 'done');
	}

	assert.deepEqual(fixture.addressesOf('openRelay'), [first.record.address]);
	assert.deepEqual(fixture.customers, ['shop']);
});

test('customers have different first gateways, and their names reach the member', async () => {
	const fixture = new CustomerFixture();
	const customers = Array.from({length: 16}, (_, index) => `customer-${index}`);
	const requester = fixture.order.at(-1)!;
	for (const customer of customers) {
		await fixture.write(requester.pool, customer);
	}

	assert.equal(fixture.addressesOf('openRelay').length, 4);
	assert.deepEqual(new Set(fixture.customers), new Set(customers));
});

test('the second gateway of a customer takes over with connections of its own, and the first one is used again later', async () => {
	const fixture = new CustomerFixture();
	const [first, second] = fixture.gatewaysOf('shop');
	const requester = fixture.order.at(-1)!;
	await fixture.write(requester.pool, 'shop');
	// The second gateway relays the statements of its own callers to the first one, and must not do so for those of others.
	await fixture.write(second.pool, 'shop');
	fixture.links.unreachableAddresses.add(first.record.address);
	const since = fixture.links.requests.length;
	await assert.rejects(fixture.write(requester.pool, 'shop'), {codeName: 'linkNotSent'});
	const reply = await fixture.write(requester.pool, 'shop');
	assert.equal(reply.outcome, 'done');
	assert.deepEqual(fixture.addressesOf('relayStatement', since), [first.record.address, second.record.address]);
	assert.equal(fixture.member.connections.length, 2);
	fixture.links.unreachableAddresses.clear();
	await fixture.clock.advanceInSteps(1600, 5);
	const recoveredAt = fixture.links.requests.length;
	await fixture.write(requester.pool, 'shop');
	assert.deepEqual(fixture.addressesOf('relayStatement', recoveredAt), [first.record.address]);
});

test('a gateway serves its own callers itself while the first gateway of their customer does not answer', async () => {
	const fixture = new CustomerFixture();
	const [first, second] = fixture.gatewaysOf('shop');
	fixture.links.unreachableAddresses.add(first.record.address);
	assert.equal(await fixture.attempt(second.pool, write, 'shop'), 'linkNotSent');
	const reply = await fixture.write(second.pool, 'shop');
	assert.equal(reply.outcome, 'done');
	const last = await fixture.settle(second.pool.acquire(500, 1, new CallerSessionState(), 'shop'));
	assert.equal(last.memberConnection.isRelayed, false);
});

test('a member connection of another customer at the gateway is not used for a relayed statement', async () => {
	const fixture = new CustomerFixture();
	const requester = fixture.order.at(-1)!;
	const customers = Array.from({length: 8}, (_, index) => `customer-${index}`);
	for (const customer of [...customers, ...customers]) {
		await fixture.write(requester.pool, customer);
	}

	assert.equal(fixture.member.connections.length, 8, 'each customer keeps its connection');
	await fixture.clock.advanceInSteps(15_000, 100);
	await fixture.write(requester.pool, customers[0]);
	assert.equal(fixture.member.connections.length, 8, 'idle connections of customers are kept');
	await fixture.clock.advanceInSteps(22_000, 100);
	assert.ok(fixture.customers.length <= 4, 'each gateway keeps at most its last connection');
});

test('relayed statements carry the customer and the priority, and wait at the gateway in their order', async () => {
	const fixture = new CustomerFixture();
	const [first] = fixture.gatewaysOf('shop');
	const requester = fixture.order.at(-1)!;
	const held = await Promise.all(Array.from({length: 10}, async () => fixture.settle(first.pool.acquire(9000, 1, new CallerSessionState(), 'shop'))));
	assert.equal(fixture.member.connections.length, 10, 'all connections of the gateway are in use');
	const low = await fixture.settle(requester.pool.acquire(2000, 2, new CallerSessionState(), 'shop'));
	const high = await fixture.settle(requester.pool.acquire(2000, 0, new CallerSessionState(), 'shop'));
	const served: string[] = [];
	const note = (name: string) => () => {
		served.push(name);
	};

	const replies = [low.execute({...write, id: 'low'}, 2000).then(note('low')), high.execute({...write, id: 'high'}, 2000).then(note('high'))];
	await fixture.clock.advanceInSteps(20, 5);
	first.pool.release(held[0]);
	await fixture.settle(Promise.all(replies));
	assert.deepEqual(served, ['high', 'low']);
	const opened = fixture.links.requests.find(({name}) => name === 'openRelay')!.body as OpenRelayRequest;
	assert.equal(opened.customer, 'shop');
	const sent = fixture.links.requests.filter(({name}) => name === 'relayStatement').map(({body}) => (body as RelayStatementRequest).priority);
	assert.deepEqual(sent, [2, 0]);
});

test('a gateway that is no longer one closes its connections when they are released', async () => {
	const fixture = new CustomerFixture();
	const [first] = fixture.gatewaysOf('shop');
	const used = await fixture.settle(first.pool.acquire(500, 1, new CallerSessionState(), 'shop'));
	const idle = await fixture.settle(first.pool.acquire(500, 1, new CallerSessionState(), 'shop'));
	await fixture.settle(used.execute(begin, 500));
	first.pool.release(idle);
	fixture.knowsAllEntries = false;
	await fixture.clock.advanceInSteps(1100, 5);
	assert.equal(idle.memberConnection.isClosed, true);
	assert.equal(used.memberConnection.isClosed, false, 'an open transaction may end');
	await fixture.settle(used.execute({kind: 'commit', id: 'c'}, 500));
	first.pool.release(used);
	assert.equal(used.memberConnection.isClosed, true);
});
