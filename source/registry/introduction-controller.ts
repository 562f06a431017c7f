import {Controller} from '../blackboard/blackboard.js';
import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {type Address} from '../links/address.js';
import {type LinkClient} from '../links/link-client.js';
import {type Logger} from '../observability/logger.js';
import {toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type BackendDirectory} from '../backend-directory/backend-directory.js';
import {type ControlDirectory} from './control-directory.js';
import {entriesDigest, type EntryDirectory} from './entry-directory.js';
import {
	type ControlReachability, type ControlRecord, type IntroduceRequest, type IntroduceResponse,
} from './messages.js';

/** Period of introductions; a third of the liveness timeout. */
const introductionPeriod: Milliseconds = 1000;

/** Period of introductions while this instance has no voter list, which shortens the first start. */
const bootstrapPeriod: Milliseconds = 200;

/** Timeout of an introduction. The receiver answers without waiting for other instances, so the timeout need only cover two round trips between regions and a short pause of the receiver. */
const introductionTimeout: Milliseconds = 400;

/** Dependencies of the introduction controller. */
export type IntroductionOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly linkClient: LinkClient;
	readonly controlDirectory: ControlDirectory;
	readonly servers: BackendDirectory;
	readonly entries: EntryDirectory;
	/** Returns the current record of this instance. */
	readonly self: () => ControlRecord;
	/** Returns the link addresses named in the settings or the voter list. */
	readonly seeds: () => readonly Address[];
	/** Returns the link address of the leader, or undefined when it is not known. */
	readonly leaderAddress: () => Address | undefined;
	/** Returns the reachability of the backend servers from this instance and from the entries that watch it. */
	readonly reachability: () => ControlReachability;
	/** Returns the backend servers that announced themselves to this instance since the last call. */
	readonly takeAnnouncedServers: () => ReadonlyArray<readonly [id: string, age: Milliseconds]>;
};

/** Exchanges introductions between the control instances, so that each knows all others and the directories converge. */
export class IntroductionController extends Controller {
	readonly #unreachable = new Set<Address>();
	#cancel: Cancel | undefined;

	constructor(private readonly options: IntroductionOptions) {
		super();
	}

	override start(): void {
		this.#introduce();
		const period = this.options.self().group === null ? bootstrapPeriod : introductionPeriod;
		this.#cancel = this.options.clock.schedule(period, () => {
			this.start();
		});
	}

	override stop(): void {
		this.#cancel?.();
	}

	/** Handles the request `introduce`: records the sender and returns the directories whose digests differ. */
	handleIntroduce(request: IntroduceRequest): IntroduceResponse {
		const {controlDirectory, servers, self, entries} = this.options;
		controlDirectory.recordIntroduction(request.self);
		return {
			self: self(),
			known: request.digest === controlDirectory.digest ? undefined : controlDirectory.records,
			servers: request.serversDigest === servers.digest ? undefined : servers.known,
			entries: request.entriesDigest === entriesDigest(entries.watching) ? undefined : entries.watching,
		};
	}

	#introduce(): void {
		const {controlDirectory, seeds, self, takeAnnouncedServers} = this.options;
		const ownRecord = self();
		controlDirectory.recordIntroduction(ownRecord);
		const addresses = new Set([...seeds(), ...controlDirectory.records.map(record => record.address)]);
		addresses.delete(ownRecord.address);
		const announcedServers = takeAnnouncedServers();
		for (const address of addresses) {
			void this.#introduceTo(address, ownRecord, announcedServers);
		}
	}

	async #introduceTo(address: Address, ownRecord: ControlRecord, heard: IntroduceRequest['heard']): Promise<void> {
		const {controlDirectory, servers: backendDirectory, entries: entryDirectory, linkClient, reachability, leaderAddress, logger} = this.options;
		const request: IntroduceRequest = {
			self: ownRecord,
			digest: controlDirectory.digest,
			serversDigest: backendDirectory.digest,
			heard,
			contacts: leaderAddress() === address ? reachability() : undefined,
			entriesDigest: entryDirectory.digestOf(address),
		};
		try {
			const {self, known, servers, entries} = await linkClient.request(address, 'introduce', request, introductionTimeout) as IntroduceResponse;
			controlDirectory.recordIntroduction(self);
			controlDirectory.addKnown(known ?? []);
			backendDirectory.merge(servers ?? []);
			entryDirectory.updateList(address, entries);
			if (this.#unreachable.delete(address)) {
				logger.info(`control instance ${self.name} at ${address} is reachable again`);
			}
		} catch (error) {
			if (!this.#unreachable.has(address)) {
				this.#unreachable.add(address);
				logger.warn(`control instance at ${address} is unreachable: ${toBuckthornhitchError(error).message}`);
			}
		}
	}
}
