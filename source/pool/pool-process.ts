import {type Registry} from 'prom-client';
import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {type ConfigurationView} from '../configuration/configuration-view.js';
import {type DatabaseConfiguration, type DeploymentConfiguration} from '../configuration/types.js';
import {type MemberClientFactory} from '../database-group/member-client.js';
import {PostgresMemberClientFactory} from '../database-group/postgres-member-client.js';
import {type LinkClient, type LinkPeer, type RequestHandler} from '../links/link-client.js';
import {type ProcessDirectory} from '../membership/process-directory.js';
import {takesNewWork, type ProcessRecord} from '../membership/process-record.js';
import {type Logger} from '../observability/logger.js';
import {ownershipOrder} from '../ownership/rendezvous.js';
import {type BackendConnector} from '../postgres-protocol/backend-connection.js';
import {BackendSocketConnector} from '../postgres-protocol/backend-socket-connector.js';
import {type BackendCredentials} from '../postgres-protocol/backend-startup.js';
import {type Random} from '../random/random.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type CommonSettings} from '../settings/common-settings.js';
import {type Timeline} from '../timeline/timeline.js';
import {DatabaseService} from './database-service.js';
import {buildDatabaseReport} from './database-report.js';
import {MemberDirectory} from './member-directory.js';
import {type ExecuteResponse, type PoolStatusResponse} from './messages.js';
import {createPoolMetrics, type PoolMetrics} from './pool-metrics.js';
import {
	parseAbandonRequest, parseAnnounceRequest, parseCloseTransactionNotice, parseExecuteRequest, parsePromoteRequest, parseYieldRequest,
} from './request-schemas.js';

/** Parts of `ProcessRuntime` that a pool needs. */
export type PoolRuntime = {
	readonly settings: Pick<CommonSettings, 'name' | 'dataCentre'>;
	readonly clock: Clock;
	readonly random: Random;
	readonly registry: Registry;
	readonly timeline: Timeline;
	readonly linkServer: {
		handle(name: string, handler: RequestHandler): void;
		onLinkClosed(listener: (peer: LinkPeer) => void): void;
	};
	readonly linkClient: LinkClient;
	logger(component: string): Logger;
};

/** Clients for the backend servers; tests replace them. */
export type BackendClients = {
	readonly connector: BackendConnector;
	/** Creates the clients that call the group functions of members over monitor connections. */
	readonly clients: MemberClientFactory;
};

/** Credentials of pools on backend servers that require no password. */
export const defaultBackendCredentials: BackendCredentials = {user: 'buckthornhitch', password: null};

const housekeepingInterval: Milliseconds = 500;

/** Timeout of requests to other pools. */
const peerRequestTimeout: Milliseconds = 2000;

/** Creates the clients that reach backend servers over the PostgreSQL protocol. */
export function createBackendClients(clock: Clock, poolName: string, credentials: BackendCredentials = defaultBackendCredentials): BackendClients {
	const connector = new BackendSocketConnector(clock, credentials);
	return {connector, clients: new PostgresMemberClientFactory(connector, poolName)};
}

/** Pool process: serves databases while it holds the leases of their members. */
export class PoolProcess {
	readonly #services = new Map<string, DatabaseService>();
	readonly #memberDirectory: MemberDirectory;
	readonly #metrics: PoolMetrics;
	readonly #cancels: Cancel[] = [];
	/** Databases for which a `yieldDatabase` request is in progress. */
	readonly #pendingYieldRequests = new Set<string>();
	#draining = false;
	#stopped = false;

	constructor(
		private readonly runtime: PoolRuntime,
		private readonly directory: ProcessDirectory,
		private readonly configuration: ConfigurationView,
		private readonly backendClients: BackendClients = createBackendClients(runtime.clock, runtime.settings.name),
	) {
		this.#memberDirectory = new MemberDirectory(runtime.clock);
		this.#metrics = createPoolMetrics(runtime.registry);
	}

	/** Registers the request handlers and starts the controllers. */
	start(): void {
		const {linkServer, clock} = this.runtime;
		linkServer.handle('execute', async (body, peer) => this.#execute(body, peer));
		linkServer.handle('abandonRequest', async body => {
			const request = parseAbandonRequest(body);
			return this.#getOrCreateService(request.database).abandon(request);
		});
		linkServer.handle('closeTransaction', async body => {
			const {database, transactionId} = parseCloseTransactionNotice(body);
			this.#services.get(database)?.context.transactions.close(transactionId);
		});
		linkServer.handle('announce', async body => {
			this.#handleAnnouncement(body);
		});
		linkServer.handle('poolStatus', async () => this.status());
		linkServer.handle('drainPool', async () => {
			void this.drain();
		});
		linkServer.handle('promote', async body => {
			const {database, member} = parsePromoteRequest(body);
			await this.#getOrCreateService(database).promote(member);
		});
		linkServer.handle('yieldDatabase', async body => {
			this.#handleYieldRequest(body);
		});
		linkServer.onLinkClosed(({linkId}) => {
			for (const service of this.#services.values()) {
				service.context.transactions.closeByLink(linkId);
			}
		});
		this.#cancels.push(
			this.directory.watch(() => {
				this.#updateAllServices();
			}),
			this.configuration.watch(() => {
				this.#updateAllServices();
			}),
			clock.repeat(housekeepingInterval, () => {
				this.#runHousekeeping();
			}),
		);
		this.#recordEvent('started', this.runtime.settings.name);
	}

	/** Shuts down gracefully: lets open transactions finish, then releases the leases. */
	async drain(): Promise<void> {
		if (this.#draining) {
			return;
		}

		this.#draining = true;
		this.#recordEvent('drain started', this.runtime.settings.name);
		this.directory.markDraining();
		await Promise.all([...this.#services.values()].map(async service => service.handOver(undefined)));
		this.#recordEvent('drain finished', this.runtime.settings.name);
	}

	/** Stops all controllers and closes all connections immediately. */
	stop(): void {
		this.#stopped = true;
		for (const cancel of this.#cancels.splice(0)) {
			cancel();
		}

		for (const service of this.#services.values()) {
			service.stop();
		}

		this.#services.clear();
	}

	/** Returns the status report for operators. */
	status(): PoolStatusResponse {
		return {
			name: this.runtime.settings.name,
			draining: this.#draining,
			configurationRevision: this.configuration.accepted()?.revision ?? 0,
			databases: [...this.#services.values()].map(service => buildDatabaseReport(service, this.runtime.clock.now())),
		};
	}

	/** Returns the service of a database and creates it if necessary. Throws unknownDatabase, or draining after the process was stopped. */
	serviceOf(database: string): DatabaseService {
		return this.#getOrCreateService(database);
	}

	async #execute(body: unknown, peer: LinkPeer): Promise<ExecuteResponse> {
		const request = parseExecuteRequest(body);
		return this.#getOrCreateService(request.database).execute(request, peer.linkId);
	}

	#handleAnnouncement(body: unknown): void {
		const announcement = parseAnnounceRequest(body);
		const hasChanged = this.#memberDirectory.store(announcement);
		if (hasChanged) {
			const {database, member, address, leaving} = announcement;
			this.#recordEvent(leaving ? 'member leaving' : 'member announced', `${database}/${member}`, address);
		}

		this.#getOrCreateService(announcement.database);
		if (hasChanged) {
			this.#updateService(announcement.database);
		}
	}

	#handleYieldRequest(body: unknown): void {
		const {database, successor} = parseYieldRequest(body);
		const service = this.#getOrCreateService(database);
		const {order} = service.board.read('ownership');
		const ownRank = order.indexOf(this.runtime.settings.name);
		const successorRank = order.indexOf(successor);
		if (successorRank === -1 || (ownRank !== -1 && ownRank < successorRank)) {
			throw new BuckthornhitchError('notOwner', order[0] ?? '');
		}

		if (!this.#draining) {
			void service.handOver(successor);
		}
	}

	#getOrCreateService(database: string): DatabaseService {
		const existing = this.#services.get(database);
		if (existing) {
			return existing;
		}

		if (this.#stopped) {
			throw new BuckthornhitchError('draining', '');
		}

		if (!this.#configurationOf(database)) {
			throw new BuckthornhitchError('unknownDatabase', `"${database}"`);
		}

		const service = this.#createService(database);
		this.#services.set(database, service);
		this.#updateService(database);
		service.start();
		return service;
	}

	#createService(database: string): DatabaseService {
		const {settings, clock, random, timeline} = this.runtime;
		let lastConfiguration = this.#configurationOf(database)!;
		return new DatabaseService({
			...this.backendClients,
			configuration: () => {
				lastConfiguration = this.#configurationOf(database) ?? lastConfiguration;
				return lastConfiguration;
			},
			poolName: settings.name,
			dataCentre: settings.dataCentre,
			clock,
			random,
			limits: () => this.#deployment().limits,
			timeouts: () => this.#deployment().timeouts,
			metrics: this.#metrics,
			timeline,
			logger: this.runtime.logger('group'),
		});
	}

	#deployment(): DeploymentConfiguration {
		const deployment = this.configuration.deployment();
		if (!deployment) {
			throw new BuckthornhitchError('unknownDatabase', 'No configuration has arrived yet.');
		}

		return deployment;
	}

	#configurationOf(database: string): DatabaseConfiguration | undefined {
		return this.configuration.deployment()?.databases.find(({name}) => name === database);
	}

	#updateAllServices(): void {
		for (const database of this.#services.keys()) {
			this.#updateService(database);
		}
	}

	#updateService(database: string): void {
		const service = this.#services.get(database);
		const configuration = this.#configurationOf(database);
		if (!service || !configuration) {
			return;
		}

		const order = ownershipOrder(database, this.#poolsTakingNewWork(), configuration.place).map(({name}) => name);
		const memberSet = this.configuration.accepted()?.memberSets[database] ?? [];
		service.board.write('ownership', {rank: order.indexOf(this.runtime.settings.name), order});
		service.board.write('memberCount', Math.max(configuration.memberCount, memberSet.length));
		service.board.write('members', this.#memberDirectory.membersOf(database, memberSet));
	}

	#poolsTakingNewWork(): readonly ProcessRecord[] {
		return this.directory.records().filter(record => record.role === 'pool' && takesNewWork(record));
	}

	#runHousekeeping(): void {
		for (const database of this.#memberDirectory.dropExpired()) {
			this.#updateService(database);
		}

		for (const service of this.#services.values()) {
			this.#requestHandover(service);
			this.#updateGauges(service);
			this.#removeUnusedService(service);
		}
	}

	/** Removes the idle service of a database that this pool does not own and whose members are no longer announced to it. */
	#removeUnusedService(service: DatabaseService): void {
		const {rank} = service.board.read('ownership');
		if (rank !== 0 && service.board.read('members').size === 0 && service.isIdle) {
			service.stop();
			this.#services.delete(service.name);
		}
	}

	/** Asks another pool that still holds leases of a database owned by this pool to hand the database over. */
	#requestHandover({name, board, context}: DatabaseService): void {
		if (board.read('ownership').rank !== 0 || this.#draining || this.#pendingYieldRequests.has(name)) {
			return;
		}

		const statuses = [...board.read('observations').values()].map(({status}) => status);
		const holder = statuses.find(({leaseHolder, leaseRemaining}) => leaseHolder !== '' && leaseRemaining > 0 && leaseHolder !== this.runtime.settings.name)?.leaseHolder;
		const record = this.directory.records().find(candidate => candidate.name === holder);
		if (!record) {
			return;
		}

		this.#pendingYieldRequests.add(name);
		this.runtime.linkClient.request(record.linkAddress, 'yieldDatabase', {database: name, successor: this.runtime.settings.name}, peerRequestTimeout)
			.catch(() => {
				// The lease holder may have failed; its leases then expire.
			})
			.finally(() => {
				this.#pendingYieldRequests.delete(context.database);
			});
	}

	#updateGauges(service: DatabaseService): void {
		const {name, context, board} = service;
		const {queueLength, slotsInUse, connections} = this.#metrics;
		queueLength.set({database: name, access: 'read'}, context.readQueue.length);
		queueLength.set({database: name, access: 'lookup'}, context.boundedStalenessQueue.length);
		queueLength.set({database: name, access: 'write'}, context.writeQueue.length);
		slotsInUse.set({database: name}, context.slots.inUse());
		let openConnections = 0;
		for (const member of board.read('members').keys()) {
			openConnections += service.connectionCount(member);
		}

		connections.set({database: name}, openConnections);
	}

	#recordEvent(kind: string, subject: string, detail = ''): void {
		this.runtime.timeline.record('pool', kind, subject, detail);
		this.runtime.logger('pool').info(`${subject}: ${kind}${detail === '' ? '' : `: ${detail}`}`);
	}
}
