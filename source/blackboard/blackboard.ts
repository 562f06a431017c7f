type Listener<Value> = (value: Value) => void;

/** Shared state of one process: controllers read, write and watch named entries. */
export class Blackboard<Entries extends Readonly<Record<string, unknown>>> {
	readonly #entries: Map<keyof Entries, unknown>;
	readonly #listeners = new Map<keyof Entries, Set<Listener<never>>>();

	constructor(initial: Entries) {
		this.#entries = new Map(Object.entries(initial));
	}

	/** Returns the present value of an entry. */
	read<Name extends keyof Entries>(name: Name): Entries[Name] {
		return this.#entries.get(name) as Entries[Name];
	}

	/** Replaces the value of an entry and notifies its watchers. */
	write<Name extends keyof Entries>(name: Name, value: Entries[Name]): void {
		this.#entries.set(name, value);
		for (const listener of this.#listeners.get(name) ?? []) {
			(listener as Listener<Entries[Name]>)(value);
		}
	}

	/** Calls the listener after each write of the entry; returns a function that ends this. */
	watch<Name extends keyof Entries>(name: Name, listener: Listener<Entries[Name]>): () => void {
		const listeners = this.#listeners.get(name) ?? new Set();
		listeners.add(listener);
		this.#listeners.set(name, listeners);
		return () => {
			listeners.delete(listener);
		};
	}
}

/** A part of a process that reads and writes the blackboard. */
export abstract class Controller {
	/** Starts the controller's work. */
	abstract start(): void;

	/** Stops the controller's work and releases its timers and connections. */
	abstract stop(): void | Promise<void>;
}
