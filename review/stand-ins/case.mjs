/* eslint no-await-in-loop: off, no-void: off, unicorn/no-process-exit: off -- Statements and attempts run one after the other, and some work runs beside the caller. */
import {appendFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';

const held = 0;
const broken = 1;
const notRun = 2;
/** Time in milliseconds after which a case that hangs ends; below the 120 s that a script may run. */
const caseTimeout = 100_000;

/** Whether the case runs with its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** Runs a case; writes its record and ends the process with the result. The function resolves with the ways in which the rule was broken. */
export async function runCase(recordPath, run) {
	const startedAt = performance.now();
	writeFileSync(recordPath, '');
	const record = text => {
		appendFileSync(recordPath, `${((performance.now() - startedAt) / 1000).toFixed(3)} ${text}\n`, 'latin1');
	};

	const cleanups = [];
	const finish = async (status, text) => {
		record(text);
		console.log(text);
		for (const cleanup of cleanups.toReversed()) {
			await cleanup();
		}

		process.exit(status);
	};

	setTimeout(() => {
		void finish(notRun, 'not run: the case took too long');
	}, caseTimeout).unref();
	for (const signal of ['SIGTERM', 'SIGINT']) {
		process.on(signal, () => {
			void finish(notRun, `not run: ${signal}`);
		});
	}

	try {
		const faults = await run(record, cleanup => {
			cleanups.push(cleanup);
		});
		for (const fault of faults) {
			record(`fault: ${fault}`);
		}

		await finish(faults.length > 0 ? broken : held, faults.length > 0 ? `broken: ${faults[0]}${faults.length > 1 ? ` (and ${faults.length - 1} more)` : ''}` : 'held');
	} catch (error) {
		await finish(notRun, `not run: ${error.stack}`);
	}
}
