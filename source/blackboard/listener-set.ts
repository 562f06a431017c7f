/** Listeners of one kind of event with the given values. */
export class ListenerSet<Values extends readonly unknown[] = []> {
	readonly #listeners = new Set<(...values: Values) => void>();

	/** Adds a listener; returns a function that removes it. */
	add(listener: (...values: Values) => void): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/** Calls each listener in the order of addition. */
	notify(...values: Values): void {
		for (const listener of this.#listeners) {
			listener(...values);
		}
	}
}
