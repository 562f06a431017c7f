import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {createConnection} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {test, type TestContext} from 'node:test';
import {Client} from 'pg';
import {createStartupMessage} from 'pg-gateway';
import {Registry} from 'prom-client';
import {ManualClock} from '../clock/manual-clock.js';
import {SystemClock} from '../clock/system-clock.js';
import {parseAddress} from '../links/address.js';
import {StaticProcessDirectory} from '../membership/process-directory.js';
import {silentLogger} from '../observability/logger.js';
import {SystemRandom} from '../random/random.js';
import {initialSettings} from '../session/session-settings.js';
import {HybridClock} from '../timeline/hybrid-clock.js';
import {Timeline} from '../timeline/timeline.js';
import {CallerServer, startupTimeout} from './caller-server.js';
import {
	FakePoolLinkClient, settlePromises, testConfigurationView, entryTestDeployment, testProcessRecord,
} from './entry-fixture.js';
import {EntryProcess, type EntryProcessOptions} from './entry-process.js';

type RunningEntry = {
	readonly entry: EntryProcess;
	readonly links: FakePoolLinkClient;
	readonly connect: (options?: Readonly<Record<string, unknown>>) => Promise<Client>;
};

const testSettings = {
	name: 'entry', callerAddress: '127.0.0.1:0', announcementAddress: '127.0.0.1:0', controls: ['control:1'], passwordFile: undefined,
};

async function startEntry(context: TestContext, change: Partial<EntryProcessOptions> = {}): Promise<RunningEntry> {
	const clock = new SystemClock();
	const links = new FakePoolLinkClient();
	const entry = new EntryProcess({
		services: {
			clock, random: new SystemRandom(), registry: new Registry(), timeline: new Timeline('entry', new HybridClock(clock)), linkClient: links, logger: () => silentLogger,
		},
		directory: new StaticProcessDirectory([testProcessRecord('entry', 'entry'), testProcessRecord('first'), testProcessRecord('second')], 'entry'),
		configuration: testConfigurationView(),
		settings: testSettings,
		...change,
	});
	await entry.start();
	const clients: Client[] = [];
	context.after(async () => {
		await Promise.all(clients.map(async client => client.end().catch(() => undefined)));
		await entry.stop();
	});
	const connect = async (options: Readonly<Record<string, unknown>> = {}): Promise<Client> => {
		const client = new Client({
			...parseAddress(entry.callerAddress), user: 'caller', database: 'notices', ...options,
		});
		client.on('error', () => undefined);
		await client.connect();
		clients.push(client);
		return client;
	};

	return {entry, links, connect};
}

test('an unmodified client gets the responses to simple and parameterised queries in order', async context => {
	const {connect, links} = await startEntry(context);
	const client = await connect();
	const simple = await client.query('SELECT 1');
	assert.deepEqual(simple.rows, [{text: 'SELECT 1'}]);
	const results = await Promise.all(['SELECT $1', 'INSERT $1', 'SELECT $1, 2'].map(async text => client.query(text, ['value'])));
	assert.deepEqual(results.map(({rows}) => rows[0] as unknown), [{text: 'SELECT $1'}, {text: 'INSERT $1'}, {text: 'SELECT $1, 2'}]);
	assert.deepEqual(links.executeRequests.map(({access}) => access), ['read', 'read', 'write', 'read']);
});

// Guards against statements that run outside their transaction, because they lack its id or reach another pool.
test('all statements of a transaction are sent to one pool under one transaction id', async context => {
	const {connect, links} = await startEntry(context);
	const client = await connect();
	for (const text of ['BEGIN', 'SELECT 1', 'COMMIT', 'SELECT 2']) {
		await client.query(text);
	}

	const ids = links.executeRequests.map(({transactionId}) => transactionId);
	assert.ok(ids[0]);
	assert.deepEqual(ids, [ids[0], ids[0], ids[0], null]);
	assert.equal(new Set(links.receivedRequests.map(({address}) => address)).size, 1);
});

test('the session token is reported to the caller, and another session can continue with it', async context => {
	const {connect, links} = await startEntry(context);
	const client = await connect();
	const tokens: string[] = [];
	client.connection.on('parameterStatus', ({parameterName, parameterValue}: Readonly<Record<string, string>>) => {
		tokens.push(`${parameterName}=${parameterValue}`);
	});
	await client.query('INSERT');
	await client.query('INSERT');
	assert.deepEqual(tokens, ['buckthornhitch.token=notices@1.1', 'buckthornhitch.token=notices@1.2']);
	const otherClient = await connect({options: '-c buckthornhitch.token=notices@1.2 -c buckthornhitch.max_age=5s'});
	await otherClient.query('SELECT 1');
	assert.deepEqual(links.executeRequests.at(-1)?.neededPoint, {term: 1, position: 2});
	assert.equal(links.executeRequests.at(-1)?.maximumAge, 5000);
	const {rows} = await otherClient.query('SHOW buckthornhitch.token');
	assert.deepEqual(rows, [{'buckthornhitch.token': 'notices@1.2'}]);
});

// Outside a transaction each request may get another connection, on which the statement is not prepared.
test('a named statement of an unmodified client can be executed again on another connection', async context => {
	const {connect} = await startEntry(context);
	const client = await connect();
	for (const value of ['first', 'second']) {
		const {rows} = await client.query({name: 'named', text: 'SELECT $1', values: [value]});
		assert.deepEqual(rows, [{text: 'SELECT $1'}]);
	}
});

test('callers with an unknown database, an unsupported setting, a token of another database or above the limit are refused', async context => {
	const {connect} = await startEntry(context, {configuration: testConfigurationView({...entryTestDeployment, limits: {...entryTestDeployment.limits, callersPerEntry: 1}})});
	await assert.rejects(connect({database: 'other'}), {code: '3D000'});
	await assert.rejects(connect({options: '-c search_path=other'}), {code: '0A000'});
	await assert.rejects(connect({options: '-c buckthornhitch.token=other@1.1'}), {code: '22023'});
	await connect();
	await assert.rejects(connect(), {code: '53300'});
});

test('a caller is accepted only with the password from the password file', async context => {
	const folder = await mkdtemp(path.join(tmpdir(), 'entry-'));
	context.after(async () => rm(folder, {recursive: true}));
	const passwordFile = path.join(folder, 'passwords');
	await writeFile(passwordFile, '# callers\ncaller:secret:1\n');
	const {connect} = await startEntry(context, {settings: {...testSettings, passwordFile}});
	const client = await connect({password: 'secret:1'});
	const {rows} = await client.query('SELECT 1');
	assert.deepEqual(rows, [{text: 'SELECT 1'}]);
	await assert.rejects(connect({password: 'wrong'}), {code: '28P01'});
	await assert.rejects(connect({user: 'other', password: 'secret:1'}), {code: '28P01'});
});

test('a shutdown disconnects idle callers, refuses new ones and lets an open transaction complete', async context => {
	const directory = new StaticProcessDirectory([testProcessRecord('entry', 'entry'), testProcessRecord('first')], 'entry');
	const {connect, entry} = await startEntry(context, {directory});
	const idle = await connect();
	const idleEnded = once(idle, 'error');
	const busy = await connect();
	await busy.query('BEGIN');
	const drained = entry.drain();
	const [ended] = await idleEnded as readonly unknown[];
	assert.equal((ended as Readonly<Record<string, string>>).code, '57P01');
	assert.equal(directory.records()[0].state, 'draining');
	await assert.rejects(connect(), {code: '57P01'});
	const health = await fetch(`http://${entry.announcementAddress}/health`);
	assert.equal(health.status, 503);
	await busy.query('INSERT');
	await busy.query('COMMIT');
	await drained;
});

// Guards against a connection that stays open without a response.
test('a malformed message after the start-up ends the connection with an error', async context => {
	const {entry} = await startEntry(context);
	const [host, port] = entry.callerAddress.split(':');
	const socket = createConnection({host, port: Number(port)});
	socket.write(createStartupMessage({majorVersion: 3, minorVersion: 0, parameters: {user: 'caller', database: 'notices'}}));
	await once(socket, 'data');
	socket.write('?');
	socket.write(Buffer.alloc(4));
	const chunks: Buffer[] = [];
	for await (const chunk of socket as AsyncIterable<Buffer>) {
		chunks.push(chunk);
	}

	assert.match(Buffer.concat(chunks).toString(), /FATAL.*08P01.*BH1001/sv);
});

test('a caller that requests encryption first, as psql does, can continue without encryption', async context => {
	const {entry} = await startEntry(context);
	const [host, port] = entry.callerAddress.split(':');
	const socket = createConnection({host, port: Number(port)});
	context.after(() => socket.destroy());
	for (const version of [80_877_104, 80_877_103]) {
		const packet = Buffer.alloc(8);
		packet.writeUInt32BE(8, 0);
		packet.writeUInt32BE(version, 4);
		socket.write(packet);
		const [refusal] = await once(socket, 'data') as [Buffer];
		assert.equal(refusal.toString(), 'N');
	}

	socket.write(createStartupMessage({majorVersion: 3, minorVersion: 0, parameters: {user: 'caller', database: 'notices'}}));
	const [response] = await once(socket, 'data') as [Buffer];
	assert.equal(response[0], 'R'.codePointAt(0));
});

test('a connection with an incomplete start-up packet is closed after the start-up timeout', async context => {
	const clock = new ManualClock();
	const server = new CallerServer({
		clock,
		policy: {passwords: undefined, accept: () => ({database: 'notices', settings: initialSettings})},
		createExecutor() {
			throw new Error('The start-up is never complete.');
		},
		callerLimit: () => 10,
		onCallerCount: () => undefined,
	});
	const address = await server.listen('127.0.0.1:0');
	const [host, port] = address.split(':');
	context.after(async () => server.close());
	const socket = createConnection({host, port: Number(port)});
	const closed = new Promise(resolve => {
		socket.on('close', resolve);
	});
	socket.on('error', () => undefined);
	socket.write(Buffer.from([0, 0, 0, 50, 0, 3]));
	while (server.connectionCount === 0) {
		await settlePromises();
	}

	clock.advance(startupTimeout - 1);
	assert.equal(server.connectionCount, 1);
	clock.advance(1001);
	await closed;
});
