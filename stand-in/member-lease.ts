import {type Clock, type Milliseconds} from '../source/clock/clock.js';
import {SqlError} from './sql-error.js';

/** Lease that reserves the slots (concurrent statements) and connections of one member for one pool process. Its expiry is measured with the member's own clock. */
export class MemberLease {
	#holder = '';
	#expiresAt: Milliseconds = 0;

	constructor(private readonly clock: Clock) {}

	/** Holder of the lease, or an empty string if it has expired or was released. */
	get holder(): string {
		return this.remaining > 0 ? this.#holder : '';
	}

	/** Time until the lease expires; 0 if it has expired. */
	get remaining(): Milliseconds {
		return Math.max(0, this.#expiresAt - this.clock.now());
	}

	/** Grants or renews the lease. Returns the previous holder if it is a different one. Throws 55000 while another holder has the lease. */
	grant(holder: string, duration: Milliseconds): string | undefined {
		this.#assertFreeFor(holder);
		const previousHolder = this.#holder;
		this.#holder = holder;
		this.#expiresAt = this.clock.now() + duration;
		return previousHolder === '' || previousHolder === holder ? undefined : previousHolder;
	}

	/** Releases the lease. Throws 55000 if another holder has it. */
	release(holder: string): void {
		this.#assertFreeFor(holder);
		this.clear();
	}

	/** Removes the lease without a check; a lease does not survive a restart of the member. */
	clear(): void {
		this.#holder = '';
		this.#expiresAt = 0;
	}

	#assertFreeFor(holder: string): void {
		if (this.holder !== '' && this.holder !== holder) {
			throw new SqlError('55000', `the lease is held by "${this.holder}"`);
		}
	}
}
