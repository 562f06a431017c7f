import {type Milliseconds} from '../clock/clock.js';
import {type Address} from '../links/address.js';

/** Role of a member as it sees itself. */
export type BackendServerRole = 'primary' | 'replica';

/** What a backend server says of itself. */
export type BackendAnnouncement = {
	readonly id: string;
	readonly service: string;
	readonly address: Address;
	readonly dataCentre: string;
	/** Statements that it executes at the same time. */
	readonly slots: number;
	readonly isLeaving: boolean;
	readonly role: BackendServerRole;
	/** Unix time of its start, in milliseconds; a later start makes earlier announcements void. */
	readonly startedAt: Milliseconds;
	/** Increases with each announcement since the start. */
	readonly sequence: number;
};

/** A backend server in the directory. */
export type BackendServer = BackendAnnouncement & {
	/** Whether it is gone; a departure is kept so that a late announcement does not bring the server back. */
	readonly isGone: boolean;
};
