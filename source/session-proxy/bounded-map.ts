import {type TextLimit} from '../statement/statement-limits.js';

/** Values by names that a caller chose, limited in number and in the total length of names and values. */
export class BoundedMap<Value> {
	readonly #values = new Map<string, Value>();
	#length = 0;

	/** The length of a value is in characters. */
	constructor(private readonly limit: TextLimit, private readonly lengthOf: (value: Value) => number) {}

	/** Number of values. */
	get size(): number {
		return this.#values.size;
	}

	/** Returns whether there is a value under the name. */
	has(name: string): boolean {
		return this.#values.has(name);
	}

	/** Returns the value under the name. */
	get(name: string): Value | undefined {
		return this.#values.get(name);
	}

	/** Adds or replaces a value. Returns false, and changes nothing, if the limit would be exceeded. */
	set(name: string, value: Value): boolean {
		const count = this.size + (this.has(name) ? 0 : 1);
		const length = this.#length + name.length + this.lengthOf(value) - this.#lengthOfEntry(name);
		if (count > this.limit.count || length > this.limit.length) {
			return false;
		}

		this.#values.set(name, value);
		this.#length = length;
		return true;
	}

	/** Removes a value. Returns whether there was one. */
	delete(name: string): boolean {
		this.#length -= this.#lengthOfEntry(name);
		return this.#values.delete(name);
	}

	/** Removes all values. */
	clear(): void {
		this.#values.clear();
		this.#length = 0;
	}

	/** Iterates over names and values. */
	[Symbol.iterator](): IterableIterator<[string, Value]> {
		return this.#values.entries();
	}

	#lengthOfEntry(name: string): number {
		const value = this.#values.get(name);
		return value === undefined ? 0 : name.length + this.lengthOf(value);
	}
}
