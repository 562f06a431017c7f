import {type Milliseconds} from '../clock/clock.js';
import {failureDetectionThreshold} from '../promotion/promotion-decision.js';
import {type Random} from '../random/random.js';

/** Why a request did not run, with what is known about the end of the cause. */
export type RetryCause =
	/** Requests wait for a member. `workAhead` is the time in which those that wait now are served. */
	| {readonly kind: 'queue'; readonly workAhead: Milliseconds}
	/** The service has no primary. `missingFor` is the time since the last one was lost. */
	| {readonly kind: 'promotion'; readonly missingFor: Milliseconds}
	/** The customer has reached its limit. `remaining` is the time until enough of the window has passed. */
	| {readonly kind: 'customerLimit'; readonly remaining: Milliseconds}
	/** Connections are not opened after a failure. `remaining` is the time until the next attempt. */
	| {readonly kind: 'connectionBackOff'; readonly remaining: Milliseconds}
	/** The process is starting. `remaining` is the expected time until it is ready. */
	| {readonly kind: 'startUp'; readonly remaining: Milliseconds}
	/** Nothing is known about the end of the cause, for example when every replica lags behind. */
	| {readonly kind: 'unknown'};

/** Shortest time; a client that returned sooner would find the same state. */
const shortestRetryAfter: Milliseconds = 20;

/** Time if nothing is known about the cause; about as long as two searches for a primary. */
const defaultRetryAfter: Milliseconds = 200;

/** Time of a promotion after its detection: a request to the platform, a round trip to every replica and the search for the new primary. */
const promotionTime: Milliseconds = 500;

/** Longest time, for requests with a long time limit: the cause may end sooner than expected. */
const longestRetryAfter: Milliseconds = 10_000;

/** Part of the time that a primary has been missing after which clients try again when the promotion takes longer than expected. */
const overdueShare = 1 / 4;

/** Largest deviation from the computed time in either direction. */
const jitterShare = 0.25;

/** Returns the time after which a client should send a request again that did not run, as long as the cause lasts and at most as long as the client has a use for the reply. Answers refused clients that return together: they would cause the next overload. */
export function retryAfter(cause: RetryCause, usefulTime: Milliseconds, random: Random): Milliseconds {
	const longest = Math.min(usefulTime, longestRetryAfter) / (1 + jitterShare);
	const shortest = shortestRetryAfter / (1 - jitterShare);
	const time = Math.max(shortest, Math.min(longest, remainingTime(cause)));
	return Math.round(time * (1 + (((random.fraction() * 2) - 1) * jitterShare)));
}

function remainingTime(cause: RetryCause): Milliseconds {
	switch (cause.kind) {
		case 'queue': {
			return cause.workAhead;
		}

		case 'promotion': {
			return Math.max(failureDetectionThreshold + promotionTime - cause.missingFor, cause.missingFor * overdueShare);
		}

		case 'customerLimit':
		case 'connectionBackOff':
		case 'startUp': {
			return cause.remaining;
		}

		case 'unknown': {
			return defaultRetryAfter;
		}
	}
}
