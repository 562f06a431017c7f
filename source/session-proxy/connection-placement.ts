import {type Milliseconds} from '../clock/clock.js';
import {type ConnectionPath, type MemberConnection} from '../statement/member-connection.js';

/** Idle time after which a connection is closed unless it is the last one. Members keep the connections of a lost instance for seconds, so an instance should not hold more than it uses. */
export const surplusIdleTimeout: Milliseconds = 1000;

/** Decides how the connections of this instance to one member are opened, and how many it may have. */
export abstract class ConnectionPlacement {
	/** Whether each customer has a gateway, so that this instance may have connections on both paths. */
	abstract readonly isByCustomer: boolean;

	/** Whether the shares of all instances fit into the member's connection limit, so that connections that are being rolled back must be counted as well. */
	abstract readonly isExact: boolean;

	/** Whether this instance opens direct connections for its own callers and for other instances. */
	get isGateway(): boolean {
		return true;
	}

	/** Whether the member's only connection must be closed from time to time, so that the leader of the control log gets one. */
	get isYielding(): boolean {
		return false;
	}

	/** Number of connections that this instance may have to the member on its main path: its own connections if it is a gateway, otherwise those through gateways. */
	get maximumOfInstance(): number {
		if (!this.isByCustomer) {
			return this.maximumConnections(undefined);
		}

		return this.maximumConnections(this.isGateway ? 'own' : 'gateway');
	}

	/** Returns the path for the requests of a customer's callers at this instance; undefined unless `isByCustomer`. */
	abstract pathFor(customer: string | undefined): ConnectionPath | undefined;

	/** Returns the maximum number of connections on the path. */
	abstract maximumConnections(path: ConnectionPath | undefined): number;

	/** Returns whether the connection may still be used; otherwise it is closed once it is idle. */
	abstract isAllowed(connection: MemberConnection): boolean;

	/** Returns the number of connections on the path above which idle ones are surplus. Members count the connections of a lost instance for seconds; its successors need room meanwhile. */
	abstract keptConnections(path: ConnectionPath | undefined): number;

	/** Returns the time after which an idle connection is closed. */
	abstract idleTimeout(connection: MemberConnection, customer: string | undefined): Milliseconds;
}

/** Placement in which the connector opens all connections alike. */
export class SharedPlacement extends ConnectionPlacement {
	override readonly isByCustomer = false;
	override readonly isExact = false;

	constructor(private readonly limit: () => number) {
		super();
	}

	override pathFor(): undefined {
		return undefined;
	}

	override maximumConnections(): number {
		return this.limit();
	}

	override keptConnections(): number {
		return this.limit();
	}

	override isAllowed(): boolean {
		return true;
	}

	override idleTimeout(): Milliseconds {
		return surplusIdleTimeout;
	}
}
