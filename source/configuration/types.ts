import {type Milliseconds} from '../clock/clock.js';

/** A data centre of the deployment. */
export type DataCentre = {
	readonly name: string;
	readonly region: string;
};

/** A database group of the deployment, with its sizes. */
export type DatabaseConfiguration = {
	readonly name: string;
	readonly service: string;
	/** Data centre whose pools and members are preferred. */
	readonly place: string;
	readonly memberCount: number;
	/** Statements that one member executes at a time. */
	readonly slots: number;
	/** Connections that one member accepts in all. */
	readonly connections: number;
	readonly connectTime: Milliseconds;
};

/** Limits on requests. */
export type Limits = {
	/** Requests of one access that may wait for one database. */
	readonly queueLength: number;
	/** Time that a request may wait before it is sent. */
	readonly requestDeadline: Milliseconds;
	/** Time that a statement may take. */
	readonly statementTimeout: Milliseconds;
	/** Time that a read waits for a fresh replica before it goes to the primary. */
	readonly replicaWait: Milliseconds;
	/** Time for which outcomes of request ids are kept. */
	readonly requestIdRetention: Milliseconds;
	/** Callers that one entry accepts. */
	readonly callersPerEntry: number;
	/** Time for open transactions on shutdown. */
	readonly drainTime: Milliseconds;
};

/** Timing of failure detection. */
export type Timeouts = {
	readonly heartbeat: Milliseconds;
	readonly silence: Milliseconds;
	readonly freshConnection: Milliseconds;
	readonly lease: Milliseconds;
	readonly promotionStagger: Milliseconds;
};

/** Configuration as seen by one data centre: the base with that site's overlay. */
export type DeploymentConfiguration = {
	readonly deployment: string;
	readonly places: readonly DataCentre[];
	readonly databases: readonly DatabaseConfiguration[];
	readonly limits: Limits;
	readonly timeouts: Timeouts;
};

/** Files of an accepted revision by name: `base` and one for each site. */
export type ConfigurationFiles = Readonly<Record<string, string>>;

/** Accepted configuration with everything that is agreed beside it. */
export type AcceptedConfiguration = {
	readonly revision: number;
	readonly files: ConfigurationFiles;
	/** Agreed member names by database. */
	readonly memberSets: Readonly<Record<string, readonly string[]>>;
};
