import {type Registry} from 'prom-client';
import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {type ConfigurationSource} from '../configuration/configuration-source.js';
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
import {reportDatabase} from './database-report.js';
import {MemberDirectory} from './member-directory.js';
import {type ExecuteResponse, type PoolStatusResponse} from './messages.js';
import {createPoolMetrics, type PoolMetrics} from './pool-metrics.js';
import {
	readAbandonRequest, readAnnouncement, readCloseTransaction, readExecuteRequest, readPromoteRequest, readYieldRequest,
} from './request-bodies.js';

/** Services that a pool process needs; `ProcessRuntime` has them all. */
export type PoolServices = {
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
	logger(part: string): Logger;
};

/** Ways to reach the backend servers, replaceable in tests. */
export type BackendClients = {
	readonly connector: BackendConnector;
	readonly clients: MemberClientFactory;
};

/** Identity of the pools on backend servers that ask for no password. */
export const defaultBackendCredentials: BackendCredentials = {user: 'buckthornhitch', password: null};

const housekeepingPeriod: Milliseconds = 500;

/** A request to another pool must be answered within this time. */
const peerTimeout: Milliseconds = 2000;

/** Returns the ways to reach backend servers over PostgreSQL protocol. */
export function createBackendClients(clock: Clock, poolName: string, credentials: BackendCredentials = defaultBackendCredentials): BackendClients {
	const connector = new BackendSocketConnector(clock, credentials);
	return {connector, clients: new PostgresMemberClientFactory(connector, poolName)};
}

/** The pool process: serves the databases whose leases it holds. */
export class PoolProcess {
	readonly #services = new Map<string, DatabaseService>();
	readonly #members: MemberDirectory;
	readonly #metrics: PoolMetrics;
	readonly #cancels: Cancel[] = [];
	readonly #yieldRequests = new Set<string>();
	#draining = false;
	#stopped = false;

	constructor(
		private readonly runtime: PoolServices,
		private readonly directory: ProcessDirectory,
		private readonly configuration: ConfigurationSource,
		private readonly backends: BackendClients = createBackendClients(runtime.clock, runtime.settings.name),
	) {
		this.#members = new MemberDirectory(runtime.clock);
		this.#metrics = createPoolMetrics(runtime.registry);
	}

	/** Registers the request handlers and starts the controllers. */
	start(): void {
		const {linkServer, clock} = this.runtime;
		linkServer.handle('execute', async (body, peer) => this.#execute(body, peer));
		linkServer.handle('abandonRequest', async body => {
			const request = readAbandonRequest(body);
			return this.#serviceOf(request.database).abandon(request);
		});
		linkServer.handle('closeTransaction', async body => {
			const {database, transactionId} = readCloseTransaction(body);
			this.#services.get(database)?.context.transactions.close(transactionId);
		});
		linkServer.handle('announce', async body => {
			this.#announce(body);
		});
		linkServer.handle('poolStatus', async () => this.status());
		linkServer.handle('drainPool', async () => {
			void this.drain();
		});
		linkServer.handle('promote', async body => {
			const {database, member} = readPromoteRequest(body);
			await this.#serviceOf(database).promote(member);
		});
		linkServer.handle('yieldDatabase', async body => {
			this.#yieldDatabase(body);
		});
		linkServer.onLinkClosed(({linkId}) => {
			for (const service of this.#services.values()) {
				service.context.transactions.closeOfLink(linkId);
			}
		});
		this.#cancels.push(
			this.directory.watch(() => {
				this.#updateAll();
			}),
			this.configuration.watch(() => {
				this.#updateAll();
			}),
			clock.repeat(housekeepingPeriod, () => {
				this.#runHousekeeping();
			}),
		);
		this.#record('started', this.runtime.settings.name);
	}

	/** Shuts down gracefully: lets open transactions end, then gives the leases back. */
	async drain(): Promise<void> {
		if (this.#draining) {
			return;
		}

		this.#draining = true;
		this.#record('drain started', this.runtime.settings.name);
		this.directory.markDraining();
		await Promise.all([...this.#services.values()].map(async service => service.giveUp(undefined)));
		this.#record('drain finished', this.runtime.settings.name);
	}

	/** Stops all controllers and closes all connections at once. */
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

	/** Returns the state for operators. */
	status(): PoolStatusResponse {
		return {
			name: this.runtime.settings.name,
			draining: this.#draining,
			configurationRevision: this.configuration.accepted()?.revision ?? 0,
			databases: [...this.#services.values()].map(service => reportDatabase(service, this.runtime.clock.now())),
		};
	}

	/** Returns the service of a database. Throws unknownDatabase. */
	serviceOf(database: string): DatabaseService {
		return this.#serviceOf(database);
	}

	async #execute(body: unknown, peer: LinkPeer): Promise<ExecuteResponse> {
		const request = readExecuteRequest(body);
		return this.#serviceOf(request.database).execute(request, peer.linkId);
	}

	#announce(body: unknown): void {
		const announcement = readAnnouncement(body);
		const isNew = this.#members.accept(announcement);
		if (isNew) {
			const {database, member, address, leaving} = announcement;
			this.#record(leaving ? 'member leaving' : 'member announced', `${database}/${member}`, address);
		}

		this.#serviceOf(announcement.database);
		if (isNew) {
			this.#update(announcement.database);
		}
	}

	#yieldDatabase(body: unknown): void {
		const {database, successor} = readYieldRequest(body);
		const service = this.#serviceOf(database);
		const {order} = service.board.read('ownership');
		const ownPlace = order.indexOf(this.runtime.settings.name);
		const otherPlace = order.indexOf(successor);
		if (otherPlace === -1 || (ownPlace !== -1 && ownPlace < otherPlace)) {
			throw new BuckthornhitchError('notOwner', order[0] ?? '');
		}

		if (!this.#draining) {
			void service.giveUp(successor);
		}
	}

	#serviceOf(database: string): DatabaseService {
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
		this.#update(database);
		service.start();
		return service;
	}

	#createService(database: string): DatabaseService {
		const {settings, clock, random, timeline} = this.runtime;
		let known = this.#configurationOf(database)!;
		return new DatabaseService({
			...this.backends,
			configuration: () => {
				known = this.#configurationOf(database) ?? known;
				return known;
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

	#updateAll(): void {
		for (const database of this.#services.keys()) {
			this.#update(database);
		}
	}

	#update(database: string): void {
		const service = this.#services.get(database);
		const configuration = this.#configurationOf(database);
		if (!service || !configuration) {
			return;
		}

		const order = ownershipOrder(database, this.#livePools(), configuration.place).map(({name}) => name);
		const agreed = this.configuration.accepted()?.memberSets[database] ?? [];
		service.board.write('ownership', {rank: order.indexOf(this.runtime.settings.name), order});
		service.board.write('memberCount', Math.max(configuration.memberCount, agreed.length));
		service.board.write('members', this.#members.membersOf(database, agreed));
	}

	#livePools(): readonly ProcessRecord[] {
		return this.directory.records().filter(record => record.role === 'pool' && takesNewWork(record));
	}

	#runHousekeeping(): void {
		for (const database of this.#members.dropExpired()) {
			this.#update(database);
		}

		for (const service of this.#services.values()) {
			this.#askHolder(service);
			this.#measure(service);
			this.#dropUnused(service);
		}
	}

	/** Drops the service of a database that is announced to other pools only. */
	#dropUnused(service: DatabaseService): void {
		const {rank} = service.board.read('ownership');
		if (rank !== 0 && service.board.read('members').size === 0 && service.isIdle) {
			service.stop();
			this.#services.delete(service.name);
		}
	}

	/** Asks a pool that holds leases of a database that this pool owns to give them up. */
	#askHolder({name, board, context}: DatabaseService): void {
		if (board.read('ownership').rank !== 0 || this.#draining || this.#yieldRequests.has(name)) {
			return;
		}

		const statuses = [...board.read('observations').values()].map(({status}) => status);
		const holder = statuses.find(({leaseHolder, leaseRemaining}) => leaseHolder !== '' && leaseRemaining > 0 && leaseHolder !== this.runtime.settings.name)?.leaseHolder;
		const record = this.directory.records().find(candidate => candidate.name === holder);
		if (!record) {
			return;
		}

		this.#yieldRequests.add(name);
		this.runtime.linkClient.request(record.linkAddress, 'yieldDatabase', {database: name, successor: this.runtime.settings.name}, peerTimeout)
			.catch(() => {
				// The holder may have failed; its leases expire then.
			})
			.finally(() => {
				this.#yieldRequests.delete(context.database);
			});
	}

	#measure(service: DatabaseService): void {
		const {name, context, board} = service;
		const {queueLength, slotsInUse, connections} = this.#metrics;
		queueLength.set({database: name, access: 'read'}, context.readQueue.length);
		queueLength.set({database: name, access: 'lookup'}, context.lookupQueue.length);
		queueLength.set({database: name, access: 'write'}, context.writeQueue.length);
		slotsInUse.set({database: name}, context.slots.inUse());
		let open = 0;
		for (const member of board.read('members').keys()) {
			open += service.connectionCount(member);
		}

		connections.set({database: name}, open);
	}

	#record(kind: string, subject: string, detail = ''): void {
		this.runtime.timeline.record('pool', kind, subject, detail);
		this.runtime.logger('pool').info(`${subject}: ${kind}${detail === '' ? '' : `: ${detail}`}`);
	}
}
