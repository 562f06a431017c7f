import {type Random} from '../random/random.js';

/** Names of the live peers in shuffled order. Each is probed once per probe round, which is one pass over all peers. Adding, removing and sampling take constant time per peer. */
export class PeerList {
	readonly #names: string[] = [];
	readonly #indexes = new Map<string, number>();
	#cursor = 0;

	constructor(private readonly random: Random) {}

	/** Number of peers. */
	get size(): number {
		return this.#names.length;
	}

	/** Adds a peer at a random position of the rest of the current probe round. */
	add(name: string): void {
		if (this.#indexes.has(name)) {
			return;
		}

		this.#names.push(name);
		this.#indexes.set(name, this.#names.length - 1);
		this.#swap(this.#names.length - 1, this.#cursor + this.random.integerBelow(this.#names.length - this.#cursor));
	}

	/** Removes a peer. */
	remove(name: string): void {
		let index = this.#indexes.get(name);
		if (index === undefined) {
			return;
		}

		if (index < this.#cursor) {
			this.#cursor--;
			this.#swap(index, this.#cursor);
			index = this.#cursor;
		}

		this.#swap(index, this.#names.length - 1);
		this.#names.pop();
		this.#indexes.delete(name);
	}

	/** Returns the next peer of the probe round, starting a new shuffled round at the end; undefined when there are no peers. */
	next(): string | undefined {
		if (this.#cursor >= this.#names.length) {
			this.#shuffle();
		}

		return this.#names.length === 0 ? undefined : this.#names[this.#cursor++];
	}

	/** Returns up to `count` distinct random peers other than the excluded one. */
	sample(count: number, excluded = ''): readonly string[] {
		const sampled = new Set<string>();
		const available = this.#names.length - (this.#indexes.has(excluded) ? 1 : 0);
		while (sampled.size < Math.min(count, available)) {
			const name = this.#names[this.random.integerBelow(this.#names.length)];
			if (name !== excluded) {
				sampled.add(name);
			}
		}

		return [...sampled];
	}

	#shuffle(): void {
		this.#cursor = 0;
		for (let last = this.#names.length - 1; last > 0; last--) {
			this.#swap(last, this.random.integerBelow(last + 1));
		}
	}

	#swap(first: number, second: number): void {
		const [one, other] = [this.#names[first], this.#names[second]];
		this.#names[first] = other;
		this.#names[second] = one;
		this.#indexes.set(other, first);
		this.#indexes.set(one, second);
	}
}
