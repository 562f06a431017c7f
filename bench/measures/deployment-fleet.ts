import pg from 'pg';
import {type Milliseconds} from '../../source/clock/clock.js';
import {parseAddress} from '../../source/links/address.js';
import {deployments, type DeploymentName} from '../../stand-in/deployments.js';
import {FaultInjectingRelay} from '../../stand-in/fault-injecting-relay.js';
import {defaultFleetOptions, LocalFleet, type LocalFleetOptions} from '../../stand-in/local-fleet.js';
import {sleep} from './sleep.js';

/** One-way latency between regions in both example deployments. */
const regionLatency: Milliseconds = 12;

/** One-way latency between callers and entries. */
const callerLatency: Readonly<Record<DeploymentName, Milliseconds>> = {waitaha: 1, tengiz: 3};

/** Number of reads by role of the member that served them. */
export type ReadCounts = {
	readonly primary: number;
	readonly replica: number;
};

/** A local fleet with the network latencies of an example deployment: pools and entries are in the data centre of the first member, the other members in other regions. */
export class DeploymentFleet {
	readonly fleet: LocalFleet;
	readonly #callerRelays: FaultInjectingRelay[] = [];
	readonly #clients: pg.Client[] = [];

	constructor(private readonly deployment: DeploymentName, options: Partial<LocalFleetOptions>) {
		const {dataCentres, databases, connections} = deployments[deployment];
		this.fleet = new LocalFleet({
			...defaultFleetOptions, database: databases[0], dataCentres: dataCentres.map(({name}) => name), connections, serviceTime: 2, ...options,
		});
	}

	async start(): Promise<void> {
		await this.fleet.start();
		for (const [index, {relay, member}] of this.fleet.members.entries()) {
			relay.latency = index === 0 ? 0 : regionLatency;
			// Replication does not pass through the relay, so the latency is added to the receive delay.
			member.receiveDelay += index === 0 ? 0 : regionLatency;
		}

		for (const {address} of this.fleet.entries) {
			const relay = new FaultInjectingRelay({target: address, latency: callerLatency[this.deployment]});
			await relay.start();
			this.#callerRelays.push(relay);
		}
	}

	/** Connects a caller to one of the entries; a maximum age such as `5s` applies to all its reads. */
	async connect(entryIndex: number, maximumAge = ''): Promise<pg.Client> {
		const client = new pg.Client({
			...parseAddress(this.#callerRelays[entryIndex % this.#callerRelays.length].address),
			user: 'bench',
			database: this.fleet.options.database,
			options: maximumAge === '' ? undefined : `-c buckthornhitch.max_age=${maximumAge}`,
		});
		client.on('error', () => {
			// The next query on the connection reports the failure.
		});
		await client.connect();
		this.#clients.push(client);
		return client;
	}

	/** Returns how many reads with or without a maximum age the pools have served. */
	async readCounts(hasMaximumAge: boolean): Promise<ReadCounts> {
		const counts = {primary: 0, replica: 0};
		for (const {services} of this.fleet.pools) {
			const metric = await services.registry.getSingleMetric('buckthornhitch_pool_reads_total')?.get();
			for (const {labels, value} of metric?.values ?? []) {
				if (labels.stated_age === String(hasMaximumAge)) {
					counts[labels.role as keyof ReadCounts] += value;
				}
			}
		}

		return counts;
	}

	/** Resolves once all members follow one primary, all leases are held and no pool suspects a member. */
	async waitUntilHealthy(): Promise<void> {
		const isHealthy = (): boolean => {
			const primary = this.fleet.primary()?.member.status();
			const isGroupReady = this.fleet.members.every(({member}) => {
				const {primaryMember, primaryTerm, logTerm, leaseHolder, leaseRemaining} = member.status();
				return primaryMember === primary?.member && primaryTerm === primary.primaryTerm && logTerm === primary.logTerm && leaseHolder !== '' && leaseRemaining > 0;
			});
			const noneSuspected = this.fleet.pools.every(({process}) => process.serviceOf(this.fleet.options.database).board.read('suspects').size === 0);
			return isGroupReady && noneSuspected;
		};

		while (!isHealthy()) {
			await sleep(20);
		}
	}

	/** Resolves once all members have applied the latest write. Before that, a lookup on a replica may fail because the table does not exist there yet. Such a failure must not count against the proxy. */
	async waitUntilApplied(): Promise<void> {
		const lastPosition = this.fleet.primary()!.member.status().receivedPosition;
		while (this.fleet.members.some(({member}) => member.status().appliedPosition < lastPosition)) {
			await sleep(20);
		}
	}

	async stop(): Promise<void> {
		await Promise.all(this.#clients.map(async client => client.end().catch(() => undefined)));
		for (const relay of this.#callerRelays) {
			relay.close();
		}

		await this.fleet.stop();
	}
}
