import {open} from 'node:fs/promises';
import process from 'node:process';
import {
	command, positional, restPositionals, string,
} from 'cmd-ts';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {formatRequestTimeline, RequestLineCollector} from './request-timeline.js';

/** Exit statuses of `explain-request`. */
export const explainRequestExitStatuses = {found: 0, notFound: 1, invalidArguments: 2} as const;

/** Name of the command that explains a request. */
export const explainRequestName = 'explain-request';

/** `explain-request`: prints the timeline of one request from the logs of several processes, and its cause. Sets exit status 0 if a line about the request was found, 1 if not and 2 for invalid arguments. */
export const explainRequestCommand = command({
	name: explainRequestName,
	description: 'show the timeline of a request from the logs of several processes, and its cause; exit status 0 if it was found, 1 if not, 2 for invalid arguments',
	args: {
		id: positional({type: string, displayName: 'id', description: 'id of the request'}),
		files: restPositionals({type: string, displayName: 'file', description: 'log file of a process, with one JSON object per line'}),
	},
	async handler({id, files}) {
		if (id === '' || files.length === 0) {
			console.error(id === '' ? 'The id of the request is empty.' : 'No log file is named.');
			process.exitCode = explainRequestExitStatuses.invalidArguments;
			return;
		}

		const collector = new RequestLineCollector(id);
		try {
			for (const file of files) {
				await readLines(file, collector);
			}
		} catch (error) {
			console.error(toBuckthornhitchError(error).message);
			process.exitCode = explainRequestExitStatuses.invalidArguments;
			return;
		}

		const {result} = collector;
		console.log(formatRequestTimeline(id, result));
		process.exitCode = result.lines.length === 0 ? explainRequestExitStatuses.notFound : explainRequestExitStatuses.found;
	},
});

/** Reads a log line by line, since logs may be larger than the memory. Rejects with invalidSetting if it cannot be read. */
async function readLines(file: string, collector: RequestLineCollector): Promise<void> {
	try {
		const handle = await open(file);
		for await (const line of handle.readLines()) {
			collector.add(line);
		}
	} catch (error) {
		throw new BuckthornhitchError('invalidSetting', `The log file "${file}" cannot be read.`, {cause: error});
	}
}
