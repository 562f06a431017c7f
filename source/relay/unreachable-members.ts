import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type Logger} from '../observability/logger.js';
import {
	type MemberConnection, type MemberConnector, MemberRefusedError, type MemberTarget,
} from '../statement/member-connection.js';

/** Period of the attempts to connect to a directly unreachable member. */
const reconnectPeriod: Milliseconds = 1000;

/** Timeout of an attempt to reconnect. No request waits for these attempts. */
const reconnectTimeout: Milliseconds = 700;

/** Dependencies of the directly unreachable members. */
export type UnreachableMembersOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
	/** Opens direct connections. */
	readonly direct: MemberConnector;
	/** Returns whether a member with the id is still known. */
	readonly isKnownMember: (member: string) => boolean;
};

/** Members that this instance does not reach directly; tries to connect to them until it reaches them again. */
export class UnreachableMembers {
	readonly #members = new Set<string>();
	/** Connections that the attempts opened and that the next request takes over, by member and customer. */
	readonly #connections = new Map<string, MemberConnection>();

	constructor(private readonly options: UnreachableMembersOptions) {}

	/** Returns whether this instance does not reach the member directly. */
	has(member: string): boolean {
		return this.#members.has(member);
	}

	/** Adds a member that was not reached. */
	add(target: MemberTarget, reason: string): void {
		if (this.#members.has(target.id)) {
			return;
		}

		this.options.logger.warn(`${target.id} of ${target.service} at ${target.address} is not reached directly: ${reason}`);
		this.#members.add(target.id);
		this.#scheduleReconnect(target);
	}

	/** Returns a connection for the customer of the target that an attempt to reconnect opened, if there is one. */
	takeConnection(target: MemberTarget): MemberConnection | undefined {
		const key = connectionKey(target);
		const connection = this.#connections.get(key);
		this.#connections.delete(key);
		return connection?.isClosed ? undefined : connection;
	}

	#scheduleReconnect(target: MemberTarget): void {
		this.options.clock.schedule(reconnectPeriod, () => {
			void this.#reconnect(target);
		});
	}

	async #reconnect(target: MemberTarget): Promise<void> {
		const {direct, logger, isKnownMember} = this.options;
		if (!isKnownMember(target.id)) {
			this.#members.delete(target.id);
			return;
		}

		try {
			const connection = await direct.connect(target, reconnectTimeout);
			this.#keepConnection(target, connection);
		} catch (error) {
			if (!(error instanceof MemberRefusedError)) {
				this.#scheduleReconnect(target);
				return;
			}
		}

		this.#members.delete(target.id);
		logger.info(`${target.id} of ${target.service} is reached directly again`);
	}

	/** Keeps a connection for the next request and closes it if none takes it within the reconnect period. */
	#keepConnection(target: MemberTarget, connection: MemberConnection): void {
		const key = connectionKey(target);
		this.#connections.get(key)?.close();
		this.#connections.set(key, connection);
		this.options.clock.schedule(reconnectPeriod, () => {
			if (this.#connections.get(key) === connection) {
				this.#connections.delete(key);
				connection.close();
			}
		});
	}
}

function connectionKey({id, customer}: MemberTarget): string {
	return customer === undefined ? id : `${id}\n${customer}`;
}
