import {type Announcement} from '../source/announcement/types.js';
import {type Milliseconds} from '../source/clock/clock.js';
import {StaticConfigurationView} from '../source/configuration/configuration-view.js';
import {type DatabaseConfiguration, type DeploymentConfiguration} from '../source/configuration/types.js';
import {EntryProcess} from '../source/entry/entry-process.js';
import {type Address} from '../source/links/address.js';
import {StaticProcessDirectory} from '../source/membership/process-directory.js';
import {type ProcessRecord, type ProcessRole} from '../source/membership/process-record.js';
import {type LogLevel} from '../source/observability/logger.js';
import {PoolProcess} from '../source/pool/pool-process.js';
import {mergeEvents, type TimelineEvent} from '../source/timeline/timeline.js';
import {FaultInjectingRelay} from './fault-injecting-relay.js';
import {LocalServices} from './local-services.js';
import {StandInMember} from './member.js';

/** Sizes and delays of a local fleet. */
export type LocalFleetOptions = {
	readonly database: string;
	readonly dataCentres: readonly string[];
	readonly pools: number;
	readonly entries: number;
	/** Maximum number of concurrent statements of each member. */
	readonly slots: number;
	/** Maximum number of open connections of each member. */
	readonly connections: number;
	/** Time that opening a connection to a member takes: simulated by the members and stated in the configuration. */
	readonly connectTime: Milliseconds;
	/** One-way latency between pools and members. */
	readonly latency: Milliseconds;
	readonly serviceTime: Milliseconds;
	readonly applyDelay: Milliseconds;
	readonly receiveDelay: Milliseconds;
	readonly seed: number;
	readonly logLevel?: LogLevel;
	/** Address that the first entry listens on for callers; a free loopback port by default. */
	readonly callerAddress?: Address;
	/** Returns a changed copy of the default configuration. */
	readonly configure?: (deployment: DeploymentConfiguration) => DeploymentConfiguration;
};

/** Default sizes: one database of the Waitaha example deployment, without network latency. */
export const defaultFleetOptions: LocalFleetOptions = {
	database: 'notice-core-1',
	dataCentres: ['chc-a', 'dun-a', 'hok-a'],
	pools: 2,
	entries: 2,
	slots: 3,
	connections: 45,
	connectTime: 12,
	latency: 0,
	serviceTime: 0,
	applyDelay: 20,
	receiveDelay: 0,
	seed: 1,
};

/** A member and the relay in front of it. */
export type LocalMember = {
	readonly member: StandInMember;
	readonly relay: FaultInjectingRelay;
};

/** A pool or entry process, its clock, links, logger and other runtime dependencies, and its address. */
export type LocalProcess<Process> = {
	readonly process: Process;
	readonly services: LocalServices;
	readonly address: Address;
};

const announcementPeriod: Milliseconds = 1000;
const minute: Milliseconds = 60_000;
const memberNames = ['member-1', 'member-2', 'member-3'];

/** Entries, pools and a database group of stand-in members in one process, connected over loopback. */
export class LocalFleet {
	readonly members: LocalMember[] = [];
	readonly pools: Array<LocalProcess<PoolProcess>> = [];
	readonly entries: Array<LocalProcess<EntryProcess>> = [];
	readonly directory = new StaticProcessDirectory([]);
	readonly configuration: StaticConfigurationView;
	#announcementTimer: ReturnType<typeof setInterval> | undefined;

	constructor(readonly options: LocalFleetOptions) {
		this.configuration = this.#createConfiguration();
	}

	/** Starts members, pools and entries. Resolves when the group has a primary. */
	async start(): Promise<void> {
		await this.#startMembers();
		for (let index = 0; index < this.options.pools; index++) {
			await this.#startPool(index);
		}

		for (let index = 0; index < this.options.entries; index++) {
			await this.#startEntry(index);
		}

		await this.announce();
		this.#announcementTimer = setInterval(() => {
			void this.announce();
		}, announcementPeriod);
		await this.#waitForPrimary();
	}

	/** Returns the primary of the highest term that accepts writes, or undefined. */
	primary(): LocalMember | undefined {
		const candidates = this.members.filter(({member}) => member.status().acceptingWrites);
		return candidates.toSorted((first, second) => second.member.status().primaryTerm - first.member.status().primaryTerm)[0];
	}

	/** Announces all members to all pools, as entries do in a deployment. */
	async announce(): Promise<void> {
		for (const {address, services} of this.pools) {
			for (const [index, {member, relay}] of this.members.entries()) {
				const announcement: Announcement = {
					database: this.options.database, member: member.name, address: relay.address, dataCentre: this.#dataCentre(index), leaving: false,
				};
				await services.linkClient.request(address, 'announce', announcement, announcementPeriod).catch(() => undefined);
			}
		}
	}

	/** Returns the timeline events of all pools and entries, merged. */
	events(): readonly TimelineEvent[] {
		return mergeEvents([...this.pools, ...this.entries].map(({services}) => services.timeline.events()));
	}

	/** Stops entries, pools, relays and members. */
	async stop(): Promise<void> {
		clearInterval(this.#announcementTimer);
		for (const {process, services} of this.entries) {
			await process.stop();
			await services.close();
		}

		for (const {process, services} of this.pools) {
			process.stop();
			await services.close();
		}

		for (const {member, relay} of this.members) {
			relay.close();
			await member.stop();
		}
	}

	async #startMembers(): Promise<void> {
		const {slots, connections, connectTime, serviceTime, applyDelay, receiveDelay, latency} = this.options;
		for (const name of memberNames) {
			const member = new StandInMember({
				name, slots, connectionLimit: connections, connectDelay: connectTime, serviceTime, applyDelay, receiveDelay,
			});
			await member.start();
			const relay = new FaultInjectingRelay({target: member.address, latency});
			await relay.start();
			this.members.push({member, relay});
		}
	}

	async #startPool(index: number): Promise<void> {
		const services = new LocalServices(`pool-${index + 1}`, this.#dataCentre(index), this.options.seed + index, this.options.logLevel);
		const address = await services.listen();
		const process = new PoolProcess(services, this.directory, this.configuration);
		this.pools.push({process, services, address});
		this.#addProcessRecord(services, 'pool', address);
		process.start();
	}

	async #startEntry(index: number): Promise<void> {
		const services = new LocalServices(`entry-${index + 1}`, this.#dataCentre(index), this.options.seed + 1000 + index, this.options.logLevel);
		const process = new EntryProcess({
			services,
			directory: this.directory,
			configuration: this.configuration,
			settings: {
				name: services.settings.name,
				callerAddress: index === 0 && this.options.callerAddress ? this.options.callerAddress : '127.0.0.1:0',
				announcementAddress: '127.0.0.1:0',
				controls: [],
				passwordFile: undefined,
			},
		});
		await process.start();
		this.entries.push({process, services, address: process.callerAddress});
		this.#addProcessRecord(services, 'entry', process.callerAddress);
	}

	#addProcessRecord(services: LocalServices, role: ProcessRole, address: Address): void {
		const {name, dataCentre} = services.settings;
		const record: ProcessRecord = {
			name, role, instance: name, dataCentre, region: dataCentre, linkAddress: address, gossipAddress: address, incarnation: 1, state: 'alive', configurationRevision: 1,
		};
		this.directory.replace([...this.directory.records(), record]);
	}

	#dataCentre(index: number): string {
		return this.options.dataCentres[index % this.options.dataCentres.length];
	}

	#createConfiguration(): StaticConfigurationView {
		const {database, dataCentres, slots, connections, connectTime, configure = deployment => deployment} = this.options;
		const databaseConfiguration: DatabaseConfiguration = {
			name: database, service: database, place: dataCentres[0], memberCount: memberNames.length, slots, connections, connectTime,
		};
		const deployment: DeploymentConfiguration = {
			deployment: 'local',
			places: dataCentres.map(name => ({name, region: name})),
			databases: [databaseConfiguration],
			limits: {
				queueLength: 1000, requestDeadline: 5000, statementTimeout: minute / 2, replicaWait: 50, requestIdRetention: 24 * 60 * minute, callersPerEntry: 12_000, drainTime: minute / 2,
			},
			timeouts: {
				heartbeat: 200, silence: 600, freshConnection: 400, lease: 1000, promotionStagger: 500,
			},
		};
		const memberSets = {[database]: memberNames};
		return new StaticConfigurationView({revision: 1, files: {}, memberSets}, configure(deployment));
	}

	async #waitForPrimary(): Promise<void> {
		while (!this.primary()) {
			await new Promise(resolve => {
				setTimeout(resolve, 10);
			});
		}
	}
}
