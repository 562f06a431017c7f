import {type Address} from '../links/address.js';

/** Announcement that a backend server sends about itself. */
export type Announcement = {
	readonly database: string;
	readonly member: string;
	readonly address: Address;
	readonly dataCentre: string;
	/** Whether the backend server is about to leave and asks for no new work. */
	readonly leaving: boolean;
};
