import {type Milliseconds} from '../clock/clock.js';
import {type Address} from '../links/address.js';

/** Role that a backend server announces for itself. */
export type BackendServerRole = 'primary' | 'replica';

/** Announcement that a backend server makes about itself. */
export type BackendAnnouncement = {
	readonly id: string;
	readonly service: string;
	readonly address: Address;
	readonly dataCentre: string;
	/** Maximum number of statements that it executes at the same time. */
	readonly slots: number;
	readonly isLeaving: boolean;
	readonly role: BackendServerRole;
	/** Unix time of its start, in milliseconds. Announcements with an earlier start time than the latest known one are ignored. */
	readonly startedAt: Milliseconds;
	/** Number of the announcement since the start; it increases with each one. */
	readonly sequence: number;
};

/** A backend server in the directory. */
export type BackendServer = BackendAnnouncement & {
	/** Whether the server has left. The record is kept as a tombstone, so that a late announcement does not bring the server back. */
	readonly isGone: boolean;
	/** Increased each time a control instance reinstates a server whose record another one with higher numbers had replaced; absent before. It decides before the start time which of two records is the later one. */
	readonly generation?: number;
};
