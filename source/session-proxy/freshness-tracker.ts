import {type Clock, type Milliseconds} from '../clock/clock.js';
import {compareLogPositions, earlierLogPosition, laterLogPosition} from '../database-group/log-position-rules.js';
import {type FreshnessFloor, type LogPosition} from '../database-group/types.js';

/** Minimum time between two freshness floors (see PrimaryFloor) that are kept; a fraction of the smallest staleness that routes allow. */
const minimumFloorSpacing: Milliseconds = 100;

/** Maximum number of floors. At the minimum spacing, they span several times the largest staleness that routes allow. */
const maximumFloorCount = 100;

/** Allowance for the clocks of two instances running at different rates while they measure an age. */
const clockDriftAllowance: Milliseconds = 20;

/** Lower bound for fresh reads, confirmed by a primary: every commit acknowledged before `startedAt`, when the primary was asked, is at or below the log position `point`. */
export type PrimaryFloor = FreshnessFloor & {
	/** Id of the member that confirmed the floor. */
	readonly member: string;
	/** Term in which the member is known to lead, if that is later than the term of its last log entry. */
	readonly primaryTerm?: number;
};

/** Last commit of a session that was acknowledged. */
export type SessionCommit = {
	/** Undefined if the member did not report it. */
	readonly logPosition: LogPosition | undefined;
	/** Id of the member that acknowledged the commit. */
	readonly member: string;
	readonly acknowledgedAt: Milliseconds;
};

/** Tracks the freshness floors of one service. Each floor is a log position of the primary that includes every commit acknowledged before the position was requested. */
export class FreshnessTracker {
	#floors: PrimaryFloor[] = [];

	constructor(private readonly clock: Clock) {}

	/** Latest floor. */
	get newest(): PrimaryFloor | undefined {
		this.#discardFloorsBeforeSuspension();
		return this.#floors.at(-1);
	}

	/**
	Adds a floor that a primary confirmed, unless a later request was answered or a primary of a later term is known.

	A floor of a later term or of another member discards all earlier ones, since a promotion may have rolled back the log entries up to them. So does a lower position those above it: it holds for the earlier times as well, and where a primary was promoted again without having committed anything, no member reaches the higher ones any more.
	*/
	add(floor: PrimaryFloor): void {
		const last = this.#floors.at(-1);
		if (last && (floor.startedAt < last.startedAt || primaryTermOf(floor) < primaryTermOf(last))) {
			return;
		}

		this.#floors = last && (primaryTermOf(floor) > primaryTermOf(last) || floor.member !== last.member)
			? []
			: this.#floors.filter(({logPosition}) => compareLogPositions(logPosition, floor.logPosition) <= 0);
		this.#insert(floor);
		if (this.#floors.length > maximumFloorCount) {
			this.#floors.shift();
		}
	}

	/**
	Returns the lowest known log position that includes every commit acknowledged before `time` and the last commit of the session, or undefined if none is known.

	Uses the oldest floor that is recent enough, since replicas reach it first.
	*/
	requiredPosition(time: Milliseconds, lastCommit: SessionCommit | undefined): LogPosition | undefined {
		this.#discardFloorsBeforeSuspension();
		const floor = this.#floorSince(time);
		if (!floor || !lastCommit || lastCommit.acknowledgedAt <= time) {
			return floor?.logPosition;
		}

		// A floor requested after the commit includes it unless a promotion has rolled it back. Until there is one, only the member that acknowledged the commit is known to hold it, and only up to a known position.
		const floorAfterCommit = this.#floorSince(lastCommit.acknowledgedAt)?.logPosition;
		if (!lastCommit.logPosition || lastCommit.member !== floor.member || lastCommit.logPosition.term < floor.logPosition.term) {
			return floorAfterCommit;
		}

		const positionOfCommit = laterLogPosition(floor.logPosition, lastCommit.logPosition);
		return floorAfterCommit ? earlierLogPosition(floorAfterCommit, positionOfCommit) : positionOfCommit;
	}

	/** Returns the oldest floor that holds for `time`, or undefined if none does. */
	#floorSince(time: Milliseconds): PrimaryFloor | undefined {
		return this.#floors.find(({startedAt}) => startedAt >= time + clockDriftAllowance) ?? this.#latestFloorSince(time);
	}

	/** Returns the latest floor if it was requested at `time` or later. Adds no allowance for clock drift, which a floor that this instance requested itself does not need. */
	#latestFloorSince(time: Milliseconds): PrimaryFloor | undefined {
		const last = this.#floors.at(-1);
		return last && last.startedAt >= time ? last : undefined;
	}

	/** Appends a floor. Replaces the last one if that is closer than the minimum spacing to the one before it. */
	#insert(floor: PrimaryFloor): void {
		const floors = this.#floors;
		const last = floors.at(-1);
		const beforeLast = floors.at(-2);
		if (last && beforeLast && last.startedAt - beforeLast.startedAt < minimumFloorSpacing) {
			floors.pop();
		}

		floors.push(floor);
	}

	/** Discards floors from before a suspension of this instance. The clock stood still during the suspension, so the ages of these floors are too low. */
	#discardFloorsBeforeSuspension(): void {
		const suspendedUntil = this.clock.lastSuspectedSuspension();
		if (this.#floors.length > 0 && this.#floors[0].startedAt <= suspendedUntil) {
			this.#floors = this.#floors.filter(({startedAt}) => startedAt > suspendedUntil);
		}
	}
}

function primaryTermOf({primaryTerm = 0, logPosition}: PrimaryFloor): number {
	return Math.max(primaryTerm, logPosition.term);
}
