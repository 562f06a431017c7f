import {Buffer} from 'node:buffer';
import {createConnection, type Socket} from 'node:net';
import {type Cancel, type Clock, type Milliseconds} from '../source/clock/clock.js';
import {parseAddress} from '../source/links/address.js';
import {LinkSocket} from '../source/links/link-socket.js';
import {type LinkMessage} from '../source/links/messages.js';
import {HybridClock} from '../source/timeline/hybrid-clock.js';
import {DelayQueue} from './delay-queue.js';
import {
	lastCommonPosition, type LogEntry, type MemberLog, type TermEnd,
} from './member-log.js';
import {startupCodes} from './postgres-messages.js';

/** First message of a replica: the primary that it expects and the end of each term in its own log. */
type FollowMessage = {readonly term: number; readonly primary: string; readonly ends: readonly TermEnd[]};

/** Message of a primary: the entries after a position, which replace all entries of the replica after it. */
export type EntriesMessage = {readonly after: number; readonly entries: readonly LogEntry[]};

const entriesPerMessage = 500;
const reconnectDelay: Milliseconds = 100;

function openLink(socket: Socket, clock: Clock, onMessage: (body: unknown) => void, onClose: () => void): LinkSocket {
	return new LinkSocket({
		socket,
		clock,
		hybridClock: new HybridClock(clock),
		isPeerNeeded: () => true,
		allowsSilence: false,
		onMessage(message: LinkMessage) {
			if (message.kind === 'notice' && message.name !== 'ping') {
				onMessage(message.body);
			}
		},
		onClose,
	});
}

/** Options of a ReplicationSender. */
export type ReplicationSenderOptions = {
	readonly socket: Socket;
	/** Bytes received after the start-up packet. */
	readonly received: Buffer;
	readonly clock: Clock;
	readonly log: MemberLog;
	/** Returns whether this member has the name and is the primary of the term. */
	readonly isPrimary: (term: number, name: string) => boolean;
	readonly onClose: () => void;
};

/** Primary's side of one replication connection; sends log entries to a replica. */
export class ReplicationSender {
	#sentPosition: number | undefined;
	readonly #link: LinkSocket;

	constructor(private readonly options: ReplicationSenderOptions) {
		this.#link = openLink(options.socket, options.clock, body => {
			this.#handleFollow(body as FollowMessage);
		}, options.onClose);
		options.socket.unshift(options.received);
	}

	/** Sends the entries that were appended since the last call. */
	sendNewEntries(): void {
		while (this.#sentPosition !== undefined && this.#sentPosition < this.options.log.length) {
			this.#sendEntries(this.#sentPosition);
		}
	}

	close(): void {
		this.#link.destroy();
	}

	#handleFollow({term, primary, ends}: FollowMessage): void {
		if (this.options.isPrimary(term, primary)) {
			// Sent even if it has no entries, so that the replica removes entries that this log does not have.
			this.#sendEntries(lastCommonPosition(this.options.log.termEnds(), ends));
			this.sendNewEntries();
		} else {
			this.close();
		}
	}

	#sendEntries(after: number): void {
		const entries = this.options.log.entriesAfter(after, entriesPerMessage);
		this.#sentPosition = after + entries.length;
		this.#link.send({kind: 'notice', name: 'entries', body: {after, entries} satisfies EntriesMessage});
	}
}

/** Options of a ReplicationReceiver. */
export type ReplicationReceiverOptions = {
	readonly clock: Clock;
	readonly term: number;
	readonly primary: string;
	readonly address: string;
	readonly log: MemberLog;
	readonly receiveDelay: () => Milliseconds;
	readonly onEntries: (message: EntriesMessage) => void;
};

/** Replica's side of replication; receives log entries from the primary and reconnects until it is closed. */
export class ReplicationReceiver {
	#link: LinkSocket | undefined;
	#cancelReconnect: Cancel | undefined;
	#isClosed = false;
	readonly #receiveQueue: DelayQueue;

	constructor(private readonly options: ReplicationReceiverOptions) {
		this.#receiveQueue = new DelayQueue(options.clock);
		this.#connect();
	}

	get address(): string {
		return this.options.address;
	}

	/** Stops replication. Entries whose receive delay has not passed are discarded. */
	close(): void {
		this.#isClosed = true;
		this.#receiveQueue.clear();
		this.#cancelReconnect?.();
		this.#link?.destroy();
	}

	#connect(): void {
		const {clock, term, primary, address, log} = this.options;
		const socket = createConnection(parseAddress(address));
		socket.write(buildReplicationStartup());
		this.#link = openLink(socket, clock, body => {
			this.#receiveQueue.add(this.options.receiveDelay(), () => {
				this.options.onEntries(body as EntriesMessage);
			});
		}, () => {
			this.#reconnect();
		});
		this.#link.send({kind: 'notice', name: 'follow', body: {term, primary, ends: log.termEnds()} satisfies FollowMessage});
	}

	#reconnect(): void {
		this.#receiveQueue.clear();
		if (!this.#isClosed) {
			this.#cancelReconnect = this.options.clock.schedule(reconnectDelay, () => {
				this.#connect();
			});
		}
	}
}

function buildReplicationStartup(): Buffer {
	const packet = Buffer.alloc(8);
	packet.writeInt32BE(packet.length);
	packet.writeInt32BE(startupCodes.replication, 4);
	return packet;
}
