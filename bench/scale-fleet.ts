import {setTimeout as sleep} from 'node:timers/promises';
import {SystemClock} from '../source/clock/system-clock.js';
import {ConfigurationStore} from '../source/configuration/configuration-store.js';
import {LinkServer} from '../source/links/link-server.js';
import {silentLogger} from '../source/observability/logger.js';
import {HybridClock} from '../source/timeline/hybrid-clock.js';
import {type NodeReport, type ResourceUsage} from './scale-messages.js';
import {ScaleProcess} from './scale-process.js';

/** First loopback port of the benchmark, below the usual range of ephemeral ports. */
export const firstPort = 21_000;

const seedCount = 3;
const startBatchSize = 10;

/** A report with the name of the process that sent it. */
export type FleetReport = NodeReport & {readonly from: string};

/** Processes that exchange membership records and configuration changes over loopback, and a stand-in for the control instances. */
export class ScaleFleet {
	readonly reports: FleetReport[] = [];
	readonly processes: ScaleProcess[] = [];
	readonly #controlStore = new ConfigurationStore('', silentLogger);
	readonly #controlServer: LinkServer;

	constructor(private readonly size: number, private readonly seed: number) {
		const clock = new SystemClock();
		this.#controlServer = new LinkServer(clock, new HybridClock(clock));
		this.#controlStore.accept({kind: 'deltas', deltas: []});
		this.#controlServer.handle('configurationSince', async body => this.#controlStore.changesSince((body as {readonly revision: number}).revision));
	}

	/** Starts the processes in batches and waits until each holds the records of all. */
	async start(): Promise<void> {
		const controlAddress = await this.#controlServer.listen('127.0.0.1:0');
		const addresses = Array.from({length: this.size}, (_, index) => `127.0.0.1:${firstPort + index}`);
		for (let first = 0; first < this.size; first += startBatchSize) {
			await Promise.all(addresses.slice(first, first + startBatchSize).map(async (address, index) => this.#startProcess(first + index, address, addresses.slice(0, seedCount), controlAddress)));
		}

		await this.#waitForAgreement();
	}

	/** Returns the resource usage of all processes. */
	async usages(): Promise<readonly ResourceUsage[]> {
		return Promise.all(this.processes.map(async process => process.usage()));
	}

	/** Commits changes at the stand-in for control and tells only the first process to fetch them. It takes the part of a control process, which fetches its own commits at once; the other processes learn of the changes from their peers. */
	commit(count: number): void {
		for (let index = 0; index < count; index++) {
			const revision = (this.#controlStore.revision ?? 0) + 1;
			const overlay = `site: place-1\nlimits:\n  queueLength: ${revision}\n`;
			this.#controlStore.accept({kind: 'deltas', deltas: [{revision, files: {'place-1': overlay}, memberSets: {[`ledger-${revision}`]: ['a', 'b', 'c']}}]});
		}

		this.processes[0].send({kind: 'refresh'});
	}

	/** Revision that the stand-in for control holds. */
	get revision(): number {
		return this.#controlStore.revision ?? 0;
	}

	/** Kills one process. */
	async kill(process: ScaleProcess): Promise<void> {
		this.processes.splice(this.processes.indexOf(process), 1);
		await process.kill();
	}

	/** Kills all processes of the fleet. */
	async stop(): Promise<void> {
		await Promise.all(this.processes.map(async process => process.kill()));
		await this.#controlServer.close();
	}

	async #startProcess(index: number, address: string, seeds: readonly string[], controlAddress: string): Promise<void> {
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
				name: process.name, address, seeds, controlAddress, seed: this.seed + index, largeConfiguration: false,
			},
		});
		await ready;
	}

	async #waitForAgreement(): Promise<void> {
		const maximumAttempts = 60;
		for (let attempt = 0; attempt < maximumAttempts; attempt++) {
			const usages = await this.usages();
			if (usages.every(usage => usage.liveRecords === this.size)) {
				return;
			}

			await sleep(500);
		}

		throw new Error(`${this.size} processes did not agree on their records within 30 s`);
	}
}
