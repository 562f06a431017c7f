import {randomBytes} from 'node:crypto';
import {createConnection} from 'node:net';
import {ports} from './deployment.mjs';
import {Lines, fieldsOf} from './lines.mjs';

/** Longest deadline of an operation of the small deployments. */
const answerTime = 5000;

/** Returns a new statement id. */
export function newId() {
	return randomBytes(8).toString('hex');
}

/** Session of a client over the wire protocol. It waits for each answer before it sends the next statement. */
export class ClientSession {
	#lines = new Lines();
	#reply = [];
	#pending;
	isOpen = false;

	constructor(host, database) {
		this.host = host;
		this.database = database;
	}

	/** Opens the session; resolves with whether it is ready. */
	async open() {
		this.socket = createConnection({host: this.host, port: ports.front, noDelay: true});
		this.socket.setEncoding('latin1');
		this.socket.on('data', text => {
			for (const line of this.#lines.add(text)) {
				this.#receive(line);
			}
		});
		this.socket.on('error', () => {});
		this.socket.on('close', () => {
			this.isOpen = false;
			this.#settle({kind: 'closed'});
		});
		const reply = await this.#send(`START ${this.database} client\r\n`);
		this.isOpen = reply.kind === 'ready';
		return this.isOpen;
	}

	/** Sends a statement; resolves with its answer: `done`, `refused`, `closed` or `silent`. */
	async query(text, id = newId()) {
		if (!this.isOpen) {
			return {kind: 'closed', id};
		}

		const reply = await this.#send(`QUERY ${id} ${text}\r\n`);
		if (reply.kind === 'silent') {
			this.close();
		}

		return {...reply, id};
	}

	close() {
		this.isOpen = false;
		this.socket?.destroy();
	}

	async #send(text) {
		return new Promise(resolve => {
			const timer = setTimeout(() => {
				this.#settle({kind: 'silent'});
			}, answerTime);
			this.#pending = reply => {
				clearTimeout(timer);
				resolve(reply);
			};

			this.socket.write(text, 'latin1');
		});
	}

	#settle(reply) {
		const pending = this.#pending;
		this.#pending = undefined;
		pending?.(reply);
	}

	#receive(line) {
		const [keyword, rest = ''] = fieldsOf(line, 2);
		if (keyword !== 'READY') {
			this.#reply.push({keyword, rest});
			return;
		}

		const lines = this.#reply;
		this.#reply = [];
		const last = lines.at(-1);
		if (!last) {
			this.#settle({kind: 'ready'});
			return;
		}

		const rows = lines.filter(({keyword: kind}) => kind === 'ROW').map(({rest: row}) => row);
		this.#settle(last.keyword === 'DONE'
			? {
				kind: 'done', signature: last.rest, rows, state: rest,
			}
			: {
				kind: 'refused', code: fieldsOf(last.rest, 2)[0], detail: last.rest, state: rest,
			});
	}
}
