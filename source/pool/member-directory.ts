import {type Announcement} from '../announcement/types.js';
import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type GroupMember} from '../database-group/group-state.js';

/** An announcement that was not renewed for this long is dropped. */
export const announcementLifetime: Milliseconds = 10_000;

type Kept = {
	readonly announcement: Announcement;
	readonly receivedAt: Milliseconds;
};

/** Latest announcements of backend servers, by database and member. */
export class MemberDirectory {
	readonly #kept = new Map<string, Map<string, Kept>>();

	constructor(private readonly clock: Clock) {}

	/** Keeps an announcement; returns whether it says anything new. */
	accept(announcement: Announcement): boolean {
		const members = this.#kept.get(announcement.database) ?? new Map<string, Kept>();
		const present = members.get(announcement.member)?.announcement;
		this.#kept.set(announcement.database, members);
		members.set(announcement.member, {announcement, receivedAt: this.clock.now()});
		return present?.address !== announcement.address || present.leaving !== announcement.leaving || present.dataCentre !== announcement.dataCentre;
	}

	/** Drops the announcements that were not renewed; returns the databases that they belong to. */
	dropExpired(): readonly string[] {
		const oldest = this.clock.now() - announcementLifetime;
		const changed = new Set<string>();
		for (const [database, members] of this.#kept) {
			for (const [member, {receivedAt}] of members) {
				if (receivedAt < oldest) {
					members.delete(member);
					changed.add(database);
				}
			}
		}

		return [...changed];
	}

	/** Returns the announced members of a database that belong to the agreed set. */
	membersOf(database: string, agreed: readonly string[]): ReadonlyMap<string, GroupMember> {
		const members = new Map<string, GroupMember>();
		for (const {announcement: {member, address, dataCentre, leaving}} of this.#kept.get(database)?.values() ?? []) {
			if (agreed.includes(member)) {
				members.set(member, {
					member, address, dataCentre, leaving,
				});
			}
		}

		return members;
	}
}
