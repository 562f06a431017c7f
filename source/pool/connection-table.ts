import {type SlotTable} from '../admission/slot-table.js';
import {Controller} from '../blackboard/blackboard.js';
import {type Cancel, type Clock} from '../clock/clock.js';
import {type Timeouts} from '../configuration/types.js';
import {holdsLease, type GroupBlackboard} from '../database-group/group-state.js';
import {clientNameOf} from '../database-group/postgres-member-client.js';
import {type Logger} from '../observability/logger.js';
import {type BackendConnector} from '../postgres-protocol/backend-connection.js';
import {type Random} from '../random/random.js';
import {type Timeline} from '../timeline/timeline.js';
import {MemberConnections} from './member-connections.js';

/** What the connections of one database need. */
export type ConnectionTableOptions = {
	readonly database: string;
	readonly poolName: string;
	readonly board: GroupBlackboard;
	readonly slots: SlotTable;
	readonly clock: Clock;
	readonly random: Random;
	readonly connector: BackendConnector;
	readonly timeouts: () => Timeouts;
	readonly checkMember: (member: string) => void;
	readonly timeline: Timeline;
	readonly logger: Logger;
};

/** Connections left for the monitors: the first three pools have one each, and one may be opened afresh. */
const monitorConnections = 4;

type Entry = {
	readonly address: string;
	readonly connections: MemberConnections;
};

/** Keeps connections to the members whose lease is held, and closes them when the lease is lost or the member is suspected. */
export class ConnectionTable extends Controller {
	readonly #entries = new Map<string, Entry>();
	readonly #cancels: Cancel[] = [];

	constructor(private readonly options: ConnectionTableOptions) {
		super();
	}

	override start(): void {
		const {board} = this.options;
		const update = (): void => {
			this.#update();
		};

		for (const name of ['members', 'leases', 'suspects', 'observations'] as const) {
			this.#cancels.push(board.watch(name, update));
		}

		// What stopped one connection from responding may have stopped the others to the member too.
		this.#cancels.push(board.watch('memberWithUnresponsiveConnection', member => {
			this.of(member ?? '')?.distrust();
		}));
	}

	override stop(): void {
		for (const cancel of this.#cancels.splice(0)) {
			cancel();
		}

		this.closeAll('the pool stops');
	}

	/** Returns the connections to a member, or undefined while they must not be used. */
	of(member: string): MemberConnections | undefined {
		return this.#entries.get(member)?.connections;
	}

	/** Closes all connections. */
	closeAll(reason: string): void {
		for (const [member] of this.#entries) {
			this.#close(member, reason);
		}
	}

	#update(): void {
		const {board, slots} = this.options;
		for (const [member, entry] of this.#entries) {
			if (!this.#mayKeep(member)) {
				this.#close(member, 'the lease was lost or the member is suspected');
			} else if (board.read('members').get(member)?.address !== entry.address) {
				this.#close(member, 'the address changed');
			}
		}

		for (const {member, address} of board.read('members').values()) {
			slots.resize(member, board.read('observations').get(member)?.status.slots ?? 0);
			if (this.#mayKeep(member)) {
				this.#open(member, address);
			}
		}
	}

	#mayKeep(member: string): boolean {
		const {board, clock} = this.options;
		return board.read('members').has(member) && holdsLease(board, member, clock.now()) && !board.read('suspects').has(member) && !board.read('isReleasingLeases');
	}

	#open(member: string, address: string): void {
		const entry = this.#entries.get(member) ?? {address, connections: this.#create(member, address)};
		this.#entries.set(member, entry);
		// A new connection takes some 12 ms, so one for each slot is kept open ahead of need.
		entry.connections.warm(this.options.slots.usageOf(member).slots);
	}

	#close(member: string, reason: string): void {
		this.#entries.get(member)?.connections.closeAll(reason);
		this.#entries.delete(member);
		this.#record('connections closed', member, reason);
	}

	#create(member: string, address: string): MemberConnections {
		const {
			database, poolName, connector, clock, random, timeouts, board, checkMember,
		} = this.options;
		return new MemberConnections({
			address,
			database,
			applicationName: clientNameOf(poolName),
			connector,
			clock,
			random,
			limit: () => Math.max(1, (board.read('observations').get(member)?.status.connectionLimit ?? 0) - monitorConnections),
			connectTimeout: () => timeouts().freshConnection,
			verifyTimeout: () => timeouts().silence,
			onDiscarded: reason => {
				this.#record('connection discarded', member, reason);
				checkMember(member);
			},
			onConnectFailed: reason => {
				this.#record('connect failed', member, reason);
				checkMember(member);
			},
		});
	}

	#record(kind: string, member: string, detail: string): void {
		const {database, timeline, logger} = this.options;
		timeline.record('pool', kind, `${database}/${member}`, detail);
		logger.debug(`${database}/${member}: ${kind}: ${detail}`);
	}
}
