import {type Milliseconds} from '../clock/clock.js';
import {type Address} from '../links/address.js';
import {type MemberStatus} from './types.js';

/**
Calls the group functions of one member over its monitor connection. These are SQL functions through which pools query and control the replication and the lease of a member.

Every method rejects with a BuckthornhitchError: memberUnreachable when there was no connection or response within the timeout, memberRefused when the member refused the call.
*/
export abstract class MemberClient {
	/** Requests the status of the member. */
	abstract status(timeout: Milliseconds): Promise<MemberStatus>;

	/** Acquires or renews the lease for the duration in milliseconds; the member refuses while another holder has an unexpired lease. */
	abstract acquireLease(holder: string, duration: Milliseconds, timeout: Milliseconds): Promise<MemberStatus>;

	/** Releases the lease. */
	abstract releaseLease(holder: string, timeout: Milliseconds): Promise<MemberStatus>;

	/** Asks the member to promise the term, after which it rejects lower terms. */
	abstract promise(term: number, timeout: Milliseconds): Promise<MemberStatus>;

	/** Promotes the member to primary of a term that it has promised. */
	abstract promote(term: number, timeout: Milliseconds): Promise<MemberStatus>;

	/** Makes the member replicate from the primary of the term. */
	abstract follow(term: number, primary: string, primaryAddress: Address, timeout: Milliseconds): Promise<MemberStatus>;

	/** Discards the monitor connection; the next call opens a new one. */
	abstract reset(): void;

	/** Closes the monitor connection permanently. */
	abstract close(): void;
}

/** Creates clients for members at given addresses. */
export abstract class MemberClientFactory {
	abstract create(database: string, member: string, address: Address): MemberClient;
}
