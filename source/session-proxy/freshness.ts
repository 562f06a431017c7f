import {type Clock, type Milliseconds} from '../clock/clock.js';
import {compareLogPoints, laterLogPoint} from '../database-group/log-point-rules.js';
import {type FreshnessFloor, type LogPoint} from '../database-group/types.js';

/** Floors closer together replace each other; a fraction of the shortest stated age. */
const spacing: Milliseconds = 100;

/** Floors kept; with the spacing they cover the longest stated age several times. */
const capacity = 100;

/** Allowance for the difference between clocks that measure an age on two instances. */
const ageMargin: Milliseconds = 20;

/** A caller's own last commit. */
export type OwnCommit = {
	readonly point: LogPoint;
	readonly acknowledgedAt: Milliseconds;
};

/** Points of one service's primary and the times at which they were asked for. */
export class Freshness {
	#floors: FreshnessFloor[] = [];

	constructor(private readonly clock: Clock) {}

	/** The newest floor. */
	get newest(): FreshnessFloor | undefined {
		this.#dropSuspected();
		return this.#floors.at(-1);
	}

	/** Adds a point that the primary confirmed in answer to a question sent at the time. A floor of a later term makes those of earlier terms void: a promotion may have discarded what they name. */
	add(point: LogPoint, startedAt: Milliseconds): void {
		const last = this.#floors.at(-1);
		if (last && point.term < last.point.term) {
			return;
		}

		if (last && point.term > last.point.term) {
			this.#floors = [];
		}

		this.#insert({startedAt, point});
		if (this.#floors.length > capacity) {
			this.#floors.shift();
		}
	}

	/**
	Returns the lowest point that contains every commit acknowledged before a time and the caller's own last commit, or undefined when none is known.

	The oldest floor that is new enough is taken, since replicas reach it first.
	*/
	pointSince(time: Milliseconds, own: OwnCommit | undefined): LogPoint | undefined {
		this.#dropSuspected();
		const floor = this.#floors.find(({startedAt}) => startedAt >= time + ageMargin) ?? this.#exactFloor(time);
		if (!floor || !own) {
			return floor?.point;
		}

		if (own.point.term === floor.point.term) {
			return laterLogPoint(floor.point, own.point);
		}

		if (own.point.term > floor.point.term) {
			return own.point;
		}

		// A promotion came after the commit: only what was asked afterwards tells whether the commit survived.
		return own.acknowledgedAt <= time ? floor.point : this.pointSince(own.acknowledgedAt, undefined);
	}

	/** A floor that this instance asked for itself needs no allowance. */
	#exactFloor(time: Milliseconds): FreshnessFloor | undefined {
		const last = this.#floors.at(-1);
		return last && last.startedAt >= time ? last : undefined;
	}

	#insert(floor: FreshnessFloor): void {
		const floors = this.#floors;
		const position = floors.findIndex(other => other.startedAt > floor.startedAt);
		if (position !== -1) {
			return;
		}

		const last = floors.at(-1);
		const before = floors.at(-2);
		const highest = last && compareLogPoints(last.point, floor.point) > 0 ? last.point : floor.point;
		if (last && before && last.startedAt - before.startedAt < spacing) {
			floors.pop();
		}

		floors.push({startedAt: floor.startedAt, point: highest});
	}

	/** Ages that were measured across a suspension of this instance are too low. */
	#dropSuspected(): void {
		const suspectedUntil = this.clock.suspectedUntil();
		if (this.#floors.length > 0 && this.#floors[0].startedAt <= suspectedUntil) {
			this.#floors = this.#floors.filter(({startedAt}) => startedAt > suspectedUntil);
		}
	}
}
