import {Controller} from '../blackboard/blackboard.js';
import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {type Address} from '../links/address.js';
import {type LinkClient} from '../links/link-client.js';
import {type ControlDirectory} from './control-directory.js';
import {
	type ControlRecord, type IntroduceRequest, type IntroduceResponse, type MemberContact, type ShareContacts,
} from './messages.js';

/** Period of introductions; three of them fit into the time after which an instance is not live. */
const introductionPeriod: Milliseconds = 500;

/** An introduction is answered at once, so one that takes longer than two inter-region round trips and a stall is lost. */
const introductionTimeout: Milliseconds = 400;

/** What introductions need. */
export type IntroductionOptions = {
	readonly clock: Clock;
	readonly linkClient: LinkClient;
	readonly directory: ControlDirectory;
	/** Returns this instance as it is now. */
	readonly self: () => ControlRecord;
	/** Returns link addresses that the settings or the voter list name. */
	readonly seeds: () => readonly Address[];
	/** Returns what this instance sees of the backend servers. */
	readonly contacts: () => readonly MemberContact[];
};

/** Keeps the control instances known to each other. */
export class IntroductionController extends Controller {
	#cancel: Cancel | undefined;

	constructor(private readonly options: IntroductionOptions) {
		super();
	}

	override start(): void {
		this.#introduce();
		this.#cancel = this.options.clock.repeat(introductionPeriod, () => {
			this.#introduce();
		});
	}

	override stop(): void {
		this.#cancel?.();
	}

	/** Answers `introduce`. */
	answer(request: IntroduceRequest): IntroduceResponse {
		this.options.directory.heard(request.self);
		this.options.directory.learn(request.known);
		return {known: this.options.directory.records};
	}

	#introduce(): void {
		const {directory, seeds, self} = this.options;
		const own = self();
		directory.heard(own);
		const addresses = new Set([...seeds(), ...directory.records.map(record => record.address)]);
		addresses.delete(own.address);
		for (const address of addresses) {
			void this.#introduceTo(address, own);
		}
	}

	async #introduceTo(address: Address, own: ControlRecord): Promise<void> {
		const {directory, linkClient, contacts} = this.options;
		try {
			const request: IntroduceRequest = {self: own, known: directory.records};
			const {known} = await linkClient.request(address, 'introduce', request, introductionTimeout) as IntroduceResponse;
			directory.learn(known);
			const peer = known.find(record => record.address === address);
			if (peer) {
				directory.heard(peer);
			}

			linkClient.notify(address, 'shareContacts', {name: own.name, contacts: contacts()} satisfies ShareContacts);
		} catch {
			// The next introduction tries again; silence shows in the directory.
		}
	}
}
