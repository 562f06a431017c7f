/* eslint no-await-in-loop: off -- A client sends one request after the other. */
import {fileURLToPath} from 'node:url';
import {hasTrouble, runCase} from '../stand-ins/case.mjs';
import {Client, statementId} from '../stand-ins/client.mjs';
import {sleep, waitUntil} from '../stand-ins/deployment.mjs';
import {routeTo, startSystem} from '../stand-ins/system.mjs';

const database = 'register';
// Times in milliseconds.
const requestInterval = 40;
const clientDeadline = 2500;
const recoveryTime = 12_000;
const measuredTime = 6000;
const memberDownTime = 7000;

await runCase(fileURLToPath(new URL('record.txt', import.meta.url)), async (record, onEnd) => {
	const faults = [];
	const {service, deployment} = await startSystem({
		record,
		onEnd,
		routes: [routeTo(database)],
		members: [
			{id: 'i-1', zone: 'atyrau', replicationDelay: 20},
			{id: 'i-2', zone: 'esil', replicationDelay: 20},
			{id: 'i-3', zone: 'aralsk', replicationDelay: 20},
		],
	});
	const [first, second, third] = service.members;

	const phase = {count: {sent: 0, served: 0}, isEnding: false};
	const countFrom = () => {
		phase.count = {sent: 0, served: 0};
		return phase.count;
	};

	const requestAt = async (entry, index) => {
		let client;
		for (let turn = 0; !phase.isEnding; turn++) {
			const {count} = phase;
			const id = statementId();
			const text = turn % 2 === 0 ? `WRITE 1a${index} ${id}` : `READ 1a${index}`;
			count.sent++;
			if (!client || client.isClosed) {
				client = new Client(entry);
				await client.open(database);
			}

			record(`client ${index} sends ${id} ${text}`);
			const answer = await client.query(id, text, clientDeadline);
			record(`client ${index} gets ${id} ${answer.outcome} ${answer.code ?? answer.signature ?? ''} ${answer.detail ?? ''}`);
			count.served += Number(answer.outcome === 'done');
			await sleep(requestInterval);
		}

		client?.close();
	};

	const before = countFrom();
	const clients = deployment.entryAddresses.flatMap((entry, index) => [index, index + 3].map(async number => requestAt(entry, number)));
	if (!await waitUntil(15_000, () => before.served >= 300)) {
		throw new Error('no requests were served before the disruption');
	}

	if (hasTrouble) {
		const crash = member => {
			record(`${member.id} crashes for ${memberDownTime} ms`);
			member.crash();
			setTimeout(async () => {
				await member.restart();
				record(`${member.id} is back as a replica`);
			}, memberDownTime);
		};

		record('i-3 receives nothing from now on');
		third.isDeaf = true;
		await sleep(500);
		crash(first);
		const term = service.term + 1;
		if (!await waitUntil(4000, () => service.primary === second && second.log.filter(entry => entry.term === term).length >= 10)) {
			throw new Error('i-2 was not promoted in time');
		}

		crash(second);
		if (!await waitUntil(6000, () => service.primary === third)) {
			throw new Error('i-3 was not promoted in time');
		}

		third.isDeaf = false;
		record('i-3 receives again');
		await sleep(memberDownTime);
	}

	const [control] = deployment.ofRole('registry');
	record(`final fault: ${control.name} loses its disk`);
	const shareBefore = before.served / before.sent;
	await deployment.restart(control, 1000, true);
	record(`${control.name} is back; ${before.served} of ${before.sent} requests were served before`);
	await sleep(recoveryTime);
	const after = countFrom();
	await sleep(measuredTime);
	phase.isEnding = true;
	await Promise.all(clients);
	record(`from ${recoveryTime} ms after that, ${after.served} of ${after.sent} requests were served`);
	if (shareBefore < 0.25) {
		throw new Error('less than a quarter was served before the final fault');
	}

	if (after.served < after.sent / 4) {
		faults.push(`RECOVER: ${after.served} of ${after.sent} requests were served, though ${before.served} of ${before.sent} were before the final fault`);
	}

	return faults;
});
