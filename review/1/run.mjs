/* eslint no-await-in-loop: off, no-void: off -- Statements and attempts run one after the other, and some work runs beside the caller. */
import {fileURLToPath} from 'node:url';
import {hasTrouble, runCase} from '../stand-ins/case.mjs';
import {Client, statementId} from '../stand-ins/client.mjs';
import {sleep, waitUntil} from '../stand-ins/deployment.mjs';
import {routeTo, startSystem} from '../stand-ins/system.mjs';

const database = 'register';
/** Time in milliseconds between the writes of a client. */
const writeInterval = 40;

await runCase(fileURLToPath(new URL('record.txt', import.meta.url)), async (record, onEnd) => {
	const acknowledged = [];
	const faults = [];
	const {service, deployment} = await startSystem({
		record,
		onEnd,
		routes: [routeTo(database)],
		syncReplicas: 1,
		members: [
			{id: 'i-primary', zone: 'atyrau', replicationDelay: 20},
			{id: 'i-near', zone: 'atyrau', replicationDelay: 20},
			{id: 'i-far', zone: 'esil', replicationDelay: 32},
		],
	});
	const [primary, near, far] = service.members;

	service.onPromoted = member => {
		const ids = new Set(member.log.flatMap(({writes}) => writes).map(({id}) => id));
		const lost = acknowledged.filter(id => !ids.has(id));
		if (lost.length > 0) {
			faults.push(`LOST: ${member.id} was promoted without ${lost.length} of ${acknowledged.length} acknowledged commits, the first of them ${lost[0]}`);
		}
	};

	const run = {isEnding: false};
	const writeAt = async (entry, index) => {
		let client;
		while (!run.isEnding) {
			if (!client || client.isClosed) {
				client = new Client(entry);
				if (!await client.open(database)) {
					client.close();
					await sleep(200);
					continue;
				}
			}

			const id = statementId();
			record(`client ${index} sends ${id} WRITE 1a${index} ${id}`);
			const answer = await client.query(id, `WRITE 1a${index} ${id}`, 2500);
			record(`client ${index} gets ${id} ${answer.outcome} ${answer.code ?? answer.signature ?? ''}`);
			if (answer.outcome === 'done') {
				acknowledged.push(id);
			}

			await sleep(writeInterval);
		}

		client?.close();
	};

	const clients = deployment.entryAddresses.map(async (entry, index) => writeAt(entry, index));
	if (!await waitUntil(15_000, () => acknowledged.length >= 60)) {
		throw new Error('no writes were served before the disruption');
	}

	if (hasTrouble) {
		record(`${near.id} reports draining`);
		const isDrainAcknowledged = await service.drain(near);
		record(`draining acknowledged: ${isDrainAcknowledged}`);
		record(`${far.id} receives nothing from now on`);
		far.isDeaf = true;
		await sleep(2000);
		record(`${primary.id} crashes`);
		primary.crash();
		if (!await waitUntil(10_000, () => service.promotions.length > 0)) {
			record('no member was promoted within 10 s');
		}
	} else {
		await sleep(4000);
	}

	run.isEnding = true;
	await Promise.all(clients);
	record(`${acknowledged.length} commits acknowledged, ${service.promotions.length} promotions`);
	return faults;
});
