import {Buffer} from 'node:buffer';
import {setImmediate} from 'node:timers';
import {Registry} from 'prom-client';
import {ManualClock} from '../clock/manual-clock.js';
import {StaticConfigurationView} from '../configuration/configuration-view.js';
import {type DeploymentConfiguration} from '../configuration/types.js';
import {type Address} from '../links/address.js';
import {LinkClient} from '../links/link-client.js';
import {StaticProcessDirectory} from '../membership/process-directory.js';
import {type ProcessRecord, type ProcessRole} from '../membership/process-record.js';
import {type ExecuteRequest, type ExecuteResponse, type TransactionStatus} from '../pool/messages.js';
import {
	messageRanges, bindComplete, closeComplete, buildCommandComplete, buildErrorResponse, emptyParameterDescription, parseComplete, buildReadyForQuery, buildTextDataRow, buildTextRowDescription,
} from '../postgres-protocol/backend-messages.js';
import {
	FrontendMessageSplitter, readBind, readParse, readQuery, readDescribeOrClose, type FrontendMessage,
} from '../postgres-protocol/frontend-messages.js';
import {SeededRandom} from '../random/random.js';
import {HybridClock} from '../timeline/hybrid-clock.js';
import {Timeline} from '../timeline/timeline.js';
import {EntryAdmission} from './entry-admission.js';
import {EntryMetrics} from './entry-metrics.js';
import {CallerOutput} from './entry-session.js';
import {FailureEventRecorder} from './failure-event-recorder.js';
import {PoolRouter} from './pool-router.js';
import {RetryBudget} from './retry-budget.js';

/** Handles an `execute` request in place of a pool; tests replace it to cause failures. */
export type ExecuteHandler = (request: ExecuteRequest, address: Address) => Promise<ExecuteResponse>;

/** Request or notice as a fake pool received it. */
export type ReceivedRequest = {
	readonly address: Address;
	readonly name: string;
	readonly body: unknown;
};

/** Link client with fake pools behind it. Every statement returns its own text as a row. */
export class FakePoolLinkClient extends LinkClient {
	readonly receivedRequests: ReceivedRequest[] = [];
	readonly notices: ReceivedRequest[] = [];
	#position = 0;
	readonly #connections = new Map<string, FakePoolConnection>();
	/** Handles all requests other than `execute`. */
	onOtherRequest: (name: string, body: unknown, address: Address) => Promise<unknown> = async () => null;
	onExecute: ExecuteHandler = async request => this.execute(request);

	/** All `execute` requests received so far. */
	get executeRequests(): readonly ExecuteRequest[] {
		return this.receivedRequests.filter(({name}) => name === 'execute').map(({body}) => body as ExecuteRequest);
	}

	override async request(address: Address, name: string, body: unknown): Promise<unknown> {
		this.receivedRequests.push({address, name, body});
		return name === 'execute' ? this.onExecute(body as ExecuteRequest, address) : this.onOtherRequest(name, body, address);
	}

	override notify(address: Address, name: string, body: unknown): void {
		this.notices.push({address, name, body});
	}

	/** Executes a request on the connection of its transaction, or on a new connection. */
	execute(request: ExecuteRequest): ExecuteResponse {
		const connection = this.#connections.get(request.transactionId ?? '') ?? new FakePoolConnection();
		const bytes = connection.run(request.bytes);
		if (connection.status === 'idle') {
			this.#connections.delete(request.transactionId ?? '');
		} else {
			this.#connections.set(request.transactionId ?? '', connection);
		}

		this.#position += request.access === 'write' ? 1 : 0;
		return {
			bytes, transactionStatus: connection.status, point: {term: 1, position: this.#position}, servedBy: 'one', servedByRole: 'primary',
		};
	}
}

/** Database connection of a fake pool: keeps prepared statements and a transaction status. */
class FakePoolConnection {
	status: TransactionStatus = 'idle';
	readonly #statements = new Map<string, string>();
	#hasFailed = false;
	#boundText = '';

	run(bytes: Buffer): Buffer {
		const parts: Buffer[] = [];
		for (const message of new FrontendMessageSplitter().push(bytes)) {
			if (message.type === 'S' || !this.#hasFailed) {
				parts.push(this.#respond(message));
			}
		}

		return Buffer.concat(parts);
	}

	#respond(message: FrontendMessage): Buffer {
		switch (message.type) {
			case 'Q': {
				const text = readQuery(message);
				return Buffer.concat([buildTextRowDescription('text'), this.#execute(text), buildReadyForQuery(this.status)]);
			}

			case 'P': {
				const {statementName, text} = readParse(message);
				this.#statements.set(statementName, text);
				return parseComplete;
			}

			case 'B': {
				return this.#lookUp(readBind(message).statementName, bindComplete);
			}

			case 'D': {
				const {kind, name} = readDescribeOrClose(message);
				return kind === 'portal' ? buildTextRowDescription('text') : this.#lookUp(name, Buffer.concat([emptyParameterDescription, buildTextRowDescription('text')]));
			}

			case 'E': {
				return this.#execute(this.#boundText);
			}

			case 'C': {
				this.#statements.delete(readDescribeOrClose(message).name);
				return closeComplete;
			}

			default: {
				this.#hasFailed = false;
				return buildReadyForQuery(this.status);
			}
		}
	}

	#lookUp(name: string, response: Buffer): Buffer {
		const text = this.#statements.get(name);
		if (text === undefined) {
			this.#hasFailed = true;
			return buildErrorResponse({severity: 'ERROR', sqlState: '26000', message: 'The prepared statement does not exist.'});
		}

		this.#boundText = text;
		return response;
	}

	#execute(text: string): Buffer {
		const [command] = text.trim().toUpperCase().split(/[\s;]/v);
		if (command === 'BEGIN') {
			this.status = 'open';
		} else if (command === 'COMMIT' || command === 'ROLLBACK') {
			this.status = 'idle';
		}

		return Buffer.concat([buildTextDataRow(text), buildCommandComplete(command)]);
	}
}

/** Deployment configuration with one database. */
export const entryTestDeployment: DeploymentConfiguration = {
	deployment: 'test',
	places: [{name: 'here', region: 'region'}],
	databases: [{
		name: 'notices', service: 'notice-core', place: 'here', memberCount: 3, slots: 3, connections: 45, connectTime: 12,
	}],
	limits: {
		queueLength: 10, requestDeadline: 1000, statementTimeout: 5000, replicaWait: 50, requestIdRetention: 86_400_000, callersPerEntry: 20, drainTime: 30_000,
	},
	timeouts: {
		heartbeat: 200, silence: 600, freshConnection: 400, lease: 1000, promotionStagger: 500,
	},
};

/** Returns a configuration view with the given deployment configuration. */
export function testConfigurationView(deployment = entryTestDeployment): StaticConfigurationView {
	return new StaticConfigurationView({revision: 1, files: {}, memberSets: {notices: ['one', 'two', 'three']}}, deployment);
}

/** Returns the record of a live process. Its link address is its name followed by port 1. */
export function testProcessRecord(name: string, role: ProcessRole = 'pool', change: Partial<ProcessRecord> = {}): ProcessRecord {
	return {
		name, role, instance: name, dataCentre: 'here', region: 'region', linkAddress: `${name}:1`, gossipAddress: `${name}:2`, incarnation: 0, state: 'alive', configurationRevision: 1, ...change,
	};
}

/** Creates the services of a session on a manual clock, with the given link client. */
export function createTestServices(links: LinkClient, directory = new StaticProcessDirectory([testProcessRecord('first'), testProcessRecord('second')])) {
	const clock = new ManualClock();
	const configuration = testConfigurationView();
	const timeline = new Timeline('entry', new HybridClock(clock));
	const metrics = new EntryMetrics(new Registry());
	const router = new PoolRouter({
		clock, random: new SeededRandom(1), linkClient: links, directory, configuration, retryBudget: new RetryBudget(clock), onRetry: () => undefined,
	});
	return {
		clock, configuration, directory, timeline, metrics, router, admission: new EntryAdmission(), failureEventRecorder: new FailureEventRecorder(clock, timeline),
	};
}

/** Output that records what a session sends. */
export class RecordingCallerOutput extends CallerOutput {
	readonly responses: Buffer[] = [];
	isEnded = false;
	isReading = true;

	/** Message types of everything sent so far: one string of type letters for each response. */
	get responseTypes(): readonly string[] {
		return this.responses.map(bytes => [...messageRanges(bytes)].map(({type}) => type).join(''));
	}

	override send(bytes: Buffer): undefined {
		this.responses.push(bytes);
	}

	override setReading(reading: boolean): void {
		this.isReading = reading;
	}

	override end(bytes?: Buffer): void {
		this.isEnded = true;
		if (bytes) {
			this.responses.push(bytes);
		}
	}
}

/** Waits until pending promises have settled. */
export async function settlePromises(): Promise<void> {
	return new Promise(resolve => {
		setImmediate(resolve);
	});
}
