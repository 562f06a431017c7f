import {Buffer} from 'node:buffer';
import {createConnection, type Socket} from 'node:net';
import {ListenerSet} from '../blackboard/listener-set.js';
import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {parseAddress, type Address} from '../links/address.js';
import {type TransactionStatus} from '../pool/messages.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {BackendConnection, BackendConnector} from './backend-connection.js';
import {BackendMessageSplitter, type BackendMessage} from './backend-message-splitter.js';
import {buildStartupMessage, continueStartup, type BackendCredentials} from './backend-startup.js';
import {readTransactionStatus} from './backend-messages.js';

/** Maximum length of a response in bytes. A response is forwarded in one frame between processes, and the limit leaves room for the other fields of the frame. */
export const maximumResponseBytes = 15 * 1024 * 1024;

type Exchange = {
	readonly startedAt: Milliseconds;
	readonly expectedReadyCount: number;
	readonly responses: Buffer[];
	readonly resolve: (responses: readonly Buffer[]) => void;
	readonly reject: (error: BuckthornhitchError) => void;
	readonly cancelTimeout: Cancel;
	currentResponseMessages: Buffer[];
	receivedLength: number;
};

/** Connection over a TCP socket that has completed start-up. */
class BackendSocketConnection extends BackendConnection {
	#exchange: Exchange | undefined;
	#closed = false;
	#transactionStatus: TransactionStatus = 'idle';
	readonly #closeListeners = new ListenerSet();

	constructor(private readonly socket: Socket, private readonly splitter: BackendMessageSplitter, private readonly address: Address, private readonly clock: Clock) {
		super();
		socket.on('data', chunk => {
			this.#handleData(chunk);
		});
		socket.on('close', () => {
			this.#closeWith('The backend server closed the connection.');
		});
		socket.on('end', () => {
			this.#closeWith('The backend server closed the connection.');
		});
	}

	override get isClosed(): boolean {
		return this.#closed;
	}

	override get transactionStatus(): TransactionStatus {
		return this.#transactionStatus;
	}

	override get busySince(): Milliseconds | undefined {
		return this.#exchange?.startedAt;
	}

	override async exchange(bytes: Buffer, expectedReadyCount: number, timeout: Milliseconds): Promise<readonly Buffer[]> {
		if (this.#closed || this.#exchange) {
			throw new BuckthornhitchError('linkNotSent', `The connection to ${this.address} is ${this.#closed ? 'closed' : 'in use'}.`);
		}

		return new Promise((resolve, reject) => {
			const cancelTimeout = this.clock.schedule(timeout, () => {
				this.#closeWith(`The response was not complete after ${Math.round(timeout)} ms.`);
			});
			this.#exchange = {
				startedAt: this.clock.now(), expectedReadyCount, responses: [], resolve, reject, cancelTimeout, currentResponseMessages: [], receivedLength: 0,
			};
			this.socket.write(bytes);
		});
	}

	override close(): void {
		this.#closeWith('The proxy closed the connection.');
	}

	override onClose(listener: () => void): () => void {
		return this.#closeListeners.add(listener);
	}

	#handleData(chunk: Buffer): void {
		try {
			for (const message of this.splitter.push(chunk)) {
				this.#handleMessage(message);
			}
		} catch (error) {
			this.#closeWith(toBuckthornhitchError(error).message);
		}
	}

	#handleMessage(message: BackendMessage): void {
		const exchange = this.#exchange;
		if (!exchange) {
			if (message.type === 'E') {
				this.#closeWith('The backend server reported an error while the connection was idle.');
			}

			return;
		}

		exchange.currentResponseMessages.push(message.raw);
		exchange.receivedLength += message.raw.length;
		if (exchange.receivedLength > maximumResponseBytes) {
			this.#closeWith(`The response exceeds the maximum of ${maximumResponseBytes} bytes.`);
		} else if (message.type === 'Z') {
			this.#transactionStatus = readTransactionStatus(message.body);
			exchange.responses.push(Buffer.concat(exchange.currentResponseMessages));
			exchange.currentResponseMessages = [];
			this.#resolveIfComplete(exchange);
		}
	}

	#resolveIfComplete(exchange: Exchange): void {
		if (exchange.responses.length < exchange.expectedReadyCount) {
			return;
		}

		this.#exchange = undefined;
		exchange.cancelTimeout();
		exchange.resolve(exchange.responses);
	}

	#closeWith(reason: string): void {
		if (this.#closed) {
			return;
		}

		this.#closed = true;
		this.socket.destroy();
		const exchange = this.#exchange;
		this.#exchange = undefined;
		exchange?.cancelTimeout();
		exchange?.reject(new BuckthornhitchError('memberUnreachable', `${this.address}: ${reason}`));
		this.#closeListeners.notify();
	}
}

/** Opens connections to backend servers over TCP and performs the start-up exchange. */
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
				fail(`The connection was not established after ${Math.round(timeout)} ms.`);
			});
			const onClose = (): void => {
				fail('The backend server closed the connection during start-up.');
			};

			const onData = (chunk: Buffer): void => {
				try {
					if (this.#continueStartup(socket, splitter.push(chunk))) {
						cancelTimeout();
						socket.off('data', onData);
						socket.off('close', onClose);
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
			socket.on('close', onClose);
			socket.on('data', onData);
			socket.once('connect', () => {
				socket.write(buildStartupMessage(this.credentials, database, appName));
			});
		});
	}

	#continueStartup(socket: Socket, messages: readonly BackendMessage[]): boolean {
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
