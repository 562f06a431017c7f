import {performance} from 'node:perf_hooks';
import type pg from 'pg';
import {type Milliseconds} from '../../source/clock/clock.js';
import {SeededRandom, type Random} from '../../source/random/random.js';
import {type DeploymentFleet} from './deployment-fleet.js';
import {pause} from './pause.js';

/** How callers read: as the product offers, or as in one of the baselines. */
export type ReadStyle = 'position' | 'noStatedAge' | 'fixedWait' | 'primary';

/** Load of one phase; times are in milliseconds since its start. */
export type Phase = {
	readonly duration: Milliseconds;
	/** Lookups a second at the time. */
	readonly lookupRate: (time: Milliseconds) => number;
	/** Writes a second. */
	readonly writeRate: number;
};

/** Times of one phase, all in milliseconds. */
export type PhaseResult = {
	readonly lookupTimes: number[];
	readonly writeTimes: number[];
	readonly ownReadTimes: number[];
	lookupsRefused: number;
	writesFailed: number;
	/** Own reads that did not show the session's write. */
	ownReadsStale: number;
};

const lookupCallers = 60;
const noticeCallers = 12;
const presentNotices = 50;

/** Wait of the baseline that reads from any replica some time after a write. */
const fixedWait: Milliseconds = 100;

const insert = 'INSERT INTO notice (id, street) VALUES ($1, $2)';
const select = 'SELECT street FROM notice WHERE id = $1';

/** The classification sends this to the primary. */
const selectOnPrimary = `${select} FOR UPDATE`;

const statedAges: Readonly<Record<ReadStyle, {readonly lookups: string; readonly ownReads: string}>> = {
	position: {lookups: '5s', ownReads: ''},
	noStatedAge: {lookups: '', ownReads: ''},
	fixedWait: {lookups: '5s', ownReads: '1h'},
	primary: {lookups: '', ownReads: ''},
};

/** Lookups and notice writes of the service notice-core, with arrivals that do not wait for earlier answers. */
export class NoticeLoad {
	readonly #random: Random;
	#lookups: readonly pg.Client[] = [];
	#notices: readonly pg.Client[] = [];
	#nextId = presentNotices;
	#nextCaller = 0;

	constructor(private readonly deployment: DeploymentFleet, private readonly style: ReadStyle, seed: number) {
		this.#random = new SeededRandom(seed);
	}

	/** Opens the callers and creates the notices that lookups find. */
	async prepare(): Promise<void> {
		const ages = statedAges[this.style];
		this.#lookups = await this.#connect(lookupCallers, ages.lookups);
		this.#notices = await this.#connect(noticeCallers, ages.ownReads);
		await this.#notices[0].query('CREATE TABLE notice (id int PRIMARY KEY, street text)');
		for (let id = 0; id < presentNotices; id++) {
			await this.#notices[0].query(insert, [id, 'street']);
		}
	}

	/** Runs one phase to its end, the answers to its last statements included. */
	async run(phase: Phase): Promise<PhaseResult> {
		const result: PhaseResult = {
			lookupTimes: [], writeTimes: [], ownReadTimes: [], lookupsRefused: 0, writesFailed: 0, ownReadsStale: 0,
		};
		await Promise.all([
			this.#arrivals(phase.duration, phase.lookupRate, async () => this.#lookUp(result)),
			this.#arrivals(phase.duration, () => phase.writeRate, async () => this.#writeAndRead(result)),
		]);
		return result;
	}

	async #connect(count: number, statedAge: string): Promise<readonly pg.Client[]> {
		return Promise.all(Array.from({length: count}, async (_, index) => this.deployment.connect(index, statedAge)));
	}

	async #arrivals(duration: Milliseconds, rate: (time: Milliseconds) => number, action: () => Promise<void>): Promise<void> {
		const startedAt = performance.now();
		const actions: Array<Promise<void>> = [];
		for (let time = 0; time < duration;) {
			time += -Math.log(1 - this.#random.fraction()) * 1000 / rate(time);
			await pause(Math.max(0, startedAt + time - performance.now()));
			actions.push(action());
		}

		await Promise.all(actions);
	}

	async #lookUp(result: PhaseResult): Promise<void> {
		const client = this.#lookups[this.#nextCaller++ % this.#lookups.length];
		const startedAt = performance.now();
		try {
			await client.query(this.style === 'primary' ? selectOnPrimary : select, [this.#random.integerBelow(presentNotices)]);
			result.lookupTimes.push(performance.now() - startedAt);
		} catch {
			result.lookupsRefused++;
		}
	}

	async #writeAndRead(result: PhaseResult): Promise<void> {
		const id = this.#nextId++;
		const client = this.#notices[id % this.#notices.length];
		const startedAt = performance.now();
		try {
			await client.query(insert, [id, 'street']);
			result.writeTimes.push(performance.now() - startedAt);
		} catch {
			result.writesFailed++;
			return;
		}

		if (this.style === 'fixedWait') {
			await pause(fixedWait);
		}

		await this.#readOwn(client, id, result);
	}

	async #readOwn(client: pg.Client, id: number, result: PhaseResult): Promise<void> {
		const startedAt = performance.now();
		try {
			const {rows} = await client.query<{street: string}>(this.style === 'primary' ? selectOnPrimary : select, [id]);
			result.ownReadTimes.push(performance.now() - startedAt);
			result.ownReadsStale += Number(rows.length !== 1);
		} catch {
			result.ownReadsStale++;
		}
	}
}
