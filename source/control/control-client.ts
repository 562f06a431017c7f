import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type BootstrapRequest, type DescribeVoterResponse} from '../control-log/messages.js';
import {voterKey, type VoterRecord} from '../control-log/types.js';
import {type Address} from '../links/address.js';
import {type LinkClient} from '../links/link-client.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type ResultCodeName} from '../result-codes/result-codes.js';
import {
	type ApplyRequest, type ApplyResponse, type ConfigurationSinceRequest, type ConfigurationSinceResponse, type ControlStatusResponse, type RegisterMemberRequest,
} from './messages.js';

/** Timeout of one request to one control process; longer than the time that a leader waits for its quorum. */
export const attemptTimeout: Milliseconds = 2500;

/** Timeout of a request over all attempts; long enough for an election. */
export const requestTimeout: Milliseconds = 10_000;

/** Delay before all control processes are tried again after none of them could answer. */
export const retryDelay: Milliseconds = 200;

/** Status of one control process, or the error if it did not answer. */
export type ControlStatusResult = {
	readonly address: Address;
	readonly status: ControlStatusResponse | undefined;
	readonly error: BuckthornhitchError | undefined;
};

// Codes after which another control process is tried. A starting process reports unknownRequest until its handlers are registered.
const retryableCodes: ReadonlySet<ResultCodeName> = new Set(['notLeader', 'notConfirmed', 'linkNotSent', 'linkOutcomeUnknown', 'storageFailed', 'notBootstrapped', 'draining', 'unknownRequest']);

/** Client of the control processes; finds the leader and sends requests to it. */
export class ControlClient {
	#lastKnownLeader: Address | undefined;

	constructor(
		private readonly linkClient: LinkClient,
		private readonly clock: Clock,
		private readonly controlAddresses: readonly Address[],
	) {}

	/**
	Replaces the configuration files and resolves with the response, whose code may be revisionConflict or changeIdReused.

	Rejects with configurationInvalid, with notConfirmed if the change may have been accepted, or with another code if it was not accepted. The same request can safely be sent again.
	*/
	async apply(request: ApplyRequest, timeout = requestTimeout): Promise<ApplyResponse> {
		return await this.#request('apply', request, timeout) as ApplyResponse;
	}

	/** Adds a backend server to its database group. A full group is reported in the response's code. Rejects with unknownDatabase or as `apply` does. */
	async registerMember(request: RegisterMemberRequest, timeout = requestTimeout): Promise<ApplyResponse> {
		return await this.#request('registerMember', request, timeout) as ApplyResponse;
	}

	/** Returns the accepted changes after a revision. Rejects with notConfirmed or notLeader if no quorum is reachable. */
	async configurationSince(request: ConfigurationSinceRequest, timeout = requestTimeout): Promise<ConfigurationSinceResponse> {
		return await this.#request('configurationSince', request, timeout) as ConfigurationSinceResponse;
	}

	/** Returns the status of every control process. */
	async status(timeout = attemptTimeout): Promise<readonly ControlStatusResult[]> {
		return Promise.all(this.controlAddresses.map(async address => {
			try {
				const status = await this.linkClient.request(address, 'controlStatus', null, timeout) as ControlStatusResponse;
				return {address, status, error: undefined};
			} catch (error) {
				return {address, status: undefined, error: toBuckthornhitchError(error)};
			}
		}));
	}

	/**
	Sets the first voter list of control processes that have none yet, and resolves with the list.

	Rejects with alreadyBootstrapped if one of them has another list. After any other failure the call can be repeated with the same control processes.
	*/
	async bootstrap(timeout = attemptTimeout): Promise<readonly VoterRecord[]> {
		const voters = await Promise.all(this.controlAddresses.map(async address => this.#describe(address, timeout)));
		if (new Set(voters.map(voter => voter.name)).size < voters.length) {
			throw new BuckthornhitchError('invalidSetting', 'Two control instances have the same name.');
		}

		await this.#checkVoterLists(voters, timeout);
		const request: BootstrapRequest = {voters};
		for (const {address} of voters) {
			await this.linkClient.request(address, 'bootstrap', request, timeout);
		}

		return voters;
	}

	async #describe(address: Address, timeout: Milliseconds): Promise<VoterRecord> {
		const {name, diskId} = await this.linkClient.request(address, 'describeVoter', null, timeout) as DescribeVoterResponse;
		return {name, diskId, address};
	}

	/** Checks the lists of all voters before any is set, so that no list is set if one of them already has another list. */
	async #checkVoterLists(voters: readonly VoterRecord[], timeout: Milliseconds): Promise<void> {
		const expectedVoters = voters.map(voter => voterKey(voter)).sort().join(' ');
		for (const {address} of voters) {
			const status = await this.linkClient.request(address, 'controlStatus', null, timeout) as ControlStatusResponse;
			const currentVoters = status.voters.map(voter => voterKey(voter)).sort().join(' ');
			if (currentVoters !== '' && currentVoters !== expectedVoters) {
				throw new BuckthornhitchError('alreadyBootstrapped', `${address} has the voters ${currentVoters}.`);
			}
		}
	}

	async #request(name: string, body: unknown, timeout: Milliseconds): Promise<unknown> {
		const deadline = this.clock.now() + timeout;
		let outcomeUnknown = false;
		let failure = new BuckthornhitchError('invalidSetting', 'No addresses of control instances were given.');
		while (this.controlAddresses.length > 0 && this.clock.now() < deadline) {
			const triedAddresses = new Set<Address>();
			for (let address = this.#nextAddress(triedAddresses); address !== undefined && this.clock.now() < deadline; address = this.#nextAddress(triedAddresses)) {
				triedAddresses.add(address);
				const result = await this.#attempt(address, name, body, deadline - this.clock.now());
				if (!(result instanceof BuckthornhitchError)) {
					return result;
				}

				failure = result;
				outcomeUnknown ||= result.resultCode.execution === 'unknown';
				this.#lastKnownLeader = result.codeName === 'notLeader' && result.detail !== '' ? result.detail : undefined;
			}

			await this.clock.sleep(Math.min(retryDelay, Math.max(0, deadline - this.clock.now())));
		}

		throw outcomeUnknown && failure.resultCode.execution !== 'unknown'
			? new BuckthornhitchError('notConfirmed', `An earlier attempt may have taken effect. Last failure: ${failure.message}`)
			: toNotConfirmed(failure);
	}

	/** Returns the response, or an error after which another process can be tried. Throws all other errors. */
	async #attempt(address: Address, name: string, body: unknown, remaining: Milliseconds): Promise<unknown> {
		try {
			const response = await this.linkClient.request(address, name, body, Math.max(1, Math.min(attemptTimeout, remaining)));
			this.#lastKnownLeader = address;
			return response;
		} catch (error) {
			const failure = toBuckthornhitchError(error);
			if (!retryableCodes.has(failure.codeName)) {
				throw failure;
			}

			return failure;
		}
	}

	/** Returns the last known leader, or else the next control process that was not tried in this round. */
	#nextAddress(triedAddresses: ReadonlySet<Address>): Address | undefined {
		return this.#lastKnownLeader !== undefined && !triedAddresses.has(this.#lastKnownLeader)
			? this.#lastKnownLeader
			: this.controlAddresses.find(address => !triedAddresses.has(address));
	}
}

/** Converts an error with unknown outcome, such as a lost link, to notConfirmed. */
function toNotConfirmed(failure: BuckthornhitchError): BuckthornhitchError {
	return failure.resultCode.execution === 'unknown'
		? new BuckthornhitchError('notConfirmed', failure.detail, {cause: failure})
		: failure;
}
