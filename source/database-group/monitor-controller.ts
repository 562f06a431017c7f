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

/** Dependencies of a {@link MonitorController}. */
export type MonitorControllerOptions = {
	readonly database: string;
	/** Name under which this pool holds leases. */
	readonly holder: string;
	readonly board: GroupBlackboard;
	readonly clock: Clock;
	readonly clients: MemberClientFactory;
	readonly timeouts: () => Timeouts;
	readonly timeline: Timeline;
	readonly logger: Logger;
};

/** Delay between extra polls while writes wait for confirmation; short, so that polling adds little to the replication latency. */
const writeWaitPollDelay: Milliseconds = 1;

/** Delay between extra polls while reads wait for a fresher replica; the whole wait is 50 ms by default. */
const readWaitPollDelay: Milliseconds = 5;

/** The freshness floors kept are about this far apart; at the capacity they span 60 s. A read that permits older data uses the oldest floor kept, so it gets fresher data than it requires. */
const floorSpacing: Milliseconds = 200;
const floorCapacity = 300;

type MonitoredMember = {
	readonly address: string;
	readonly monitor: MemberMonitor;
};

/** Monitors the members of one database and maintains their leases, suspicions, observations and freshness floors on the blackboard. */
export class MonitorController extends Controller {
	readonly #monitors = new Map<string, MonitoredMember>();
	readonly #leaseFreeSince = new Map<string, Milliseconds>();
	readonly #cancels: Cancel[] = [];
	#rank: number | undefined;
	/** Time of the last release of the leases. */
	#releasedAt: Milliseconds | undefined;

	constructor(private readonly options: MonitorControllerOptions) {
		super();
	}

	override start(): void {
		const {board} = this.options;
		this.#cancels.push(
			board.watch('members', () => {
				this.#updateMonitors();
			}),
			board.watch('unconfirmedWritePosition', position => {
				if (position) {
					this.pollNow();
				}
			}),
			board.watch('ownership', ({rank}) => {
				this.#updateRank(rank);
			}),
			board.watch('waitingReadCount', count => {
				// Only the first waiting read starts the extra polls; they continue while any read waits, so they serve later reads too.
				if (count === 1) {
					this.pollNow();
				}
			}),
		);
		this.#updateMonitors();
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

	/** Adds an observation. Also used for statuses received outside of the polls, for example with the response to a write. */
	observe(observation: MemberObservation): void {
		const {board} = this.options;
		const observations = addObservation(board.read('observations'), observation);
		if (observations === board.read('observations')) {
			return;
		}

		this.#trackFreeLease(observation);
		this.#addFloor(observations);
		board.write('observations', observations);
	}

	/** Releases the leases that this pool holds or has requested. Responses to requests that were sent before do not restore them. */
	async releaseLeases(): Promise<void> {
		const {board, clock, holder, timeouts} = this.options;
		const heldMonitors = [...this.#monitors].filter(([member, {monitor}]) => holdsLease(board, member, clock.now()) || monitor.isRequestingLease);
		this.#releasedAt = clock.now();
		board.write('leases', new Map());
		for (const [member] of heldMonitors) {
			this.#leaseFreeSince.set(member, clock.now());
		}

		await Promise.allSettled(heldMonitors.map(async ([, {monitor}]) => monitor.client.releaseLease(holder, timeouts().silence)));
		this.#recordEvent('lease released', heldMonitors.map(([member]) => member).join(', '));
	}

	#updateRank(rank: number): void {
		if (rank !== this.#rank) {
			this.#rank = rank;
			this.pollNow();
		}
	}

	#updateMonitors(): void {
		const members = this.options.board.read('members');
		for (const [name, monitored] of this.#monitors) {
			if (members.get(name)?.address !== monitored.address) {
				monitored.monitor.stop();
				this.#monitors.delete(name);
			}
		}

		for (const member of members.values()) {
			if (!this.#monitors.has(member.member)) {
				this.#startMonitor(member);
			}
		}
	}

	#startMonitor(member: GroupMember): void {
		const {
			board, clock, clients, database, holder, timeouts,
		} = this.options;
		const name = member.member;
		const monitor = new MemberMonitor({
			clock, createClient: () => clients.create(database, name, member.address), holder, timeouts,
		}, {
			onStatus: (observation, leaseUntil) => {
				this.#receiveStatus(name, observation, leaseUntil);
			},
			onLeaseRefused: () => {
				this.#loseLease(name, 'the member refused to renew it');
			},
			hasRespondedSince: time => (board.read('observations').get(name)?.askedAt ?? -1) >= time,
			onConnectionDiscarded: reason => {
				this.#recordEvent('connection discarded', name, `monitor connection: ${reason}`);
				board.write('memberWithUnresponsiveConnection', name);
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

	#receiveStatus(name: string, observation: MemberObservation, leaseUntil: Milliseconds | undefined): void {
		if (observation.status.member !== name) {
			this.#suspect(name, `the address answers as member "${observation.status.member}"`);
			return;
		}

		// A member executes the calls of a pool in order, so the release follows every request that was sent before it.
		const wasReleased = this.#releasedAt !== undefined && observation.askedAt <= this.#releasedAt;
		if (leaseUntil !== undefined && !wasReleased) {
			this.#extendLease(name, leaseUntil);
		}

		this.#clearSuspicion(name);
		this.observe(observation);
		if (leaseUntil === undefined && this.#wantsLease(name)) {
			this.pollNow(name);
		}
	}

	#extendLease(name: string, until: Milliseconds): void {
		const {board, clock} = this.options;
		const alreadyHeld = holdsLease(board, name, clock.now());
		board.write('leases', new Map([...board.read('leases'), [name, until]]));
		if (!alreadyHeld) {
			this.#recordEvent('lease taken', name);
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
			this.#recordEvent('lease lost', name, reason);
		}
	}

	#suspect(name: string, reason: string): void {
		const {board} = this.options;
		if (!board.read('suspects').has(name)) {
			board.write('suspects', new Set([...board.read('suspects'), name]));
			this.#recordEvent('member suspected', name, reason);
		}
	}

	#clearSuspicion(name: string): void {
		const {board} = this.options;
		const suspects = new Set(board.read('suspects'));
		if (suspects.delete(name)) {
			board.write('suspects', suspects);
			this.#recordEvent('member back', name);
		}
	}

	#trackFreeLease({status}: MemberObservation): void {
		if (status.leaseHolder !== '' && status.leaseHolder !== this.options.holder && status.leaseRemaining > 0) {
			this.#leaseFreeSince.delete(status.member);
		} else if (!this.#leaseFreeSince.has(status.member)) {
			this.#leaseFreeSince.set(status.member, this.options.clock.now());
		}
	}

	#wantsLease(name: string): boolean {
		const {board, clock, timeouts} = this.options;
		const {rank} = board.read('ownership');
		if (board.read('isReleasingLeases')) {
			return false;
		}

		if (holdsLease(board, name, clock.now())) {
			return true;
		}

		// Pools of a higher rank wait longer before they request a free lease, since a live owner renews its lease with each heartbeat. Requesting a lease too early is safe, because the member grants it to only one pool at a time.
		const freeSince = this.#leaseFreeSince.get(name);
		return rank >= 0 && freeSince !== undefined && clock.now() - freeSince >= rank * timeouts().heartbeat;
	}

	/** A pool that does not own the database polls only when the lease of another pool may expire; polls by every eligible pool at each heartbeat would multiply the cost of monitoring. */
	#pollPeriod(name: string): Milliseconds {
		const {board, holder, timeouts} = this.options;
		const {heartbeat} = timeouts();
		const status = board.read('observations').get(name)?.status;
		const heldByOther = status && status.leaseHolder !== '' && status.leaseHolder !== holder;
		return heldByOther && board.read('ownership').rank !== 0 ? Math.max(heartbeat, status.leaseRemaining) : heartbeat;
	}

	#extraPollDelay(name: string): Milliseconds | undefined {
		const {board} = this.options;
		const awaited = board.read('unconfirmedWritePosition');
		const status = board.read('observations').get(name)?.status;
		if (board.read('suspects').has(name)) {
			return undefined;
		}

		if (awaited && status && (status.logTerm < awaited.term || (status.logTerm === awaited.term && status.receivedPosition < awaited.position))) {
			return writeWaitPollDelay;
		}

		return board.read('waitingReadCount') > 0 ? readWaitPollDelay : undefined;
	}

	#addFloor(observations: ReadonlyMap<string, MemberObservation>): void {
		const {board} = this.options;
		const members = board.read('members');
		const memberObservations = [...observations.values()].filter(observation => members.has(observation.status.member));
		const floor = latestFloor(memberObservations, board.read('memberCount'));
		if (floor) {
			board.write('floors', addFloor(board.read('floors'), floor, floorSpacing, floorCapacity));
		}
	}

	#recordEvent(kind: string, member: string, detail = ''): void {
		const subject = `${this.options.database}/${member}`;
		this.options.timeline.record('group', kind, subject, detail);
		this.options.logger.info(`${subject}: ${kind}${detail === '' ? '' : `: ${detail}`}`);
	}
}
