import {type Milliseconds} from '../clock/clock.js';
import {type Customer} from '../customers/types.js';

/** Consistency that reads of a route get. */
export type Consistency = 'primary' | 'boundedStaleness' | 'readYourWrites';

/** Routing of the sessions to one database. */
export type Route = {
	readonly name: string;
	readonly database: string;
	/** Path prefix of the route; two routes of the same database must not have the same one. */
	readonly pathPrefix: string;
	/** Service whose members hold the database. */
	readonly service: string;
	readonly consistency: Consistency;
	/** Timeout of a single statement. */
	readonly statementTimeout: Milliseconds;
	/** Time within which a whole operation should be completed. */
	readonly latencyTarget: Milliseconds;
	/** Priority of the route's requests; 0 is the highest. */
	readonly priority: number;
	/** Maximum age of the data that a read may see; 0 on routes to the primary. */
	readonly maximumStaleness: Milliseconds;
	/** Whether callers need no API key. Only used where customers are configured. */
	readonly isPublic?: boolean;
};

/** A group of backend servers that replicate the same data. */
export type RoutedService = {
	readonly name: string;
	/** Maximum number of connections that each member accepts from all processes together. */
	readonly connectionLimit: number;
	/** Number of replicas that must have received a commit before it is acknowledged. */
	readonly synchronousReplicas: number;
};

/** Configuration by which sessions are routed to services. */
export type RoutingTable = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: readonly RoutedService[];
	/** A transaction that is idle for longer may be rolled back. */
	readonly idleTransactionLimit: Milliseconds;
	/** Customers by which callers are identified; undefined in a deployment without customers. */
	readonly customers?: readonly Customer[];
};

/** Parses submitted routing documents. */
export abstract class RoutingDocumentParser {
	/** Returns the routing table that a document describes. Throws configurationInvalid. */
	abstract parse(document: string): RoutingTable;
}
