import {Buffer} from 'node:buffer';
import {setImmediate} from 'node:timers';
import {Registry} from 'prom-client';
import {ManualClock} from '../clock/manual-clock.js';
import {StaticConfigurationSource} from '../configuration/configuration-source.js';
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
import {FailureEvents} from './failure-events.js';
import {PoolRouter} from './pool-router.js';
import {RetryBudget} from './retry-budget.js';

/** Answers one `execute` request of a pool; tests replace it to bring about failures. */
export type PoolBehaviour = (request: ExecuteRequest, address: Address) => Promise<ExecuteResponse>;

/** One request as the stand-in pool received it. */
export type ReceivedRequest = {
	readonly address: Address;
	readonly name: string;
	readonly body: unknown;
};

/** Stands in for the links and the pools behind them, for tests: every statement returns its own text as a row. */
export class FakePoolLinkClient extends LinkClient {
	readonly receivedRequests: ReceivedRequest[] = [];
	readonly notices: ReceivedRequest[] = [];
	#position = 0;
	readonly #connections = new Map<string, FakeConnection>();
	/** Answers other requests than `execute`. */
	onOtherRequest: (name: string, body: unknown, address: Address) => Promise<unknown> = async () => null;
	behaviour: PoolBehaviour = async request => this.execute(request);

	/** The received `execute` requests. */
	get executed(): readonly ExecuteRequest[] {
		return this.receivedRequests.filter(({name}) => name === 'execute').map(({body}) => body as ExecuteRequest);
	}

	override async request(address: Address, name: string, body: unknown): Promise<unknown> {
		this.receivedRequests.push({address, name, body});
		return name === 'execute' ? this.behaviour(body as ExecuteRequest, address) : this.onOtherRequest(name, body, address);
	}

	override notify(address: Address, name: string, body: unknown): void {
		this.notices.push({address, name, body});
	}

	/** Carries out a request on a connection of its own, or on that of its transaction. */
	execute(request: ExecuteRequest): ExecuteResponse {
		const connection = this.#connections.get(request.transactionId ?? '') ?? new FakeConnection();
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

class FakeConnection {
	status: TransactionStatus = 'idle';
	readonly #statements = new Map<string, string>();
	#failed = false;
	#bound = '';

	run(bytes: Buffer): Buffer {
		const parts: Buffer[] = [];
		for (const message of new FrontendMessageSplitter().push(bytes)) {
			if (message.type === 'S' || !this.#failed) {
				parts.push(this.#answer(message));
			}
		}

		return Buffer.concat(parts);
	}

	#answer(message: FrontendMessage): Buffer {
		switch (message.type) {
			case 'Q': {
				const text = readQuery(message);
				return Buffer.concat([buildTextRowDescription('text'), this.#execute(text), buildReadyForQuery(this.status)]);
			}

			case 'P': {
				const {statement, text} = readParse(message);
				this.#statements.set(statement, text);
				return parseComplete;
			}

			case 'B': {
				return this.#lookUp(readBind(message).statement, bindComplete);
			}

			case 'D': {
				const {kind, name} = readDescribeOrClose(message);
				return kind === 'portal' ? buildTextRowDescription('text') : this.#lookUp(name, Buffer.concat([emptyParameterDescription, buildTextRowDescription('text')]));
			}

			case 'E': {
				return this.#execute(this.#bound);
			}

			case 'C': {
				this.#statements.delete(readDescribeOrClose(message).name);
				return closeComplete;
			}

			default: {
				this.#failed = false;
				return buildReadyForQuery(this.status);
			}
		}
	}

	#lookUp(name: string, answer: Buffer): Buffer {
		const text = this.#statements.get(name);
		if (text === undefined) {
			this.#failed = true;
			return buildErrorResponse({severity: 'ERROR', sqlState: '26000', message: 'The prepared statement does not exist.'});
		}

		this.#bound = text;
		return answer;
	}

	#execute(text: string): Buffer {
		const [word] = text.trim().toUpperCase().split(/[\s;]/v);
		if (word === 'BEGIN') {
			this.status = 'open';
		} else if (word === 'COMMIT' || word === 'ROLLBACK') {
			this.status = 'idle';
		}

		return Buffer.concat([buildTextDataRow(text), buildCommandComplete(word)]);
	}
}

/** Configuration with one database, for tests. */
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

/** Configuration source with the test deployment. */
export function testConfigurationSource(deployment = entryTestDeployment): StaticConfigurationSource {
	return new StaticConfigurationSource({revision: 1, files: {}, memberSets: {notices: ['one', 'two', 'three']}}, deployment);
}

/** Record of a live process; its link address is its name with a port. */
export function testRecord(name: string, role: ProcessRole = 'pool', change: Partial<ProcessRecord> = {}): ProcessRecord {
	return {
		name, role, instance: name, dataCentre: 'here', region: 'region', linkAddress: `${name}:1`, gossipAddress: `${name}:2`, incarnation: 0, state: 'alive', configurationRevision: 1, ...change,
	};
}

/** Services of a session over the stand-in pools, on a clock that only the test moves. */
export function testServices(links: LinkClient, directory = new StaticProcessDirectory([testRecord('first'), testRecord('second')])) {
	const clock = new ManualClock();
	const configuration = testConfigurationSource();
	const timeline = new Timeline('entry', new HybridClock(clock));
	const metrics = new EntryMetrics(new Registry());
	const router = new PoolRouter({
		clock, random: new SeededRandom(1), linkClient: links, directory, configuration, budget: new RetryBudget(clock), onRetry: () => undefined,
	});
	return {
		clock, configuration, directory, timeline, metrics, router, admission: new EntryAdmission(), failureEvents: new FailureEvents(clock, timeline),
	};
}

/** Output that keeps what a session sends, as the type letters of the messages. */
export class RecordingOutput extends CallerOutput {
	readonly answers: Buffer[] = [];
	ended = false;
	reading = true;

	/** Type letters of all messages sent so far, one text for each answer. */
	get types(): readonly string[] {
		return this.answers.map(bytes => [...messageRanges(bytes)].map(({type}) => type).join(''));
	}

	override send(bytes: Buffer): undefined {
		this.answers.push(bytes);
	}

	override setReading(reading: boolean): void {
		this.reading = reading;
	}

	override end(bytes?: Buffer): void {
		this.ended = true;
		if (bytes) {
			this.answers.push(bytes);
		}
	}
}

/** Lets pending promises settle. */
export async function settle(): Promise<void> {
	return new Promise(resolve => {
		setImmediate(resolve);
	});
}
