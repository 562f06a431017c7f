import {type Milliseconds} from '../clock/clock.js';

/** Share of failed requests from which a member may be ejected. */
const failureShare = 0.2;

/** Requests that are needed to judge a member. */
const minimumRequests = 10;

/** Ratio of the failure shares of peers and member from which the failures are not those of the member alone, for example those of statements that fail everywhere. */
const peerFailureRatio = 0.5;

/** Difference between the failure shares of member and peers, in standard deviations, below which it may be chance. Without this rule, chance ejects a member about three times in 30 s when all of them fail a fifth of 60 requests a second. */
const minimumDeviations = 3;

/** Number of latest requests by which a member is judged. */
const maximumOutcomes = 50;

/** Age up to which requests count; an instance with few callers sends a member less than one request a second. */
const outcomeLifetime: Milliseconds = 30_000;

const shortestEjection: Milliseconds = 1000;
const longestEjection: Milliseconds = 15_000;

/** Time since the last ejection after which the next one is short again. */
const ejectionMemory: Milliseconds = 30_000;

/** Largest share of the members of a service that may be ejected at the same time, so that the others are not overloaded. */
const maximumEjectedShare = 1 / 3;

type Outcome = {
	readonly at: Milliseconds;
	readonly isFailure: boolean;
};

type MemberRecord = {
	outcomes: Outcome[];
	/** Undefined unless the member is ejected. */
	ejectedUntil: Milliseconds | undefined;
	lastEjection: Milliseconds;
	lastReturnAt: Milliseconds;
};

type FailureCount = {
	readonly requests: number;
	readonly failures: number;
};

/** Decides which members of one service are ejected from reads. Answers a member that fails part of its requests while it reports itself healthy: only the outcomes of requests count. */
export class OutlierEjection {
	readonly #records = new Map<string, MemberRecord>();

	/** Number of members that are ejected. */
	get ejectedCount(): number {
		return [...this.#records.values()].filter(({ejectedUntil}) => ejectedUntil !== undefined).length;
	}

	/** Returns whether the member is ejected. */
	isEjected(id: string): boolean {
		return this.#records.get(id)?.ejectedUntil !== undefined;
	}

	/** Returns whether the member fails at least a fifth of its recent requests, and its peers less than half as often, by more than chance explains. */
	isOutlier(id: string, members: readonly string[], now: Milliseconds): boolean {
		const own = this.#countOutcomes([id], now);
		const peers = this.#countOutcomes(members.filter(other => other !== id), now);
		return own.requests >= minimumRequests
			&& own.failures >= own.requests * failureShare
			&& peers.requests > 0
			&& peers.failures / peers.requests < own.failures / own.requests * peerFailureRatio
			&& deviationsBetween(own, peers) >= minimumDeviations;
	}

	/** Records the outcome of a request. */
	record(id: string, isFailure: boolean, now: Milliseconds): void {
		const record = this.#recordOf(id);
		record.outcomes.push({at: now, isFailure});
		if (record.outcomes.length > maximumOutcomes) {
			record.outcomes.shift();
		}
	}

	/** Ejects the member if it is an outlier and enough others of the members remain. Returns for how long it is ejected, or undefined if it is not. */
	tryEject(id: string, members: readonly string[], now: Milliseconds): Milliseconds | undefined {
		const mayEject = !this.isEjected(id) && members.filter(other => this.isEjected(other)).length + 1 <= members.length * maximumEjectedShare;
		if (!mayEject || !this.isOutlier(id, members, now)) {
			return undefined;
		}

		const record = this.#recordOf(id);
		const isRepeated = now - record.lastReturnAt < ejectionMemory;
		const duration = isRepeated ? Math.min(longestEjection, record.lastEjection * 2) : shortestEjection;
		record.ejectedUntil = now + duration;
		record.lastEjection = duration;
		// After the return, only new requests count.
		record.outcomes = [];
		return duration;
	}

	/** Ends the ejections whose time has passed, and returns the members concerned. */
	endEjections(now: Milliseconds): readonly string[] {
		const returned: string[] = [];
		for (const [id, record] of this.#records) {
			if (record.ejectedUntil !== undefined && record.ejectedUntil <= now) {
				record.ejectedUntil = undefined;
				record.lastReturnAt = now;
				returned.push(id);
			}
		}

		return returned;
	}

	/** Forgets a member that has left or has started again. */
	forget(id: string): void {
		this.#records.delete(id);
	}

	#recordOf(id: string): MemberRecord {
		let record = this.#records.get(id);
		if (!record) {
			record = {
				outcomes: [], ejectedUntil: undefined, lastEjection: shortestEjection, lastReturnAt: Number.NEGATIVE_INFINITY,
			};
			this.#records.set(id, record);
		}

		return record;
	}

	#countOutcomes(ids: readonly string[], now: Milliseconds): FailureCount {
		const outcomes = ids.flatMap(id => this.#records.get(id)?.outcomes ?? []).filter(({at}) => now - at <= outcomeLifetime);
		return {requests: outcomes.length, failures: outcomes.filter(({isFailure}) => isFailure).length};
	}
}

/** Returns how many standard deviations the failure share of the first count is above that of the second, if both had the same cause. */
function deviationsBetween(first: FailureCount, second: FailureCount): number {
	const common = (first.failures + second.failures) / (first.requests + second.requests);
	const variance = common * (1 - common) * ((1 / first.requests) + (1 / second.requests));
	const difference = (first.failures / first.requests) - (second.failures / second.requests);
	return variance === 0 ? 0 : difference / Math.sqrt(variance);
}
