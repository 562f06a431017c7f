/* eslint unicorn/no-process-exit: off -- the modules that use this one are programs */
/* eslint no-await-in-loop: off -- the steps follow one another */
import process from 'node:process';
import {Deployment} from './deployment.mjs';
import {Record} from './record.mjs';

const exitStatus = {held: 0, broken: 1, notRun: 2};
const longestRun = 115_000;

/** Thrown when the case could not be played, so that nothing can be said about the rule. */
export class NotRunError extends Error {}

/** Whether the disruption is left out. */
export const isCalm = process.env.TROUBLE === '0';

/** Plays a case: `play` gets the deployment and the record, and returns whether the rule was kept. Ends all processes and exits with 0 (kept), 1 (broken) or 2 (not run). */
export async function runCase(folder, play) {
	const record = new Record(`${folder}/record.txt`);
	record.add(isCalm ? 'run without the disruption' : 'run with the disruption');
	const deployment = await Deployment.create(record);
	const cleanups = [];
	let status = exitStatus.notRun;
	const timeLimit = new Promise((_resolve, reject) => {
		setTimeout(() => {
			reject(new NotRunError('the run took too long'));
		}, longestRun).unref();
	});
	const stopOnSignal = () => {
		for (const {child} of deployment.machines.values()) {
			child?.kill('SIGKILL');
		}

		process.exit(exitStatus.notRun);
	};

	process.on('SIGTERM', stopOnSignal);
	process.on('SIGINT', stopOnSignal);
	try {
		const isKept = await Promise.race([play({deployment, record, onEnd: cleanup => cleanups.push(cleanup)}), timeLimit]);
		status = isKept ? exitStatus.held : exitStatus.broken;
	} catch (error) {
		record.add(`the case could not run: ${error instanceof NotRunError ? error.message : error.stack}`);
	}

	await deployment.stop();
	for (const cleanup of cleanups) {
		await cleanup();
	}

	record.add(`exit status ${status}`);
	record.save();
	process.exit(status);
}
