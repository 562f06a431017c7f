import {performance} from 'node:perf_hooks';
import type pg from 'pg';
import {type Milliseconds} from '../../source/clock/clock.js';
import {SeededRandom, type Random} from '../../source/random/random.js';
import {type DeploymentFleet} from './deployment-fleet.js';
import {sleep} from './sleep.js';

/**
How callers read notices, which are the rows of the table `notice`. An own read returns a notice that the caller has just written; a lookup returns any other notice.

- position: the proxy routes by log position; lookups have a maximum age.
- noMaximumAge: as position, without a maximum age for lookups.
- fixedWait: any replica serves reads; an own read starts a fixed time after the write.
- primary: from the primary only.
*/
export type ReadStrategy = 'position' | 'noMaximumAge' | 'fixedWait' | 'primary';

/** Load of one phase. */
export type LoadPhase = {
	readonly duration: Milliseconds;
	/** Lookups per second at a time since the start of the phase. */
	readonly lookupRate: (time: Milliseconds) => number;
	/** Writes per second. */
	readonly writeRate: number;
};

/** Latencies in milliseconds and failures of one phase. */
export type PhaseResult = {
	readonly lookupTimes: number[];
	readonly writeTimes: number[];
	readonly ownReadTimes: number[];
	lookupsFailed: number;
	writesFailed: number;
	/** Reads of a session's own write that did not return it or failed. */
	ownReadsStale: number;
};

const lookupCallerCount = 60;
const noticeCallerCount = 12;
const initialNoticeCount = 50;

/** Time from a write to its read in the fixedWait strategy. */
const fixedReadDelay: Milliseconds = 100;

const insertStatement = 'INSERT INTO notice (id, street) VALUES ($1, $2)';
const selectStatement = 'SELECT street FROM notice WHERE id = $1';

/** The proxy routes a locking read to the primary. */
const selectOnPrimaryStatement = `${selectStatement} FOR UPDATE`;

/** Maximum age of reads by strategy; empty for none. With a maximum age of one hour, any replica may serve own reads. */
const maximumAges: Readonly<Record<ReadStrategy, {readonly lookups: string; readonly ownReads: string}>> = {
	position: {lookups: '5s', ownReads: ''},
	noMaximumAge: {lookups: '', ownReads: ''},
	fixedWait: {lookups: '5s', ownReads: '1h'},
	primary: {lookups: '', ownReads: ''},
};

/** Open-loop load that resembles the service notice-core in the example deployment waitaha: lookups and notice writes arrive without waiting for earlier responses. */
export class NoticeLoad {
	readonly #random: Random;
	#lookupClients: readonly pg.Client[] = [];
	#noticeClients: readonly pg.Client[] = [];
	#nextId = initialNoticeCount;
	#nextLookupCaller = 0;

	constructor(private readonly deploymentFleet: DeploymentFleet, private readonly strategy: ReadStrategy, seed: number) {
		this.#random = new SeededRandom(seed);
	}

	/** Connects the callers and creates the notices that are looked up. */
	async prepare(): Promise<void> {
		const maximumAge = maximumAges[this.strategy];
		this.#lookupClients = await this.#connect(lookupCallerCount, maximumAge.lookups);
		this.#noticeClients = await this.#connect(noticeCallerCount, maximumAge.ownReads);
		await this.#noticeClients[0].query('CREATE TABLE notice (id int PRIMARY KEY, street text)');
		for (let id = 0; id < initialNoticeCount; id++) {
			await this.#noticeClients[0].query(insertStatement, [id, 'street']);
		}
	}

	/** Runs one phase; resolves once its last statements are answered. */
	async run(phase: LoadPhase): Promise<PhaseResult> {
		const result: PhaseResult = {
			lookupTimes: [], writeTimes: [], ownReadTimes: [], lookupsFailed: 0, writesFailed: 0, ownReadsStale: 0,
		};
		await Promise.all([
			this.#generateArrivals(phase.duration, phase.lookupRate, async () => this.#lookUp(result)),
			this.#generateArrivals(phase.duration, () => phase.writeRate, async () => this.#writeAndRead(result)),
		]);
		return result;
	}

	async #connect(count: number, maximumAge: string): Promise<readonly pg.Client[]> {
		return Promise.all(Array.from({length: count}, async (_, index) => this.deploymentFleet.connect(index, maximumAge)));
	}

	/** Starts the action at the times of a Poisson process. */
	async #generateArrivals(duration: Milliseconds, ratePerSecond: (time: Milliseconds) => number, action: () => Promise<void>): Promise<void> {
		const startedAt = performance.now();
		const actions: Array<Promise<void>> = [];
		for (let time = 0; time < duration;) {
			time += -Math.log(1 - this.#random.fraction()) * 1000 / ratePerSecond(time);
			await sleep(Math.max(0, startedAt + time - performance.now()));
			actions.push(action());
		}

		await Promise.all(actions);
	}

	async #lookUp(result: PhaseResult): Promise<void> {
		const client = this.#lookupClients[this.#nextLookupCaller++ % this.#lookupClients.length];
		const startedAt = performance.now();
		try {
			await client.query(this.strategy === 'primary' ? selectOnPrimaryStatement : selectStatement, [this.#random.integerBelow(initialNoticeCount)]);
			result.lookupTimes.push(performance.now() - startedAt);
		} catch {
			result.lookupsFailed++;
		}
	}

	async #writeAndRead(result: PhaseResult): Promise<void> {
		const id = this.#nextId++;
		const client = this.#noticeClients[id % this.#noticeClients.length];
		const startedAt = performance.now();
		try {
			await client.query(insertStatement, [id, 'street']);
			result.writeTimes.push(performance.now() - startedAt);
		} catch {
			result.writesFailed++;
			return;
		}

		if (this.strategy === 'fixedWait') {
			await sleep(fixedReadDelay);
		}

		await this.#readOwnWrite(client, id, result);
	}

	async #readOwnWrite(client: pg.Client, id: number, result: PhaseResult): Promise<void> {
		const startedAt = performance.now();
		try {
			const {rows} = await client.query<{street: string}>(this.strategy === 'primary' ? selectOnPrimaryStatement : selectStatement, [id]);
			result.ownReadTimes.push(performance.now() - startedAt);
			result.ownReadsStale += Number(rows.length !== 1);
		} catch {
			result.ownReadsStale++;
		}
	}
}
