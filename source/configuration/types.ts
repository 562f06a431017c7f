import {type Milliseconds} from '../clock/clock.js';

/** A data centre of the deployment. */
export type DataCentre = {
	readonly name: string;
	readonly region: string;
};

/** Settings of one database and of its members, the backend servers that replicate it. */
export type DatabaseConfiguration = {
	readonly name: string;
	readonly service: string;
	/** Data centre whose pools and members are preferred for this database. */
	readonly place: string;
	readonly memberCount: number;
	/** Maximum number of statements that one member executes concurrently. */
	readonly slots: number;
	/** Maximum number of connections that one member accepts. */
	readonly connections: number;
	/** Usual time to open a connection to a member. */
	readonly connectTime: Milliseconds;
};

/** Limits on requests. */
export type Limits = {
	/** Maximum number of requests that wait for one database, counted separately for reads and writes. */
	readonly queueLength: number;
	/** Maximum time that a request waits before it is sent. */
	readonly requestDeadline: Milliseconds;
	/** Maximum execution time of a statement. */
	readonly statementTimeout: Milliseconds;
	/** Time that a read waits for a sufficiently fresh replica before it is sent to the primary. */
	readonly replicaWait: Milliseconds;
	/** Time for which the outcomes of requests are kept by request id. */
	readonly requestIdRetention: Milliseconds;
	/** Maximum number of callers that one entry accepts. */
	readonly callersPerEntry: number;
	/** Time that open transactions have to finish on shutdown. */
	readonly drainTime: Milliseconds;
};

/** Timing of failure detection. */
export type Timeouts = {
	/** Period of the status requests to each member. */
	readonly heartbeat: Milliseconds;
	/** Time without any answer after which a member is checked over a fresh connection. */
	readonly silence: Milliseconds;
	/** Time within which the check over the fresh connection must be answered. */
	readonly freshConnection: Milliseconds;
	/** Duration of a pool's lease of a member. */
	readonly lease: Milliseconds;
	/** Time by which a pool delays a promotion for each rank that it has in the ownership order of the database; the owner has rank 0. */
	readonly promotionStagger: Milliseconds;
};

/** Configuration of one data centre: the base file with that data centre's overlay applied. */
export type DeploymentConfiguration = {
	readonly deployment: string;
	/** Data centres of the deployment. */
	readonly places: readonly DataCentre[];
	readonly databases: readonly DatabaseConfiguration[];
	readonly limits: Limits;
	readonly timeouts: Timeouts;
};

/** Contents of the configuration files by name: `base`, and the data centre for each overlay. */
export type ConfigurationFiles = Readonly<Record<string, string>>;

/** Configuration files and member sets that a quorum of the control instances accepted. */
export type AcceptedConfiguration = {
	readonly revision: number;
	readonly files: ConfigurationFiles;
	/** Names of the members of each database. */
	readonly memberSets: Readonly<Record<string, readonly string[]>>;
};
