import {type Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {type HybridClock} from '../timeline/hybrid-clock.js';
import {FrameReader, FrameWriter} from './framing.js';
import {pingName, type LinkMessage, type PingBody} from './messages.js';

/** Each end of a link sends a ping with this period. */
export const pingPeriod: Milliseconds = 1000;

/** A link that has received nothing for this long, more than two ping periods, is closed. */
export const receiveTimeout: Milliseconds = 2500;

type MessageWithoutTime = LinkMessage extends infer Message ? Message extends LinkMessage ? Omit<Message, 'time'> : never : never;

/** Socket, clocks and callbacks of a {@link LinkSocket}. */
export type LinkSocketOptions = {
	readonly socket: Socket;
	readonly clock: Clock;
	readonly hybridClock: HybridClock;
	readonly onMessage: (message: LinkMessage) => void;
	readonly onClose: () => void;
};

/** An open link: sends and receives frames over a socket, sends pings and closes the link when the peer stops sending. */
export class LinkSocket {
	#lastReceivedAt: Milliseconds;
	readonly #reader = new FrameReader();
	readonly #writer = new FrameWriter();
	readonly #cancelPing: Cancel;

	constructor(private readonly options: LinkSocketOptions) {
		const {socket, clock} = options;
		this.#lastReceivedAt = clock.now();
		this.#cancelPing = clock.repeat(pingPeriod, () => {
			this.#checkTimeoutAndPing();
		});
		socket.setNoDelay(true);
		this.#ping();
		socket.on('data', chunk => {
			this.#receive(chunk);
		});
		socket.on('error', () => {
			// The close event follows and is handled below.
		});
		socket.on('close', () => {
			this.#cancelPing();
			options.onClose();
		});
	}

	/** Sends a message with the current hybrid timestamp. Throws messageTooLarge. */
	send(message: MessageWithoutTime): void {
		this.options.socket.write(this.#writer.encode({...message, time: this.options.hybridClock.tick()}));
	}

	/** Closes the link immediately. */
	destroy(): void {
		this.options.socket.destroy();
	}

	#receive(chunk: Buffer): void {
		this.#lastReceivedAt = this.options.clock.now();
		try {
			for (const message of this.#reader.read(chunk)) {
				this.options.hybridClock.observe(message.time);
				if (message.kind === 'notice' && message.name === pingName) {
					this.#writer.isCompressing = (message.body as PingBody | null)?.readsCompressed ?? false;
				}

				this.options.onMessage(message);
			}
		} catch {
			this.destroy();
		}
	}

	#checkTimeoutAndPing(): void {
		if (this.options.clock.now() - this.#lastReceivedAt > receiveTimeout) {
			this.destroy();
			return;
		}

		this.#ping();
	}

	#ping(): void {
		this.send({kind: 'notice', name: pingName, body: {readsCompressed: true} satisfies PingBody});
	}
}
