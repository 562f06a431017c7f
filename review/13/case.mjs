/* eslint-disable no-await-in-loop -- the steps of the case follow each other */
// A configuration adds a route, and a program has cut the name of another route in the middle of a character.
import {setTimeout as sleep} from 'node:timers/promises';
import {Client} from '../stand-ins-3/client.mjs';
import {configApply, createConfiguration, service} from '../stand-ins-3/configuration.mjs';
import {Deployment} from '../stand-ins-3/deployment.mjs';
import {MemberGroup} from '../stand-ins-3/members.mjs';
import {hasTrouble, Record, runCase} from '../stand-ins-3/record.mjs';

const database = 'fiti832ti23';
const addedDatabase = 'lepu270';
const wholeName = 'lookups 🌧';
const nameOfRoute = hasTrouble ? wholeName.slice(0, -1) : wholeName;
const rounds = 10;
const coreCount = 3;
const entryCount = 2;

const record = new Record(import.meta.dirname);
const deployment = new Deployment(record, coreCount, entryCount);
const group = new MemberGroup(deployment, service, ({member, id, access, text}) => {
	record.note(`${member} runs ${id} ${access} ${text}`);
});
let nextId = 0;

/** Opens a session at an entry and writes once; returns whether it was served. */
async function request(host, name) {
	const client = new Client(host, deployment.ports.caller);
	const started = await client.send(`START ${name} u3f1`);
	let isServed = false;
	let answer = '';
	if (started.startsWith('READY')) {
		nextId++;
		answer = await client.send(`QUERY 5c0e7a21d94b${String(nextId).padStart(4, '0')} WRITE 1a4 xkqpwnzd`);
		isServed = answer.startsWith('DONE');
	}

	client.end();
	record.note(`${host}: START ${name}: ${started}${answer === '' ? '' : `; WRITE: ${answer}`}`);
	return isServed;
}

/** Returns how many requests for the added database were refused. */
async function countRefused() {
	let refused = 0;
	for (let round = 0; round < rounds; round++) {
		for (const host of deployment.entryHosts) {
			refused += Number(!await request(host, addedDatabase));
		}

		await sleep(1000);
	}

	return refused;
}

await runCase(record, deployment, async () => {
	await deployment.start();
	if (!await deployment.put(createConfiguration(1, [database]), 15_000)) {
		return undefined;
	}

	group.start();
	await sleep(configApply + 2000);
	for (const host of deployment.entryHosts) {
		if (!await request(host, database)) {
			return undefined;
		}
	}

	const isAcknowledged = await deployment.put(createConfiguration(2, [database, addedDatabase], {names: {[database]: nameOfRoute}}), 5000);
	if (!isAcknowledged) {
		record.note('held: a configuration that cannot be read in full is refused');
		return hasTrouble;
	}

	await sleep(configApply + 1000);
	const refused = await countRefused();
	const {text} = await deployment.call(deployment.coreHosts[0], 'GET', '/api/Config.Get');
	record.note(`read back: ${text}`);
	record.note(`${refused} of ${rounds * entryCount} requests for ${addedDatabase} were not served`);

	// What follows is recorded, and not judged.
	await deployment.restart(coreCount);
	await sleep(5000);
	const isServed = await request(deployment.entryHosts[0], database);
	record.note(`an entry that starts again ${isServed ? 'serves' : 'does not serve'} ${database}`);
	record.note(refused === 0 ? 'held' : 'BROKEN: CONFIG: version 2 was acknowledged and is not in force later than ConfigApplyMs after it');
	return refused === 0;
});
