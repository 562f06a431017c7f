import {type BackendServer} from '../backend-directory/types.js';
import {type Milliseconds} from '../clock/clock.js';
import {type VoterRecord} from '../control-log/types.js';
import {type LogPosition} from '../database-group/types.js';
import {type Address} from '../links/address.js';
import {type UsageReport, type UsageResponse} from '../rate-limit/messages.js';
import {type RoutingTableVersion} from '../routing-table/routing-difference.js';
import {type AcceptedRouting} from '../routing-table/routing-state-machine.js';

/** Record with which a control instance introduces itself. */
export type ControlRecord = VoterRecord & {
	/** Address of the interface for operators and backend servers. */
	readonly controlAddress: Address;
	readonly dataCentre: string;
	readonly region: string;
	/** Voter group to which its data folder belongs, or null when the folder is empty. */
	readonly group: string | null;
	/** Whether it may take part in the bootstrap, because the whole system starts for the first time. */
	readonly mayBootstrap: boolean;
};

/** Record with which an entry instance identifies itself. */
export type EntryRecord = {
	readonly name: string;
	/** Link address at which other entries reach it. */
	readonly address: Address;
	readonly dataCentre: string;
	/** Only sent while gateways are placed near the members (see `allocateConnections`). */
	readonly region?: string;
};

/** Request `introduce`, by which control instances discover each other and compare their directories. */
export type IntroduceRequest = {
	readonly self: ControlRecord;
	/** Digest of the control instances that the sender knows. */
	readonly digest: string;
	/** Backend servers that announced themselves to the sender since its last introduction, with the age of the announcement. */
	readonly heard: ReadonlyArray<readonly [id: string, age: Milliseconds]>;
	/** Digest of the sender's directory of backend servers. */
	readonly serversDigest: string;
	/** Reachability of the backend servers from the sender and its entries; sent to the leader only. */
	readonly contacts: ControlReachability | undefined;
	/** Digest of the last list of entries that the sender received from the receiver. */
	readonly entriesDigest: string;
};

/** Reachability of the backend servers from a control instance, and a summary of the reports of the entries that watch it. */
export type ControlReachability = {
	readonly own: EncodedReachability;
	/** For each backend server, the number of entries that reach it and the number of entries that fail to reach it. */
	readonly entries: ReadonlyArray<readonly [id: string, reached: number, failed: number]>;
};

/** One-way message `shareContacts`, sent to the leader while a backend server cannot be reached. */
export type ReachabilityNotice = {
	readonly name: string;
	readonly contacts: ControlReachability;
};

/** Response to `introduce`. */
export type IntroduceResponse = {
	readonly self: ControlRecord;
	/** All known control instances, when the digests differ. */
	readonly known: readonly ControlRecord[] | undefined;
	/** All known backend servers, when the digests differ. */
	readonly servers: readonly BackendServer[] | undefined;
	/** Entries that watch the answering instance, when the digests differ. */
	readonly entries: readonly EntryRecord[] | undefined;
};

/** Reachability of backend servers in the form in which it is sent. */
export type EncodedReachability = {
	/** Servers that answered recently. */
	readonly reached: readonly string[];
	/** Servers to which every attempt fails, with the time since the first failure. */
	readonly failing: ReadonlyArray<readonly [id: string, failingFor: Milliseconds]>;
};

/** Reachability of one backend server from an instance. */
export type BackendReachability = {
	readonly id: string;
	/** Time since its last answer; null when it never answered. */
	readonly answeredAgo: Milliseconds | null;
	/** Time for which every attempt has failed; 0 while it answers. */
	readonly failingFor: Milliseconds;
};

/** Request `watch`, by which an entry instance polls a control instance for changes. */
export type WatchRequest = {
	readonly self: EntryRecord;
	readonly routingVersion: number;
	/** Identifies the directory to which the version belongs. */
	readonly directoryId: string;
	readonly directoryVersion: number;
	/** Digest of the routing table that the sender holds. Entries of earlier builds send none and get whole documents in the response. */
	readonly routingDigest: string | undefined;
	readonly contacts: EncodedReachability;
	/** Digest of the control instances that the sender knows. */
	readonly controlsDigest: string;
	/** Digest of the entries that the sender knows, in its data centre or in all of them. */
	readonly entriesDigest: string;
	/** Whether the sender needs the entries of all data centres, because gateways are placed near the members; absent otherwise. */
	readonly wantsAllEntries?: true;
	/** Operations of the customers; absent while no customer has a limit. */
	readonly usage?: UsageReport;
};

/** Log position that the primary of a service confirmed. */
export type PrimaryReport = {
	readonly service: string;
	readonly primary: string;
	readonly point: LogPosition;
	/** Age of the position, counted from the time at which the primary was asked for its status. */
	readonly age: Milliseconds;
};

/** Announcements up to this age are not reported as old; longer than the announcement period. */
export const announcementFreshness: Milliseconds = 2000;

/** Response to `watch`. */
export type WatchResponse = {
	/** The control instances, when the digest of the request differs. */
	readonly controls: readonly ControlRecord[] | undefined;
	readonly controlsDigest: string;
	/** Time since the responding instance last knew a leader that a quorum follows; null when it knows none. */
	readonly leaderSilence: Milliseconds | null;
	/** The accepted routing, when it is newer than the version in the request; only for entries of earlier builds. */
	readonly routing: AcceptedRouting | undefined;
	/** Version of the newest routing table, when it differs from the one that the sender holds; fetched with `fetchRouting`. */
	readonly newestRouting: RoutingTableVersion | undefined;
	readonly directoryId: string;
	readonly directoryVersion: number;
	readonly changedServers: readonly BackendServer[];
	/** Servers not marked as gone whose last announcement is older than `announcementFreshness`, with its age. */
	readonly silentServers: ReadonlyArray<readonly [id: string, age: Milliseconds]>;
	readonly primaries: readonly PrimaryReport[];
	/** Entries of the requester's data centre, or of all data centres if it wants them, when the digest of the request differs. */
	readonly entries: readonly EntryRecord[] | undefined;
	/** Whether the entries, or those with the digest of the request, are those of all data centres; only present if the requester wants them. Control instances of earlier builds do not send them. */
	readonly coversAllEntries?: true;
	/** Number of entry instances among which the connections of each backend server are divided. */
	readonly entryCount: number;
	/** Number of data centres with entry instances. */
	readonly entryDataCentres: number;
	/** Whether the responding instance has run for long enough to know all entries. */
	readonly knowsEntries: boolean;
	/** Answer to the usage report of the request; absent when it has none. */
	readonly usage?: UsageResponse;
};

/** Request `submitRouting`, by which a control instance forwards a routing document to the leader. */
export type SubmitRoutingRequest = AcceptedRouting;

/** One-way message `shareAnnouncements`, by which a control instance passes on changed backend servers. */
export type AnnouncementNotice = {
	readonly servers: readonly BackendServer[];
};
