import {type Milliseconds} from '../clock/clock.js';
import {firstBatch} from './entry-size.js';
import {type AppendRequest, type AppendResponse, type SnapshotRequest} from './messages.js';
import {type VoterRecord} from './types.js';
import {type VoterState} from './voter-state.js';

/** A message to a peer. */
export type PeerMessage =
	| {readonly name: 'appendEntries'; readonly body: AppendRequest}
	| {readonly name: 'installSnapshot'; readonly body: SnapshotRequest};

/** What a leader knows about another voter or a learner. */
export class Peer {
	/** Whether entries are on their way. */
	busy = false;
	/** Time at which the last acknowledged message was sent. */
	acknowledgedAt: Milliseconds = Number.NEGATIVE_INFINITY;
	/** Last index durable on the peer and equal to the leader's log. */
	matchIndex = 0;

	constructor(readonly record: VoterRecord, public nextIndex: number) {}

	/** Returns the next message: entries, or a snapshot when the log no longer holds what the peer needs. */
	nextMessage(state: VoterState, term: number, entryLimit: number): PeerMessage {
		const {log} = state;
		const common = {
			group: state.group!, term, leader: state.self, target: {name: this.record.name, diskId: this.record.diskId},
		};
		const previousIndex = Math.min(this.nextIndex - 1, log.end.index);
		const previousTerm = log.termAt(previousIndex);
		if (previousTerm === undefined) {
			return entryLimit === 0
				? {
					name: 'appendEntries',
					body: {
						...common, previousIndex: log.end.index, previousTerm: log.end.term, entries: [], commitIndex: 0,
					},
				}
				: {name: 'installSnapshot', body: {...common, snapshot: log.snapshot!}};
		}

		return {
			name: 'appendEntries',
			body: {
				...common, previousIndex, previousTerm, entries: firstBatch(log.entriesAfter(previousIndex, entryLimit)), commitIndex: state.commitIndex,
			},
		};
	}

	/** Takes note of a response to a message sent at the time. */
	receive(response: AppendResponse, sentAt: Milliseconds): void {
		this.acknowledgedAt = Math.max(this.acknowledgedAt, sentAt);
		if (response.accepted) {
			this.matchIndex = Math.max(this.matchIndex, response.index);
			this.nextIndex = Math.max(this.nextIndex, this.matchIndex + 1);
			return;
		}

		this.nextIndex = Math.max(this.matchIndex, response.index) + 1;
	}
}
