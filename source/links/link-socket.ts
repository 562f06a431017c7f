import {type Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {type HybridClock} from '../timeline/hybrid-clock.js';
import {FrameReader, FrameWriter} from './framing.js';
import {pingName, type LinkMessage} from './messages.js';

/** An idle link sends a ping after this many milliseconds. */
export const pingPeriod: Milliseconds = 1000;

/** A link that received nothing for this many milliseconds is closed. */
export const silenceLimit: Milliseconds = 2500;

type MessageWithoutTime = LinkMessage extends infer Message ? Message extends LinkMessage ? Omit<Message, 'time'> : never : never;

/** What an open link needs. */
export type LinkSocketOptions = {
	readonly socket: Socket;
	readonly clock: Clock;
	readonly hybridClock: HybridClock;
	readonly onMessage: (message: LinkMessage) => void;
	readonly onClose: () => void;
};

/** One open link: frames over a socket, with pings and a limit on silence. */
export class LinkSocket {
	#lastReceived: Milliseconds;
	readonly #reader = new FrameReader();
	readonly #writer = new FrameWriter();
	readonly #cancelPing: Cancel;

	constructor(private readonly options: LinkSocketOptions) {
		const {socket, clock} = options;
		this.#lastReceived = clock.now();
		this.#cancelPing = clock.repeat(pingPeriod, () => {
			this.#checkSilence();
		});
		socket.setNoDelay(true);
		socket.on('data', chunk => {
			this.#receive(chunk);
		});
		socket.on('error', () => {
			// The close event follows and ends the link.
		});
		socket.on('close', () => {
			this.#cancelPing();
			options.onClose();
		});
	}

	/** Writes one message. Throws messageTooLarge. */
	send(message: MessageWithoutTime): void {
		this.options.socket.write(this.#writer.encode({...message, time: this.options.hybridClock.tick()}));
	}

	/** Closes the link at once. */
	destroy(): void {
		this.options.socket.destroy();
	}

	#receive(chunk: Buffer): void {
		this.#lastReceived = this.options.clock.now();
		try {
			for (const message of this.#reader.read(chunk)) {
				this.options.hybridClock.observe(message.time);
				this.options.onMessage(message);
			}
		} catch {
			this.destroy();
		}
	}

	#checkSilence(): void {
		if (this.options.clock.now() - this.#lastReceived > silenceLimit) {
			this.destroy();
			return;
		}

		this.send({kind: 'notice', name: pingName, body: null});
	}
}
