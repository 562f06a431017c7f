/* eslint no-await-in-loop: off -- the steps follow one another */
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {configuration} from '../stand-ins-2/configuration.mjs';
import {Operator} from '../stand-ins-2/operator.mjs';
import {isCalm, NotRunError, runCase} from '../stand-ins-2/run-case.mjs';

// In seconds, from the sheet of the deployment.
const catchUp = 4;
const recovery = 12;
const contact = 5;

/** Time for which a successor runs before the machine that it replaces is stopped. SUCCESSOR_SECONDS lengthens it, to find out which time the system needs. */
const successorTime = Number(process.env.SUCCESSOR_SECONDS ?? catchUp + 0.5);

/** Reads the configuration at all nodes each second until one answers with the newest acknowledged version, for at most the given seconds. */
async function readsBack(operator, record, seconds) {
	const deadline = record.seconds + seconds;
	while (record.seconds < deadline) {
		const versions = await operator.readAll();
		if (versions.includes(operator.acknowledged)) {
			return true;
		}

		await sleep(1000);
	}

	return false;
}

/** Returns the machine that logged last that it leads. */
function leaderAmong(deployment, machines) {
	const terms = machines.map(machine => {
		const matches = [...deployment.logOf(machine).matchAll(/became leader of term (?<term>\d+)/gv)];
		return {machine, term: Number(matches.at(-1)?.groups.term ?? 0)};
	});
	return terms.toSorted((first, second) => second.term - first.term)[0].machine;
}

/** Adds a successor with an empty disk, and stops the machine for good once the successor has had its time. */
async function replace(deployment, record, machine) {
	const successor = deployment.add({machineClass: 'core', zone: machine.zone, isFirst: false});
	deployment.start(successor);
	record.add(`${successor.name} is added, to replace ${machine.name}`);
	await sleep(successorTime * 1000);
	record.add(`SIGTERM to ${machine.name}`);
	await deployment.kill(machine, 'SIGTERM');
	machine.isRemoved = true;
	record.add(`${machine.name} has ended and is removed`);
}

await runCase(path.dirname(fileURLToPath(import.meta.url)), async ({deployment, record}) => {
	const core = ['atyrau', 'atyrau', 'esil', 'esil', 'aralsk'].map(zone => deployment.add({machineClass: 'core', zone, isFirst: true}));
	for (const machine of core) {
		deployment.start(machine);
	}

	const operator = new Operator(record, () => deployment.controlHosts);
	if (!await operator.put(configuration(3), 15)) {
		throw new NotRunError('the first configuration was not acknowledged');
	}

	const leader = leaderAmong(deployment, core);
	record.addQuietly(`${leader.name} leads`);
	const [first, last] = ['atyrau', 'esil', 'aralsk'].filter(zone => zone !== leader.zone).map(zone => core.find(machine => machine.zone === zone));
	if (isCalm) {
		await sleep(3 * successorTime * 1000);
	} else {
		for (const machine of [first, leader, last]) {
			await replace(deployment, record, machine);
		}
	}

	await sleep((recovery + contact) * 1000);
	const isKept = await readsBack(operator, record, 3 * contact);
	record.add(isKept ? `version ${operator.acknowledged} is read back` : `version ${operator.acknowledged}, which was acknowledged, is read back nowhere ${recovery + (4 * contact)} s after the last step`);
	const isAccepted = await operator.put(configuration(8, {timeout: 900}), 3 * contact);
	record.add(`a further change is ${isAccepted ? 'acknowledged' : 'not acknowledged'}`);
	for (const machine of deployment.ofClass('core')) {
		const roles = [...deployment.logOf(machine).matchAll(/voter role changed to \w+/gv)].map(([text]) => text);
		record.addQuietly(`${machine.name} runs; it logged last: ${roles.at(-1) ?? 'no role'}`);
	}

	return isKept && isAccepted;
});
