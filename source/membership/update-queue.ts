import {type Buffer} from 'node:buffer';
import {updateOverheadBytes} from './datagram-codec.js';

type QueuedUpdate = {
	readonly bytes: Buffer;
	transmissions: number;
};

// When the queue is full, the oldest update is evicted; anti-entropy still delivers it to the peers.
const maximumQueueLength = 512;

/** Queue of encoded records to piggyback on the next datagrams, each a bounded number of times. */
export class UpdateQueue {
	readonly #updates = new Map<string, QueuedUpdate>();

	/** Number of queued records. */
	get size(): number {
		return this.#updates.size;
	}

	/** Adds the record of a process, replacing a queued older one. */
	add(name: string, bytes: Buffer): void {
		this.#updates.delete(name);
		this.#updates.set(name, {bytes, transmissions: 0});
		if (this.#updates.size > maximumQueueLength) {
			const [oldest] = this.#updates.keys();
			this.#updates.delete(oldest);
		}
	}

	/** Returns the least transmitted updates that fit into the byte budget and counts the transmission; an update that reaches the transmission limit is removed. */
	take(byteBudget: number, transmissionLimit: number): readonly Buffer[] {
		const taken: Buffer[] = [];
		let remainingBytes = byteBudget;
		const ordered = [...this.#updates].sort(([, first], [, second]) => first.transmissions - second.transmissions);
		for (const [name, update] of ordered) {
			const size = update.bytes.length + updateOverheadBytes;
			if (size > remainingBytes) {
				continue;
			}

			remainingBytes -= size;
			taken.push(update.bytes);
			update.transmissions++;
			if (update.transmissions >= transmissionLimit) {
				this.#updates.delete(name);
			}
		}

		return taken;
	}
}
