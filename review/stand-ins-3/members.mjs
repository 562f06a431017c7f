import {request} from 'node:http';
import {createServer} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

const heartbeatPeriod = 1000;
const connectionTime = 12;
const workTime = 6;

/** A connection of the system to a member, served as the wire protocol says. */
class MemberConnection {
	#socket;
	#member;
	#group;
	#pending = '';
	#last = Promise.resolve();
	#transaction = 'I';
	#hasWritten = false;
	#definitions = new Map();

	constructor(socket, member, group) {
		this.#socket = socket;
		this.#member = member;
		this.#group = group;
		socket.setNoDelay(true);
		socket.on('error', () => {
			socket.destroy();
		});
		socket.on('data', chunk => {
			this.#pending += chunk.toString('latin1');
			const lines = this.#pending.split('\r\n');
			this.#pending = lines.pop();
			for (const line of lines) {
				this.#last = this.#handleAfter(this.#last, line);
			}
		});
	}

	async #handleAfter(earlier, line) {
		await earlier;
		await this.#handle(line);
	}

	async #handle(line) {
		const [keyword, id, ...words] = line.split(' ');
		if (keyword === 'START') {
			await sleep(connectionTime);
			if (this.#member.connections.size >= this.#group.maximumConnections) {
				this.#socket.end(`ERR TOOMANY ${this.#member.id}\r\n`);
				return;
			}

			this.#member.connections.add(this.#socket);
			this.#socket.once('close', () => {
				this.#member.connections.delete(this.#socket);
			});
			const expected = words.at(1);
			if (id !== this.#group.service || (expected !== undefined && expected !== this.#member.id)) {
				this.#socket.end(`ERR MISROUTED ${this.#member.id}\r\n`);
				return;
			}

			this.#send('');
			return;
		}

		if (keyword === 'BYE') {
			this.#socket.end();
			return;
		}

		this.#send(await this.#answer(id, words[0] === 'AFTER' ? words.slice(2) : words));
	}

	#send(answer) {
		const {position, term} = this.#group;
		this.#socket.write(`${answer}READY ${this.#transaction} ${position === 0 ? '-' : `${term}.${position}`}\r\n`, 'latin1');
	}

	#done(rows = '') {
		return `${rows}DONE ${this.#member.id}.${this.#group.nextSignature()}\r\n`;
	}

	#refuse(code) {
		this.#transaction = this.#transaction === 'I' ? 'I' : 'E';
		return `ERR ${code} ${this.#member.id}\r\n`;
	}

	async #answer(id, [verb, name, ...rest]) {
		if (this.#transaction === 'E' && verb !== 'COMMIT' && verb !== 'ROLLBACK') {
			return this.#refuse('MALFORMED');
		}

		switch (verb) {
			case 'BEGIN': {
				if (name !== 'READ' && !this.#isPrimary) {
					return this.#refuse('READONLY');
				}

				this.#transaction = 'T';
				return this.#done();
			}

			case 'COMMIT':
			case 'ROLLBACK': {
				const isCommitted = verb === 'COMMIT' && this.#transaction === 'T';
				this.#group.position += isCommitted && this.#hasWritten ? 1 : 0;
				this.#hasWritten = false;
				this.#transaction = 'I';
				return verb === 'ROLLBACK' || isCommitted ? this.#done() : this.#refuse('ABORTED');
			}

			case 'READ':
			case 'WRITE': {
				return this.#run(id, verb, [name, ...rest].join(' '));
			}

			case 'PREPARE': {
				this.#definitions.set(name, rest[0]);
				return this.#done();
			}

			case 'EXEC': {
				const access = this.#definitions.get(name);
				return access ? this.#run(id, access, rest.join(' ')) : this.#refuse('NOSTMT');
			}

			case 'STATUS':
			case 'PAUSE':
			case 'RESUME':
			case 'DEMOTE': {
				const {term, position} = this.#group;
				return this.#done(`ROW ${this.#isPrimary ? 'primary' : 'replica'} ${term} ${position === 0 ? '-' : `${term}.${position}`} 0 0 0 1\r\n`);
			}

			case 'RESET': {
				this.#definitions.clear();
				return this.#done();
			}

			case 'SET':
			case 'DEALLOC': {
				return this.#done();
			}

			default: {
				return this.#refuse('MALFORMED');
			}
		}
	}

	async #run(id, access, text) {
		if (access === 'WRITE' && !this.#isPrimary) {
			return this.#refuse('READONLY');
		}

		await sleep(workTime);
		this.#group.onRun({
			member: this.#member.id, id, access, text,
		});
		if (access === 'READ') {
			return this.#done('ROW value\r\n');
		}

		if (this.#transaction === 'T') {
			this.#hasWritten = true;
		} else {
			this.#group.position++;
		}

		return this.#done();
	}

	get #isPrimary() {
		return this.#member === this.#group.members[0];
	}
}

/** One service with a primary and two replicas, which receive and apply each commit at once. */
export class MemberGroup {
	term = 1;
	position = 0;
	members = [];
	#signatures = 0;

	/** `onRun` is called with each statement that a member runs. */
	constructor(deployment, service, onRun, maximumConnections = 45) {
		this.deployment = deployment;
		this.service = service;
		this.onRun = onRun;
		this.maximumConnections = maximumConnections;
	}

	nextSignature() {
		this.#signatures++;
		return this.#signatures;
	}

	start() {
		const {memberHost, ports} = this.deployment;
		for (const index of [0, 1, 2]) {
			const member = {
				id: `i-7f3a91c${index}`, address: `${memberHost}:${ports.member + index}`, sequence: 0, born: Date.now(), connections: new Set(),
			};
			this.members.push(member);
			createServer(socket => new MemberConnection(socket, member, this)).listen(ports.member + index, memberHost);
			const announce = () => {
				this.#announce(member);
			};

			announce();
			setInterval(announce, heartbeatPeriod);
		}
	}

	#announce(member) {
		member.sequence++;
		const {coreHosts, ports} = this.deployment;
		const outgoing = request({
			host: coreHosts[member.sequence % coreHosts.length], port: ports.control, method: 'POST', path: `/api/Instances.Heartbeat/${member.id}`, agent: false, headers: {'content-type': 'application/json'},
		}, response => {
			response.resume();
		});
		outgoing.on('error', () => {
			// The next heartbeat goes to another core machine.
		});
		outgoing.end(JSON.stringify({
			Backend: this.service, Address: member.address, Zone: 'chc-a', Version: 'v1', Slots: 3, State: 'ready', ColdRemainingMs: 0, DbRole: member === this.members[0] ? 'primary' : 'replica', CallSeq: member.sequence, born: member.born,
		}));
	}
}
