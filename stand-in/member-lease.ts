import {type Clock, type Milliseconds} from '../source/clock/clock.js';
import {SqlError} from './sql-error.js';

/** Lease on the slots and connections of one member, measured by the member's own clock. */
export class MemberLease {
	#holder = '';
	#end: Milliseconds = 0;

	constructor(private readonly clock: Clock) {}

	/** Holder of the unexpired lease, otherwise an empty text. */
	get holder(): string {
		return this.remaining > 0 ? this.#holder : '';
	}

	get remaining(): Milliseconds {
		return Math.max(0, this.#end - this.clock.now());
	}

	/** Grants or renews the lease and returns the former holder if it is another one. Throws 55000. */
	grant(holder: string, duration: Milliseconds): string | undefined {
		this.#assertFreeFor(holder);
		const former = this.#holder;
		this.#holder = holder;
		this.#end = this.clock.now() + duration;
		return former === '' || former === holder ? undefined : former;
	}

	/** Gives the lease back. Throws 55000 when another holder has it. */
	release(holder: string): void {
		this.#assertFreeFor(holder);
		this.clear();
	}

	/** Forgets the holder, as a restart does. */
	clear(): void {
		this.#holder = '';
		this.#end = 0;
	}

	#assertFreeFor(holder: string): void {
		if (this.holder !== '' && this.holder !== holder) {
			throw new SqlError('55000', `the lease is held by "${this.holder}"`);
		}
	}
}
