import {ListenerSet} from './listener-set.js';

/** Observable state shared by the controllers of one process (blackboard pattern): they read, write and watch named entries. */
export class Blackboard<Entries extends Readonly<Record<string, unknown>>> {
	readonly #entries: Map<keyof Entries, unknown>;
	readonly #listeners = new Map<keyof Entries, ListenerSet<[value: never]>>();

	constructor(initial: Entries) {
		this.#entries = new Map(Object.entries(initial));
	}

	/** Returns the current value of an entry. */
	read<Name extends keyof Entries>(name: Name): Entries[Name] {
		return this.#entries.get(name) as Entries[Name];
	}

	/** Replaces the value of an entry and notifies its watchers. */
	write<Name extends keyof Entries>(name: Name, value: Entries[Name]): void {
		this.#entries.set(name, value);
		this.#listeners.get(name)?.notify(value as never);
	}

	/** Calls the listener after each write of the entry; returns a function that removes the listener. */
	watch<Name extends keyof Entries>(name: Name, listener: (value: Entries[Name]) => void): () => void {
		const listeners = this.#listeners.get(name) ?? new ListenerSet();
		this.#listeners.set(name, listeners);
		return listeners.add(listener);
	}
}

/** A long-running component of a process that reads and writes the blackboard. */
export abstract class Controller {
	/** Starts the controller. */
	abstract start(): void;

	/** Stops the controller and releases its timers and connections. */
	abstract stop(): void | Promise<void>;
}
