import {type Milliseconds} from '../clock/clock.js';
import {type ConfigurationView} from '../configuration/configuration-view.js';
import {type RegisterMemberRequest} from '../control/messages.js';
import {type Address} from '../links/address.js';
import {type LinkClient} from '../links/link-client.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type Announcement} from './types.js';

/** Dependencies of an {@link AnnouncementForwarder}. */
export type AnnouncementForwarderOptions = {
	readonly linkClient: LinkClient;
	readonly configuration: ConfigurationView;
	/** Link addresses of the control instances. */
	readonly controls: readonly Address[];
	/** Link addresses of the pools of a database, in ownership order. */
	readonly pools: (database: string) => readonly Address[];
	/** Called after a control instance has accepted a new member. */
	readonly onRegistered: (request: RegisterMemberRequest) => void;
};

/** Number of pools that each announcement is forwarded to. */
export const announcementFanOut = 3;

// Backend servers repeat their announcement every second, so after this time a newer announcement has superseded this one.
const forwardTimeout: Milliseconds = 1000;

/** Forwards announcements of backend servers to the pools of their database and registers unknown members with the control instances. */
export class AnnouncementForwarder {
	#preferredControlIndex = 0;

	constructor(private readonly options: AnnouncementForwarderOptions) {}

	/** Resolves once at least one pool has accepted the announcement. Rejects with a BuckthornhitchError. */
	async forward(announcement: Announcement): Promise<void> {
		const {configuration, linkClient} = this.options;
		const {database, member, leaving} = announcement;
		if (!configuration.deployment()?.databases.some(({name}) => name === database)) {
			throw new BuckthornhitchError('unknownDatabase', '');
		}

		const isMember = configuration.accepted()?.memberSets[database]?.includes(member) ?? false;
		if (!isMember && !leaving) {
			await this.#registerMember({database, member});
		}

		const pools = this.options.pools(database).slice(0, announcementFanOut);
		const results = await Promise.allSettled(pools.map(async address => linkClient.request(address, 'announce', announcement, forwardTimeout)));
		if (!results.some(({status}) => status === 'fulfilled')) {
			const failure = results.find(result => result.status === 'rejected');
			throw new BuckthornhitchError('noPool', failure ? toBuckthornhitchError(failure.reason).message : 'No pool is known.');
		}
	}

	async #registerMember(request: RegisterMemberRequest): Promise<void> {
		const {controls, linkClient, onRegistered} = this.options;
		let failure = new BuckthornhitchError('linkNotSent', 'No control instance is known.');
		for (let attempt = 0; attempt < controls.length; attempt++) {
			const index = (this.#preferredControlIndex + attempt) % controls.length;
			try {
				await linkClient.request(controls[index], 'registerMember', request, forwardTimeout);
				this.#preferredControlIndex = index;
				onRegistered(request);
				return;
			} catch (error) {
				failure = toBuckthornhitchError(error);
				if (failure.codeName === 'memberSetFull' || failure.codeName === 'unknownDatabase') {
					throw failure;
				}
			}
		}

		throw failure;
	}
}
