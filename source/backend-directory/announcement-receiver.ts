import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type Logger} from '../observability/logger.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type BackendDirectory} from './backend-directory.js';
import {type BackendAnnouncement, type BackendServer} from './types.js';

/** Time after its last announcement from which a server no longer defends its record. Covers three announcement periods, since another control instance may have received the announcements. */
const defenceTime: Milliseconds = 4000;

/** Number of announcements that a server may make at once, for instance to one control instance after the other. */
const announcementBurst = 100;

/** Rate of announcements, in each second, above which their number is not believed. */
const maximumAnnouncementsPerSecond = 100;

/** Number of announcements, in sequence, with which a server shows that a record with higher numbers is not its own. A delayed announcement does not come in such a sequence. */
const provingAnnouncements = 3;

/** Minimum time between two announcements that count as proof; announcements that were delayed together arrive together. */
const proofSpacing: Milliseconds = 500;

/** Maximum number of servers whose proofs are remembered. */
const maximumProofs = 1000;

/** Announcements of a server that contradict a record with higher numbers, since that record was last announced. */
type Proof = {
	readonly startedAt: Milliseconds;
	readonly sequence: number;
	readonly count: number;
	readonly at: Milliseconds;
};

/** Dependencies and limits of a receiver. */
export type AnnouncementReceiverOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly directory: BackendDirectory;
	/** Time by which the clock of a backend server may be ahead of that of this instance. */
	readonly maximumClockDifference: Milliseconds;
};

/** What became of an announcement. */
export type AnnouncementOutcome =
	| 'applied'
	/** A later one of the server is known. */
	| 'late'
	/** The announcement contradicts a server that still announces itself. */
	| 'contested';

/**
Decides which announcements that servers send to this instance are applied to the directory.

Announcements may come late, from an earlier start of a server, or from another writer that passes for a server with numbers that are too high. A server that announces itself keeps its record and its address; what contradicts it is applied only once it has been silent for `defenceTime`. A server whose record was replaced all the same, and that goes on announcing itself, is reinstated with a later generation.
*/
export class AnnouncementReceiver {
	readonly #proofs = new Map<string, Proof>();

	constructor(private readonly options: AnnouncementReceiverOptions) {}

	/** Applies an announcement unless it is late or contested. Throws malformedMessage if the server has not started yet by any clock. */
	receive(announcement: BackendAnnouncement): AnnouncementOutcome {
		const {clock, directory, maximumClockDifference, logger} = this.options;
		const {id, startedAt, address} = announcement;
		const lead = startedAt - clock.wallTime();
		if (lead > maximumClockDifference) {
			throw new BuckthornhitchError('malformedMessage', `The server ${id} says that it starts in ${Math.round(lead)} ms; clocks differ by at most ${maximumClockDifference} ms.`);
		}

		const known = directory.serverById(id);
		const rivals = directory.servers.filter(server => server.address === address && server.id !== id);
		const verdict = this.#judge(announcement, known, rivals);
		if (verdict === 'late' || verdict === 'contested') {
			if (verdict === 'contested') {
				logger.warn(`announcement ${announcement.sequence} of ${id} at ${address} contradicts a server that announces itself, and is not applied`, {announcement, known, rivals});
			}

			return verdict;
		}

		this.#proofs.delete(id);
		const generation = Math.max(0, ...[known, ...rivals].map(server => server?.generation ?? 0));
		if (verdict === 'current') {
			return directory.applyAnnouncement(announcement, generation) ? 'applied' : 'late';
		}

		logger.warn(`${id} at ${address} still announces itself and replaces a record with higher numbers that is not announced any more`);
		// Until its next announcement, a server that was said to be leaving stays so.
		const isLeaving = announcement.isLeaving || (known?.startedAt === startedAt && known.isLeaving);
		return directory.applyAnnouncement({...announcement, isLeaving}, generation + 1) ? 'applied' : 'late';
	}

	#judge(announcement: BackendAnnouncement, known: BackendServer | undefined, rivals: readonly BackendServer[]): 'current' | 'reinstated' | 'late' | 'contested' {
		const opponents = known && !known.isGone ? [known, ...rivals] : rivals;
		const areSilent = opponents.every(({id}) => this.options.directory.timeSinceLastAnnouncement(id) >= defenceTime);
		const isOfLeftServer = known?.isGone && rivals.length === 0;
		if (isBehind(announcement, known) || rivals.some(({startedAt}) => startedAt > announcement.startedAt)) {
			return !isOfLeftServer && this.#proves(announcement, opponents) && areSilent ? 'reinstated' : 'late';
		}

		if (areSilent || (rivals.length === 0 && this.#isPlausibleSuccessor(announcement, known))) {
			return 'current';
		}

		return 'contested';
	}

	/** Counts an announcement with lower numbers than the known ones, and returns whether the server has shown that these are not its own. */
	#proves({id, startedAt, sequence}: BackendAnnouncement, opponents: readonly BackendServer[]): boolean {
		const {clock, directory} = this.options;
		const now = clock.now();
		const opponentsAnnouncedAt = now - Math.min(...opponents.map(opponent => directory.timeSinceLastAnnouncement(opponent.id)));
		const last = this.#proofs.get(id);
		const isContinued = last?.startedAt === startedAt && last.at >= opponentsAnnouncedAt;
		if (isContinued && (sequence <= last.sequence || now - last.at < proofSpacing)) {
			return false;
		}

		const count = isContinued ? last.count + 1 : 1;
		if (!last && this.#proofs.size >= maximumProofs) {
			this.#proofs.clear();
		}

		this.#proofs.set(id, {
			startedAt, sequence, count, at: now,
		});
		return count >= provingAnnouncements;
	}

	/** Returns whether the announcement is the next one of the known start of the server, or one of a later start that lies in the past. */
	#isPlausibleSuccessor({id, startedAt, sequence}: BackendAnnouncement, known: BackendServer | undefined): boolean {
		if (!known || known.isGone) {
			return true;
		}

		if (startedAt > known.startedAt) {
			return startedAt <= this.options.clock.wallTime();
		}

		const elapsedSeconds = this.options.directory.timeSinceSequenceKnown(id) / 1000;
		return sequence - known.sequence <= announcementBurst + (maximumAnnouncementsPerSecond * elapsedSeconds);
	}
}

function isBehind(announcement: BackendAnnouncement, known: BackendServer | undefined): boolean {
	return known !== undefined && (announcement.startedAt === known.startedAt ? announcement.sequence <= known.sequence : announcement.startedAt < known.startedAt);
}
