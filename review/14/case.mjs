// Members accept as many connections as there are core machines.
import {setTimeout as sleep} from 'node:timers/promises';
import {Client} from '../stand-ins-3/client.mjs';
import {configApply, createConfiguration, service} from '../stand-ins-3/configuration.mjs';
import {Deployment} from '../stand-ins-3/deployment.mjs';
import {MemberGroup} from '../stand-ins-3/members.mjs';
import {hasTrouble, Record, runCase} from '../stand-ins-3/record.mjs';

const coreCount = 5;
const entryCount = 3;
const maximumConnections = hasTrouble ? coreCount : coreCount + 1;
const database = 'fiti832ti23';
const sessionsPerEntry = 2;
const duration = 30_000;
const pause = 500;
const closeTime = 300;

const record = new Record(import.meta.dirname);
const deployment = new Deployment(record, coreCount, entryCount);
const group = new MemberGroup(deployment, service, ({member, id, access, text}) => {
	record.note(`${member} runs ${id} ${access} ${text}`);
}, maximumConnections);
let nextId = 0;
let sent = 0;
let served = 0;

/** One client after the other, each with a session of its own that writes or reads once. */
async function sendRequests(host, end) {
	while (performance.now() < end) {
		const client = new Client(host, deployment.ports.caller);
		/* eslint-disable no-await-in-loop -- a client waits for its answer */
		const started = await client.send(`START ${database} u3f1`);
		const statement = sent % 2 === 0 ? 'WRITE 1a4 xkqpwnzd' : 'READ 1a4';
		const id = `5c0e7a21d94b${String(nextId++).padStart(4, '0')}`;
		sent++;
		const answer = started.startsWith('READY') ? await client.send(`QUERY ${id} ${statement}`) : '';
		client.end();
		served += Number(answer.includes('DONE'));
		record.note(`${host}: START ${database}: ${started}; ${id} ${statement}: ${answer}`);
		await sleep(pause);
		/* eslint-enable no-await-in-loop */
	}
}

await runCase(record, deployment, async () => {
	await deployment.start();
	if (!await deployment.put(createConfiguration(1, [database], {maximumConnections}), 15_000)) {
		return undefined;
	}

	group.start();
	await sleep(configApply + 2000);
	const end = performance.now() + duration;
	await Promise.all(deployment.entryHosts.flatMap(host => Array.from({length: sessionsPerEntry}, async () => sendRequests(host, end))));
	const open = group.members.map(({id, connections}) => ({id, sockets: [...connections]}));
	await Promise.all(Array.from({length: coreCount}, async (_, index) => deployment.kill(index)));
	await sleep(closeTime);
	for (const {id, sockets} of open) {
		record.note(`${id}: ${sockets.length} of ${maximumConnections} connections were open, of which ${sockets.filter(({destroyed}) => destroyed).length} ended with the core machines`);
	}

	record.note(`${served} of ${sent} requests were served`);
	record.note(served > 0 ? 'held' : 'BROKEN: Fault: no request is served');
	return served > 0;
});
