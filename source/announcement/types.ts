import {type Address} from '../links/address.js';

/** What a backend server announces about itself. */
export type Announcement = {
	readonly database: string;
	readonly member: string;
	readonly address: Address;
	readonly dataCentre: string;
	/** Whether the backend server asks for no new work. */
	readonly leaving: boolean;
};
