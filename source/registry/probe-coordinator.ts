import {type BackendServer} from '../backend-directory/types.js';
import {type Clock, type Milliseconds} from '../clock/clock.js';
import {divideConnections} from '../connection-budget/connection-budget.js';
import {type Address} from '../links/address.js';
import {type LinkClient, type RequestHandler} from '../links/link-client.js';
import {type Logger} from '../observability/logger.js';
import {type BackendServerMonitor} from '../promotion/backend-server-monitor.js';
import {assignProbe, type ProbeMode} from '../promotion/probe-assignment.js';
import {type RoutingTable} from '../routing-table/types.js';
import {type ControlDirectory} from './control-directory.js';
import {LimitWarnings} from './limit-warnings.js';
import {type ControlRecord, type PrimaryReport} from './messages.js';

/** Timeout of the request for the leader's reports; they are requested again in the next period. */
const reportTimeout: Milliseconds = 250;

/** Period at which the leader compares the connection limits with the size of the fleet. */
const limitCheckPeriod: Milliseconds = 10_000;

/** Dependencies of the coordinator. */
export type ProbeCoordinatorOptions = {
	readonly name: string;
	readonly linkAddress: Address;
	readonly clock: Clock;
	readonly logger: Logger;
	readonly linkClient: LinkClient;
	readonly linkServer: {handle(name: string, handler: RequestHandler): void};
	readonly controls: ControlDirectory;
	readonly monitor: BackendServerMonitor;
	readonly table: () => RoutingTable | undefined;
	/** Returns the name of the leader of the control log, if one is known. */
	readonly leaderName: () => string | undefined;
	/** Returns the link address of that leader. */
	readonly leaderAddress: () => Address | undefined;
	/** Returns whether this instance leads. */
	readonly isLeader: () => boolean;
	/** Returns the number of entries, or undefined while not all are known. */
	readonly entryCount: () => number | undefined;
};

/** Shares the probing of the backend servers with the other control instances, where connections are scarce. */
export class ProbeCoordinator {
	readonly #limitWarnings: LimitWarnings;
	#nextLimitCheckAt: Milliseconds = 0;
	#liveControls: readonly ControlRecord[] = [];
	/** Connection limits of the services of which not all control instances keep a connection. */
	#scarceLimits: ReadonlyMap<string, number> = new Map();
	#examinedTable: RoutingTable | undefined;
	#examinedCount = 0;

	constructor(private readonly options: ProbeCoordinatorOptions) {
		this.#limitWarnings = new LimitWarnings(options.logger);
	}

	/** Answers the requests of other control instances for reports. */
	start(): void {
		this.options.linkServer.handle('primaryReports', async () => this.options.monitor.primaryReports());
	}

	/** Returns how this instance probes a backend server. Called before each probe of each server, so that it only looks at what `update` has prepared. */
	probeMode({id, service}: BackendServer): ProbeMode {
		const connectionLimit = this.#scarceLimits.get(service);
		if (connectionLimit === undefined) {
			return 'kept';
		}

		const {name, leaderName} = this.options;
		return assignProbe({
			member: id, connectionLimit, controls: this.#liveControls, name, leader: leaderName(),
		});
	}

	/** Called periodically: finds the services with scarce connections, takes over the leader's reports on members that this instance does not probe, and warns of scarce limits while it leads. */
	update(): void {
		this.#findScarceLimits();
		void this.#adoptPrimaryReports();
		this.#warnOfScarceLimits();
	}

	#findScarceLimits(): void {
		const {controls, table} = this.options;
		this.#liveControls = controls.live;
		const controlCount = Math.max(1, this.#liveControls.length);
		const currentTable = table();
		if (currentTable === this.#examinedTable && controlCount === this.#examinedCount) {
			return;
		}

		this.#examinedTable = currentTable;
		this.#examinedCount = controlCount;
		const scarce = currentTable?.services.filter(({connectionLimit}) => divideConnections({connectionLimit, controlCount}).isScarce) ?? [];
		this.#scarceLimits = new Map(scarce.map(({name, connectionLimit}) => [name, connectionLimit]));
	}

	async #adoptPrimaryReports(): Promise<void> {
		const {monitor, clock, linkClient, linkAddress, leaderAddress} = this.options;
		const address = leaderAddress();
		if (this.#scarceLimits.size === 0 || !monitor.needsReports || address === undefined || address === linkAddress) {
			return;
		}

		const askedAt = clock.now();
		try {
			monitor.adoptReports(await linkClient.request(address, 'primaryReports', null, reportTimeout) as readonly PrimaryReport[], askedAt);
		} catch {
			// The reports held so far grow older; the next ones are requested in the next period.
		}
	}

	#warnOfScarceLimits(): void {
		const {clock, controls, table, isLeader, entryCount} = this.options;
		const currentTable = table();
		if (!currentTable || !isLeader() || clock.now() < this.#nextLimitCheckAt) {
			return;
		}

		const count = entryCount();
		if (count !== undefined) {
			this.#nextLimitCheckAt = clock.now() + limitCheckPeriod;
			this.#limitWarnings.check(currentTable, controls.live.length, count);
		}
	}
}
