import {createConnection} from 'node:net';

const answerTimeout = 5000;

/** A client's session. It sends one message at a time, in UTF-8, and waits for the answer. */
export class Client {
	#socket;
	#received = '';
	#lines = [];
	#resolve;

	constructor(host, port) {
		this.#socket = createConnection({host, port, noDelay: true});
		this.#socket.on('error', () => {
			this.#finish('no connection');
		});
		this.#socket.on('close', () => {
			this.#finish('closed');
		});
		this.#socket.on('data', chunk => {
			this.#received += chunk.toString('utf8');
			const lines = this.#received.split('\r\n');
			this.#received = lines.pop();
			for (const line of lines) {
				this.#lines.push(line);
				if (line.startsWith('READY')) {
					this.#finish();
				}
			}
		});
	}

	/** Sends a message; resolves with the lines of its answer, joined by a slash, or with what became of the connection. */
	async send(line) {
		return new Promise(resolve => {
			const timer = setTimeout(() => {
				this.#finish('no answer');
			}, answerTimeout);
			this.#resolve = text => {
				clearTimeout(timer);
				resolve(text);
			};

			this.#socket.write(`${line}\r\n`);
		});
	}

	end() {
		this.#socket.destroy();
	}

	#finish(end) {
		const lines = [...this.#lines.splice(0), ...(end === undefined ? [] : [end])];
		this.#resolve?.(lines.join(' / '));
		this.#resolve = undefined;
	}
}
