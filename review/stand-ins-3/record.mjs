/* eslint-disable unicorn/no-process-exit -- the exit status of a case is its result */
import {appendFileSync, writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';

/** Time after which a case counts as one that could not run, in milliseconds. */
const longestRun = 110_000;

/** Whether the case runs with its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** Writes what was sent, answered and run to `record.txt` in the folder of the case, and to standard output. */
export class Record {
	#startedAt = performance.now();
	#file;

	constructor(folder) {
		this.#file = path.join(folder, 'record.txt');
		writeFileSync(this.#file, '');
	}

	note(text) {
		const line = `${((performance.now() - this.#startedAt) / 1000).toFixed(2)} s ${text}`;
		console.log(line);
		appendFileSync(this.#file, `${line}\n`);
	}
}

/** Runs a case that resolves with whether the rule held, or with undefined if it could not run; ends the process with 0, 1 or 2. */
export async function runCase(record, deployment, run) {
	let status = 2;
	try {
		const hasHeld = await Promise.race([run(), sleep(longestRun, undefined)]);
		if (hasHeld !== undefined) {
			status = hasHeld ? 0 : 1;
		}
	} catch (error) {
		record.note(`the case could not run: ${error.message}`);
	}

	await deployment.stop();
	record.note(`exit status ${status}`);
	process.exit(status);
}
