import {type Announcement} from '../announcement/types.js';
import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type GroupMember} from '../database-group/group-state.js';

/** An announcement expires unless it is renewed within this time. */
export const announcementLifetime: Milliseconds = 10_000;

type StoredAnnouncement = {
	readonly announcement: Announcement;
	readonly receivedAt: Milliseconds;
};

/** Holds the latest announcement of each backend server, by database and member. */
export class MemberDirectory {
	readonly #announcements = new Map<string, Map<string, StoredAnnouncement>>();

	constructor(private readonly clock: Clock) {}

	/** Stores an announcement; returns whether it differs from the previous one of the member. */
	store(announcement: Announcement): boolean {
		const members = this.#announcements.get(announcement.database) ?? new Map<string, StoredAnnouncement>();
		const previous = members.get(announcement.member)?.announcement;
		this.#announcements.set(announcement.database, members);
		members.set(announcement.member, {announcement, receivedAt: this.clock.now()});
		return previous?.address !== announcement.address || previous.leaving !== announcement.leaving || previous.dataCentre !== announcement.dataCentre;
	}

	/** Removes expired announcements; returns the databases affected. */
	dropExpired(): readonly string[] {
		const oldestAllowed = this.clock.now() - announcementLifetime;
		const changed = new Set<string>();
		for (const [database, members] of this.#announcements) {
			for (const [member, {receivedAt}] of members) {
				if (receivedAt < oldestAllowed) {
					members.delete(member);
					changed.add(database);
				}
			}
		}

		return [...changed];
	}

	/** Returns the announced members of a database that belong to its member set. */
	membersOf(database: string, memberSet: readonly string[]): ReadonlyMap<string, GroupMember> {
		const members = new Map<string, GroupMember>();
		for (const {announcement: {member, address, dataCentre, leaving}} of this.#announcements.get(database)?.values() ?? []) {
			if (memberSet.includes(member)) {
				members.set(member, {
					member, address, dataCentre, leaving,
				});
			}
		}

		return members;
	}
}
