import {type Buffer} from 'node:buffer';
import {serialize} from 'pg-protocol';
import {Registry} from 'prom-client';
import {ListenerSet} from '../blackboard/listener-set.js';
import {type Clock, type Milliseconds} from '../clock/clock.js';
import {StaticConfigurationView} from '../configuration/configuration-view.js';
import {type DeploymentConfiguration} from '../configuration/types.js';
import {type LinkClient, type LinkPeer, type RequestHandler} from '../links/link-client.js';
import {StaticProcessDirectory} from '../membership/process-directory.js';
import {type ProcessRecord} from '../membership/process-record.js';
import {silentLogger} from '../observability/logger.js';
import {SeededRandom} from '../random/random.js';
import {HybridClock} from '../timeline/hybrid-clock.js';
import {Timeline} from '../timeline/timeline.js';
import {
	type AbandonRequest, type AbandonResponse, type ExecuteRequest, type ExecuteResponse,
} from './messages.js';
import {PoolProcess, type BackendClients, type PoolRuntime} from './pool-process.js';

/** Name of the database in pool tests. */
export const testDatabase = 'notices';

/** Deployment configuration of pool tests, with the default timeouts. */
export const poolTestDeployment: DeploymentConfiguration = {
	deployment: 'test',
	places: [{name: 'chc-a', region: 'canterbury'}],
	databases: [{
		name: testDatabase, service: 'notice-core', place: 'chc-a', memberCount: 3, slots: 3, connections: 45, connectTime: 12,
	}],
	limits: {
		queueLength: 100, requestDeadline: 5000, statementTimeout: 5000, replicaWait: 50, requestIdRetention: 86_400_000, callersPerEntry: 100, drainTime: 30_000,
	},
	timeouts: {
		heartbeat: 200, silence: 600, freshConnection: 400, lease: 1000, promotionStagger: 500,
	},
};

/** Creates the process record of a live pool. */
export function createPoolRecord(name: string): ProcessRecord {
	return {
		name, role: 'pool', instance: name, dataCentre: 'chc-a', region: 'canterbury', linkAddress: `${name}:1`, gossipAddress: `${name}:2`, incarnation: 1, state: 'alive', configurationRevision: 1,
	};
}

/** Link server that passes requests to the handlers without a socket. */
export class InMemoryLinkServer {
	readonly #handlers = new Map<string, RequestHandler>();
	readonly #listeners = new ListenerSet<[peer: LinkPeer]>();

	handle(name: string, handler: RequestHandler): void {
		this.#handlers.set(name, handler);
	}

	onLinkClosed(listener: (peer: LinkPeer) => void): void {
		this.#listeners.add(listener);
	}

	async request(name: string, body: unknown, linkId = 1): Promise<unknown> {
		return this.#handlers.get(name)?.(body, {linkId});
	}

	closeLink(linkId: number): void {
		this.#listeners.notify({linkId});
	}
}

/** A started pool process with the requests that tests send to it. */
export type TestPool = {
	readonly pool: PoolProcess;
	readonly server: InMemoryLinkServer;
	readonly registry: Registry;
	readonly timeline: Timeline;
	readonly directory: StaticProcessDirectory;
	execute(statement: string, request?: Partial<ExecuteRequest>): Promise<ExecuteResponse>;
	abandon(requestId: string, request?: Partial<AbandonRequest>): Promise<AbandonResponse>;
	announce(members: ReadonlyArray<{readonly name: string; readonly address: string}>, leaving?: readonly string[]): Promise<void>;
};

/** Options of startTestPool. */
export type TestPoolOptions = {
	readonly name?: string;
	readonly clock: Clock;
	readonly backendClients: BackendClients;
	readonly linkClient?: LinkClient;
	readonly directory?: StaticProcessDirectory;
	readonly statementTimeout?: Milliseconds;
};

/** Starts a pool process for a database with the members a, b and c. */
export function startTestPool({
	name = 'pool-1', clock, backendClients, linkClient, directory = new StaticProcessDirectory([createPoolRecord(name)], name), statementTimeout = 5000,
}: TestPoolOptions): TestPool {
	const server = new InMemoryLinkServer();
	const registry = new Registry();
	const timeline = new Timeline(name, new HybridClock(clock));
	const runtime: PoolRuntime = {
		settings: {name, dataCentre: 'chc-a'}, clock, random: new SeededRandom(7), registry, timeline, linkServer: server, linkClient: linkClient!, logger: () => silentLogger,
	};
	const deployment = {...poolTestDeployment, limits: {...poolTestDeployment.limits, statementTimeout}};
	const configuration = new StaticConfigurationView({revision: 1, files: {}, memberSets: {[testDatabase]: ['a', 'b', 'c']}}, deployment);
	const pool = new PoolProcess(runtime, directory, configuration, backendClients);
	pool.start();
	return {
		pool,
		server,
		registry,
		timeline,
		directory,
		async execute(statement, request = {}) {
			return await server.request('execute', {...buildExecuteRequest(serialize.query(statement)), ...request}) as ExecuteResponse;
		},
		async abandon(requestId, request = {}) {
			return await server.request('abandonRequest', {
				database: testDatabase, requestId, deadline: 2000, ...request,
			}) as AbandonResponse;
		},
		async announce(members, leaving = []) {
			for (const {name: member, address} of members) {
				await server.request('announce', {
					database: testDatabase, member, address, dataCentre: 'chc-a', leaving: leaving.includes(member),
				});
			}
		},
	};
}

function buildExecuteRequest(bytes: Buffer): ExecuteRequest {
	return {
		database: testDatabase, sessionId: 's', transactionId: null, access: 'write', bytes, neededPoint: null, maximumAge: null, requestId: null, deadline: 5000,
	};
}
