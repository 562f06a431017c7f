import {Buffer} from 'node:buffer';
import {createConnection, type Socket} from 'node:net';
import {type Cancel, type Clock, type Milliseconds} from '../source/clock/clock.js';
import {parseAddress} from '../source/links/address.js';
import {LinkSocket} from '../source/links/link-socket.js';
import {type LinkMessage} from '../source/links/messages.js';
import {HybridClock} from '../source/timeline/hybrid-clock.js';
import {DelayLine} from './delay-line.js';
import {
	lastCommonPosition, type LogEntry, type MemberLog, type TermEnd,
} from './member-log.js';
import {startupCodes} from './postgres-messages.js';

/** First message of a follower. */
type FollowMessage = {readonly term: number; readonly primary: string; readonly ends: readonly TermEnd[]};

/** Message of a primary: entries behind a position, which replace whatever the follower holds there. */
export type EntriesMessage = {readonly after: number; readonly entries: readonly LogEntry[]};

const entriesPerMessage = 500;
const reconnectDelay: Milliseconds = 100;

function openLink(socket: Socket, clock: Clock, onMessage: (body: unknown) => void, onClose: () => void): LinkSocket {
	return new LinkSocket({
		socket,
		clock,
		hybridClock: new HybridClock(clock),
		onMessage(message: LinkMessage) {
			if (message.kind === 'notice' && message.name !== 'ping') {
				onMessage(message.body);
			}
		},
		onClose,
	});
}

/** What a primary needs to serve a follower. */
export type FeedOptions = {
	readonly socket: Socket;
	/** Bytes that came behind the start-up packet. */
	readonly received: Buffer;
	readonly clock: Clock;
	readonly log: MemberLog;
	/** Returns whether this member is the primary of the term under this name. */
	readonly isPrimary: (term: number, name: string) => boolean;
	readonly onClose: () => void;
};

/** Primary's side of one replication connection. */
export class FollowerFeed {
	#sent: number | undefined;
	readonly #link: LinkSocket;

	constructor(private readonly options: FeedOptions) {
		this.#link = openLink(options.socket, options.clock, body => {
			this.#start(body as FollowMessage);
		}, options.onClose);
		options.socket.unshift(options.received);
	}

	/** Sends the entries that the follower has not been sent. */
	push(): void {
		while (this.#sent !== undefined && this.#sent < this.options.log.length) {
			this.#send(this.#sent);
		}
	}

	close(): void {
		this.#link.destroy();
	}

	#start({term, primary, ends}: FollowMessage): void {
		if (this.options.isPrimary(term, primary)) {
			// Sent even without entries, so that the follower drops what this log does not hold.
			this.#send(lastCommonPosition(this.options.log.termEnds(), ends));
			this.push();
		} else {
			this.close();
		}
	}

	#send(after: number): void {
		const entries = this.options.log.after(after, entriesPerMessage);
		this.#sent = after + entries.length;
		this.#link.send({kind: 'notice', name: 'entries', body: {after, entries} satisfies EntriesMessage});
	}
}

/** What a follower needs to follow a primary. */
export type FollowOptions = {
	readonly clock: Clock;
	readonly term: number;
	readonly primary: string;
	readonly address: string;
	readonly log: MemberLog;
	readonly receiveDelay: () => Milliseconds;
	readonly onEntries: (message: EntriesMessage) => void;
};

/** Follower's side of replication; reconnects until it is closed. */
export class PrimaryFollower {
	#link: LinkSocket | undefined;
	#cancelReconnect: Cancel | undefined;
	#closed = false;
	readonly #line: DelayLine;

	constructor(private readonly options: FollowOptions) {
		this.#line = new DelayLine(options.clock);
		this.#connect();
	}

	get address(): string {
		return this.options.address;
	}

	/** Stops replication; entries whose delay of receipt has not passed are dropped. */
	close(): void {
		this.#closed = true;
		this.#line.clear();
		this.#cancelReconnect?.();
		this.#link?.destroy();
	}

	#connect(): void {
		const {clock, term, primary, address, log} = this.options;
		const socket = createConnection(parseAddress(address));
		socket.write(replicationStartup());
		this.#link = openLink(socket, clock, body => {
			this.#line.add(this.options.receiveDelay(), () => {
				this.options.onEntries(body as EntriesMessage);
			});
		}, () => {
			this.#reconnect();
		});
		this.#link.send({kind: 'notice', name: 'follow', body: {term, primary, ends: log.termEnds()} satisfies FollowMessage});
	}

	#reconnect(): void {
		this.#line.clear();
		if (!this.#closed) {
			this.#cancelReconnect = this.options.clock.schedule(reconnectDelay, () => {
				this.#connect();
			});
		}
	}
}

function replicationStartup(): Buffer {
	const packet = Buffer.alloc(8);
	packet.writeInt32BE(packet.length);
	packet.writeInt32BE(startupCodes.replication, 4);
	return packet;
}
