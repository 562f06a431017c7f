/* eslint no-await-in-loop: off -- The statements of a session run one after the other. */
import {Buffer} from 'node:buffer';
import {fileURLToPath} from 'node:url';
import {hasTrouble, runCase} from '../stand-ins/case.mjs';
import {Client, statementId} from '../stand-ins/client.mjs';
import {Deployment, waitUntil} from '../stand-ins/deployment.mjs';
import {Service} from '../stand-ins/service.mjs';

const database = 'register';

/** Names of vessels as a client would send them, in UTF-8. The last letter of the others has the last byte A0. */
const plainNames = ['Turkmenets', 'Merkuriy', 'Barsa-Kelmes'];
const troublingNames = ['ДНЕПР', 'Città', 'ПИОНЕР'];

const configuration = {
	Version: 1,
	Routes: [{
		Name: 'r1', Database: database, PathPrefix: '/', RouteType: 'primary', TimeoutMs: 800, TargetLatencyMs: 400, Priority: 1, Backend: 'ledger', Attempts: 2,
	}],
	Services: [{
		Name: 'ledger', HealthCheck: '/health', MaxConnections: 102, Protocol: 'h1', Tls: false, SyncReplicas: 0,
	}],
	Limits: {
		MaxHeaderBytes: 16_384, MaxBodyBytes: 262_144, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000, IdleTxMs: 3000,
	},
};

await runCase(fileURLToPath(new URL('record.txt', import.meta.url)), async (record, onEnd) => {
	const faults = [];
	const service = new Service({
		name: 'ledger',
		syncReplicas: 0,
		promoteTime: 600,
		record,
		members: [
			{id: 'i-1', zone: 'atyrau', replicationDelay: 20},
			{id: 'i-2', zone: 'esil', replicationDelay: 32},
			{id: 'i-3', zone: 'aralsk', replicationDelay: 32},
		],
	});
	onEnd(() => {
		service.stop();
	});
	const deployment = new Deployment({controls: 3, entries: 3, tolerated: 1});
	onEnd(async () => deployment.stop());
	await deployment.start(await service.start(deployment.serviceHost));
	if (!await deployment.putConfiguration(configuration, 20_000)) {
		throw new Error('the configuration was not acknowledged');
	}

	service.startHeartbeats(() => deployment.controlAddresses);
	const client = await waitUntil(15_000, async () => {
		const candidate = new Client(deployment.entryAddresses[0]);
		const isOpen = await candidate.open(database);
		const {outcome} = await candidate.query(statementId(), 'READ 1a0', 2500);
		const isServed = isOpen && outcome === 'done';
		if (!isServed) {
			candidate.close();
		}

		return isServed && candidate;
	});
	if (!client) {
		throw new Error('no read was served');
	}

	const send = async text => {
		const id = statementId();
		record(`client sends ${id} ${text}`);
		const answer = await client.query(id, text, 2500);
		record(`client gets ${id} ${answer.outcome} ${answer.code ?? answer.signature ?? ''} ${(answer.rows ?? []).join(' | ')}`);
		return answer;
	};

	await send('PREPARE s1 WRITE q2c');
	for (const [index, name] of (hasTrouble ? troublingNames : plainNames).entries()) {
		const data = Buffer.from(name, 'utf8').toString('latin1');
		const written = await send(`EXEC s1 1a${index} ${data}`);
		const read = await send(`READ 1a${index}`);
		if (written.outcome !== 'done' || read.outcome !== 'done') {
			throw new Error(`${name} was not written and read`);
		}

		const stored = read.rows.join('');
		if (stored !== data) {
			const [storedBytes, sentBytes] = [stored, data].map(text => Buffer.from(text, 'latin1').toString('hex'));
			faults.push(`UNASKED: a member ran an EXEC with the bytes ${storedBytes} in place of ${sentBytes} (${name})`);
		}
	}

	client.close();
	return faults;
});
