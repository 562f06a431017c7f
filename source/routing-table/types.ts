import {type Milliseconds} from '../clock/clock.js';

/** Which data a read of a route may see. */
export type Consistency = 'primary' | 'boundedStaleness' | 'readYourWrites';

/** How sessions to one database are served. */
export type Route = {
	readonly name: string;
	readonly database: string;
	readonly pathPrefix: string;
	/** Service whose members hold the database. */
	readonly service: string;
	readonly consistency: Consistency;
	/** Limit of a single statement. */
	readonly statementTimeout: Milliseconds;
	/** Time within which a whole operation should end. */
	readonly latencyTarget: Milliseconds;
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Oldest data that a read may see; 0 on routes to the primary. */
	readonly maximumStaleness: Milliseconds;
};

/** A group of members that hold the same data. */
export type RoutedService = {
	readonly name: string;
	/** Connections that each member accepts from all processes together. */
	readonly connectionLimit: number;
	/** Replicas that must have received a commit before it is acknowledged. */
	readonly synchronousReplicas: number;
};

/** The configuration that routes sessions. */
export type RoutingTable = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly RoutedService[];
	/** A transaction that is idle for longer may be ended. */
	readonly idleTransactionLimit: Milliseconds;
};

/** Reads submitted configurations. */
export abstract class RoutingDocumentParser {
	/** Returns the table that a document describes. Throws configurationInvalid. */
	abstract parse(document: string): RoutingTable;
}
