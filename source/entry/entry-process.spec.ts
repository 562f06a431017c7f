import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {Client} from 'pg';
import {Registry} from 'prom-client';
import {SystemClock} from '../clock/system-clock.js';
import {StaticInstanceDirectory} from '../membership/instance-directory.js';
import {silentLogger} from '../observability/logger.js';
import {SystemRandom} from '../random/random.js';
import {HybridClock} from '../timeline/hybrid-clock.js';
import {Timeline} from '../timeline/timeline.js';
import {FakePoolLinks, testConfiguration, testRecord} from './entry-fixture.js';
import {EntryProcess, type EntryProcessOptions} from './entry-process.js';

type Running = {
	readonly entry: EntryProcess;
	readonly links: FakePoolLinks;
	readonly connect: (options?: Readonly<Record<string, unknown>>) => Promise<Client>;
};

async function startEntry(context: TestContext, change: Partial<EntryProcessOptions> = {}): Promise<Running> {
	const clock = new SystemClock();
	const links = new FakePoolLinks();
	const entry = new EntryProcess({
		services: {
			clock, random: new SystemRandom(), registry: new Registry(), timeline: new Timeline('entry', new HybridClock(clock)), linkClient: links, logger: () => silentLogger,
		},
		directory: new StaticInstanceDirectory([testRecord('entry', 'entry'), testRecord('first'), testRecord('second')], 'entry'),
		configuration: testConfiguration(),
		settings: {
			name: 'entry', callerAddress: '127.0.0.1:0', announcementAddress: '127.0.0.1:0', controls: ['control:1'], passwordFile: undefined,
		},
		...change,
	});
	await entry.start();
	const clients: Client[] = [];
	context.after(async () => {
		await Promise.all(clients.map(async client => client.end().catch(() => undefined)));
		await entry.stop();
	});
	const connect = async (options: Readonly<Record<string, unknown>> = {}): Promise<Client> => {
		const [host, port] = entry.callerAddress.split(':');
		const client = new Client({
			host, port: Number(port), user: 'caller', database: 'notices', ...options,
		});
		client.on('error', () => undefined);
		await client.connect();
		clients.push(client);
		return client;
	};

	return {entry, links, connect};
}

test('simple and parameterised queries of an unmodified client are lost or answered out of order', async context => {
	const {connect, links} = await startEntry(context);
	const client = await connect();
	const simple = await client.query('SELECT 1');
	assert.deepEqual(simple.rows, [{text: 'SELECT 1'}]);
	const answers = await Promise.all(['SELECT $1', 'INSERT $1', 'SELECT $1, 2'].map(async text => client.query(text, ['value'])));
	assert.deepEqual(answers.map(({rows}) => rows[0] as unknown), [{text: 'SELECT $1'}, {text: 'INSERT $1'}, {text: 'SELECT $1, 2'}]);
	assert.deepEqual(links.executed.map(({access}) => access), ['read', 'read', 'write', 'read']);
});

test('statements of a transaction are sent without its id or to another pool', async context => {
	const {connect, links} = await startEntry(context);
	const client = await connect();
	for (const text of ['BEGIN', 'SELECT 1', 'COMMIT', 'SELECT 2']) {
		await client.query(text);
	}

	const ids = links.executed.map(({transactionId}) => transactionId);
	assert.ok(ids[0]);
	assert.deepEqual(ids, [ids[0], ids[0], ids[0], null]);
	assert.equal(new Set(links.received.map(({address}) => address)).size, 1);
});
