import {Buffer} from 'node:buffer';
import {createConnection, type Socket} from 'node:net';
import {ListenerSet} from '../blackboard/listener-set.js';
import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {parseAddress, type Address} from '../links/address.js';
import {type TransactionStatus} from '../pool/messages.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {BackendConnection, BackendConnector} from './backend-connection.js';
import {BackendMessageSplitter, type BackendMessage} from './backend-message-splitter.js';
import {buildStartup, continueStartup, type BackendCredentials} from './backend-startup.js';
import {readTransactionStatus} from './backend-messages.js';

/** Longest response in bytes; the rest of a link frame is left for the other fields. */
export const longestResponse = 15 * 1024 * 1024;

type Exchange = {
	readonly startedAt: Milliseconds;
	readonly readyCount: number;
	readonly responses: Buffer[];
	readonly resolve: (responses: readonly Buffer[]) => void;
	readonly reject: (error: BuckthornhitchError) => void;
	readonly cancelTimeout: Cancel;
	parts: Buffer[];
	length: number;
};

/** Connection over a TCP socket. */
class BackendSocketConnection extends BackendConnection {
	#exchange: Exchange | undefined;
	#closed = false;
	#status: TransactionStatus = 'idle';
	readonly #listeners = new ListenerSet();

	constructor(private readonly socket: Socket, private readonly splitter: BackendMessageSplitter, private readonly address: Address, private readonly clock: Clock) {
		super();
		socket.on('data', chunk => {
			this.#receive(chunk);
		});
		socket.on('close', () => {
			this.#end('The backend server closed the connection.');
		});
		socket.on('end', () => {
			this.#end('The backend server closed the connection.');
		});
	}

	override get closed(): boolean {
		return this.#closed;
	}

	override get transactionStatus(): TransactionStatus {
		return this.#status;
	}

	override get busySince(): Milliseconds | undefined {
		return this.#exchange?.startedAt;
	}

	override async exchange(bytes: Buffer, readyCount: number, timeout: Milliseconds): Promise<readonly Buffer[]> {
		if (this.#closed || this.#exchange) {
			throw new BuckthornhitchError('linkNotSent', `The connection to ${this.address} is ${this.#closed ? 'closed' : 'in use'}.`);
		}

		return new Promise((resolve, reject) => {
			const cancelTimeout = this.clock.schedule(timeout, () => {
				this.#end(`No complete response within ${Math.round(timeout)} ms.`);
			});
			this.#exchange = {
				startedAt: this.clock.now(), readyCount, responses: [], resolve, reject, cancelTimeout, parts: [], length: 0,
			};
			this.socket.write(bytes);
		});
	}

	override close(): void {
		this.#end('The connection was closed by the proxy.');
	}

	override onClose(listener: () => void): () => void {
		return this.#listeners.add(listener);
	}

	#receive(chunk: Buffer): void {
		try {
			for (const message of this.splitter.push(chunk)) {
				this.#accept(message);
			}
		} catch (error) {
			this.#end(toBuckthornhitchError(error).message);
		}
	}

	#accept(message: BackendMessage): void {
		const exchange = this.#exchange;
		if (!exchange) {
			if (message.type === 'E') {
				this.#end('The backend server reported an error outside of an exchange.');
			}

			return;
		}

		exchange.parts.push(message.raw);
		exchange.length += message.raw.length;
		if (exchange.length > longestResponse) {
			this.#end(`The response is longer than ${longestResponse} bytes.`);
		} else if (message.type === 'Z') {
			this.#status = readTransactionStatus(message.body);
			exchange.responses.push(Buffer.concat(exchange.parts));
			exchange.parts = [];
			this.#finishIfComplete(exchange);
		}
	}

	#finishIfComplete(exchange: Exchange): void {
		if (exchange.responses.length < exchange.readyCount) {
			return;
		}

		this.#exchange = undefined;
		exchange.cancelTimeout();
		exchange.resolve(exchange.responses);
	}

	#end(reason: string): void {
		if (this.#closed) {
			return;
		}

		this.#closed = true;
		this.socket.destroy();
		const exchange = this.#exchange;
		this.#exchange = undefined;
		exchange?.cancelTimeout();
		exchange?.reject(new BuckthornhitchError('memberUnreachable', `${this.address}: ${reason}`));
		this.#listeners.notify();
	}
}

/** Opens connections over TCP. */
export class BackendSocketConnector extends BackendConnector {
	constructor(private readonly clock: Clock, private readonly credentials: BackendCredentials) {
		super();
	}

	override async connect(address: Address, database: string, appName: string, timeout: Milliseconds): Promise<BackendConnection> {
		const {host, port} = parseAddress(address);
		return new Promise((resolve, reject) => {
			const socket = createConnection({host, port});
			const splitter = new BackendMessageSplitter();
			const fail = (reason: string): void => {
				cancelTimeout();
				socket.destroy();
				reject(new BuckthornhitchError('linkNotSent', `${address}: ${reason}`));
			};

			const cancelTimeout = this.clock.schedule(timeout, () => {
				fail(`No connection within ${Math.round(timeout)} ms.`);
			});
			const onEnd = (): void => {
				fail('The backend server closed the connection during start-up.');
			};

			const onData = (chunk: Buffer): void => {
				try {
					if (this.#continue(socket, splitter.push(chunk))) {
						cancelTimeout();
						socket.off('data', onData);
						socket.off('close', onEnd);
						resolve(new BackendSocketConnection(socket, splitter, address, this.clock));
					}
				} catch (error) {
					fail(toBuckthornhitchError(error).detail);
				}
			};

			socket.setNoDelay(true);
			socket.on('error', error => {
				fail(`${error.message}.`);
			});
			socket.on('close', onEnd);
			socket.on('data', onData);
			socket.once('connect', () => {
				socket.write(buildStartup(this.credentials, database, appName));
			});
		});
	}

	#continue(socket: Socket, messages: readonly BackendMessage[]): boolean {
		for (const message of messages) {
			const step = continueStartup(message, this.credentials);
			if (step.kind === 'send') {
				socket.write(step.bytes);
			} else if (step.kind === 'ready') {
				return true;
			}
		}

		return false;
	}
}
