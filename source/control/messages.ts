import {type AcceptedConfiguration, type ConfigurationFiles} from '../configuration/types.js';

/** Request `apply`: replace the configuration files. */
export type ApplyRequest = {
	readonly changeId: string;
	readonly expectedRevision: number;
	readonly files: ConfigurationFiles;
	readonly operator: string;
};

/** Response to `apply`; a resent change gets the same response. */
export type ApplyResponse = {
	readonly code: number;
	readonly revision: number;
	readonly detail: string;
};

/** Request `registerMember`: make a backend server a member of its group. */
export type RegisterMemberRequest = {
	readonly database: string;
	readonly member: string;
};

/** Request `configurationSince`: the changes after a revision. */
export type ConfigurationSinceRequest = {
	readonly revision: number;
};

/** A change of the accepted configuration from the revision before it. Files and member sets not named are unchanged; null removes a file. */
export type ConfigurationDelta = {
	readonly revision: number;
	readonly files: Readonly<Record<string, string | null>>;
	readonly memberSets: Readonly<Record<string, readonly string[]>>;
};

/** Response to `configurationSince`. */
export type ConfigurationSinceResponse =
	| {readonly kind: 'deltas'; readonly deltas: readonly ConfigurationDelta[]}
	| {readonly kind: 'snapshot'; readonly configuration: AcceptedConfiguration};

/** Response to `controlStatus`. */
export type ControlStatusResponse = {
	readonly name: string;
	readonly diskId: string;
	readonly role: 'leader' | 'follower' | 'learner' | 'candidate' | 'waiting' | 'failed';
	readonly term: number;
	readonly leader: string | null;
	readonly leaseLive: boolean;
	readonly revision: number;
	readonly voters: ReadonlyArray<{readonly name: string; readonly diskId: string; readonly address: string}>;
};
