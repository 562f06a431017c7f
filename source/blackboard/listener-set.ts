/** Listeners of one kind of event; each is called with the given values. */
export class ListenerSet<Values extends readonly unknown[] = []> {
	readonly #listeners = new Set<(...values: Values) => void>();

	/** Adds a listener; returns a function that removes it. */
	add(listener: (...values: Values) => void): () => void {
		this.#listeners.add(listener);
		return () => {
			this.#listeners.delete(listener);
		};
	}

	/** Calls the listeners in the order in which they were added. */
	notify(...values: Values): void {
		for (const listener of this.#listeners) {
			listener(...values);
		}
	}
}
