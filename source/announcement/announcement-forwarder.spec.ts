import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {FakePoolLinkClient, testConfigurationView} from '../entry/entry-fixture.js';
import {type Address} from '../links/address.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {AnnouncementForwarder} from './announcement-forwarder.js';
import {AnnouncementServer} from './announcement-server.js';

const pools = ['first:1', 'second:1', 'third:1', 'fourth:1'];
const controls = ['control-a:1', 'control-b:1'];
const body = {address: '10.0.0.1:5432', dataCentre: 'here', leaving: false};

function createForwarder(links: FakePoolLinkClient): AnnouncementForwarder {
	return new AnnouncementForwarder({
		linkClient: links, configuration: testConfigurationView(), controls, pools: () => pools, onRegistered: () => undefined,
	});
}

function sentRequests(links: FakePoolLinkClient): ReadonlyArray<readonly [string, Address]> {
	return links.receivedRequests.map(({name, address}) => [name, address] as const);
}

test('an announcement is sent to the first three pools and accepted although two of them are unreachable', async () => {
	const links = new FakePoolLinkClient();
	links.onOtherRequest = async (name, sent, address) => {
		if (address !== 'third:1') {
			throw new BuckthornhitchError('linkNotSent', '');
		}
	};

	await createForwarder(links).forward({...body, database: 'notices', member: 'one'});
	assert.deepEqual(sentRequests(links), pools.slice(0, 3).map(address => ['announce', address]));
});

// Pools must not use a member that the control instances have not accepted: a database group has a fixed number of members.
test('an unknown member is registered with the leader before it is announced to pools, and is not announced when the registration is refused', async () => {
	const links = new FakePoolLinkClient();
	links.onOtherRequest = async (name, sent, address) => {
		if (address === 'control-a:1') {
			throw new BuckthornhitchError('notLeader', '');
		}
	};

	await createForwarder(links).forward({...body, database: 'notices', member: 'new'});
	assert.deepEqual(sentRequests(links).slice(0, 3), [['registerMember', 'control-a:1'], ['registerMember', 'control-b:1'], ['announce', 'first:1']]);
	links.onOtherRequest = async () => {
		throw new BuckthornhitchError('memberSetFull', '');
	};

	const before = links.receivedRequests.length;
	await assert.rejects(createForwarder(links).forward({...body, database: 'notices', member: 'new'}), {codeName: 'memberSetFull'});
	assert.equal(links.receivedRequests.length, before + 1);
});

async function startServer(context: TestContext, links: FakePoolLinkClient): Promise<string> {
	const server = new AnnouncementServer({
		async onAnnouncement(announcement) {
			return createForwarder(links).forward(announcement);
		},
		isHealthy: () => true,
	});
	const address = await server.listen('127.0.0.1:0');
	context.after(async () => server.close());
	return `http://${address}`;
}

test('a malformed announcement is answered with a result code and reaches no pool', async context => {
	const links = new FakePoolLinkClient();
	const server = await startServer(context, links);
	const put = async (path: string, text: string): Promise<readonly [number, unknown]> => {
		const response = await fetch(server + path, {method: 'PUT', body: text});
		const answer = await response.json() as {readonly code: number};
		return [response.status, answer.code];
	};

	const valid = JSON.stringify(body);
	const path = '/backend-servers/notices/one';
	assert.deepEqual(await put(path, '{'), [400, 1004]);
	assert.deepEqual(await put(path, JSON.stringify({...body, leaving: 'no'})), [400, 1004]);
	assert.deepEqual(await put(path, JSON.stringify({...body, other: 1})), [400, 1004]);
	assert.deepEqual(await put(path, JSON.stringify({...body, address: 'nowhere'})), [400, 1004]);
	assert.deepEqual(await put(path, valid.padEnd(20_000)), [413, 1002]);
	assert.deepEqual(await put('/backend-servers/%ff/one', valid), [400, 1004]);
	assert.deepEqual(await put('/backend-servers/other/one', valid), [404, 1005]);
	assert.deepEqual(await put('/other', valid), [404, 6003]);
	assert.equal(links.receivedRequests.length, 0);
	assert.deepEqual(await put(path, valid), [200, 0]);
	assert.deepEqual(links.receivedRequests[0].body, {...body, database: 'notices', member: 'one'});
	const health = await fetch(`${server}/health`);
	assert.equal(health.status, 200);
});
