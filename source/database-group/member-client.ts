import {type Milliseconds} from '../clock/clock.js';
import {type Address} from '../links/address.js';
import {type MemberStatus} from './types.js';

/**
Calls the group functions of one member over its monitor connection.

Every method rejects with a numbered error: memberUnreachable when no connection or answer was had within the timeout, memberRefused when the member answered with a refusal.
*/
export abstract class MemberClient {
	/** Asks for the status. */
	abstract status(timeout: Milliseconds): Promise<MemberStatus>;

	/** Grants or renews the lease for the duration in milliseconds unless another holder has a live one. */
	abstract acquireLease(holder: string, duration: Milliseconds, timeout: Milliseconds): Promise<MemberStatus>;

	/** Gives the lease back. */
	abstract releaseLease(holder: string, timeout: Milliseconds): Promise<MemberStatus>;

	/** Asks the member to promise the term. */
	abstract promise(term: number, timeout: Milliseconds): Promise<MemberStatus>;

	/** Makes the member primary of a term that it has promised. */
	abstract promote(term: number, timeout: Milliseconds): Promise<MemberStatus>;

	/** Makes the member follow the primary of the term. */
	abstract follow(term: number, primary: string, primaryAddress: Address, timeout: Milliseconds): Promise<MemberStatus>;

	/** Discards the monitor connection; the next call opens a fresh one. */
	abstract reset(): void;

	/** Closes the monitor connection for good. */
	abstract close(): void;
}

/** Makes clients for members at given addresses. */
export abstract class MemberClientFactory {
	abstract create(database: string, member: string, address: Address): MemberClient;
}
