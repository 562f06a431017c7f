import {writeFileSync} from 'node:fs';
import {performance} from 'node:perf_hooks';

/** Text record of a run: what was sent, answered and done, with the time in seconds since the start. */
export class Record {
	#lines = [];
	#startedAt = performance.now();

	constructor(path) {
		this.path = path;
	}

	/** Seconds since the start of the run. */
	get seconds() {
		return (performance.now() - this.#startedAt) / 1000;
	}

	/** Adds a line, and prints it. */
	add(text) {
		const line = `${this.seconds.toFixed(3).padStart(8)}  ${text}`;
		this.#lines.push(line);
		console.log(line);
	}

	/** Adds a line without printing it. */
	addQuietly(text) {
		this.#lines.push(`${this.seconds.toFixed(3).padStart(8)}  ${text}`);
	}

	/** Writes the file. */
	save() {
		writeFileSync(this.path, `${this.#lines.join('\n')}\n`);
	}
}
