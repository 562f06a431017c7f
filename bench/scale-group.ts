import {setTimeout as sleep} from 'node:timers/promises';
import {SystemClock} from '../source/clock/system-clock.js';
import {ConfigurationStore} from '../source/configuration/configuration-store.js';
import {LinkServer} from '../source/links/link-server.js';
import {silentLogger} from '../source/observability/logger.js';
import {HybridClock} from '../source/timeline/hybrid-clock.js';
import {type NodeReport, type Usage} from './scale-messages.js';
import {ScaleProcess} from './scale-process.js';

/** First port of the benchmark on the loopback interface, below the usual range of ephemeral ports. */
export const firstPort = 21_000;

const seedCount = 3;
const startBatch = 10;

/** A report with the process that sent it. */
export type GroupReport = NodeReport & {readonly from: string};

/** Processes with membership and configuration on the loopback interface, and a stand-in for control. */
export class ScaleGroup {
	readonly reports: GroupReport[] = [];
	readonly processes: ScaleProcess[] = [];
	readonly #control = new ConfigurationStore('', silentLogger);
	readonly #server: LinkServer;

	constructor(private readonly size: number, private readonly seed: number) {
		const clock = new SystemClock();
		this.#server = new LinkServer(clock, new HybridClock(clock));
		this.#control.accept({kind: 'deltas', deltas: []});
		this.#server.handle('configurationSince', async body => this.#control.changesSince((body as {readonly revision: number}).revision));
	}

	/** Starts the processes, some at a time, and waits until each holds all records. */
	async start(): Promise<void> {
		const origin = await this.#server.listen('127.0.0.1:0');
		const addresses = Array.from({length: this.size}, (_, index) => `127.0.0.1:${firstPort + index}`);
		for (let first = 0; first < this.size; first += startBatch) {
			await Promise.all(addresses.slice(first, first + startBatch).map(async (address, offset) => this.#startOne(first + offset, address, addresses.slice(0, seedCount), origin)));
		}

		await this.#waitForAgreement();
	}

	/** Returns the usage of all processes. */
	async usages(): Promise<readonly Usage[]> {
		return Promise.all(this.processes.map(async process => process.usage()));
	}

	/** Commits changes at the stand-in for control and tells the first process, as a control process hears of its own commit. */
	commit(count: number): void {
		for (let index = 0; index < count; index++) {
			const revision = (this.#control.revision ?? 0) + 1;
			const site = `site: place-1\nlimits:\n  queueLength: ${revision}\n`;
			this.#control.accept({kind: 'deltas', deltas: [{revision, files: {'place-1': site}, memberSets: {[`ledger-${revision}`]: ['a', 'b', 'c']}}]});
		}

		this.processes[0].send({kind: 'refresh'});
	}

	/** The revision that control holds. */
	get revision(): number {
		return this.#control.revision ?? 0;
	}

	/** Kills one process. */
	async kill(process: ScaleProcess): Promise<void> {
		this.processes.splice(this.processes.indexOf(process), 1);
		await process.kill();
	}

	/** Kills all processes that this group started. */
	async stop(): Promise<void> {
		await Promise.all(this.processes.map(async process => process.kill()));
		await this.#server.close();
	}

	async #startOne(index: number, address: string, seeds: readonly string[], origin: string): Promise<void> {
		const process = new ScaleProcess('scale-node.js', `entry-${index}`);
		this.processes.push(process);
		process.watch(report => {
			if (report.kind !== 'usage') {
				this.reports.push({...report, from: process.name});
			}
		});
		const ready = process.next('ready');
		process.send({
			kind: 'start', settings: {
				name: process.name, address, seeds, origin, seed: this.seed + index, largeConfiguration: false,
			},
		});
		await ready;
	}

	async #waitForAgreement(): Promise<void> {
		const longestAttempts = 60;
		for (let attempt = 0; attempt < longestAttempts; attempt++) {
			const usages = await this.usages();
			if (usages.every(usage => usage.liveRecords === this.size)) {
				return;
			}

			await sleep(500);
		}

		throw new Error(`${this.size} processes did not agree on their records within 30 s`);
	}
}
