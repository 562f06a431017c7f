import {type ConfigurationFiles} from '../configuration/types.js';
import {type Address} from '../links/address.js';

/** Identity of a voter: its name and the id of the disk that holds its votes and log. A voter with a new disk is a new voter. */
export type VoterIdentity = {
	readonly name: string;
	readonly diskId: string;
};

/** Identity and link address of a voter. */
export type VoterRecord = VoterIdentity & {
	readonly address: Address;
};

/** Voters, of which a majority forms a quorum, and learners, which receive the log but do not vote. */
export type VoterList = {
	readonly voters: readonly VoterRecord[];
	readonly learners: readonly VoterRecord[];
};

/** Position of an entry in the log. */
export type EntryPosition = {
	readonly index: number;
	readonly term: number;
};

/** No-op entry that each leader appends first: Raft commits entries of earlier terms only together with an entry of the current term. */
export type NoOpCommand = {readonly kind: 'opening'};

/** Replaces the configuration files if the expected revision is current. */
export type ApplyCommand = {
	readonly kind: 'apply';
	readonly changeId: string;
	readonly expectedRevision: number;
	readonly files: ConfigurationFiles;
	readonly operator: string;
};

/** Adds a backend server to its database group unless the group already has the configured number of members. */
export type RegisterMemberCommand = {
	readonly kind: 'registerMember';
	readonly database: string;
	readonly member: string;
	/** Configured number of members of the group. */
	readonly memberCount: number;
};

/** Replaces the voter list. A voter uses the new list as soon as the entry is in its log, committed or not. */
export type ChangeVotersCommand = {
	readonly kind: 'changeVoters';
	readonly list: VoterList;
};

/** Replaces the routing document if its version is higher than that of the accepted document. */
export type ReplaceRoutingCommand = {
	readonly kind: 'replaceRouting';
	readonly version: number;
	readonly document: string;
};

/** Issues a fencing token; the token is the index of this entry. */
export type IssueTokenCommand = {
	readonly kind: 'issueToken';
	/** Name of the service whose promotion the token is issued for. */
	readonly subject: string;
	/** Id of the member to promote; absent in entries of earlier versions. */
	readonly member?: string;
	/** Token up to which no request can be carried out any more. Present in an entry that records this; its own token is not used. Earlier versions ignore the field and take the entry for a further request. */
	readonly settledToken?: number;
};

/** Command of a control log entry. Committed commands are applied to the state machine of every voter; changeVoters takes effect in the voters themselves. */
export type Command = NoOpCommand | ApplyCommand | RegisterMemberCommand | ChangeVotersCommand | ReplaceRoutingCommand | IssueTokenCommand;

/** Entry of the control log: a command and its position. */
export type ControlLogEntry = EntryPosition & {
	readonly command: Command;
};

/** Raft's persistent state besides the log: the current term and the `voterKey` of the candidate that got this voter's vote in it. */
export type TermAndVote = {
	readonly term: number;
	readonly votedFor: string | null;
};

/** State after all entries up to an index. */
export type Snapshot = EntryPosition & {
	/** Id of the group of voters; a hash of the first voter list. */
	readonly group: string;
	readonly list: VoterList;
	/** State of the state machine. */
	readonly image: unknown;
};

/** Durable state of a voter, as loaded from its data folder. */
export type StoredState = {
	readonly diskId: string;
	readonly termAndVote: TermAndVote;
	readonly snapshot: Snapshot | undefined;
	/** Entries after the snapshot, without gaps. */
	readonly entries: readonly ControlLogEntry[];
	/** Commit index known when the last entry was written. */
	readonly commitIndex: number;
};

/** Role of a voter. `waiting`: it has no voter list yet; `failed`: it cannot write its data folder. */
export type VoterRole = 'leader' | 'candidate' | 'follower' | 'learner' | 'waiting' | 'failed';

/** Returns the key of a voter in votes, maps and logs: `name/diskId`. */
export function voterKey(identity: VoterIdentity): string {
	return `${identity.name}/${identity.diskId}`;
}
