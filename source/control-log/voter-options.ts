import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type Address} from '../links/address.js';
import {type LinkClient} from '../links/link-client.js';
import {type Logger} from '../observability/logger.js';
import {type Random} from '../random/random.js';
import {type StateMachine, type LogStorage} from './storage.js';
import {type ControlLogEntry, type VoterRecord, type VoterRole} from './types.js';

/** Times and bounds of a voter. */
export type VoterTiming = {
	readonly heartbeat: Milliseconds;
	/** A voter stands for election at the earliest this long after it heard from a leader, and refuses votes until then. */
	readonly minimumElectionTimeout: Milliseconds;
	readonly maximumElectionTimeout: Milliseconds;
	/** Shorter than the shortest election timeout, so that it ends before another leader can be elected even when clocks run at slightly different rates. */
	readonly leaseDuration: Milliseconds;
	readonly requestTimeout: Milliseconds;
	readonly snapshotTimeout: Milliseconds;
	/** Time after which a leader looks for voters that lost their disks, and a voter with a failed disk tries again. */
	readonly checkPeriod: Milliseconds;
	/** A voter that was silent for this long is replaced by a candidate. */
	readonly replaceAfter: Milliseconds;
	/** Entries kept in the log before they are replaced by a snapshot. */
	readonly compactAfter: number;
	/** Characters of files in these entries before they are replaced by a snapshot. */
	readonly compactAfterCharacters: number;
};

/** Times and bounds in use. */
export const defaultVoterTiming: VoterTiming = {
	heartbeat: 100,
	minimumElectionTimeout: 500,
	maximumElectionTimeout: 1000,
	leaseDuration: 400,
	requestTimeout: 1000,
	snapshotTimeout: 5000,
	checkPeriod: 1000,
	replaceAfter: 5000,
	compactAfter: 1000,
	compactAfterCharacters: 8 * 1024 * 1024,
};

/** Receives what happens to a voter. */
export type VoterObserver = {
	/** An entry was committed and carried out, with its answer; a repeated one was in the log at the start and may have been carried out before. */
	readonly committed: (entry: ControlLogEntry, answer: unknown, repeated: boolean) => void;
	/** The state was replaced by a snapshot. */
	readonly restored: () => void;
	/** Something that belongs in the time line. */
	readonly event: (kind: string, subject: string, detail: string) => void;
	readonly roleChanged: (role: VoterRole) => void;
};

/** What a voter needs. */
export type VoterOptions = {
	readonly name: string;
	readonly address: Address;
	readonly storage: LogStorage;
	readonly stateMachine: StateMachine;
	readonly linkClient: LinkClient;
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	readonly observer: VoterObserver;
	readonly timing?: VoterTiming;
	/** Returns the present address of a named voter, or undefined to use the one in the voter list. An instance may come back at another address. */
	readonly addressOf?: (name: string) => Address | undefined;
	/** Returns live control instances that may take the place of a voter that is lost for good. */
	readonly spareInstances?: () => readonly VoterRecord[];
};
