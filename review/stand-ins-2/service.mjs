/* eslint no-await-in-loop: off -- the steps follow one another */
import {createServer} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {ports} from './deployment.mjs';
import {Heartbeats} from './heartbeats.mjs';
import {fieldsOf, Lines} from './lines.mjs';

// In milliseconds.
const replicationPeriod = 2;
const promotionTime = 600;
const writeTime = 6;
const readTime = 6;
const slotCount = 3;

/** Statements that take a slot and time. */
const workTimes = {
	READ: readTime, WRITE: writeTime, EXEC: writeTime, COMMIT: writeTime,
};

/** Returns the position of a commit; that of an empty log is `-`. */
function positionText(commit) {
	return commit ? `${commit.term}.${commit.number}` : '-';
}

function isAtLeast(first, second) {
	if (first === '-') {
		return false;
	}

	const [firstTerm, firstNumber] = first.split('.').map(Number);
	const [secondTerm, secondNumber] = second.split('.').map(Number);
	return firstTerm === secondTerm ? firstNumber >= secondNumber : firstTerm > secondTerm;
}

/** One connection to a member. */
class MemberSession {
	#lines = new Lines();
	#queue = Promise.resolve();
	#held = [];
	#heldReplies = [];
	transaction;
	hasFailed = false;
	variables = new Map();
	names = new Map();

	constructor(member, socket) {
		this.member = member;
		this.socket = socket;
		socket.setNoDelay(true);
		socket.setEncoding('latin1');
		socket.on('data', text => {
			if (member.isDark) {
				this.#held.push(text);
			} else {
				this.#receive(text);
			}
		});
		socket.on('error', () => {});
		socket.on('close', () => {
			member.sessions.delete(this);
			this.transaction = undefined;
			this.isClosed = true;
		});
	}

	/** Handles what arrived, and sends what was answered, while the member was silent. */
	flush() {
		for (const reply of this.#heldReplies.splice(0)) {
			this.#write(reply);
		}

		for (const text of this.#held.splice(0)) {
			this.#receive(text);
		}
	}

	#write(reply) {
		if (this.member.isDark) {
			this.#heldReplies.push(reply);
		} else if (!this.socket.destroyed) {
			this.socket.write(reply, 'latin1');
		}
	}

	#receive(text) {
		for (const line of this.#lines.add(text)) {
			this.#queue = this.#handleAfter(this.#queue, line);
		}
	}

	async #handleAfter(earlier, line) {
		await earlier;
		try {
			await this.#handle(line);
		} catch (error) {
			this.member.service.record.add(`stand-in fault: ${error.stack}`);
		}
	}

	async #handle(line) {
		const {member} = this;
		const [keyword, first, rest = ''] = fieldsOf(line, 3);
		if (keyword === 'START') {
			const [, id] = fieldsOf(rest, 2);
			const isMisrouted = first !== member.service.name || (id !== undefined && id !== member.id);
			if (isMisrouted || member.sessions.size > member.service.maximumConnections) {
				this.#write(isMisrouted ? `ERR MISROUTED ${member.id}\r\n` : `ERR TOOMANY ${member.id}\r\n`);
				this.socket.end();
				return;
			}

			this.#write(`READY I ${member.position}\r\n`);
			return;
		}

		if (keyword !== 'QUERY') {
			this.socket.end();
			return;
		}

		const reply = await this.#run(first, rest);
		const state = this.hasFailed ? 'E' : (this.transaction ? 'T' : 'I');
		this.#write(`${reply}\r\nREADY ${state} ${member.position}\r\n`);
	}

	async #run(id, text) {
		const {member} = this;
		let [keyword, rest = ''] = fieldsOf(text, 2);
		let after;
		if (keyword === 'AFTER') {
			[after, rest] = fieldsOf(rest, 2);
			[keyword, rest = ''] = fieldsOf(rest, 2);
		}

		if (after !== undefined && !isAtLeast(member.position, after)) {
			return `ERR LAGGING ${member.id}`;
		}

		const workTime = workTimes[keyword];
		if (workTime === undefined) {
			return this.#control(id, keyword, rest);
		}

		return member.withSlot(async () => {
			await sleep(workTime);
			return this.isClosed ? 'ERR FAILED' : this.#work(id, keyword, rest);
		});
	}

	#control(id, keyword, rest) {
		const {member} = this;
		switch (keyword) {
			case 'BEGIN': {
				if (rest !== 'READ' && !member.isPrimary) {
					return `ERR READONLY ${member.id}`;
				}

				this.transaction = {isReadOnly: rest === 'READ', ids: [], term: member.service.term};
				return 'DONE -';
			}

			case 'ROLLBACK': {
				this.transaction = undefined;
				this.hasFailed = false;
				return 'DONE -';
			}

			case 'SET': {
				const [name, value] = fieldsOf(rest, 2);
				this.variables.set(name, value);
				return 'DONE -';
			}

			case 'PREPARE': {
				const [name, access, shape] = fieldsOf(rest, 3);
				this.names.set(name, {access, shape});
				return 'DONE -';
			}

			case 'RESET': {
				this.variables.clear();
				this.names.clear();
				return 'DONE -';
			}

			case 'STATUS':
			case 'PAUSE':
			case 'RESUME':
			case 'DEMOTE': {
				if (keyword !== 'STATUS') {
					member.service.record.add(`${member.id} gets ${keyword} ${rest}`);
					member.service.onOrder?.(member, keyword);
				}

				return member.order(keyword, Number(rest));
			}

			default: {
				return 'ERR MALFORMED';
			}
		}
	}

	/** Returns whether the open transaction is one of a primary that has lost the lead, for a statement that it refuses then. */
	#hasLostLead(keyword) {
		const {member, transaction} = this;
		if (!transaction || transaction.isReadOnly || (keyword === 'COMMIT' && transaction.ids.length === 0)) {
			return false;
		}

		return !member.isPrimary || transaction.term !== member.service.term;
	}

	async #work(id, keyword, rest) {
		const {member, transaction} = this;
		const {service} = member;
		if (this.hasFailed) {
			return 'ERR MALFORMED';
		}

		const [first, second = ''] = fieldsOf(rest, 2);
		const isWrite = keyword === 'WRITE' || (keyword === 'EXEC' && this.names.get(first)?.access === 'WRITE');
		if (this.#hasLostLead(keyword)) {
			this.hasFailed = keyword !== 'COMMIT';
			this.transaction = keyword === 'COMMIT' ? undefined : transaction;
			return `ERR READONLY ${member.id}`;
		}

		if (keyword === 'COMMIT') {
			this.transaction = undefined;
			if (transaction && transaction.ids.length > 0 && !await member.commit(transaction.ids, this)) {
				return `ERR FAILED ${member.id}`;
			}

			return `DONE ${member.id}/${id}`;
		}

		if (isWrite) {
			if (!member.isPrimary) {
				return `ERR READONLY ${member.id}`;
			}

			if (transaction) {
				transaction.ids.push(id);
			} else if (!await member.commit([id], this)) {
				return `ERR FAILED ${member.id}`;
			}

			return `DONE ${member.id}/${id}`;
		}

		return `${service.rowsOf({
			id, first, second, member,
		}).map(row => `ROW ${row}\r\n`).join('')}DONE ${member.id}/${id}`;
	}
}

/** A member: speaks the wire protocol, keeps a log of commits, and receives that of the primary while it is a replica. */
class Member {
	log = [];
	/** Number of log entries that are applied. */
	appliedCount = 0;
	isDark = false;
	isDeaf = false;
	pausedTerm = 0;
	sessions = new Set();
	startedAt = Date.now();
	#busy = 0;
	#slotWaiters = [];

	constructor(service, {id, zone, host, receiveDelay}) {
		Object.assign(this, {
			service, id, zone, host, receiveDelay,
		});
		this.server = createServer(socket => {
			this.sessions.add(new MemberSession(this, socket));
		});
		this.heartbeats = new Heartbeats({
			id, hosts: service.hosts, mayBeat: () => !this.isDark, body: () => ({
				Backend: service.name, Address: `${host}:${ports.member}`, Zone: zone, Version: 'v1', Slots: slotCount, State: 'ready', ColdRemainingMs: 0, DbRole: this.isPrimary ? 'primary' : 'replica', born: this.startedAt,
			}),
		});
	}

	get isPrimary() {
		return this.service.primary === this;
	}

	get position() {
		return positionText(this.log[this.appliedCount - 1]);
	}

	get isPaused() {
		return this.pausedTerm > this.service.term;
	}

	async listen() {
		await new Promise(resolve => {
			this.server.listen(ports.member, this.host, resolve);
		});
	}

	/** Carries out an order of the system, or reports the status. */
	order(keyword, term) {
		const {service} = this;
		if (keyword === 'PAUSE' && !this.isPrimary && term > service.term) {
			this.pausedTerm = term;
		} else if (keyword === 'RESUME') {
			this.pausedTerm = 0;
		} else if (keyword === 'DEMOTE' && this.isPrimary && term > service.term) {
			service.primary = undefined;
			service.lastPrimary = this;
			this.heartbeats.beat();
		}

		return `ROW ${this.isPrimary ? 'primary' : 'replica'} ${service.term} ${positionText(this.log.at(-1))} ${this.pausedTerm} 0 ${this.#busy} ${this.sessions.size}\r\nDONE -`;
	}

	/** Runs work in one of the slots. */
	async withSlot(work) {
		if (this.#busy >= slotCount) {
			await new Promise(resolve => {
				this.#slotWaiters.push(resolve);
			});
		} else {
			this.#busy++;
		}

		try {
			return await work();
		} finally {
			const next = this.#slotWaiters.shift();
			if (next) {
				next();
			} else {
				this.#busy--;
			}
		}
	}

	/** Commits at the primary; resolves with false if the member lost the lead, or the connection ended, before enough replicas had received the commit. */
	async commit(ids, session) {
		const {service} = this;
		const {term} = service;
		const commit = {term, number: (this.log.at(-1)?.number ?? 0) + 1, ids};
		this.log.push(commit);
		this.appliedCount = this.log.length;
		service.onCommit?.(commit);
		while (service.synchronousReplicas > 0 && !service.isReceived(commit, this)) {
			await sleep(replicationPeriod);
			if (service.primary !== this || service.term !== term || session.isClosed) {
				return false;
			}
		}

		return service.primary === this && service.term === term;
	}
}

/** A service of three members with replication, as the wire protocol describes it. */
export class Service {
	term = 1;
	/** Acknowledgements of the replicas, on their way to the primary: the received length by member. */
	#acknowledged = new Map();
	#timer;

	constructor({
		record, name, network, hosts, synchronousReplicas = 0, maximumConnections = 102, zones = ['atyrau', 'esil', 'aralsk'], receiveDelay = 12, applyDelay = 20, isEmpty = false, rowsOf = ({id}) => [`row-${id}`],
	}) {
		Object.assign(this, {
			record, name, hosts, synchronousReplicas, maximumConnections, applyDelay, rowsOf,
		});
		this.members = zones.map((zone, index) => new Member(this, {
			id: `i-${(index + 1) * 1111}`, zone, host: `${network}.${100 + index}`, receiveDelay,
		}));
		[this.primary] = this.members;
		if (!isEmpty) {
			const commit = {term: 1, number: 1, ids: ['before']};
			for (const member of this.members) {
				member.log.push(commit);
				member.appliedCount = 1;
			}
		}
	}

	async start() {
		for (const member of this.members) {
			await member.listen();
			member.heartbeats.start();
		}

		this.#timer = setInterval(() => {
			this.#replicate();
		}, replicationPeriod);
	}

	stop() {
		clearInterval(this.#timer);
		for (const member of this.members) {
			member.heartbeats.stop();
			member.server.close();
			for (const {socket} of member.sessions) {
				socket.destroy();
			}
		}
	}

	/** Makes a member silent: it neither receives nor sends anything until the promise resolves, and goes on afterwards. */
	async silence(member, end) {
		member.isDark = true;
		await end;
		member.isDark = false;
		for (const session of member.sessions) {
			session.flush();
		}
	}

	/** Returns whether the primary knows that a replica has received the commit. */
	isReceived(commit, primary) {
		return this.members.some(member => member !== primary && (this.#acknowledged.get(member) ?? 0) >= commit.number);
	}

	/** Makes a member the primary of the next term. */
	async promote(member) {
		await sleep(promotionTime);
		if (this.primary === member) {
			return;
		}

		this.term++;
		this.primary = member;
		this.#acknowledged.clear();
		this.onPromote?.(member);
		for (const other of this.members) {
			const isSame = (commit, index) => member.log[index] === commit;
			const common = other.log.findIndex((commit, index) => !isSame(commit, index));
			if (common !== -1) {
				other.log.length = common;
				other.appliedCount = Math.min(other.appliedCount, common);
			}

			other.pausedTerm = 0;
			other.heartbeats.beat();
		}

		member.appliedCount = member.log.length;
	}

	/** Tells the primary what a replica has received, unless the primary is silent when that arrives; it is told again afterwards. */
	#acknowledgeReceived(replica, primary, term) {
		const received = replica.log.length;
		if (replica.isDark || (this.#acknowledged.get(replica) ?? 0) >= received) {
			return;
		}

		setTimeout(() => {
			if (this.term === term && this.primary === primary && !primary.isDark) {
				this.#acknowledged.set(replica, Math.max(this.#acknowledged.get(replica) ?? 0, received));
			}
		}, replica.receiveDelay);
	}

	/** Sends what the replicas lack; each part arrives after the delay of the link, unless the replica was paused, deaf or silent by then. */
	#replicate() {
		const {primary, term} = this;
		if (!primary || primary.isDark) {
			return;
		}

		const {length} = primary.log;
		for (const replica of this.members.filter(member => member !== primary)) {
			this.#acknowledgeReceived(replica, primary, term);
			if (replica.log.length >= length) {
				continue;
			}

			setTimeout(() => {
				const isReceiving = !primary.isDark && !replica.isDark && !replica.isDeaf && !replica.isPaused;
				if (this.primary !== primary || this.term !== term || !isReceiving || replica.log.length >= length) {
					return;
				}

				replica.log.push(...primary.log.slice(replica.log.length, length));
				setTimeout(() => {
					if (this.term === term) {
						replica.appliedCount = Math.max(replica.appliedCount, length);
					}
				}, this.applyDelay);
			}, replica.receiveDelay);
		}
	}
}
