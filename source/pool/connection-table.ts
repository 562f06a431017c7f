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

/** Dependencies and settings of a ConnectionTable. */
export type ConnectionTableOptions = {
	readonly database: string;
	readonly poolName: string;
	readonly board: GroupBlackboard;
	readonly slots: SlotTable;
	readonly clock: Clock;
	readonly random: Random;
	readonly connector: BackendConnector;
	readonly timeouts: () => Timeouts;
	/** Polls the member immediately, because a connection to it failed. */
	readonly pollMember: (member: string) => void;
	readonly timeline: Timeline;
	readonly logger: Logger;
};

/** Connections to each member that are reserved for monitors. Each of the first three pools in ownership order uses one, and one more is needed to replace a monitor connection that stopped responding. */
const reservedMonitorConnections = 4;

type ConnectedMember = {
	readonly address: string;
	readonly connections: MemberConnections;
};

/** Keeps connections to the members whose lease this pool holds, and closes them when the lease is lost or the member is suspected of having failed. */
export class ConnectionTable extends Controller {
	readonly #connectedMembers = new Map<string, ConnectedMember>();
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

		// The cause that made one connection stop responding may affect the other connections to the member too.
		this.#cancels.push(board.watch('memberWithUnresponsiveConnection', member => {
			this.connectionsTo(member ?? '')?.revalidate();
		}));
	}

	override stop(): void {
		for (const cancel of this.#cancels.splice(0)) {
			cancel();
		}

		this.closeAll('the pool stops');
	}

	/** Returns the connections to the member, or undefined while this pool must not use it. */
	connectionsTo(member: string): MemberConnections | undefined {
		return this.#connectedMembers.get(member)?.connections;
	}

	/** Closes the connections to all members. */
	closeAll(reason: string): void {
		for (const [member] of this.#connectedMembers) {
			this.#closeConnections(member, reason);
		}
	}

	#update(): void {
		const {board, slots} = this.options;
		for (const [member, connected] of this.#connectedMembers) {
			if (!this.#mayHoldConnections(member)) {
				this.#closeConnections(member, 'the lease was lost or the member is suspected');
			} else if (board.read('members').get(member)?.address !== connected.address) {
				this.#closeConnections(member, 'the address changed');
			}
		}

		for (const {member, address} of board.read('members').values()) {
			slots.resize(member, board.read('observations').get(member)?.status.slots ?? 0);
			if (this.#mayHoldConnections(member)) {
				this.#openConnections(member, address);
			}
		}
	}

	#mayHoldConnections(member: string): boolean {
		const {board, clock} = this.options;
		return board.read('members').has(member) && holdsLease(board, member, clock.now()) && !board.read('suspects').has(member) && !board.read('isReleasingLeases');
	}

	#openConnections(member: string, address: string): void {
		const connected = this.#connectedMembers.get(member) ?? {address, connections: this.#createConnections(member, address)};
		this.#connectedMembers.set(member, connected);
		// Opening a connection takes about 12 ms, so one connection per slot is opened in advance.
		connected.connections.prewarm(this.options.slots.usageOf(member).slots);
	}

	#closeConnections(member: string, reason: string): void {
		this.#connectedMembers.get(member)?.connections.closeAll(reason);
		this.#connectedMembers.delete(member);
		this.#recordEvent('connections closed', member, reason);
	}

	#createConnections(member: string, address: string): MemberConnections {
		const {
			database, poolName, connector, clock, random, timeouts, board, pollMember,
		} = this.options;
		return new MemberConnections({
			address,
			database,
			applicationName: clientNameOf(poolName),
			connector,
			clock,
			random,
			maximumConnections: () => Math.max(1, (board.read('observations').get(member)?.status.connectionLimit ?? 0) - reservedMonitorConnections),
			connectTimeout: () => timeouts().freshConnection,
			verifyTimeout: () => timeouts().silence,
			onDiscarded: reason => {
				this.#recordEvent('connection discarded', member, reason);
				pollMember(member);
			},
			onConnectFailed: reason => {
				this.#recordEvent('connect failed', member, reason);
				pollMember(member);
			},
		});
	}

	#recordEvent(kind: string, member: string, detail: string): void {
		const {database, timeline, logger} = this.options;
		timeline.record('pool', kind, `${database}/${member}`, detail);
		logger.debug(`${database}/${member}: ${kind}: ${detail}`);
	}
}
