import {type Clock, type Milliseconds} from '../clock/clock.js';
import {compareLogPositions, laterLogPosition} from '../database-group/log-position-rules.js';
import {type FreshnessFloor, type LogPosition} from '../database-group/types.js';

/** Floors closer together replace each other; a fraction of the shortest stated age. */
const spacing: Milliseconds = 100;

/** Floors kept; with the spacing they cover the longest stated age several times. */
const capacity = 100;

/** Allowance for the difference between clocks that measure an age on two instances. */
const ageMargin: Milliseconds = 20;

/** What a member that led confirmed in answer to a question. */
export type PrimaryFloor = FreshnessFloor & {
	/** The member that answered. */
	readonly member: string;
};

/** A caller's own last commit. */
export type OwnCommit = {
	readonly point: LogPosition;
	/** The member that acknowledged it. */
	readonly member: string;
	readonly acknowledgedAt: Milliseconds;
};

/** Points of one service's primary and the times at which they were asked for. */
export class Freshness {
	#floors: PrimaryFloor[] = [];

	constructor(private readonly clock: Clock) {}

	/** The newest floor. */
	get newest(): PrimaryFloor | undefined {
		this.#dropSuspected();
		return this.#floors.at(-1);
	}

	/**
	Adds what a primary confirmed.

	A floor of a later term, or a later one of another member, makes the ones before it void: a promotion may have discarded what they name. The log of a new primary ends in an earlier term until its first commit, so that the term alone does not tell.
	*/
	add(floor: PrimaryFloor): void {
		const last = this.#floors.at(-1);
		if (last && (floor.startedAt < last.startedAt || floor.point.term < last.point.term)) {
			return;
		}

		if (last && (floor.point.term > last.point.term || floor.member !== last.member)) {
			this.#floors = [];
		}

		this.#insert(floor);
		if (this.#floors.length > capacity) {
			this.#floors.shift();
		}
	}

	/**
	Returns the lowest point that contains every commit acknowledged before a time and the caller's own last commit, or undefined when none is known.

	The oldest floor that is new enough is taken, since replicas reach it first.
	*/
	pointSince(time: Milliseconds, own: OwnCommit | undefined): LogPosition | undefined {
		this.#dropSuspected();
		const floor = this.#floors.find(({startedAt}) => startedAt >= time + ageMargin) ?? this.#exactFloor(time);
		if (!floor || !own) {
			return floor?.point;
		}

		if (own.point.term >= floor.point.term && own.member === floor.member) {
			return laterLogPosition(floor.point, own.point);
		}

		// A promotion came after the commit: only what was asked afterwards tells whether the commit survived.
		return own.acknowledgedAt <= time ? floor.point : this.pointSince(own.acknowledgedAt, undefined);
	}

	/** A floor that this instance asked for itself needs no allowance. */
	#exactFloor(time: Milliseconds): PrimaryFloor | undefined {
		const last = this.#floors.at(-1);
		return last && last.startedAt >= time ? last : undefined;
	}

	#insert(floor: PrimaryFloor): void {
		const floors = this.#floors;
		const last = floors.at(-1);
		const before = floors.at(-2);
		const highest = last && compareLogPositions(last.point, floor.point) > 0 ? last.point : floor.point;
		if (last && before && last.startedAt - before.startedAt < spacing) {
			floors.pop();
		}

		floors.push({...floor, point: highest});
	}

	/** Ages that were measured across a suspension of this instance are too low. */
	#dropSuspected(): void {
		const suspectedUntil = this.clock.lastSuspectedSuspension();
		if (this.#floors.length > 0 && this.#floors[0].startedAt <= suspectedUntil) {
			this.#floors = this.#floors.filter(({startedAt}) => startedAt > suspectedUntil);
		}
	}
}
