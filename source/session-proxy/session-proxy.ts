import {type BackendDirectory} from '../backend-directory/backend-directory.js';
import {type BackendServer} from '../backend-directory/types.js';
import {Controller} from '../blackboard/blackboard.js';
import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {type Logger} from '../observability/logger.js';
import {uniqueId} from '../random/random.js';
import {type BackendReachability, type PrimaryReport} from '../registry/messages.js';
import {type Route, type RoutingTable} from '../routing-table/types.js';
import {type MemberConnector} from '../statement/member-connection.js';
import {type RequestLog} from './request-log.js';
import {type MemberPool} from './member-pool.js';
import {ServiceClient} from './service-client.js';
import {StatementSession} from './statement-session.js';

/** What the proxy of an entry instance needs. */
export type SessionProxyOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly requestLog: RequestLog;
	readonly directory: BackendDirectory;
	readonly connector: MemberConnector;
	readonly dataCentre: string;
	/** Returns how many connections this instance may have to a member. */
	readonly mostConnections: (server: BackendServer) => number;
};

/** Time for which a new session waits for the first configuration; below the time after which callers give up. */
const firstTableTimeout: Milliseconds = 1500;

/** Period at which silent members are dropped. */
const refreshPeriod: Milliseconds = 1000;

/** Period at which members that do not answer are asked again. */
const probePeriod: Milliseconds = 300;

/** Serves callers' sessions with the members that the configuration and the directory name. */
export class SessionProxy extends Controller {
	#table: RoutingTable | undefined;
	#routes = new Map<string, Route>();
	readonly #clients = new Map<string, ServiceClient>();
	readonly #tableWaiters = new Set<() => void>();
	#cancel: Cancel | undefined;
	#cancelProbe: Cancel | undefined;

	constructor(private readonly options: SessionProxyOptions) {
		super();
	}

	/** The routing table in force on this instance. */
	get table(): RoutingTable | undefined {
		return this.#table;
	}

	override start(): void {
		this.options.directory.onChange(server => {
			this.#clients.get(server.service)?.refresh();
		});
		this.#cancelProbe = this.options.clock.repeat(probePeriod, () => {
			for (const client of this.#clients.values()) {
				client.probeFailing();
			}
		});
		this.#cancel = this.options.clock.repeat(refreshPeriod, () => {
			this.options.directory.prune();
			for (const client of this.#clients.values()) {
				client.refresh();
			}
		});
	}

	override stop(): void {
		this.#cancel?.();
		this.#cancelProbe?.();
	}

	/** Puts a newer table in force. */
	replaceTable(table: RoutingTable): void {
		this.#table = table;
		this.#routes = new Map(table.routes.map(route => [route.database, route]));
		for (const {name} of table.services) {
			this.#client(name);
		}

		for (const resolve of this.#tableWaiters) {
			resolve();
		}

		this.#tableWaiters.clear();
	}

	/** Takes over what control instances confirmed. */
	receivePrimaries(reports: readonly PrimaryReport[], askedAt: Milliseconds): void {
		for (const report of reports) {
			this.#clients.get(report.service)?.receiveReport(report, askedAt);
		}
	}

	/** Returns the connections to a member, if it is known. */
	poolOf(service: string, member: string): MemberPool | undefined {
		return this.#clients.get(service)?.poolOf(member);
	}

	/** Returns how this instance fares with every member. */
	contacts(): readonly BackendReachability[] {
		return [...this.#clients.values()].flatMap(client => client.contacts());
	}

	/** Opens a session; resolves with undefined when no route has the database's name, and with 'notReady' when no configuration arrived in time. */
	async open(database: string): Promise<StatementSession | 'notReady' | undefined> {
		if (!this.#table) {
			await this.#firstTable();
		}

		if (!this.#table) {
			return 'notReady';
		}

		if (!this.#routes.has(database)) {
			return undefined;
		}

		return new StatementSession(uniqueId(), database, {
			clock: this.options.clock,
			dataCentre: this.options.dataCentre,
			requestLog: this.options.requestLog,
			table: () => this.#table,
			route: name => this.#routes.get(name),
			client: service => this.#client(service),
		});
	}

	async #firstTable(): Promise<void> {
		return new Promise(resolve => {
			const cancel = this.options.clock.schedule(firstTableTimeout, () => {
				this.#tableWaiters.delete(arrived);
				resolve();
			});
			const arrived = (): void => {
				cancel();
				resolve();
			};

			this.#tableWaiters.add(arrived);
		});
	}

	#client(service: string): ServiceClient {
		let client = this.#clients.get(service);
		if (!client) {
			const {clock, logger, directory, connector, dataCentre, mostConnections} = this.options;
			client = new ServiceClient({
				service,
				clock,
				logger,
				directory,
				connector,
				dataCentre,
				mostConnections,
			});
			this.#clients.set(service, client);
		}

		return client;
	}
}
