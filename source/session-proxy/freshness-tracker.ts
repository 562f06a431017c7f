import {type Clock, type Milliseconds} from '../clock/clock.js';
import {compareLogPositions, laterLogPosition} from '../database-group/log-position-rules.js';
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
};

/** Last commit of a session that was acknowledged. */
export type SessionCommit = {
	readonly logPosition: LogPosition;
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
	Adds a floor that a primary confirmed.

	A floor with a later term, or a later floor from another member, invalidates all earlier ones, since a promotion may have discarded the log entries up to them. The term alone is not enough: the log of a new primary ends in an earlier term until its first commit.
	*/
	add(floor: PrimaryFloor): void {
		const last = this.#floors.at(-1);
		if (last && (floor.startedAt < last.startedAt || floor.logPosition.term < last.logPosition.term)) {
			return;
		}

		if (last && (floor.logPosition.term > last.logPosition.term || floor.member !== last.member)) {
			this.#floors = [];
		}

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
		const floor = this.#floors.find(({startedAt}) => startedAt >= time + clockDriftAllowance) ?? this.#latestFloorSince(time);
		if (!floor || !lastCommit) {
			return floor?.logPosition;
		}

		if (lastCommit.logPosition.term >= floor.logPosition.term && lastCommit.member === floor.member) {
			return laterLogPosition(floor.logPosition, lastCommit.logPosition);
		}

		// The primary changed after the commit, so only a floor requested since then shows whether the commit survived.
		return lastCommit.acknowledgedAt <= time ? floor.logPosition : this.requiredPosition(lastCommit.acknowledgedAt, undefined);
	}

	/** Returns the latest floor if it was requested at `time` or later. Adds no allowance for clock drift, which a floor that this instance requested itself does not need. */
	#latestFloorSince(time: Milliseconds): PrimaryFloor | undefined {
		const last = this.#floors.at(-1);
		return last && last.startedAt >= time ? last : undefined;
	}

	/** Appends a floor, with a log position no lower than that of the last one. Replaces the last floor if it is closer than the minimum spacing to the one before it. */
	#insert(floor: PrimaryFloor): void {
		const floors = this.#floors;
		const last = floors.at(-1);
		const beforeLast = floors.at(-2);
		const highest = last && compareLogPositions(last.logPosition, floor.logPosition) > 0 ? last.logPosition : floor.logPosition;
		if (last && beforeLast && last.startedAt - beforeLast.startedAt < minimumFloorSpacing) {
			floors.pop();
		}

		floors.push({...floor, logPosition: highest});
	}

	/** Discards floors from before a suspension of this instance. The clock stood still during the suspension, so the ages of these floors are too low. */
	#discardFloorsBeforeSuspension(): void {
		const suspendedUntil = this.clock.lastSuspectedSuspension();
		if (this.#floors.length > 0 && this.#floors[0].startedAt <= suspendedUntil) {
			this.#floors = this.#floors.filter(({startedAt}) => startedAt > suspendedUntil);
		}
	}
}
