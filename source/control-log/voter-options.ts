import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type Address} from '../links/address.js';
import {type LinkClient} from '../links/link-client.js';
import {type Logger} from '../observability/logger.js';
import {type Random} from '../random/random.js';
import {type StateMachine, type LogStorage} from './storage.js';
import {type ControlLogEntry, type VoterRecord, type VoterRole} from './types.js';

/** Timeouts, periods and limits of a voter. */
export type VoterTiming = {
	/** Interval between heartbeats of the leader. */
	readonly heartbeatPeriod: Milliseconds;
	/** Lower bound of the random election timeout. A voter that heard from a leader within this time neither starts an election nor grants a vote. */
	readonly minimumElectionTimeout: Milliseconds;
	/** Upper bound of the random election timeout; a leader without a quorum steps down after this time. */
	readonly maximumElectionTimeout: Milliseconds;
	/** Duration of the leader's lease. Shorter than the minimum election timeout, so that the lease expires before another leader can be elected even if clocks run at slightly different rates. */
	readonly leaseDuration: Milliseconds;
	readonly requestTimeout: Milliseconds;
	readonly snapshotTimeout: Milliseconds;
	/** Interval at which a leader checks for voters to replace, and at which a voter tries to recover from a storage failure. */
	readonly voterCheckPeriod: Milliseconds;
	/** A voter that has not answered for this long is replaced by a spare instance. */
	readonly replaceVoterAfter: Milliseconds;
	/** Number of applied entries in the log above which they are compacted into a snapshot. */
	readonly compactAfterEntries: number;
	/** Number of characters in the entries of the log above which the applied ones are compacted into a snapshot. */
	readonly compactAfterCharacters: number;
};

/** Default timing of a voter. */
export const defaultVoterTiming: VoterTiming = {
	heartbeatPeriod: 100,
	minimumElectionTimeout: 500,
	maximumElectionTimeout: 1000,
	leaseDuration: 400,
	requestTimeout: 1000,
	snapshotTimeout: 5000,
	voterCheckPeriod: 1000,
	replaceVoterAfter: 5000,
	compactAfterEntries: 1000,
	compactAfterCharacters: 8 * 1024 * 1024,
};

/** Callbacks for events of a voter. */
export type VoterObserver = {
	/** An entry was committed and applied, with its result. `isReplay`: the entry was loaded at startup and may have been applied before the restart. */
	readonly committed: (entry: ControlLogEntry, result: unknown, isReplay: boolean) => void;
	/** The state machine was restored from a snapshot. */
	readonly restored: () => void;
	/** An event to record in the timeline, the event log of the process. */
	readonly event: (kind: string, subject: string, detail: string) => void;
	/** The voter took another role. */
	readonly roleChanged: (role: VoterRole) => void;
};

/** Identity, dependencies and timing of a voter. */
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
	/** Returns the current address of a voter by name, or undefined to use the address in the voter list. An instance may come back at another address. */
	readonly addressOf?: (name: string) => Address | undefined;
	/** Returns live control instances that can replace a permanently lost voter. */
	readonly spareInstances?: () => readonly VoterRecord[];
};
