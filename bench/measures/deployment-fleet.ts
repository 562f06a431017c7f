import pg from 'pg';
import {type Milliseconds} from '../../source/clock/clock.js';
import {parseAddress} from '../../source/links/address.js';
import {deployments, type DeploymentName} from '../../stand-in/deployments.js';
import {FaultInjectingRelay} from '../../stand-in/fault-injecting-relay.js';
import {defaultFleetOptions, LocalFleet, type LocalFleetOptions} from '../../stand-in/local-fleet.js';
import {pause} from './pause.js';

/** One-way latency between regions in both deployments. */
const regionLatency: Milliseconds = 12;

/** One-way latency between callers and entries. */
const callerLatency: Readonly<Record<DeploymentName, Milliseconds>> = {waitaha: 1, tengiz: 3};

/** Reads by role of the member that served them. */
export type ReadCounts = {
	readonly primary: number;
	readonly replica: number;
};

/** A local fleet with the distances of a deployment: pool and entry are in the place of the first member, the other members in other regions. */
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
			// Replication from the first member does not pass another relay, so the distance is added to the receipt.
			member.receiveDelay += index === 0 ? 0 : regionLatency;
		}

		for (const {address} of this.fleet.entries) {
			const relay = new FaultInjectingRelay({target: address, latency: callerLatency[this.deployment]});
			await relay.start();
			this.#callerRelays.push(relay);
		}
	}

	/** Opens a caller of one of the entries; the stated age such as `5s` holds for all its reads. */
	async connect(entry: number, statedAge = ''): Promise<pg.Client> {
		const client = new pg.Client({
			...parseAddress(this.#callerRelays[entry % this.#callerRelays.length].address),
			user: 'bench',
			database: this.fleet.options.database,
			options: statedAge === '' ? undefined : `-c buckthornhitch.max_age=${statedAge}`,
		});
		client.on('error', () => {
			// The next query on the connection fails.
		});
		await client.connect();
		this.#clients.push(client);
		return client;
	}

	/** Returns how many reads the pools have served with or without a stated age. */
	async readCounts(hasStatedAge: boolean): Promise<ReadCounts> {
		const counts = {primary: 0, replica: 0};
		for (const {services} of this.fleet.pools) {
			const metric = await services.registry.getSingleMetric('buckthornhitch_pool_reads_total')?.get();
			for (const {labels, value} of metric?.values ?? []) {
				if (labels.stated_age === String(hasStatedAge)) {
					counts[labels.role as keyof ReadCounts] += value;
				}
			}
		}

		return counts;
	}

	/** Resolves once all members follow one primary, no pool suspects a member and the owner holds all leases. */
	async waitUntilHealthy(): Promise<void> {
		const isHealthy = (): boolean => {
			const primary = this.fleet.primary()?.member.status();
			const follows = this.fleet.members.every(({member}) => {
				const {primaryMember, primaryTerm, logTerm, leaseHolder, leaseRemaining} = member.status();
				return primaryMember === primary?.member && primaryTerm === primary.primaryTerm && logTerm === primary.logTerm && leaseHolder !== '' && leaseRemaining > 0;
			});
			const isTrusted = this.fleet.pools.every(({process}) => process.serviceOf(this.fleet.options.database).board.read('suspects').size === 0);
			return follows && isTrusted;
		};

		while (!isHealthy()) {
			await pause(20);
		}
	}

	/** Resolves once all members show the same data; before that a lookup may rightly find no table. */
	async waitUntilApplied(): Promise<void> {
		const last = this.fleet.primary()!.member.status().receivedPosition;
		while (this.fleet.members.some(({member}) => member.status().appliedPosition < last)) {
			await pause(20);
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
