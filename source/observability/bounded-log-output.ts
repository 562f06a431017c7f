import {type Clock, type Milliseconds} from '../clock/clock.js';

/** Stream that receives the log lines and buffers those that its reader has not consumed. */
export type BufferedLogStream = {
	/** Bytes that are buffered because the reader has not consumed them. */
	readonly writableLength: number;
	write(line: string): boolean;
};

/** Lines are dropped while more bytes than this are buffered. */
const maximumBufferedBytes = 256 * 1024;

/** Lines beyond this rate are dropped. */
const maximumLinesPerSecond = 200;

const rateWindow: Milliseconds = 1000;

/** Writes log lines without blocking; drops lines beyond the rate and buffer limits and reports their number. */
export class BoundedLogOutput {
	#windowStart = Number.NEGATIVE_INFINITY;
	#writtenInWindow = 0;
	#droppedLines = 0;

	constructor(private readonly output: BufferedLogStream, private readonly clock: Clock) {}

	/** Writes a line, or drops it when a limit is exceeded. */
	write(line: string): void {
		const now = this.clock.now();
		if (now - this.#windowStart >= rateWindow) {
			this.#windowStart = now;
			this.#writtenInWindow = 0;
			this.#reportDropped();
		}

		if (this.#writtenInWindow >= maximumLinesPerSecond || this.output.writableLength > maximumBufferedBytes) {
			this.#droppedLines++;
			return;
		}

		this.#writtenInWindow++;
		this.output.write(line);
	}

	#reportDropped(): void {
		if (this.#droppedLines > 0) {
			this.output.write(`${JSON.stringify({msg: 'log: lines were dropped', dropped: this.#droppedLines})}\n`);
			this.#droppedLines = 0;
		}
	}
}
