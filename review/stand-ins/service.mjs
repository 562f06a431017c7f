/* eslint no-await-in-loop: off, no-void: off, promise/prefer-await-to-then: off, complexity: off -- Statements and attempts run one after the other, and some work runs beside the caller. */
import {createServer as createHttpServer} from 'node:http';
import {createServer} from 'node:net';
import {sleep} from './deployment.mjs';
import {sendHttp} from './http.mjs';
import {readLines, writeLine} from './line-socket.mjs';

const heartbeatPeriod = 1200;
const replicationPeriod = 5;
const workTime = 5;
const handshakeTime = 12;

/** Member of the service: a database server that speaks the line protocol. */
class Member {
	log = [];
	/** Term held by PAUSE; replicas with one receive nothing. */
	heldTerm = 0;
	/** Whether the replica receives nothing for a while. */
	isDeaf = false;
	isDraining = false;
	/** Share of the answers that are lost on their way; the connection stays open. */
	lostShare = 0;
	isRunning = false;
	sequence = 0;
	address;
	#server;
	#sockets = new Set();

	constructor(id, zone, replicationDelay, service) {
		Object.assign(this, {
			id, zone, replicationDelay, service, born: Date.now(),
		});
	}

	get isPrimary() {
		return this.service.primary === this;
	}

	get position() {
		const last = this.log.at(-1);
		return last ? `${last.term}.${last.number}` : '1.0';
	}

	async listen(host) {
		this.#server = createServer(socket => {
			this.#accept(socket);
		});
		await new Promise(resolve => {
			this.#server.listen(0, host, resolve);
		});
		this.address = `${host}:${this.#server.address().port}`;
		this.isRunning = true;
	}

	/** Starts the member again at its address, with the log that it had up to where it matches the present primary's. */
	async restart() {
		const {primary} = this.service;
		if (primary !== this) {
			this.#followLogOf(primary);
		}

		const [host, port] = this.address.split(':');
		this.#server = createServer(socket => {
			this.#accept(socket);
		});
		await new Promise(resolve => {
			this.#server.listen(Number(port), host, resolve);
		});
		Object.assign(this, {
			born: Date.now(), sequence: 0, heldTerm: 0, isDeaf: false, isRunning: true,
		});
	}

	/** Removes the entries that the primary's log does not have. */
	#followLogOf(primary) {
		const end = this.log.findIndex((entry, index) => primary.log[index] !== entry);
		if (end !== -1) {
			this.log.length = end;
		}
	}

	/** Ends the member at once; its connections break. */
	crash() {
		this.isRunning = false;
		this.#server.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	#accept(socket) {
		const connection = new Connection(this, socket);
		this.#sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			this.#sockets.delete(socket);
		});
		readLines(socket, line => {
			connection.receive(line);
		});
	}
}

/** One connection to a member. Its statements run one after the other. */
class Connection {
	#transaction;
	#hasFailed = false;
	#prepared = new Map();
	#last = Promise.resolve();

	constructor(member, socket) {
		this.member = member;
		this.socket = socket;
	}

	receive(line) {
		this.#last = this.#last.then(async () => {
			const [keyword, first, ...rest] = line.split(' ');
			if (keyword === 'START') {
				await sleep(handshakeTime);
				const [, id] = rest;
				const isMeant = first === this.member.service.name && (id === undefined || id === this.member.id);
				writeLine(this.socket, isMeant ? `READY I ${this.member.position}` : `ERR MISROUTED ${this.member.id}`);
			} else if (keyword === 'QUERY') {
				await this.#answer(first, rest.join(' '));
			} else {
				this.socket.destroy();
			}
		});
	}

	async #answer(id, text) {
		const lines = await this.#run(id, text);
		if (!this.member.isRunning) {
			return;
		}

		if (Math.random() < this.member.lostShare) {
			this.member.service.record(`member ${this.member.id} loses its answer to ${id} ${text}: ${lines.at(-1)}`);
			return;
		}

		const state = this.#hasFailed ? 'E' : (this.#transaction ? 'T' : 'I');
		for (const line of [...lines, `READY ${state} ${this.member.position}`]) {
			writeLine(this.socket, line);
		}
	}

	async #run(id, text) {
		const {member} = this;
		let [keyword, ...fields] = text.split(' ');
		if (keyword === 'AFTER') {
			const [term, number] = fields[0].split('.').map(Number);
			const [ownTerm, ownNumber] = member.position.split('.').map(Number);
			if (ownTerm < term || (ownTerm === term && ownNumber < number)) {
				return [`ERR LAGGING ${member.id}`];
			}

			[, keyword, ...fields] = fields;
		}

		const done = `DONE ${member.id}/${id}`;
		switch (keyword) {
			case 'BEGIN': {
				if (fields[0] !== 'READ' && !member.isPrimary) {
					return [`ERR READONLY ${member.id}`];
				}

				this.#transaction = {writes: []};
				return ['DONE -'];
			}

			case 'ROLLBACK': {
				this.#transaction = undefined;
				this.#hasFailed = false;
				return ['DONE -'];
			}

			case 'COMMIT': {
				await sleep(workTime);
				const {writes} = this.#transaction ?? {writes: []};
				this.#transaction = undefined;
				if (writes.length > 0 && !await member.service.commit(member, writes)) {
					return [`ERR READONLY ${member.id}`];
				}

				return [done];
			}

			case 'READ': {
				await sleep(workTime);
				member.service.record(`member ${member.id} ran ${id} ${text} at ${member.position}`);
				member.service.onRead(member, id);
				return [...member.service.rowsOf(member, fields[0]), done];
			}

			case 'WRITE': {
				return this.#write(id, fields[0], fields.slice(1).join(' '), text);
			}

			case 'PREPARE': {
				this.#prepared.set(fields[0], fields.slice(1).join(' '));
				return ['DONE -'];
			}

			case 'EXEC': {
				const shape = this.#prepared.get(fields[0]);
				if (shape === undefined) {
					return [`ERR NOSTMT ${fields[0]}`];
				}

				return shape.startsWith('WRITE') ? this.#write(id, fields[1], fields.slice(2).join(' '), text) : this.#run(id, `READ ${fields[1]}`);
			}

			case 'RESET': {
				this.#prepared.clear();
				return ['DONE -'];
			}

			case 'SET': {
				return ['DONE -'];
			}

			default: {
				return this.#control(keyword, Number(fields[0]));
			}
		}
	}

	async #write(id, item, data, text) {
		const {member} = this;
		await sleep(workTime);
		if (!member.isPrimary) {
			this.#hasFailed = this.#transaction !== undefined;
			return [`ERR READONLY ${member.id}`];
		}

		member.service.record(`member ${member.id} ran ${id} ${text}`);
		const write = {id, item, data};
		if (this.#transaction) {
			this.#transaction.writes.push(write);
		} else if (!await member.service.commit(member, [write])) {
			return [`ERR READONLY ${member.id}`];
		}

		return [`DONE ${member.id}/${id}`];
	}

	#control(keyword, term) {
		const {member} = this;
		const {service} = member;
		if (keyword === 'PAUSE' && !member.isPrimary && term > service.term) {
			member.heldTerm = term;
		} else if (keyword === 'RESUME') {
			member.heldTerm = 0;
		} else if (keyword === 'DEMOTE' && member.isPrimary && term > service.term) {
			service.primary = undefined;
		} else if (!['PAUSE', 'DEMOTE', 'STATUS'].includes(keyword)) {
			return [`ERR MALFORMED ${keyword}`];
		}

		service.record(`member ${member.id} answers ${keyword} with ${member.position}`);
		return [`ROW ${member.isPrimary ? 'primary' : 'replica'} ${service.term} ${member.position} ${member.heldTerm} 0 0 1`, 'DONE -'];
	}
}

/** Service of three members with asynchronous or synchronous replication, its heartbeats, and the platform's endpoint for promotions. */
export class Service {
	term = 1;
	primary;
	/** Promotions that took effect. */
	promotions = [];
	onPromoted = () => undefined;
	/** Called when a member runs a read, with the member and the id. */
	onRead = () => undefined;
	#nextNumber = 1;
	/** Member from which the replicas receive commits. */
	#source;
	#highestToken = 0;
	#timers = [];
	#httpServer;
	#controls = () => [];

	constructor({name, syncReplicas, promoteTime, record, members}) {
		Object.assign(this, {
			name, syncReplicas, promoteTime, record,
		});
		this.members = members.map(({id, zone, replicationDelay}) => new Member(id, zone, replicationDelay, this));
		[this.primary] = this.members;
	}

	/** Starts the members and the platform's endpoint; returns the address of the endpoint. */
	async start(host) {
		for (const member of this.members) {
			await member.listen(host);
		}

		this.#httpServer = createHttpServer((incoming, response) => {
			let body = '';
			incoming.on('data', chunk => {
				body += String(chunk);
			});
			incoming.on('end', () => {
				const {Id} = JSON.parse(body);
				const token = Number(incoming.headers['buckthornhitch-fencing-token']);
				const status = this.#designate(Id, token);
				this.record(`platform: promotion of ${Id} by ${incoming.headers['buckthornhitch-duty-holder']} with token ${token}: ${status}`);
				response.writeHead(status).end();
			});
		});
		await new Promise(resolve => {
			this.#httpServer.listen(0, host, resolve);
		});
		this.#timers.push(setInterval(() => {
			this.#replicate();
		}, replicationPeriod));
		return `${host}:${this.#httpServer.address().port}`;
	}

	/** Sends the heartbeats of the members to the control instances from now on. */
	startHeartbeats(controls) {
		this.#controls = controls;
		for (const member of this.members) {
			void this.#beat(member);
			this.#timers.push(setInterval(() => {
				void this.#beat(member);
			}, heartbeatPeriod));
		}
	}

	stop() {
		for (const timer of this.#timers) {
			clearInterval(timer);
		}

		this.#httpServer?.close();
		for (const member of this.members.filter(({isRunning}) => isRunning)) {
			member.crash();
		}
	}

	/** Lets a member report that it is draining; resolves with whether a control instance acknowledged it. */
	async drain(member) {
		member.isDraining = true;
		return this.#beat(member);
	}

	/** Commits the writes at the primary; resolves with false if the member has lost the lead. */
	async commit(member, writes) {
		if (member !== this.primary) {
			return false;
		}

		const entry = {
			term: this.term, number: this.#nextNumber++, writes, at: performance.now(),
		};
		member.log.push(entry);
		while (member.isRunning && member === this.primary) {
			const received = this.members.filter(other => other !== member && other.isRunning && other.log.includes(entry)).length;
			if (received >= this.syncReplicas) {
				return true;
			}

			await sleep(replicationPeriod);
		}

		return false;
	}

	/** Rows of an item in the log of a member. */
	rowsOf(member, item) {
		const write = member.log.flatMap(({writes}) => writes).findLast(other => other.item === item);
		return write ? [`ROW ${write.data}`] : [];
	}

	#replicate() {
		// A primary that was demoted hands on what it has until another one leads.
		this.#source = this.primary ?? this.#source;
		const source = this.#source;
		if (!source?.isRunning) {
			return;
		}

		for (const replica of this.members.filter(other => other !== source && other.isRunning && !other.isDeaf && other.heldTerm === 0)) {
			const due = performance.now() - replica.replicationDelay;
			for (const entry of source.log.slice(replica.log.length)) {
				if (entry.at > due) {
					break;
				}

				replica.log.push(entry);
			}
		}
	}

	#designate(id, token) {
		const member = this.members.find(other => other.id === id);
		if (token < this.#highestToken || !member?.isRunning) {
			return 409;
		}

		this.#highestToken = token;
		if (member !== this.primary) {
			setTimeout(() => {
				this.#promote(member);
			}, this.promoteTime);
		}

		return 200;
	}

	#promote(member) {
		if (!member.isRunning || member === this.primary) {
			return;
		}

		this.term++;
		this.primary = member;
		for (const other of this.members) {
			other.heldTerm = 0;
			const common = other.log.findIndex((entry, index) => member.log[index] !== entry);
			if (other !== member && common !== -1) {
				other.log.length = common;
			}
		}

		this.#nextNumber = (member.log.at(-1)?.number ?? 0) + 1;
		this.record(`platform: ${member.id} leads term ${this.term} with its log up to ${member.position}`);
		this.promotions.push(member.id);
		this.onPromoted(member);
		for (const replica of this.members.filter(({isRunning}) => isRunning)) {
			void this.#beat(replica);
		}
	}

	async #beat(member) {
		if (!member.isRunning) {
			return false;
		}

		const body = JSON.stringify({
			Backend: this.name,
			Address: member.address,
			Zone: member.zone,
			Version: 'v1',
			Slots: 3,
			State: member.isDraining ? 'draining' : 'ready',
			ColdRemainingMs: 0,
			DbRole: member.isPrimary ? 'primary' : 'replica',
			CallSeq: ++member.sequence,
			born: member.born,
		});
		const addresses = this.#controls();
		const first = Math.floor(Math.random() * addresses.length);
		for (let offset = 0; offset < addresses.length; offset++) {
			const {status} = await sendHttp(addresses[(first + offset) % addresses.length], 'POST', `/api/Instances.Heartbeat/${member.id}`, body);
			if (status === 200) {
				return true;
			}
		}

		return false;
	}
}
