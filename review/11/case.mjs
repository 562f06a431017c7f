/* eslint-disable no-await-in-loop -- a client waits for each answer */
// A promotion that got no answer is carried out after the primary is back and a paused replica has restarted.
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {Client} from '../stand-ins-3/client.mjs';
import {configApply, createConfiguration, service} from '../stand-ins-3/configuration.mjs';
import {Deployment} from '../stand-ins-3/deployment.mjs';
import {Platform} from '../stand-ins-3/platform.mjs';
import {hasTrouble, Record, runCase} from '../stand-ins-3/record.mjs';
import {SynchronousGroup} from '../stand-ins-3/synchronous-group.mjs';

const database = 'fiti832ti23';
const sessionsPerEntry = 6;
/** Time in which a commit reaches the replica in another region, and the one beside the primary. */
const delays = [12, 0.5];
const lateness = 6000;
const returnDelay = 100;
const crashDelay = 150;
const downTime = 700;
/** Time to wait for a call of the system, in milliseconds. */
const callTimeout = 8000;
const doesReplicaRestart = process.env.RESTART !== '0';

const record = new Record(import.meta.dirname);
const deployment = new Deployment(record, 3, 2);
const group = new SynchronousGroup(deployment, service, record);
const platform = new Platform(group, record);
const acknowledged = [];
let nextId = 0;
const ending = {isDue: false};

/** Sends one write after the other and keeps the ids of those that were acknowledged. */
async function write(host) {
	while (!ending.isDue) {
		const client = new Client(host, deployment.ports.caller);
		let answer = await client.send(`START ${database} u3f1`);
		while (!ending.isDue && /^(?:READY|DONE)/v.test(answer)) {
			const id = `5c0e7a21${String(nextId++).padStart(8, '0')}`;
			answer = await client.send(`QUERY ${id} WRITE 1a4 xkqpwnzd`);
			if (answer.startsWith('DONE')) {
				acknowledged.push(id);
			}
		}

		client.end();
		await sleep(20);
	}
}

/** Returns false if the system did not do what the case needs. */
async function disturb() {
	const [primary, far, near] = group.members;
	platform.lateness = lateness;
	const firstCall = platform.nextCall();
	group.setDark(primary, true);
	const named = await Promise.race([firstCall, sleep(callTimeout)]);
	if (named !== far.id) {
		record.note(`${named ?? 'nobody'} is named, and not the replica in the other region`);
		return false;
	}

	const secondCall = platform.nextCall();
	await sleep(returnDelay);
	group.setDark(primary, false);
	await Promise.race([secondCall, sleep(callTimeout)]);
	await sleep(crashDelay);
	platform.lateness = 0;
	if (doesReplicaRestart) {
		await group.restart(near, downTime);
	}

	await sleep(lateness + 2000);
	return true;
}

await runCase(record, deployment, async () => {
	await deployment.start();
	const configuration = createConfiguration(1, [database]);
	configuration.Services[0].SyncReplicas = 1;
	if (!await deployment.put(configuration, 15_000)) {
		return undefined;
	}

	await group.start(delays);
	platform.listen(deployment);
	await sleep(configApply + 2000);
	const writers = deployment.entryHosts.flatMap(host => Array.from({length: sessionsPerEntry}, async () => write(host)));
	await sleep(2000);
	record.note(`${acknowledged.length} writes were acknowledged`);
	if (hasTrouble) {
		if (!await disturb()) {
			return undefined;
		}
	} else {
		await sleep(lateness);
	}

	ending.isDue = true;
	await Promise.all(writers);
	const kept = new Set(group.primary.log.map(({id}) => id));
	const lost = acknowledged.filter(id => !kept.has(id));
	record.note(`${acknowledged.length} writes were acknowledged; ${lost.length} of them are not in the log of ${group.primary.id}: ${lost.slice(0, 10).join(' ')}`);
	record.note(lost.length === 0 ? 'held' : 'BROKEN: LOST: acknowledged commits are not in the log of the member that was promoted');
	return lost.length === 0;
});
