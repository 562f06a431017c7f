import {type Milliseconds} from '../clock/clock.js';

/** Share of the expected reply time below which a reply in time is ruled out; replies vary around the expected time. */
const shortestReplyShare = 0.5;

/** Returns whether a request may still be answered before its deadline. Answers a burst beyond the capacity of a member: a request that runs for a caller who has been refused takes the slot of one that could be answered. */
export function isAnswerableInTime(timeLeft: Milliseconds, expectedReplyTime: Milliseconds): boolean {
	return timeLeft > 0 && timeLeft >= expectedReplyTime * shortestReplyShare;
}
