import {type Milliseconds} from '../clock/clock.js';
import {ConnectionPlacement, surplusIdleTimeout} from '../session-proxy/connection-placement.js';
import {type ConnectionPath, type MemberConnection, type MemberTarget} from '../statement/member-connection.js';
import {maximumRelayedConnections, type ConnectionAllocation} from './connection-allocation.js';

/** Time for which idle connections of customers are kept. With 87 customers and 4 gateways of 26 connections, nearly every customer can keep one. */
const customerIdleTimeout: Milliseconds = 20_000;

/** Share of a gateway's connections that it keeps while they are idle. With half, the successors of two lost gateways, or of all after a loss of power, can connect while the member still counts the old connections. */
const keptShare = 0.5;

/** What a placement needs of the connector. */
export type PlacementSource = {
	maximumConnections(member: Pick<MemberTarget, 'id' | 'service'>): number;
	isGateway(member: Pick<MemberTarget, 'id' | 'service'>): boolean;
	allocationOf(service: string): ConnectionAllocation;
	isDirectConnectionAllowed(member: Pick<MemberTarget, 'id' | 'service'>, connection: MemberConnection): boolean;
	pathFor(target: Pick<MemberTarget, 'id' | 'service' | 'customer'>): ConnectionPath | undefined;
};

/** Placement of the connections to one member by the allocation in force. */
export class GatewayPlacement extends ConnectionPlacement {
	constructor(private readonly source: PlacementSource, private readonly member: Pick<MemberTarget, 'id' | 'service'>) {
		super();
	}

	override get isByCustomer(): boolean {
		return this.#allocation.isByCustomer ?? false;
	}

	override get isExact(): boolean {
		return this.#allocation.gatewaysNearMember !== undefined;
	}

	override get isGateway(): boolean {
		return this.source.isGateway(this.member);
	}

	override get isYielding(): boolean {
		return this.#allocation.isYielding ?? false;
	}

	get #allocation(): ConnectionAllocation {
		return this.source.allocationOf(this.member.service);
	}

	override pathFor(customer: string | undefined): ConnectionPath | undefined {
		const {id, service} = this.member;
		return this.source.pathFor({id, service, customer});
	}

	override maximumConnections(path: ConnectionPath | undefined): number {
		switch (path) {
			case 'own': {
				return this.#allocation.connectionsPerEntry;
			}

			case 'gateway': {
				return maximumRelayedConnections;
			}

			case undefined: {
				return this.source.maximumConnections(this.member);
			}
		}
	}

	override keptConnections(path: ConnectionPath | undefined): number {
		const maximum = this.maximumConnections(path);
		return this.isExact && path === 'own' ? Math.max(1, Math.floor(maximum * keptShare)) : maximum;
	}

	override isAllowed(connection: MemberConnection): boolean {
		return !this.isExact || connection.isRelayed || this.source.isDirectConnectionAllowed(this.member, connection);
	}

	override idleTimeout(connection: MemberConnection, customer: string | undefined): Milliseconds {
		const isKept = customer !== undefined && this.isExact && (connection.isRelayed || this.source.isGateway(this.member));
		return isKept ? customerIdleTimeout : surplusIdleTimeout;
	}
}
