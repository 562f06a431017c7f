import {Controller} from '../blackboard/blackboard.js';
import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {type Timeouts} from '../configuration/types.js';
import {type Logger} from '../observability/logger.js';
import {type Timeline} from '../timeline/timeline.js';
import {holdsLease, type GroupBlackboard, type GroupMember} from './group-state.js';
import {type MemberClient, type MemberClientFactory} from './member-client.js';
import {MemberMonitor} from './member-monitor.js';
import {addFloor, addObservation, latestFloor} from './log-position-rules.js';
import {type MemberObservation} from './types.js';

/** What a monitor of a database needs. */
export type MonitorOptions = {
	readonly database: string;
	/** Name of this pool, under which it holds leases. */
	readonly holder: string;
	readonly board: GroupBlackboard;
	readonly clock: Clock;
	readonly clients: MemberClientFactory;
	readonly timeouts: () => Timeouts;
	readonly timeline: Timeline;
	readonly logger: Logger;
};

/** Pause between extra polls while writes wait, so that a confirmation costs little beside the replication itself. */
const writePollDelay: Milliseconds = 1;

/** Pause between extra polls while reads wait for a fresher replica; their whole wait is 50 ms by default. */
const readPollDelay: Milliseconds = 5;

/** Floors are kept this far apart, for 60 s; a longer stated age uses the oldest kept floor, which is stricter. */
const floorSpacing: Milliseconds = 200;
const floorCapacity = 300;

type WatchedMember = {
	readonly address: string;
	readonly monitor: MemberMonitor;
};

/** Watches the members of one database: heartbeats, leases, suspicion, observations and freshness floors. */
export class MonitorController extends Controller {
	readonly #monitors = new Map<string, WatchedMember>();
	readonly #leaseFreeSince = new Map<string, Milliseconds>();
	readonly #cancels: Cancel[] = [];
	#rank: number | undefined;

	constructor(private readonly options: MonitorOptions) {
		super();
	}

	override start(): void {
		const {board} = this.options;
		this.#cancels.push(
			board.watch('members', () => {
				this.#followMembers();
			}),
			board.watch('awaitedPoint', point => {
				if (point) {
					this.pollNow();
				}
			}),
			board.watch('ownership', ({rank}) => {
				this.#followRank(rank);
			}),
			board.watch('awaitingReads', count => {
				// Further reads are served by the extra polls that go on while any read waits.
				if (count === 1) {
					this.pollNow();
				}
			}),
		);
		this.#followMembers();
	}

	override stop(): void {
		for (const cancel of this.#cancels.splice(0)) {
			cancel();
		}

		for (const {monitor} of this.#monitors.values()) {
			monitor.stop();
		}

		this.#monitors.clear();
	}

	/** Polls all members now, or only the named one. */
	pollNow(member?: string): void {
		for (const [name, {monitor}] of this.#monitors) {
			if (member === undefined || name === member) {
				monitor.pollNow();
			}
		}
	}

	/** Returns the client of the member's monitor connection, or undefined for an unknown member. */
	clientOf(member: string): MemberClient | undefined {
		return this.#monitors.get(member)?.monitor.client;
	}

	/** Takes an observation made outside of the polls, for example on a connection that carried a write. */
	observe(observation: MemberObservation): void {
		const {board} = this.options;
		const observations = addObservation(board.read('observations'), observation);
		if (observations === board.read('observations')) {
			return;
		}

		this.#noteLeaseHolder(observation);
		this.#addFloor(observations);
		board.write('observations', observations);
	}

	/** Gives back the leases that this pool holds. */
	async releaseLeases(): Promise<void> {
		const {board, clock, holder, timeouts} = this.options;
		const held = [...this.#monitors].filter(([member]) => holdsLease(board, member, clock.now()));
		board.write('leases', new Map());
		for (const [member] of held) {
			this.#leaseFreeSince.set(member, clock.now());
		}

		await Promise.allSettled(held.map(async ([, {monitor}]) => monitor.client.releaseLease(holder, timeouts().silence)));
		this.#record('lease released', held.map(([member]) => member).join(', '));
	}

	#followRank(rank: number): void {
		if (rank !== this.#rank) {
			this.#rank = rank;
			this.pollNow();
		}
	}

	#followMembers(): void {
		const members = this.options.board.read('members');
		for (const [name, watched] of this.#monitors) {
			if (members.get(name)?.address !== watched.address) {
				watched.monitor.stop();
				this.#monitors.delete(name);
			}
		}

		for (const member of members.values()) {
			if (!this.#monitors.has(member.member)) {
				this.#watch(member);
			}
		}
	}

	#watch(member: GroupMember): void {
		const {
			board, clock, clients, database, holder, timeouts,
		} = this.options;
		const name = member.member;
		const monitor = new MemberMonitor({
			clock, createClient: () => clients.create(database, name, member.address), holder, timeouts,
		}, {
			onAnswer: (observation, leaseUntil) => {
				this.#answered(name, observation, leaseUntil);
			},
			onLeaseRefused: () => {
				this.#loseLease(name, 'the member refused to renew it');
			},
			answeredSince: time => (board.read('observations').get(name)?.askedAt ?? -1) >= time,
			onConnectionReplaced: reason => {
				this.#record('connection discarded', name, `monitor connection: ${reason}`);
				board.write('unresponsiveConnection', name);
			},
			onSuspected: reason => {
				this.#suspect(name, reason);
			},
			wantsLease: () => this.#wantsLease(name),
			pollPeriod: () => this.#pollPeriod(name),
			extraPollDelay: () => this.#extraPollDelay(name),
		});
		this.#monitors.set(name, {address: member.address, monitor});
		monitor.start();
	}

	#answered(name: string, observation: MemberObservation, leaseUntil: Milliseconds | undefined): void {
		if (observation.status.member !== name) {
			this.#suspect(name, `the address answers as member "${observation.status.member}"`);
			return;
		}

		if (leaseUntil !== undefined) {
			this.#extendLease(name, leaseUntil);
		}

		this.#trust(name);
		this.observe(observation);
		if (leaseUntil === undefined && this.#wantsLease(name)) {
			this.pollNow(name);
		}
	}

	#extendLease(name: string, until: Milliseconds): void {
		const {board, clock} = this.options;
		const held = holdsLease(board, name, clock.now());
		board.write('leases', new Map([...board.read('leases'), [name, until]]));
		if (!held) {
			this.#record('lease taken', name);
		}

		clock.schedule(Math.max(0, until - clock.now()), () => {
			if (board.read('leases').get(name) === until) {
				this.#loseLease(name, 'it was not renewed in time');
			}
		});
	}

	#loseLease(name: string, reason: string): void {
		const {board} = this.options;
		const leases = new Map(board.read('leases'));
		if (leases.delete(name)) {
			board.write('leases', leases);
			this.#record('lease lost', name, reason);
		}
	}

	#suspect(name: string, reason: string): void {
		const {board} = this.options;
		if (!board.read('suspects').has(name)) {
			board.write('suspects', new Set([...board.read('suspects'), name]));
			this.#record('member suspected', name, reason);
		}
	}

	#trust(name: string): void {
		const {board} = this.options;
		const suspects = new Set(board.read('suspects'));
		if (suspects.delete(name)) {
			board.write('suspects', suspects);
			this.#record('member back', name);
		}
	}

	#noteLeaseHolder({status}: MemberObservation): void {
		if (status.leaseHolder !== '' && status.leaseHolder !== this.options.holder && status.leaseRemaining > 0) {
			this.#leaseFreeSince.delete(status.member);
		} else if (!this.#leaseFreeSince.has(status.member)) {
			this.#leaseFreeSince.set(status.member, this.options.clock.now());
		}
	}

	#wantsLease(name: string): boolean {
		const {board, clock, timeouts} = this.options;
		const {rank} = board.read('ownership');
		if (board.read('yielding')) {
			return false;
		}

		if (holdsLease(board, name, clock.now())) {
			return true;
		}

		// An owner that lives renews with each heartbeat. Asking too early does no harm, since the member grants its lease to one pool only.
		const freeSince = this.#leaseFreeSince.get(name);
		return rank >= 0 && freeSince !== undefined && clock.now() - freeSince >= rank * timeouts().heartbeat;
	}

	/** A pool that does not own the database polls when the lease of the owner may lapse: a poll of each heartbeat by every candidate would multiply the cost of watching. */
	#pollPeriod(name: string): Milliseconds {
		const {board, holder, timeouts} = this.options;
		const {heartbeat} = timeouts();
		const status = board.read('observations').get(name)?.status;
		const heldByOther = status && status.leaseHolder !== '' && status.leaseHolder !== holder;
		return heldByOther && board.read('ownership').rank !== 0 ? Math.max(heartbeat, status.leaseRemaining) : heartbeat;
	}

	#extraPollDelay(name: string): Milliseconds | undefined {
		const {board} = this.options;
		const awaited = board.read('awaitedPoint');
		const status = board.read('observations').get(name)?.status;
		if (board.read('suspects').has(name)) {
			return undefined;
		}

		if (awaited && status && (status.logTerm < awaited.term || (status.logTerm === awaited.term && status.receivedPosition < awaited.position))) {
			return writePollDelay;
		}

		return board.read('awaitingReads') > 0 ? readPollDelay : undefined;
	}

	#addFloor(observations: ReadonlyMap<string, MemberObservation>): void {
		const {board} = this.options;
		const members = board.read('members');
		const ofMembers = [...observations.values()].filter(observation => members.has(observation.status.member));
		const floor = latestFloor(ofMembers, board.read('memberCount'));
		if (floor) {
			board.write('floors', addFloor(board.read('floors'), floor, floorSpacing, floorCapacity));
		}
	}

	#record(kind: string, member: string, detail = ''): void {
		const subject = `${this.options.database}/${member}`;
		this.options.timeline.record('group', kind, subject, detail);
		this.options.logger.info(`${subject}: ${kind}${detail === '' ? '' : `: ${detail}`}`);
	}
}
