import {type Buffer} from 'node:buffer';
import {buildProxyErrorResponse} from '../postgres-protocol/backend-messages.js';
import {type FrontendMessage} from '../postgres-protocol/frontend-messages.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {ForwardingUnitCollector, type ForwardingUnit} from './forwarding-units.js';
import {type SessionExecutor} from './session-executor.js';

/** Sends the responses of a session to its caller and controls reading from it. */
export abstract class CallerOutput {
	/** Sends bytes. Returns a promise if the send buffer is full; it resolves when the buffer has been drained. */
	abstract send(bytes: Buffer): Promise<void> | undefined;

	/** Resumes (true) or pauses (false) reading from the caller. */
	abstract setReading(reading: boolean): void;

	/** Sends the last bytes, if any, and closes the connection. */
	abstract end(bytes?: Buffer): void;
}

/** Reading from the caller pauses when more units than this are queued behind the one in progress. */
export const maximumQueuedUnits = 32;

/** Number of queued bytes above which reading from the caller pauses. */
export const maximumQueuedBytes = 256 * 1024;

/** One caller's session. Executes its forwarding units one at a time, in the order received. */
export class EntrySession {
	#queue: ForwardingUnit[] = [];
	#queuedBytes = 0;
	#collector: ForwardingUnitCollector | undefined;
	#isProcessing = false;
	#isDraining = false;
	#isClosed = false;

	constructor(private readonly executor: SessionExecutor, private readonly output: CallerOutput) {}

	/** Whether the session has no open transaction and no request in progress. */
	get isIdle(): boolean {
		return !this.#isProcessing && this.#queue.length === 0 && !this.executor.inTransaction;
	}

	/** Receives messages of the caller. Throws malformedMessage for a message that the protocol does not allow at this point. */
	receive(messages: readonly FrontendMessage[]): void {
		if (this.#isClosed) {
			return;
		}

		this.#queueUnits(messages);
		if (!this.#isProcessing) {
			void this.#processQueue();
		}

		if (this.#isProcessing && (this.#queue.length > maximumQueuedUnits || this.#queuedBytes > maximumQueuedBytes)) {
			this.output.setReading(false);
		}
	}

	/** Ends the session as soon as it is idle. */
	drain(): void {
		this.#isDraining = true;
		this.#endIfDrained();
	}

	/** Handles the disconnection of the caller: discards queued units and has an open transaction rolled back by its pool. */
	close(): void {
		this.#isClosed = true;
		this.#queue = [];
		if (!this.#isProcessing) {
			this.executor.closeOpenTransaction();
		}
	}

	/** Ends the session at once. The error sent to the caller tells whether a request or transaction was interrupted. */
	shutDown(): void {
		if (this.#isClosed) {
			return;
		}

		const codeName = this.executor.inTransaction ? 'transactionLost' : 'draining';
		const error = new BuckthornhitchError(this.#isProcessing ? 'outcomeUnknown' : codeName, 'The entry stops.');
		this.close();
		this.output.end(buildProxyErrorResponse(error, 'FATAL'));
	}

	#queueUnits(messages: readonly FrontendMessage[]): void {
		this.#collector ??= new ForwardingUnitCollector();
		for (const message of messages) {
			this.#queuedBytes += message.bytes.length;
			const unit = this.#collector.add(message);
			if (unit) {
				this.#queue.push(unit);
			}
		}

		if (this.#collector.isEmpty) {
			this.#collector = undefined;
		}
	}

	async #processQueue(): Promise<void> {
		this.#isProcessing = true;
		for (let unit = this.#queue.shift(); unit; unit = this.#queue.shift()) {
			if (unit.kind === 'terminate') {
				this.#isClosed = true;
				this.output.end();
				break;
			}

			const response = await this.executor.execute(unit);
			if (this.#isClosed) {
				break;
			}

			await this.output.send(response);
			this.#resumeReading();
		}

		this.#isProcessing = false;
		if (this.#isClosed) {
			this.executor.closeOpenTransaction();
		} else {
			this.#endIfDrained();
		}
	}

	#resumeReading(): void {
		if (this.#queue.length === 0) {
			this.#queuedBytes = 0;
			this.output.setReading(true);
		}
	}

	#endIfDrained(): void {
		if (this.#isDraining && !this.#isClosed && this.isIdle) {
			this.#isClosed = true;
			this.output.end(buildProxyErrorResponse(new BuckthornhitchError('draining', ''), 'FATAL'));
		}
	}
}
