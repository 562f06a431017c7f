import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {type Milliseconds} from '../source/clock/clock.js';
import {SeededRandom, type Random} from '../source/random/random.js';
import {checkHistory} from './history-checker.js';
import {History, type Operation} from './history.js';
import {database, delay, VerifiedFleet} from './verified-fleet.js';
import {Workload} from './workload.js';

/** What a scenario acts on. */
export type ScenarioContext = {
	readonly fleet: VerifiedFleet;
	readonly history: History;
	readonly random: Random;
	readonly seed: number;
	readonly folder: string;
};

/** One failure under load. */
export type Scenario = {
	readonly name: string;
	/** Whether the members run in the verifying process, which counts what they receive. */
	readonly membersHere?: boolean;
	/** Brings the failure about and returns the faults that the history alone does not show. */
	readonly run: (context: ScenarioContext) => Promise<readonly string[]>;
};

/** Result of one run of a scenario. */
export type ScenarioResult = {
	readonly name: string;
	readonly seed: number;
	readonly operations: readonly Operation[];
	/** Longest time under load without an acknowledged write. */
	readonly longestWriteGap: Milliseconds;
	readonly faults: readonly string[];
	/** Folder with data, logs and history, if it was kept. */
	readonly folder: string;
};

const callers = 8;
const loadBefore: Milliseconds = 1000;
const loadAfter: Milliseconds = 1500;
const longestRun: Milliseconds = 75_000;

/** Runs a scenario on a new deployment and checks the history. The folder with data, logs and history is kept on faults or on demand. */
export async function runScenario(scenario: Scenario, seed: number, keepFolder = false): Promise<ScenarioResult> {
	const folder = mkdtempSync(join(tmpdir(), `buckthornhitch-${scenario.name}-`));
	const history = new History();
	const fleet = new VerifiedFleet(folder, history, scenario.membersHere);
	const limit = new AbortController();
	let faults: readonly string[];
	try {
		faults = await Promise.race([runSteps(scenario, {
			fleet, history, seed, folder, random: new SeededRandom(seed),
		}), limitTime(limit.signal)]);
	} catch (error) {
		faults = [`the run ended early: ${(error as Error).message}`];
	} finally {
		limit.abort();
		await fleet.stop();
	}

	if (faults.length === 0 && !keepFolder) {
		rmSync(folder, {recursive: true});
	} else {
		writeFileSync(join(folder, 'history.json'), JSON.stringify(history, undefined, '\t'));
	}

	return {
		name: scenario.name, seed, operations: history.operations, longestWriteGap: longestWriteGap(history), faults, folder,
	};
}

async function runSteps(scenario: Scenario, context: ScenarioContext): Promise<readonly string[]> {
	const {fleet, history, seed} = context;
	await fleet.start();
	const workload = new Workload({
		entries: fleet.processes.callerAddresses, database, callers, seed,
	}, history);
	await workload.prepare();
	workload.start();
	await delay(loadBefore);
	const faults = await scenario.run(context);
	await delay(loadAfter);
	await fleet.repair();
	await workload.stop();
	history.endLoad();
	await workload.finish();
	const violations = checkHistory({...history, finalContent: await fleet.finalContent()});
	return [...faults, ...violations.map(({rule, detail}) => `${rule}: ${detail}`)];
}

async function limitTime(signal: AbortSignal): Promise<never> {
	return new Promise((_resolve, reject) => {
		const timer = setTimeout(() => {
			reject(new Error(`not done within ${longestRun} ms`));
		}, longestRun);
		signal.addEventListener('abort', () => {
			clearTimeout(timer);
		});
	});
}

/** Returns the requests that a planned stop interrupted, as faults; a refusal as not run is none. */
export function interruptedRequests(history: History): readonly string[] {
	return history.operations
		.filter(({outcome}) => outcome.kind === 'unknown' || outcome.kind === 'error' || (outcome.kind === 'notRun' && outcome.code === 'transactionLost'))
		.map(({kind, key, entry, outcome}) => `${kind} ${key} at ${entry} was interrupted: ${outcome.kind === 'notRun' ? outcome.code : ('detail' in outcome ? outcome.detail : '')}`);
}

/** Returns the one line that reports a run. */
export function resultLine({name, seed, operations, longestWriteGap, faults}: ScenarioResult): string {
	const count = (kind: Operation['outcome']['kind']): number => operations.filter(({outcome}) => outcome.kind === kind).length;
	const counts = `acknowledged=${count('acknowledged')} unknown=${count('unknown')} refused=${count('notRun')} errors=${count('error')}`;
	const verdict = faults.length === 0 ? 'passed' : 'FAILED';
	return `${name} seed=${seed} operations=${operations.length} ${counts} longest-write-gap=${longestWriteGap}ms result=${verdict}`;
}

function longestWriteGap({operations, loadOperations}: History): number {
	const underLoad = operations.slice(0, loadOperations ?? operations.length);
	const ends = underLoad.filter(({outcome}) => outcome.kind === 'acknowledged').map(({endedAt}) => endedAt).toSorted((first, second) => first - second);
	return Math.round(Math.max(0, ...ends.slice(1).map((end, index) => end - ends[index])));
}
