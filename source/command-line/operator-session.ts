import process from 'node:process';
import {SystemClock} from '../clock/system-clock.js';
import {ControlClient} from '../control/control-client.js';
import {type Address} from '../links/address.js';
import {type LinkClient} from '../links/link-client.js';
import {TcpLinkClient} from '../links/tcp-link-client.js';
import {type ProcessRecord} from '../membership/process-record.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {HybridClock} from '../timeline/hybrid-clock.js';

/** Timeout of one request from an operator's command to a process, in milliseconds. */
export const commandTimeout = 3000;

/** Clients that an operator's command uses. */
export type OperatorSession = {
	readonly controls: readonly Address[];
	readonly controlClient: ControlClient;
	readonly linkClient: LinkClient;
};

/** Runs a command with a session and closes its links afterwards. If the command fails, prints the error with its result code and sets exit status 1. */
export async function runWithSession(controls: readonly Address[], command: (session: OperatorSession) => Promise<void>): Promise<void> {
	try {
		await withSession(controls, command);
	} catch (error) {
		reportFailure(error);
	}
}

/** Runs an action with a session, closes its links afterwards, and resolves with the result of the action. Rejects like the action. */
export async function withSession<Result>(controls: readonly Address[], action: (session: OperatorSession) => Promise<Result>): Promise<Result> {
	const clock = new SystemClock();
	const linkClient = new TcpLinkClient(clock, new HybridClock(clock));
	try {
		return await action({controls, linkClient, controlClient: new ControlClient(linkClient, clock, controls)});
	} finally {
		await linkClient.close();
	}
}

/** Prints an error with its result code and sets exit status 1. */
export function reportFailure(error: unknown): void {
	console.error(toBuckthornhitchError(error).message);
	process.exitCode = 1;
}

/** Returns the process records known to the first control process that answers. Rejects with linkNotSent if none answers. */
export async function fetchProcessRecords({controls, linkClient}: OperatorSession): Promise<readonly ProcessRecord[]> {
	for (const address of controls) {
		try {
			return await linkClient.request(address, 'instances', null, commandTimeout) as readonly ProcessRecord[];
		} catch {
			// Try the next control process.
		}
	}

	throw new BuckthornhitchError('linkNotSent', `None of the control instances ${controls.join(', ')} answered.`);
}

/** Returns the record of the named process. Rejects with invalidSetting if it is unknown. */
export async function findProcessRecord(session: OperatorSession, name: string): Promise<ProcessRecord> {
	const records = await fetchProcessRecords(session);
	const record = records.find(candidate => candidate.name === name);
	if (!record) {
		throw new BuckthornhitchError('invalidSetting', `There is no process "${name}". Known processes: ${records.map(known => known.name).join(', ')}.`);
	}

	return record;
}
