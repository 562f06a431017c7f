import {type Random} from '../random/random.js';

/** Names of live peers in a shuffled order: each is probed once a round, and peers are drawn in constant time. */
export class PeerList {
	readonly #names: string[] = [];
	readonly #positions = new Map<string, number>();
	#cursor = 0;

	constructor(private readonly random: Random) {}

	/** Number of peers. */
	get size(): number {
		return this.#names.length;
	}

	/** Adds a peer at a random place of the current round. */
	add(name: string): void {
		if (this.#positions.has(name)) {
			return;
		}

		this.#names.push(name);
		this.#positions.set(name, this.#names.length - 1);
		this.#swap(this.#names.length - 1, this.#cursor + this.random.integerBelow(this.#names.length - this.#cursor));
	}

	/** Removes a peer. */
	remove(name: string): void {
		let position = this.#positions.get(name);
		if (position === undefined) {
			return;
		}

		if (position < this.#cursor) {
			this.#cursor--;
			this.#swap(position, this.#cursor);
			position = this.#cursor;
		}

		this.#swap(position, this.#names.length - 1);
		this.#names.pop();
		this.#positions.delete(name);
	}

	/** Returns the next peer of the round, or undefined when there is none. */
	next(): string | undefined {
		if (this.#cursor >= this.#names.length) {
			this.#shuffle();
		}

		return this.#names.length === 0 ? undefined : this.#names[this.#cursor++];
	}

	/** Returns up to count different random peers other than the excluded one. */
	draw(count: number, excluded = ''): readonly string[] {
		const drawn = new Set<string>();
		const available = this.#names.length - (this.#positions.has(excluded) ? 1 : 0);
		while (drawn.size < Math.min(count, available)) {
			const name = this.#names[this.random.integerBelow(this.#names.length)];
			if (name !== excluded) {
				drawn.add(name);
			}
		}

		return [...drawn];
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
		this.#positions.set(other, first);
		this.#positions.set(one, second);
	}
}
