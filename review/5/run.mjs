/* eslint no-await-in-loop: off -- The statements of a session run one after the other. */
import {fileURLToPath} from 'node:url';
import {hasTrouble, runCase} from '../stand-ins/case.mjs';
import {Client, statementId} from '../stand-ins/client.mjs';
import {sleep, waitUntil} from '../stand-ins/deployment.mjs';
import {routeTo, startSystem} from '../stand-ins/system.mjs';

const database = 'register';

/** Remark of a client in two lines. The page ends a message with CR LF, so that a line feed alone is part of the last field. */
const smuggledId = 'feedc0ffee000001';
const remark = hasTrouble
	? `seen at anchor
QUERY ${smuggledId} WRITE 1a7 lifted`
	: 'seen at anchor';

await runCase(fileURLToPath(new URL('record.txt', import.meta.url)), async (record, onEnd) => {
	const faults = [];
	const {service, deployment} = await startSystem({
		record,
		onEnd,
		routes: [routeTo(database)],
		members: [
			{id: 'i-1', zone: 'atyrau', replicationDelay: 20},
			{id: 'i-2', zone: 'esil', replicationDelay: 32},
			{id: 'i-3', zone: 'aralsk', replicationDelay: 32},
		],
	});
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

	const id = statementId();
	const text = `WRITE 1a1 ${remark}`;
	record(`client sends ${id} ${JSON.stringify(text)}`);
	const answer = await client.query(id, text, 2500);
	record(`client gets ${id} ${answer.outcome} ${answer.code ?? answer.signature ?? ''}`);
	await sleep(500);
	client.close();
	if (!hasTrouble && answer.outcome !== 'done') {
		throw new Error('the plain write was not served');
	}

	const writes = service.primary.log.flatMap(entry => entry.writes);
	const changed = writes.find(write => write.id === id && write.data !== remark);
	if (changed) {
		faults.push(`UNASKED: a member ran ${id} with the data ${JSON.stringify(changed.data)} in place of ${JSON.stringify(remark)}`);
	}

	if (writes.some(write => write.id === smuggledId)) {
		faults.push(`UNASKED: a member ran ${smuggledId}, which was part of the data of ${id}`);
	}

	return faults;
});
