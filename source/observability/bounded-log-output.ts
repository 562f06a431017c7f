import {type Clock, type Milliseconds} from '../clock/clock.js';

/** Where lines go. */
export type LineOutput = {
	/** Bytes that were written but not taken yet. */
	readonly writableLength: number;
	write(line: string): boolean;
};

/** Lines are dropped while this many bytes wait for the reader. */
const maximumWaitingBytes = 256 * 1024;

/** Lines a second that are written at most. */
const linesPerSecond = 200;

const window: Milliseconds = 1000;

/** Passes log lines on without ever waiting; lines beyond the bounds are counted and dropped. */
export class BoundedLogOutput {
	#windowStart = Number.NEGATIVE_INFINITY;
	#written = 0;
	#dropped = 0;

	constructor(private readonly output: LineOutput, private readonly clock: Clock) {}

	/** Writes a line, or drops it. */
	write(line: string): void {
		const now = this.clock.now();
		if (now - this.#windowStart >= window) {
			this.#windowStart = now;
			this.#written = 0;
			this.#reportDropped();
		}

		if (this.#written >= linesPerSecond || this.output.writableLength > maximumWaitingBytes) {
			this.#dropped++;
			return;
		}

		this.#written++;
		this.output.write(line);
	}

	#reportDropped(): void {
		if (this.#dropped > 0) {
			this.output.write(`${JSON.stringify({msg: 'log: lines were dropped', dropped: this.#dropped})}\n`);
			this.#dropped = 0;
		}
	}
}
