/* eslint no-await-in-loop: off, no-void: off -- Statements and attempts run one after the other, and some work runs beside the caller. */
import {createConnection} from 'node:net';
import {randomBytes} from 'node:crypto';
import {readLines, writeLine} from './line-socket.mjs';

/** Returns an id for a statement. */
export function statementId() {
	return randomBytes(8).toString('hex');
}

/** Session of a client with one database through an entry. It sends one message at a time and waits for the answer. */
export class Client {
	#socket;
	#waiting;
	#rows = [];
	#result = {outcome: 'none'};
	isClosed = false;

	constructor(address) {
		const [host, port] = address.split(':');
		this.#socket = createConnection({host, port: Number(port)});
		readLines(this.#socket, line => {
			this.#receive(line);
		});
		this.#socket.on('error', () => undefined);
		this.#socket.on('close', () => {
			this.isClosed = true;
			this.#finish({outcome: 'none'});
		});
	}

	/** Opens the session; returns whether the entry accepted it. */
	async open(database, timeout = 2000) {
		this.#result = {outcome: 'done', rows: []};
		const answer = await this.#send(`START ${database} u1`, timeout);
		return answer.outcome === 'done';
	}

	/** Sends a statement; returns its answer: done, refused or none. */
	async query(id, text, timeout) {
		this.#result = {outcome: 'none'};
		return this.#send(`QUERY ${id} ${text}`, timeout);
	}

	close() {
		this.#socket.destroy();
	}

	async #send(line, timeout) {
		if (this.isClosed) {
			return {outcome: 'none'};
		}

		this.#rows = [];
		return new Promise(resolve => {
			const timer = setTimeout(() => {
				this.#socket.destroy();
			}, timeout);
			this.#waiting = answer => {
				clearTimeout(timer);
				resolve(answer);
			};

			writeLine(this.#socket, line);
		});
	}

	#receive(line) {
		const [keyword, ...fields] = line.split(' ');
		switch (keyword) {
			case 'ROW': {
				this.#rows.push(fields.join(' '));
				break;
			}

			case 'DONE': {
				this.#result = {outcome: 'done', rows: this.#rows, signature: fields.join(' ')};
				break;
			}

			case 'ERR': {
				this.#result = {outcome: 'refused', code: fields[0], detail: fields.slice(1).join(' ')};
				break;
			}

			case 'READY': {
				this.#finish({...this.#result, state: fields[0], position: fields[1]});
				break;
			}

			default: {
				this.#socket.destroy();
			}
		}
	}

	#finish(answer) {
		this.#waiting?.(answer);
		this.#waiting = undefined;
	}
}
