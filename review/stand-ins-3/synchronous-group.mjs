import {request} from 'node:http';
import {createServer} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

const heartbeatPeriod = 1000;
const connectionTime = 12;
const workTime = 6;
const startInterval = 1000;
const pollPeriod = 1;

/** One member: its log is the list of the ids of its commits. */
class Member {
	log = [];
	isUp = true;
	/** Whether nothing reaches it and nothing leaves it. */
	isDark = false;
	/** Term with which PAUSE was sent; 0 while it receives. */
	held = 0;
	sequence = 0;
	born = Date.now();
	sockets = new Set();

	/** `delay` is the time in which a commit of the primary arrives, in milliseconds. */
	constructor(id, host, port, delay) {
		this.id = id;
		this.host = host;
		this.port = port;
		this.delay = delay;
	}
}

/** A connection of the system to a member, served as the wire protocol says. */
class Connection {
	#socket;
	#member;
	#group;
	#received = '';
	#last = Promise.resolve();
	#transaction = 'I';

	constructor(socket, member, group) {
		this.#socket = socket;
		this.#member = member;
		this.#group = group;
		socket.setNoDelay(true);
		member.sockets.add(socket);
		socket.once('close', () => {
			member.sockets.delete(socket);
		});
		socket.on('error', () => {
			socket.destroy();
		});
		socket.on('data', chunk => {
			this.#received += chunk.toString('latin1');
			const lines = this.#received.split('\r\n');
			this.#received = lines.pop();
			for (const line of lines) {
				this.#last = this.#handleAfter(this.#last, line);
			}
		});
	}

	async #handleAfter(earlier, line) {
		await earlier;
		await this.#untilReached();
		const [keyword, id, ...words] = line.split(' ');
		if (keyword === 'START') {
			await sleep(connectionTime);
			const expected = words.at(1);
			if (id !== this.#group.service || (expected !== undefined && expected !== this.#member.id)) {
				this.#socket.end(`ERR MISROUTED ${this.#member.id}\r\n`);
			} else {
				this.#send('');
			}
		} else if (keyword === 'QUERY') {
			const answer = await this.#answer(id, words[0] === 'AFTER' ? words.slice(2) : words);
			await this.#untilReached();
			this.#send(answer);
		} else {
			this.#socket.end();
		}
	}

	async #untilReached() {
		while (this.#member.isDark) {
			// eslint-disable-next-line no-await-in-loop -- polls until the member is reached again
			await sleep(pollPeriod);
		}
	}

	#send(answer) {
		if (!this.#socket.destroyed) {
			this.#socket.write(`${answer}READY ${this.#transaction} ${this.#group.positionOf(this.#member)}\r\n`, 'latin1');
		}
	}

	#done(rows = '') {
		return `${rows}DONE ${this.#member.id}.${this.#group.nextSignature()}\r\n`;
	}

	#refuse(code) {
		this.#transaction = this.#transaction === 'I' ? 'I' : 'E';
		return `ERR ${code} ${this.#member.id}\r\n`;
	}

	async #answer(id, [verb, argument]) {
		const group = this.#group;
		const member = this.#member;
		const isPrimary = group.primary === member;
		switch (verb) {
			case 'BEGIN': {
				if (argument !== 'READ' && !isPrimary) {
					return this.#refuse('READONLY');
				}

				this.#transaction = 'T';
				return this.#done();
			}

			case 'ROLLBACK': {
				this.#transaction = 'I';
				return this.#done();
			}

			case 'WRITE': {
				if (!isPrimary) {
					return this.#refuse('READONLY');
				}

				await sleep(workTime);
				return await group.commit(member, id) ? this.#done() : this.#refuse('FAILED');
			}

			case 'READ': {
				await sleep(workTime);
				return this.#done('ROW value\r\n');
			}

			case 'STATUS':
			case 'PAUSE':
			case 'RESUME':
			case 'DEMOTE': {
				return this.#done(`ROW ${group.command(member, verb, Number(argument))}\r\n`);
			}

			case 'RESET':
			case 'SET': {
				return this.#done();
			}

			default: {
				return this.#refuse('MALFORMED');
			}
		}
	}
}

/** A service with `SyncReplicas` 1: a commit is acknowledged once one replica has received it. */
export class SynchronousGroup {
	term = 1;
	members = [];
	#signatures = 0;

	constructor(deployment, service, record) {
		this.deployment = deployment;
		this.service = service;
		this.record = record;
	}

	/** Starts the primary and its replicas, one after the other; the delays are those of the replicas. */
	async start(delays) {
		const {memberHost, ports} = this.deployment;
		for (const [index, delay] of [0, ...delays].entries()) {
			const member = new Member(`i-7f3a91c${index}`, memberHost, ports.member + index, delay);
			this.members.push(member);
			this.primary ??= member;
			this.#listen(member);
			this.#announce(member);
			setInterval(() => {
				this.#announce(member);
			}, heartbeatPeriod);
			// eslint-disable-next-line no-await-in-loop -- the members start one after the other
			await sleep(startInterval);
		}
	}

	nextSignature() {
		this.#signatures++;
		return this.#signatures;
	}

	positionOf({log}) {
		return log.length === 0 ? '-' : `${log.at(-1).term}.${log.length}`;
	}

	/** Resolves with whether a replica has received the commit while the member led. */
	async commit(primary, id) {
		const {term} = this;
		if (this.primary !== primary) {
			return false;
		}

		primary.log.push({id, term});
		const {length} = primary.log;
		for (const replica of this.#replicas()) {
			this.#replicate(replica, length);
		}

		while (this.term === term && primary.isUp && !this.#replicas().some(({log}) => log.length >= length)) {
			// eslint-disable-next-line no-await-in-loop -- polls until a replica has received the commit
			await sleep(pollPeriod);
		}

		return this.term === term && this.primary === primary;
	}

	/** Carries out a replication command and returns the row of its answer. */
	command(member, verb, term) {
		const isPrimary = this.primary === member;
		if (verb === 'PAUSE' && !isPrimary && term > this.term) {
			member.held = term;
		} else if (verb === 'RESUME') {
			member.held = 0;
			this.#catchUp(member);
		} else if (verb === 'DEMOTE' && isPrimary && term > this.term) {
			this.primary = undefined;
			this.#announce(member);
		}

		if (verb !== 'STATUS') {
			this.record.note(`${member.id} gets ${verb}${Number.isNaN(term) ? '' : ` ${term}`}, position ${this.positionOf(member)}`);
		}

		return `${this.primary === member ? 'primary' : 'replica'} ${this.term} ${this.positionOf(member)} ${member.held} 0 0 1`;
	}

	/** Makes the member lead the next term with what it has received. */
	promote(member) {
		const former = this.primary;
		this.term++;
		this.primary = member;
		for (const other of this.members) {
			other.held = 0;
			const common = other.log.findIndex(({id}, index) => member.log[index]?.id !== id);
			if (common !== -1) {
				this.record.note(`${other.id} is rolled back by ${other.log.length - common} commits`);
				other.log.length = common;
			}

			this.#catchUp(other);
		}

		this.record.note(`${member.id} leads term ${this.term} from position ${this.positionOf(member)}`);
		for (const changed of [member, former]) {
			if (changed) {
				this.#announce(changed);
			}
		}
	}

	/** Ends a replica and starts it again with its log, under its id. */
	async restart(member, downTime) {
		this.record.note(`${member.id} crashes`);
		member.isUp = false;
		member.server.close();
		for (const socket of member.sockets) {
			socket.destroy();
		}

		await sleep(downTime);
		member.isUp = true;
		member.held = 0;
		member.born = Date.now();
		member.sequence = 0;
		this.#listen(member);
		this.#announce(member);
		this.#catchUp(member);
		this.record.note(`${member.id} has started again, position ${this.positionOf(member)}`);
	}

	/** Sets whether a member is dark. */
	setDark(member, isDark) {
		member.isDark = isDark;
		this.record.note(`${member.id} ${isDark ? 'goes dark' : 'is reached again'}`);
		if (!isDark && this.primary === member) {
			for (const replica of this.#replicas()) {
				this.#catchUp(replica);
			}
		}
	}

	#replicas() {
		return this.members.filter(member => member !== this.primary);
	}

	#catchUp(replica) {
		if (this.primary && replica !== this.primary) {
			this.#replicate(replica, this.primary.log.length);
		}
	}

	#replicate(replica, length) {
		const {primary, term} = this;
		if (primary.isDark) {
			return;
		}

		// What is on its way arrives, also when the primary goes dark meanwhile.
		setTimeout(() => {
			if (replica.isUp && !replica.isDark && replica.held === 0 && this.term === term && this.primary === primary && replica.log.length < length) {
				replica.log.push(...primary.log.slice(replica.log.length, length));
			}
		}, replica.delay);
	}

	#listen(member) {
		member.server = createServer(socket => new Connection(socket, member, this));
		member.server.listen(member.port, member.host);
	}

	#announce(member) {
		if (!member.isUp || member.isDark) {
			return;
		}

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
			Backend: this.service,
			Address: `${member.host}:${member.port}`,
			Zone: 'chc-a',
			Version: 'v1',
			Slots: 3,
			State: 'ready',
			ColdRemainingMs: 0,
			DbRole: this.primary === member ? 'primary' : 'replica',
			CallSeq: member.sequence,
			born: member.born,
		}));
	}
}
