import {type Milliseconds} from '../clock/clock.js';
import {firstBatch} from './entry-size.js';
import {type AppendRequest, type AppendResponse, type SnapshotRequest} from './messages.js';
import {type VoterRecord} from './types.js';
import {type VoterState} from './voter-state.js';

/** Replication message to a peer. */
export type PeerMessage =
	| {readonly name: 'appendEntries'; readonly body: AppendRequest}
	| {readonly name: 'installSnapshot'; readonly body: SnapshotRequest};

/** Replication progress of another voter or a learner, as tracked by the leader. */
export class Peer {
	/** Whether a replication loop is running for this peer. */
	isReplicating = false;
	/** Send time of the latest acknowledged message. */
	lastAcknowledgedSendTime: Milliseconds = Number.NEGATIVE_INFINITY;
	/** Highest index up to which the peer's durable log matches the leader's. */
	matchIndex = 0;

	constructor(readonly record: VoterRecord, public nextIndex: number) {}

	/** Returns the next message: entries, or a snapshot if the entries that the peer needs were compacted. An entry limit of 0 returns a heartbeat. */
	nextMessage(state: VoterState, term: number, entryLimit: number): PeerMessage {
		const {log} = state;
		const common = {
			group: state.group!, term, leader: state.self, target: {name: this.record.name, diskId: this.record.diskId},
		};
		const previousIndex = Math.min(this.nextIndex - 1, log.lastPosition.index);
		const previousTerm = log.termAt(previousIndex);
		if (previousTerm === undefined) {
			return entryLimit === 0
				? {
					name: 'appendEntries',
					body: {
						...common, previousIndex: log.lastPosition.index, previousTerm: log.lastPosition.term, entries: [], commitIndex: 0,
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

	/** Updates the progress with the response to a message sent at `sentAt`. */
	recordResponse(response: AppendResponse, sentAt: Milliseconds): void {
		this.lastAcknowledgedSendTime = Math.max(this.lastAcknowledgedSendTime, sentAt);
		if (response.accepted) {
			this.matchIndex = Math.max(this.matchIndex, response.index);
			this.nextIndex = Math.max(this.nextIndex, this.matchIndex + 1);
			return;
		}

		this.nextIndex = Math.max(this.matchIndex, response.index) + 1;
	}
}
