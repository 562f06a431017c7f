import {type ConfigurationFiles} from '../configuration/types.js';
import {type Address} from '../links/address.js';

/** A voter is its name together with the disk that holds its promises; a new disk makes a new voter. */
export type VoterIdentity = {
	readonly name: string;
	readonly diskId: string;
};

/** A voter and where to reach it. */
export type VoterRecord = VoterIdentity & {
	readonly address: Address;
};

/** The voters whose majority decides, and the learners that receive the log without counting. */
export type VoterList = {
	readonly voters: readonly VoterRecord[];
	readonly learners: readonly VoterRecord[];
};

/** Last place of a log: index and term of its last entry. */
export type LogEnd = {
	readonly index: number;
	readonly term: number;
};

/** First entry of each leader; it lets entries of earlier terms become committed. */
export type OpeningCommand = {readonly kind: 'opening'};

/** Replaces the configuration files. */
export type ApplyCommand = {
	readonly kind: 'apply';
	readonly changeId: string;
	readonly expectedRevision: number;
	readonly files: ConfigurationFiles;
	readonly operator: string;
};

/** Makes a backend server a member of its group while the group has fewer members than configured. */
export type RegisterMemberCommand = {
	readonly kind: 'registerMember';
	readonly database: string;
	readonly member: string;
	/** Members that the group has by the configuration. */
	readonly memberCount: number;
};

/** Replaces the voter list; it is in force from the moment it is in a voter's log. */
export type ChangeVotersCommand = {
	readonly kind: 'changeVoters';
	readonly list: VoterList;
};

/** Replaces the routing document if its version is higher than the accepted one. */
export type ReplaceRoutingCommand = {
	readonly kind: 'replaceRouting';
	readonly version: number;
	readonly document: string;
};

/** Issues a fencing token, which is the index of the entry. */
export type IssueTokenCommand = {
	readonly kind: 'issueToken';
	/** What the token is for. */
	readonly subject: string;
};

/** What an entry of the control log does. */
export type Command = OpeningCommand | ApplyCommand | RegisterMemberCommand | ChangeVotersCommand | ReplaceRoutingCommand | IssueTokenCommand;

/** One entry of the control log. */
export type ControlLogEntry = LogEnd & {
	readonly command: Command;
};

/** The highest term seen and the vote given in it, as `voterKey`. */
export type VoterPromise = {
	readonly term: number;
	readonly votedFor: string | null;
};

/** Everything that the entries up to an index led to. */
export type Snapshot = LogEnd & {
	/** Identifies the group of voters; derived from the first voter list. */
	readonly group: string;
	readonly list: VoterList;
	/** Image of the state machine. */
	readonly image: unknown;
};

/** What a voter finds in its data folder. */
export type StoredState = {
	readonly diskId: string;
	readonly promise: VoterPromise;
	readonly snapshot: Snapshot | undefined;
	/** Entries after the snapshot, without gaps. */
	readonly entries: readonly ControlLogEntry[];
	/** Index up to which entries were known to be committed when the last one was written. */
	readonly commitIndex: number;
};

/** Role of a voter; `waiting` has no voter list yet, `failed` cannot write its data folder. */
export type VoterRole = 'leader' | 'candidate' | 'follower' | 'learner' | 'waiting' | 'failed';

/** Returns the text that identifies a voter. */
export function voterKey(identity: VoterIdentity): string {
	return `${identity.name}/${identity.diskId}`;
}
