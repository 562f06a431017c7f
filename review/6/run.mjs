/* eslint no-await-in-loop: off -- the steps follow one another */
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {ClientSession} from '../stand-ins-2/client.mjs';
import {configuration} from '../stand-ins-2/configuration.mjs';
import {isCalm, NotRunError, runCase} from '../stand-ins-2/run-case.mjs';
import {startSmallDeployment} from '../stand-ins-2/small-deployment.mjs';

const clientsPerFront = 3;

// In milliseconds.
const pauseBetweenWrites = 40;
const silenceAfterCall = 300;
const longestSilence = 2500;
const lateness = 4000;
const deafness = 5500;

/** Resolves some time after the first call to the platform. */
async function callAndSome(platform) {
	await platform.firstCall;
	await sleep(silenceAfterCall);
}

/** Writes one value after the other through an entry, and remembers the ids of the writes that were acknowledged. */
async function write({host, acknowledged, answers, mayGoOn}) {
	let session;
	for (let number = 0; mayGoOn(); number++) {
		if (!session?.isOpen) {
			session = new ClientSession(host, 'lepu270');
			if (!await session.open()) {
				session.close();
				await sleep(200);
				continue;
			}
		}

		const reply = await session.query(`WRITE item${number} data${number}`);
		const answer = reply.kind === 'refused' ? reply.code : reply.kind;
		answers.set(answer, (answers.get(answer) ?? 0) + 1);
		if (reply.kind === 'done') {
			acknowledged.add(reply.id);
		}

		await sleep(pauseBetweenWrites);
	}

	session?.close();
}

await runCase(path.dirname(fileURLToPath(import.meta.url)), async ({deployment, record, onEnd}) => {
	let isPlatformLate = false;
	const {fronts, service, platform} = await startSmallDeployment({deployment, record, onEnd}, configuration(3, {synchronousReplicas: 1}), {
		service: {synchronousReplicas: 1}, lateness: () => isPlatformLate ? lateness : undefined,
	});
	const acknowledged = new Set();
	const answers = new Map();
	let mayGoOn = true;
	const lost = [];
	service.onPromote = member => {
		const held = new Set(member.log.flatMap(({ids}) => ids));
		const missing = [...acknowledged].filter(id => !held.has(id));
		record.add(`${member.id} leads term ${service.term}; of ${acknowledged.size} acknowledged commits its log lacks ${missing.length}`);
		for (const id of missing) {
			record.addQuietly(`acknowledged write ${id} is not in the log of ${member.id}`);
		}

		lost.push(...missing);
	};

	onEnd(() => {
		mayGoOn = false;
	});
	const clients = fronts.flatMap(({host}) => Array.from({length: clientsPerFront}, async () => write({
		host, acknowledged, answers, mayGoOn: () => mayGoOn,
	})));
	await sleep(4000);
	record.add(`${acknowledged.size} writes were acknowledged; answers ${JSON.stringify(Object.fromEntries(answers))}`);
	if (acknowledged.size < 50) {
		throw new NotRunError('too few writes were acknowledged');
	}

	if (!isCalm) {
		const {primary} = service;
		isPlatformLate = true;
		record.add(`the primary ${primary.id} goes dark`);
		await service.silence(primary, Promise.race([callAndSome(platform), sleep(longestSilence)]));
		record.add(`the primary ${primary.id} is reachable again`);
		const named = service.members.find(({id}) => id === platform.calls.at(0)?.id);
		if (!named) {
			throw new NotRunError('no promotion was asked for');
		}

		isPlatformLate = false;
		named.isDeaf = true;
		record.add(`the replica ${named.id} receives nothing for ${deafness} ms`);
		await sleep(deafness);
		named.isDeaf = false;
		record.add(`the replica ${named.id} receives again`);
	}

	await sleep(6000);
	mayGoOn = false;
	await Promise.all(clients);
	record.add(`${acknowledged.size} writes were acknowledged; answers ${JSON.stringify(Object.fromEntries(answers))}`);
	record.add(`${lost.length} acknowledged commits were not in the log of a member that was promoted`);
	return lost.length === 0;
});
