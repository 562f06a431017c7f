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

/** Period of introductions; three of them fit into the time after which an instance is not live. */
const introductionPeriod: Milliseconds = 1000;

/** Period while this instance has no voter list, so that the first start is short. */
const firstStartPeriod: Milliseconds = 200;

/** An introduction is answered at once, so one that takes longer than two inter-region round trips and a stall is lost. */
const introductionTimeout: Milliseconds = 400;

/** What introductions need. */
export type IntroductionOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly linkClient: LinkClient;
	readonly directory: ControlDirectory;
	readonly servers: BackendDirectory;
	readonly entries: EntryDirectory;
	/** Returns this instance as it is now. */
	readonly self: () => ControlRecord;
	/** Returns link addresses that the settings or the voter list name. */
	readonly seeds: () => readonly Address[];
	/** Returns the link address of the leader. */
	readonly leaderAddress: () => Address | undefined;
	/** Returns what this instance and its entries see of the backend servers. */
	readonly contacts: () => ControlReachability;
	/** Returns the backend servers that announced themselves here since the last call. */
	readonly takeHeard: () => ReadonlyArray<readonly [id: string, age: Milliseconds]>;
};

/** Keeps the control instances known to each other. */
export class IntroductionController extends Controller {
	readonly #unreached = new Set<Address>();
	#cancel: Cancel | undefined;

	constructor(private readonly options: IntroductionOptions) {
		super();
	}

	override start(): void {
		this.#introduce();
		const period = this.options.self().group === null ? firstStartPeriod : introductionPeriod;
		this.#cancel = this.options.clock.schedule(period, () => {
			this.start();
		});
	}

	override stop(): void {
		this.#cancel?.();
	}

	/** Answers `introduce`. */
	answer(request: IntroduceRequest): IntroduceResponse {
		const {directory, servers, self, entries} = this.options;
		directory.heard(request.self);
		return {
			self: self(),
			known: request.digest === directory.digest ? undefined : directory.records,
			servers: request.serversDigest === servers.digest ? undefined : servers.known,
			entries: request.entriesDigest === entriesDigest(entries.own) ? undefined : entries.own,
		};
	}

	#introduce(): void {
		const {directory, seeds, self, takeHeard} = this.options;
		const own = self();
		directory.heard(own);
		const addresses = new Set([...seeds(), ...directory.records.map(record => record.address)]);
		addresses.delete(own.address);
		const heard = takeHeard();
		for (const address of addresses) {
			void this.#introduceTo(address, own, heard);
		}
	}

	async #introduceTo(address: Address, own: ControlRecord, heard: IntroduceRequest['heard']): Promise<void> {
		const {directory, servers: directoryOfServers, entries: entryDirectory, linkClient, contacts, leaderAddress, logger} = this.options;
		const request: IntroduceRequest = {
			self: own,
			digest: directory.digest,
			serversDigest: directoryOfServers.digest,
			heard,
			contacts: leaderAddress() === address ? contacts() : undefined,
			entriesDigest: entryDirectory.digestOf(address),
		};
		try {
			const {self, known, servers, entries} = await linkClient.request(address, 'introduce', request, introductionTimeout) as IntroduceResponse;
			directory.heard(self);
			directory.learn(known ?? []);
			directoryOfServers.merge(servers ?? []);
			entryDirectory.receive(address, entries);
			if (this.#unreached.delete(address)) {
				logger.info(`control instance ${self.name} at ${address} is reached again`);
			}
		} catch (error) {
			if (!this.#unreached.has(address)) {
				this.#unreached.add(address);
				logger.warn(`control instance at ${address} is not reached: ${toBuckthornhitchError(error).message}`);
			}
		}
	}
}
