import {ListenerSet} from '../blackboard/listener-set.js';
import {type ProcessRecord} from './process-record.js';

/** Removes the listener that was passed to a `watch` method. */
export type StopWatching = () => void;

/** The processes of the deployment as this process sees them. */
export abstract class ProcessDirectory {
	/** Returns the records of all known processes, including this one. */
	abstract records(): readonly ProcessRecord[];

	/** Calls the listener after each change. */
	abstract watch(listener: () => void): StopWatching;

	/** Announces that this process is draining, so that other processes send it no new work. */
	abstract markDraining(): void;
}

/** Directory whose records are set directly, for tests, benchmarks and the demonstration, which runs entries and pools in one Node.js process. */
export class StaticProcessDirectory extends ProcessDirectory {
	readonly #listeners = new ListenerSet();
	#records: readonly ProcessRecord[];

	constructor(records: readonly ProcessRecord[], private readonly ownName = '') {
		super();
		this.#records = records;
	}

	override records(): readonly ProcessRecord[] {
		return this.#records;
	}

	/** Replaces the records and notifies the listeners. */
	replace(records: readonly ProcessRecord[]): void {
		this.#records = records;
		this.#listeners.notify();
	}

	override watch(listener: () => void): StopWatching {
		return this.#listeners.add(listener);
	}

	override markDraining(): void {
		this.replace(this.#records.map(record => record.name === this.ownName ? {...record, state: 'draining'} : record));
	}
}
