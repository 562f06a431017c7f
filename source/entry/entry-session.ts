import {type Buffer} from 'node:buffer';
import {buildNumberedErrorResponse} from '../postgres-protocol/backend-messages.js';
import {type FrontendMessage} from '../postgres-protocol/frontend-messages.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {UnitCollector, type ForwardingUnit} from './forwarding-units.js';
import {type SessionExecutor} from './session-executor.js';

/** Where a session writes its answers. */
export abstract class CallerOutput {
	/** Sends bytes; the promise, if any, resolves when the caller has taken enough of them. */
	abstract send(bytes: Buffer): Promise<void> | undefined;

	/** Stops or resumes reading from the caller. */
	abstract setReading(reading: boolean): void;

	/** Sends the last bytes and closes the connection. */
	abstract end(bytes?: Buffer): void;
}

/** Units that may wait behind the one in progress before reading from the caller stops. */
export const pipelineLimit = 32;

/** Bytes that may wait behind the unit in progress before reading from the caller stops. */
export const pipelineLimitBytes = 256 * 1024;

/** One caller's session: answers its units one after the other, in the order in which they came. */
export class EntrySession {
	#queue: ForwardingUnit[] = [];
	#queuedBytes = 0;
	#collector: UnitCollector | undefined;
	#running = false;
	#draining = false;
	#closed = false;

	constructor(private readonly executor: SessionExecutor, private readonly output: CallerOutput) {}

	/** Whether the session holds no transaction and no unanswered request. */
	get idle(): boolean {
		return !this.#running && this.#queue.length === 0 && !this.executor.inTransaction;
	}

	/** Takes messages of the caller. Throws malformedMessage for one that the protocol does not allow here. */
	receive(messages: readonly FrontendMessage[]): void {
		if (this.#closed) {
			return;
		}

		this.#collect(messages);
		if (!this.#running) {
			void this.#run();
		}

		if (this.#running && (this.#queue.length > pipelineLimit || this.#queuedBytes > pipelineLimitBytes)) {
			this.output.setReading(false);
		}
	}

	/** Ends the session as soon as it is idle. */
	drain(): void {
		this.#draining = true;
		this.#endWhenDrained();
	}

	/** Takes note that the caller has gone; an open transaction is closed at its pool. */
	close(): void {
		this.#closed = true;
		this.#queue = [];
		if (!this.#running) {
			this.executor.giveUpTransaction();
		}
	}

	/** Ends the session at once and says truly what became of its work. */
	shutDown(): void {
		if (this.#closed) {
			return;
		}

		const codeName = this.executor.inTransaction ? 'transactionLost' : 'draining';
		const error = new BuckthornhitchError(this.#running ? 'outcomeUnknown' : codeName, 'The entry stops.');
		this.close();
		this.output.end(buildNumberedErrorResponse(error, 'FATAL'));
	}

	#collect(messages: readonly FrontendMessage[]): void {
		this.#collector ??= new UnitCollector();
		for (const message of messages) {
			this.#queuedBytes += message.bytes.length;
			const unit = this.#collector.add(message);
			if (unit) {
				this.#queue.push(unit);
			}
		}

		if (this.#collector.empty) {
			this.#collector = undefined;
		}
	}

	async #run(): Promise<void> {
		this.#running = true;
		for (let unit = this.#queue.shift(); unit; unit = this.#queue.shift()) {
			if (unit.kind === 'terminate') {
				this.#closed = true;
				this.output.end();
				break;
			}

			const answer = await this.executor.answer(unit);
			if (this.#closed) {
				break;
			}

			await this.output.send(answer);
			this.#resumeReading();
		}

		this.#running = false;
		if (this.#closed) {
			this.executor.giveUpTransaction();
		} else {
			this.#endWhenDrained();
		}
	}

	#resumeReading(): void {
		if (this.#queue.length === 0) {
			this.#queuedBytes = 0;
			this.output.setReading(true);
		}
	}

	#endWhenDrained(): void {
		if (this.#draining && !this.#closed && this.idle) {
			this.#closed = true;
			this.output.end(buildNumberedErrorResponse(new BuckthornhitchError('draining', ''), 'FATAL'));
		}
	}
}
