import {type Milliseconds} from '../clock/clock.js';
import {type ConfigurationSource} from '../configuration/configuration-source.js';
import {type RegisterMemberRequest} from '../control/messages.js';
import {type Address} from '../links/address.js';
import {type LinkClient} from '../links/link-client.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type Announcement} from './types.js';

/** What the forwarder needs. */
export type AnnouncementForwarderOptions = {
	readonly linkClient: LinkClient;
	readonly configuration: ConfigurationSource;
	readonly controls: readonly Address[];
	/** Link addresses of the pools of a database, in ownership order. */
	readonly pools: (database: string) => readonly Address[];
	readonly onRegistered: (request: RegisterMemberRequest) => void;
};

/** Pools that are told the address of a member. */
export const informedPools = 3;

// Announcements are renewed every second, so a later answer is of no use.
const forwardTimeout: Milliseconds = 1000;

/** Forwards announcements of backend servers to the pools of their database and proposes unknown members to control. */
export class AnnouncementForwarder {
	#firstControl = 0;

	constructor(private readonly options: AnnouncementForwarderOptions) {}

	/** Resolves when at least one pool took the announcement. Rejects with a numbered error. */
	async forward(announcement: Announcement): Promise<void> {
		const {configuration, linkClient} = this.options;
		const {database, member, leaving} = announcement;
		if (!configuration.deployment()?.databases.some(({name}) => name === database)) {
			throw new BuckthornhitchError('unknownDatabase', '');
		}

		const isMember = configuration.accepted()?.memberSets[database]?.includes(member) ?? false;
		if (!isMember && !leaving) {
			await this.#register({database, member});
		}

		const pools = this.options.pools(database).slice(0, informedPools);
		const results = await Promise.allSettled(pools.map(async address => linkClient.request(address, 'announce', announcement, forwardTimeout)));
		if (!results.some(({status}) => status === 'fulfilled')) {
			const failure = results.find(result => result.status === 'rejected');
			throw new BuckthornhitchError('noPool', failure ? toBuckthornhitchError(failure.reason).message : 'No pool is known.');
		}
	}

	async #register(request: RegisterMemberRequest): Promise<void> {
		const {controls, linkClient, onRegistered} = this.options;
		let failure = new BuckthornhitchError('linkNotSent', 'No control instance is known.');
		for (let tried = 0; tried < controls.length; tried++) {
			const index = (this.#firstControl + tried) % controls.length;
			try {
				await linkClient.request(controls[index], 'registerMember', request, forwardTimeout);
				this.#firstControl = index;
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
