import {type ProcessRecord} from './process-record.js';
import {type StopWatching} from './process-directory.js';

/** Carries configuration revisions on the membership datagrams. Each process probes a random peer every second. The probe and its acknowledgement carry the revisions of their senders, so that a process learns of a revision even when its announcement was lost. */
export abstract class RevisionGossip {
	/** Announces the revision that this process now holds. */
	abstract announceRevision(revision: number): void;

	/** Calls the listener for each received datagram with the revision that its sender holds. */
	abstract onRevision(listener: (revision: number, holder: string) => void): StopWatching;

	/** Returns the record of another process, or undefined when it is not live. */
	abstract livePeer(name: string): ProcessRecord | undefined;
}
