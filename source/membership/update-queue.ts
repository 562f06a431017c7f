import {type Buffer} from 'node:buffer';
import {updateOverheadBytes} from './datagram-codec.js';

type QueuedUpdate = {
	readonly bytes: Buffer;
	transmissions: number;
};

// Anti-entropy carries what a burst of more changes than this pushes out.
const largestQueue = 512;

/** Encoded records that are passed on with the next datagrams, each a bounded number of times. */
export class UpdateQueue {
	readonly #updates = new Map<string, QueuedUpdate>();

	/** Number of records that are still to be passed on. */
	get size(): number {
		return this.#updates.size;
	}

	/** Adds news about a process in place of older news. */
	add(name: string, bytes: Buffer): void {
		this.#updates.delete(name);
		this.#updates.set(name, {bytes, transmissions: 0});
		if (this.#updates.size > largestQueue) {
			const [oldest] = this.#updates.keys();
			this.#updates.delete(oldest);
		}
	}

	/** Returns the least transmitted updates that fit the budget in bytes, and counts the transmission. */
	take(budget: number, limit: number): readonly Buffer[] {
		const taken: Buffer[] = [];
		let rest = budget;
		const ordered = [...this.#updates].sort(([, first], [, second]) => first.transmissions - second.transmissions);
		for (const [name, update] of ordered) {
			const size = update.bytes.length + updateOverheadBytes;
			if (size > rest) {
				continue;
			}

			rest -= size;
			taken.push(update.bytes);
			update.transmissions++;
			if (update.transmissions >= limit) {
				this.#updates.delete(name);
			}
		}

		return taken;
	}
}
