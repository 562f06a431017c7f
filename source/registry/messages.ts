import {type BackendServer} from '../backend-directory/types.js';
import {type Milliseconds} from '../clock/clock.js';
import {type VoterRecord} from '../control-log/types.js';
import {type LogPosition} from '../database-group/types.js';
import {type Address} from '../links/address.js';
import {type AcceptedRouting} from '../routing-table/routing-state-machine.js';

/** A control instance as it introduces itself. */
export type ControlRecord = VoterRecord & {
	/** Where operators and backend servers reach it. */
	readonly controlAddress: Address;
	readonly dataCentre: string;
	/** Group of voters that its data folder belongs to, or null for an empty one. */
	readonly group: string | null;
	/** Whether the whole system starts for the first time. */
	readonly mayBootstrap: boolean;
};

/** An entry instance as it names itself. */
export type EntryRecord = {
	readonly name: string;
	/** Where other entries reach it. */
	readonly address: Address;
	readonly dataCentre: string;
};

/** Request `introduce`: control instances tell each other which ones exist. */
export type IntroduceRequest = {
	readonly self: ControlRecord;
	/** Digest of the instances that the sender knows. */
	readonly digest: string;
	/** Backend servers that announced themselves to the sender since its last introduction, with the time since then. */
	readonly heard: ReadonlyArray<readonly [id: string, age: Milliseconds]>;
	/** Digest of the sender's directory of backend servers. */
	readonly serversDigest: string;
	/** What the sender and its entries see of the backend servers; only the leader is told. */
	readonly contacts: ControlReachability | undefined;
	/** Digest of the receiver's entries as the sender knows them. */
	readonly entriesDigest: string;
};

/** What a control instance sees of the backend servers, and what the entries that watch it report. */
export type ControlReachability = {
	readonly own: EncodedReachability;
	readonly entries: ReadonlyArray<readonly [id: string, reached: number, failed: number]>;
};

/** Notice `shareContacts` to the leader, while a backend server is not reached. */
export type ShareContacts = {
	readonly name: string;
	readonly contacts: ControlReachability;
};

/** Response to `introduce`. */
export type IntroduceResponse = {
	readonly self: ControlRecord;
	/** All known instances, when the digests differ. */
	readonly known: readonly ControlRecord[] | undefined;
	/** All known backend servers, when the digests differ. */
	readonly servers: readonly BackendServer[] | undefined;
	/** Entries that watch the answering instance, when the digests differ. */
	readonly entries: readonly EntryRecord[] | undefined;
};

/** Contacts in the form in which they are sent. */
export type EncodedReachability = {
	/** Servers that answered lately. */
	readonly reached: readonly string[];
	/** Servers to which every attempt fails, and for how long. */
	readonly failing: ReadonlyArray<readonly [id: string, failingFor: Milliseconds]>;
};

/** How an instance fares with one backend server. */
export type BackendReachability = {
	readonly id: string;
	/** Time since its last answer; null when it never answered. */
	readonly answeredAgo: Milliseconds | null;
	/** How long every attempt has failed; 0 while it answers. */
	readonly failingFor: Milliseconds;
};

/** Request `watch` of an entry instance. */
export type WatchRequest = {
	readonly self: EntryRecord;
	readonly routingVersion: number;
	/** Identifies the directory that the version belongs to. */
	readonly directoryId: string;
	readonly directoryVersion: number;
	readonly contacts: EncodedReachability;
	/** Digest of the control instances that the sender knows. */
	readonly controlsDigest: string;
	/** Digest of the entries of its data centre that the sender knows. */
	readonly entriesDigest: string;
};

/** A point that the primary of a service confirmed. */
export type PrimaryReport = {
	readonly service: string;
	readonly primary: string;
	readonly point: LogPosition;
	/** Time since the question was sent to the primary. */
	readonly age: Milliseconds;
};

/** Age up to which the announcement of a present server is not reported; above the period of announcements. */
export const announcementFreshness: Milliseconds = 2000;

/** Response to `watch`. */
export type WatchResponse = {
	/** The control instances, when the digest of the request differs. */
	readonly controls: readonly ControlRecord[] | undefined;
	readonly controlsDigest: string;
	/** Time since the answering instance knew a leader that a quorum follows. */
	readonly leaderSilence: Milliseconds;
	/** The accepted routing, if it is newer than the one held. */
	readonly routing: AcceptedRouting | undefined;
	readonly directoryId: string;
	readonly directoryVersion: number;
	readonly changedServers: readonly BackendServer[];
	/** Present servers that did not announce themselves within `announcementFreshness`, and the time since then. */
	readonly silentServers: ReadonlyArray<readonly [id: string, age: Milliseconds]>;
	readonly primaries: readonly PrimaryReport[];
	/** Entries of the asker's data centre, when the digest of the request differs. */
	readonly entries: readonly EntryRecord[] | undefined;
	/** Entry instances that share the connections. */
	readonly entryCount: number;
	/** Data centres with entry instances. */
	readonly entryDataCentres: number;
	/** Whether the answering instance runs for long enough to have heard of all entries. */
	readonly knowsEntries: boolean;
};

/** Request `submitRouting`. */
export type SubmitRequest = AcceptedRouting;

/** Notice `shareAnnouncements`. */
export type ShareAnnouncements = {
	readonly servers: readonly BackendServer[];
};
