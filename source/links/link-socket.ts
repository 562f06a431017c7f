import {type Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {type HybridClock} from '../timeline/hybrid-clock.js';
import {FrameReader, FrameWriter} from './framing.js';
import {pingName, type LinkMessage, type PingBody} from './messages.js';

/** Each end of a link sends a ping with this period, unless the link may be silent. */
export const pingPeriod: Milliseconds = 1000;

/** A link that has received nothing for this long, more than two ping periods, is closed. */
export const receiveTimeout: Milliseconds = 2500;

type MessageWithoutTime = LinkMessage extends infer Message ? Message extends LinkMessage ? Omit<Message, 'time'> : never : never;

/** A silent link that received nothing for this long is closed, since its peer closes links that it has not used for 30 s and may be lost. */
const silenceLimit: Milliseconds = 60_000;

/** Socket, clocks and callbacks of a {@link LinkSocket}. */
export type LinkSocketOptions = {
	readonly socket: Socket;
	readonly clock: Clock;
	readonly hybridClock: HybridClock;
	/** Returns whether this end needs to know that the peer is there, for example because a request is open. */
	readonly isPeerNeeded: () => boolean;
	/** Whether this end allows the link to be silent; the end that accepted it follows the other one. */
	readonly allowsSilence: boolean;
	readonly onMessage: (message: LinkMessage) => void;
	readonly onClose: () => void;
};

/**
An open link: sends and receives frames over a socket, sends pings and closes the link when the peer stops sending.

Where both ends allow it, pings are sent only while an end needs the other. Answers hundreds of entries with links to dozens of gateways each: most links carry a request every ten seconds, and pings in both directions were most of what the processes did.
*/
export class LinkSocket {
	#lastReceivedAt: Milliseconds;
	readonly #reader = new FrameReader();
	readonly #writer = new FrameWriter();
	/** Cancels the pings; undefined while the link is silent. */
	#cancelPing: Cancel | undefined;
	#cancelSilenceLimit: Cancel | undefined;
	/** Time of the first message that needed an answer since something was received; undefined if there is none. */
	#unansweredSince: Milliseconds | undefined;
	#allowsSilence: boolean;
	/** Whether the peer was told that the link may be silent. */
	#isSilenceTold = false;
	#doesPeerAllowSilence = false;
	#isClosed = false;

	constructor(private readonly options: LinkSocketOptions) {
		const {socket, clock, allowsSilence} = options;
		this.#lastReceivedAt = clock.now();
		this.#allowsSilence = allowsSilence;
		socket.setNoDelay(true);
		this.#startPings();
		this.#ping();
		socket.on('data', chunk => {
			this.#receive(chunk);
		});
		socket.on('error', () => {
			// The close event follows and is handled below.
		});
		socket.on('close', () => {
			this.#isClosed = true;
			this.#cancelPing?.();
			this.#cancelSilenceLimit?.();
			options.onClose();
		});
	}

	/** Sends a message with the current hybrid timestamp. Throws messageTooLarge. */
	send(message: MessageWithoutTime): void {
		this.options.socket.write(this.#writer.encode({...message, time: this.options.hybridClock.tick()}));
	}

	/** Sends pings again while `isPeerNeeded` returns true, and until the peer has answered. Must be called when a message needs an answer. A request that is given up does not end this; otherwise a dead link on which every request is given up early would stay open. */
	watchPeer(): void {
		this.#unansweredSince ??= this.options.clock.now();
		if (this.#cancelPing === undefined && !this.#isClosed) {
			this.#cancelSilenceLimit?.();
			this.#startPings();
		}
	}

	/** Closes the link immediately. */
	destroy(): void {
		this.options.socket.destroy();
	}

	#startPings(): void {
		this.#cancelPing = this.options.clock.repeat(pingPeriod, () => {
			this.#checkTimeoutAndPing();
		});
	}

	#receive(chunk: Buffer): void {
		this.#lastReceivedAt = this.options.clock.now();
		this.#unansweredSince = undefined;
		try {
			for (const message of this.#reader.read(chunk)) {
				this.options.hybridClock.observe(message.time);
				if (message.kind === 'notice' && message.name === pingName) {
					this.#receivePing(message.body as PingBody | null);
				}

				this.options.onMessage(message);
			}
		} catch {
			this.destroy();
		}
	}

	#receivePing(body: PingBody | null): void {
		this.#writer.isCompressing = body?.readsCompressed ?? false;
		if (body?.mayBeSilent && !this.#doesPeerAllowSilence) {
			this.#doesPeerAllowSilence = true;
			this.#allowsSilence = true;
		}

		if (body?.needsReply) {
			this.#ping();
		}
	}

	#checkTimeoutAndPing(): void {
		const maySilence = this.#doesPeerAllowSilence && this.#isSilenceTold;
		if (maySilence && !this.options.isPeerNeeded() && this.#unansweredSince === undefined) {
			this.#cancelPing?.();
			this.#cancelPing = undefined;
			this.#limitSilence();
			return;
		}

		const silentSince = maySilence ? this.#unansweredSince : this.#lastReceivedAt;
		if (silentSince !== undefined && this.options.clock.now() - silentSince > receiveTimeout) {
			this.destroy();
			return;
		}

		if (maySilence) {
			this.#unansweredSince ??= this.options.clock.now();
		}

		this.#ping(maySilence);
	}

	#limitSilence(): void {
		const {clock} = this.options;
		const remaining = this.#lastReceivedAt + silenceLimit - clock.now();
		if (remaining <= 0) {
			this.destroy();
			return;
		}

		this.#cancelSilenceLimit = clock.schedule(remaining, () => {
			this.#limitSilence();
		});
	}

	#ping(needsReply = false): void {
		const body: PingBody = {readsCompressed: true, ...(this.#allowsSilence && {mayBeSilent: true}), ...(needsReply && {needsReply: true})};
		this.#isSilenceTold ||= this.#allowsSilence;
		this.send({kind: 'notice', name: pingName, body});
	}
}
