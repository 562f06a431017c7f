import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {type Milliseconds} from '../source/clock/clock.js';
import {SeededRandom, type Random} from '../source/random/random.js';
import {checkHistory} from './history-checker.js';
import {History, type Operation} from './history.js';
import {database, delay, TestedFleet} from './tested-fleet.js';
import {Workload} from './workload.js';

/** Fleet under test, the history of its callers, and the settings of the run. */
export type ScenarioContext = {
	readonly fleet: TestedFleet;
	readonly history: History;
	readonly random: Random;
	readonly seed: number;
	readonly folder: string;
};

/** Failure or operator action to run under load. */
export type Scenario = {
	readonly name: string;
	/** Whether the members run in the process of the test, which can then count the statements that they receive. */
	readonly membersInProcess?: boolean;
	/** Injects the failure or runs the action, and returns the problems that the history alone does not show. */
	readonly run: (context: ScenarioContext) => Promise<readonly string[]>;
};

/** Result of one run of a scenario. */
export type ScenarioResult = {
	readonly name: string;
	readonly seed: number;
	readonly operations: readonly Operation[];
	/** Longest interval under load without an acknowledged write. */
	readonly longestWriteGap: Milliseconds;
	/** Violations and other problems; none if the run passed. */
	readonly problems: readonly string[];
	/** Folder with data, logs and history. It is deleted after a run without problems, unless `keepFolder` was set. */
	readonly folder: string;
};

const callerCount = 8;
const loadTimeBeforeFailure: Milliseconds = 1000;
const loadTimeAfterFailure: Milliseconds = 1500;
const runTimeLimit: Milliseconds = 75_000;

/** Runs a scenario on a new deployment and checks the history. The folder with data, logs and history is kept if there are problems or on request. */
export async function runScenario(scenario: Scenario, seed: number, keepFolder = false): Promise<ScenarioResult> {
	const folder = mkdtempSync(join(tmpdir(), `buckthornhitch-${scenario.name}-`));
	const history = new History();
	const fleet = new TestedFleet(folder, history, scenario.membersInProcess);
	const timeLimitController = new AbortController();
	let problems: readonly string[];
	try {
		problems = await Promise.race([runUnderLoad(scenario, {
			fleet, history, seed, folder, random: new SeededRandom(seed),
		}), rejectAfterTimeLimit(timeLimitController.signal)]);
	} catch (error) {
		problems = [`the run ended early: ${(error as Error).message}`];
	} finally {
		timeLimitController.abort();
		await fleet.stop();
	}

	if (problems.length === 0 && !keepFolder) {
		rmSync(folder, {recursive: true});
	} else {
		writeFileSync(join(folder, 'history.json'), JSON.stringify(history, undefined, '\t'));
	}

	return {
		name: scenario.name, seed, operations: history.operations, longestWriteGap: longestWriteGap(history), problems, folder,
	};
}

async function runUnderLoad(scenario: Scenario, context: ScenarioContext): Promise<readonly string[]> {
	const {fleet, history, seed} = context;
	await fleet.start();
	const workload = new Workload({
		entries: fleet.processes.callerAddresses, database, callerCount, seed,
	}, history);
	await workload.prepare();
	workload.start();
	await delay(loadTimeBeforeFailure);
	const problems = await scenario.run(context);
	await delay(loadTimeAfterFailure);
	await fleet.repair();
	await workload.stop();
	history.endLoad();
	await workload.checkEntriesAndClose();
	const violations = checkHistory({...history, finalContent: await fleet.finalContent()});
	return [...problems, ...violations.map(({rule, detail}) => `${rule}: ${detail}`), ...fleet.misplacedStatements()];
}

async function rejectAfterTimeLimit(signal: AbortSignal): Promise<never> {
	return new Promise((_resolve, reject) => {
		const timer = setTimeout(() => {
			reject(new Error(`the scenario and its checks did not finish within ${runTimeLimit} ms`));
		}, runTimeLimit);
		signal.addEventListener('abort', () => {
			clearTimeout(timer);
		});
	});
}

/** Returns a problem for each request that a planned stop interrupted. A request that was refused as not run was not interrupted, unless its open transaction was lost. */
export function interruptedRequests(history: History): readonly string[] {
	return history.operations
		.filter(({outcome}) => outcome.kind === 'unknown' || outcome.kind === 'error' || (outcome.kind === 'notRun' && outcome.code === 'transactionLost'))
		.map(({kind, key, entry, outcome}) => `${kind} ${key} at ${entry} was interrupted: ${outcome.kind === 'notRun' ? outcome.code : ('detail' in outcome ? outcome.detail : '')}`);
}

/** Returns the line that reports the result of a run. */
export function formatResult({name, seed, operations, longestWriteGap, problems}: ScenarioResult): string {
	const count = (kind: Operation['outcome']['kind']): number => operations.filter(({outcome}) => outcome.kind === kind).length;
	const counts = `acknowledged=${count('acknowledged')} unknown=${count('unknown')} refused=${count('notRun')} errors=${count('error')}`;
	const verdict = problems.length === 0 ? 'passed' : 'FAILED';
	return `${name} seed=${seed} operations=${operations.length} ${counts} longest-write-gap=${longestWriteGap}ms result=${verdict}`;
}

function longestWriteGap({operations, loadOperations}: History): number {
	const underLoad = operations.slice(0, loadOperations ?? operations.length);
	const ends = underLoad.filter(({outcome}) => outcome.kind === 'acknowledged').map(({endedAt}) => endedAt).toSorted((first, second) => first - second);
	return Math.round(Math.max(0, ...ends.slice(1).map((end, index) => end - ends[index])));
}
