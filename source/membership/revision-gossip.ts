import {type ProcessRecord} from './process-record.js';
import {type StopWatching} from './process-directory.js';

/** Carries configuration revisions on the membership datagrams. Each probe of a random peer and its answer compare the revisions of both once a second, which repairs lost announcements. */
export abstract class RevisionGossip {
	/** Announces the revision that this process holds now. */
	abstract announceRevision(revision: number): void;

	/** Calls the listener for each datagram with the revision that its sender holds. */
	abstract onRevision(listener: (revision: number, holder: string) => void): StopWatching;

	/** Returns the record of a process, or undefined when it is not live. */
	abstract livePeer(name: string): ProcessRecord | undefined;
}
