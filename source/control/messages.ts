import {type AcceptedConfiguration, type ConfigurationFiles} from '../configuration/types.js';

/** Request `apply`: replaces the configuration files. */
export type ApplyRequest = {
	readonly changeId: string;
	readonly expectedRevision: number;
	readonly files: ConfigurationFiles;
	readonly operator: string;
};

/** Response to `apply` and `registerMember`; a resent change gets the same response. */
export type ApplyResponse = {
	readonly code: number;
	readonly revision: number;
	readonly detail: string;
};

/** Request `registerMember`: adds a backend server to its database group. */
export type RegisterMemberRequest = {
	readonly database: string;
	readonly member: string;
};

/** Request `configurationSince`: fetches the changes after a revision. */
export type ConfigurationSinceRequest = {
	readonly revision: number;
};

/** Difference between a revision of the accepted configuration and the one before it. Files and member sets that are not listed are unchanged; null removes a file. */
export type ConfigurationDelta = {
	readonly revision: number;
	readonly files: Readonly<Record<string, string | null>>;
	readonly memberSets: Readonly<Record<string, readonly string[]>>;
};

/** Response to `configurationSince`: the deltas, or the whole configuration if the deltas are not available. */
export type ConfigurationSinceResponse =
	| {readonly kind: 'deltas'; readonly deltas: readonly ConfigurationDelta[]}
	| {readonly kind: 'snapshot'; readonly configuration: AcceptedConfiguration};

/** Response to `controlStatus`: the view of one control process, which may be outdated unless `leaseLive` is true. */
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
