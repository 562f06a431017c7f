import {fork, type ChildProcess} from 'node:child_process';
import {Socket} from 'node:net';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {
	array, command, flag, multioption, number, option, run,
} from 'cmd-ts';
import {StaticConfigurationView} from '../source/configuration/configuration-view.js';
import {type DeploymentConfiguration} from '../source/configuration/types.js';
import {StaticProcessDirectory} from '../source/membership/process-directory.js';
import {PoolProcess} from '../source/pool/pool-process.js';
import {LocalServices} from '../stand-in/local-services.js';
import {type HostResponse, type HostCommand} from './member-host.js';

const membersPerDatabase = 3;
const settleMilliseconds = 4000;
const announcementPeriodMilliseconds = 2000;
const promotionTimeoutMilliseconds = 30_000;

type Measurement = {
	readonly measure: string;
	readonly size: number;
	readonly value: number;
	readonly unit: string;
	readonly method: string;
};

async function sleep(duration: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, duration);
	});
}

/** Child process that runs the stand-in members, so that their processor time, memory and traffic are not measured as those of the pool. */
class MemberHost {
	readonly #child: ChildProcess = fork(fileURLToPath(new URL('member-host.js', import.meta.url)));

	async send(hostCommand: HostCommand): Promise<HostResponse> {
		return new Promise(resolve => {
			this.#child.once('message', response => {
				resolve(response as HostResponse);
			});
			this.#child.send(hostCommand);
		});
	}

	close(): void {
		this.#child.kill();
	}
}

function databaseName(index: number): string {
	return `database-${index + 1}`;
}

function memberNames(database: string): readonly string[] {
	return Array.from({length: membersPerDatabase}, (_, index) => `${database}-member-${index + 1}`);
}

function createConfigurationView(databaseCount: number): StaticConfigurationView {
	const databases = Array.from({length: databaseCount}, (_, index) => databaseName(index));
	const deployment: DeploymentConfiguration = {
		deployment: 'scale',
		places: [{name: 'place', region: 'region'}],
		databases: databases.map(name => ({
			name, service: 'scale', place: 'place', memberCount: membersPerDatabase, slots: 3, connections: 45, connectTime: 0,
		})),
		limits: {
			queueLength: 1000, requestDeadline: 5000, statementTimeout: 30_000, replicaWait: 50, requestIdRetention: 86_400_000, callersPerEntry: 12_000, drainTime: 1000,
		},
		timeouts: {
			heartbeat: 200, silence: 600, freshConnection: 400, lease: 1000, promotionStagger: 500,
		},
	};
	return new StaticConfigurationView({revision: 1, files: {}, memberSets: Object.fromEntries(databases.map(name => [name, memberNames(name)]))}, deployment);
}

/** Returns the bytes sent and received on all open sockets of this process. */
function socketBytes(): number {
	const handles = (process as unknown as {_getActiveHandles(): readonly unknown[]})._getActiveHandles();
	let bytes = 0;
	for (const handle of handles) {
		if (handle instanceof Socket) {
			bytes += handle.bytesRead + handle.bytesWritten;
		}
	}

	return bytes;
}

/** Measures one pool that owns a number of idle databases. */
class PoolScaleRun {
	readonly #memberHost = new MemberHost();
	readonly #services = new LocalServices('pool-1', 'place', 1, undefined);
	readonly #configuration: StaticConfigurationView;
	readonly #pool: PoolProcess;
	readonly #databases: readonly string[];
	#announcementTimer: ReturnType<typeof setInterval> | undefined;

	constructor(private readonly databaseCount: number, private readonly idleDuration: number) {
		this.#databases = Array.from({length: databaseCount}, (_, index) => databaseName(index));
		this.#configuration = createConfigurationView(databaseCount);
		const directory = new StaticProcessDirectory([{
			name: 'pool-1',
			role: 'pool',
			instance: 'pool-1',
			dataCentre: 'place',
			region: 'region',
			linkAddress: '127.0.0.1:1',
			gossipAddress: '127.0.0.1:1',
			incarnation: 1,
			state: 'alive',
			configurationRevision: 1,
		}]);
		this.#pool = new PoolProcess(this.#services, directory, this.#configuration);
	}

	async measure(promotionCounts: readonly number[]): Promise<readonly Measurement[]> {
		const memoryBefore = residentBytes();
		const address = await this.#services.listen();
		this.#pool.start();
		const names = this.#databases.flatMap(database => memberNames(database));
		const {addresses} = await this.#memberHost.send({kind: 'start', names});
		await this.#announce(address, addresses);
		this.#announcementTimer = setInterval(() => {
			void this.#announce(address, addresses);
		}, announcementPeriodMilliseconds);
		await this.#waitUntilWritable(this.#databases);
		await sleep(settleMilliseconds);
		const idleMeasurements = await this.#measureIdle(memoryBefore);
		const promotionMeasurements: Measurement[] = [];
		for (const promotionCount of promotionCounts.filter(count => count <= this.databaseCount)) {
			promotionMeasurements.push(...await this.#measurePromotions(promotionCount));
		}

		await this.#stop();
		return [...idleMeasurements, ...promotionMeasurements];
	}

	async #measureIdle(memoryBefore: number): Promise<readonly Measurement[]> {
		const method = `one pool process, ${this.databaseCount} databases of 3 stand-in members in another process, ${this.idleDuration / 1000} s without statements`;
		const processorBefore = process.cpuUsage();
		const bytesBefore = socketBytes();
		const startedAt = performance.now();
		await sleep(this.idleDuration);
		const seconds = (performance.now() - startedAt) / 1000;
		const {user, system} = process.cpuUsage(processorBefore);
		return [
			{
				measure: 'pool processor share', size: this.databaseCount, value: (user + system) / 1e6 / seconds, unit: 'core', method,
			},
			{
				measure: 'pool traffic with members', size: this.databaseCount, value: (socketBytes() - bytesBefore) / seconds, unit: 'byte/s', method,
			},
			{
				measure: 'pool memory', size: this.databaseCount, value: residentBytes() - memoryBefore, unit: 'byte', method,
			},
		];
	}

	async #measurePromotions(size: number): Promise<readonly Measurement[]> {
		const databases = this.#databases.slice(0, size);
		const primaries = databases.map(database => this.#primaryOf(database));
		await this.#memberHost.send({kind: 'stop', names: primaries});
		const startedAt = performance.now();
		const promotionTimes: number[] = [];
		await Promise.all(databases.map(async (database, index) => {
			await this.#waitUntilPrimaryIsNot(database, primaries[index]);
			promotionTimes.push(performance.now() - startedAt);
		}));
		await this.#memberHost.send({kind: 'start', names: primaries});
		await this.#waitUntilWritable(databases);
		await sleep(settleMilliseconds);
		const sortedTimes = promotionTimes.toSorted((first, second) => first - second);
		const method = `primaries of ${size} of ${this.databaseCount} databases stopped together; time until each has a new primary that takes writes`;
		return [
			{
				measure: 'promotion time, median', size, value: sortedTimes[Math.floor(sortedTimes.length / 2)], unit: 'ms', method,
			},
			{
				measure: 'promotion time, longest', size, value: sortedTimes.at(-1)!, unit: 'ms', method,
			},
		];
	}

	#primaryOf(database: string): string {
		return this.#pool.status().databases.find(report => report.database === database)!.primary!;
	}

	async #waitUntilPrimaryIsNot(database: string, formerPrimary: string): Promise<void> {
		const deadline = performance.now() + promotionTimeoutMilliseconds;
		for (;;) {
			const primary = this.#pool.status().databases.find(report => report.database === database)?.primary;
			if ((primary ?? formerPrimary) !== formerPrimary || performance.now() > deadline) {
				return;
			}

			await sleep(5);
		}
	}

	async #waitUntilWritable(databases: readonly string[]): Promise<void> {
		await Promise.all(databases.map(async database => this.#pool.serviceOf(database).whenWritable(promotionTimeoutMilliseconds)));
	}

	async #announce(poolAddress: string, addresses: Readonly<Record<string, string>>): Promise<void> {
		await Promise.all(this.#databases.flatMap(database => memberNames(database).map(async member => this.#services.linkClient.request(poolAddress, 'announce', {
			database, member, address: addresses[member], dataCentre: 'place', leaving: false,
		}, announcementPeriodMilliseconds).catch(() => undefined))));
	}

	async #stop(): Promise<void> {
		clearInterval(this.#announcementTimer);
		this.#pool.stop();
		await this.#services.close();
		this.#memberHost.close();
	}
}

function residentBytes(): number {
	globalThis.gc?.();
	return process.memoryUsage.rss();
}

const program = command({
	name: 'pool-scale',
	description: 'measures the cost of monitoring databases and the time of promotions by number of databases',
	args: {
		json: flag({long: 'json', description: 'print one JSON object per line'}),
		sizes: multioption({
			type: array(number), long: 'size', description: 'number of databases; can be repeated', defaultValue: () => [3, 30, 300],
		}),
		seconds: option({
			type: number, long: 'seconds', description: 'duration of each idle measurement in seconds', defaultValue: () => 10,
		}),
	},
	async handler({json, sizes, seconds}) {
		for (const size of sizes) {
			const poolScaleRun = new PoolScaleRun(size, seconds * 1000);
			for (const measurement of await poolScaleRun.measure([1, 10, 50])) {
				console.log(json ? JSON.stringify(measurement) : `${measurement.measure}, ${measurement.size}: ${measurement.value.toPrecision(4)} ${measurement.unit}`);
			}
		}
	},
});

await run(program, process.argv.slice(2));
