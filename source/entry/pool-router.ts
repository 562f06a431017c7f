import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type ConfigurationView} from '../configuration/configuration-view.js';
import {type Limits} from '../configuration/types.js';
import {type Address} from '../links/address.js';
import {type LinkClient} from '../links/link-client.js';
import {type ProcessDirectory} from '../membership/process-directory.js';
import {takesNewWork, type ProcessRecord} from '../membership/process-record.js';
import {ownershipOrder} from '../ownership/rendezvous.js';
import {
	type AbandonRequest, type AbandonResponse, type CloseTransactionNotice, type ExecuteRequest, type ExecuteResponse,
} from '../pool/messages.js';
import {requestFingerprint} from '../pool/idempotent-request-executor.js';
import {type Random, uniqueId} from '../random/random.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type RetryBudget} from './retry-budget.js';
import {toCallerError, isRecordedOutcome, stepAfterFailure} from './retry-rules.js';

/** Dependencies of a {@link PoolRouter}. */
export type PoolRouterOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly linkClient: LinkClient;
	readonly directory: ProcessDirectory;
	readonly configuration: ConfigurationView;
	readonly retryBudget: RetryBudget;
	/** Called for each attempt after the first. */
	readonly onRetry: () => void;
};

/** Request without its deadline; the router sets the remaining time for each attempt. */
export type RoutedRequest = Omit<ExecuteRequest, 'deadline'>;

/** Response, the pool that sent it, and the transaction id that the request was sent with. */
export type RoutedResponse = {
	readonly response: ExecuteResponse;
	readonly pool: Address;
	readonly transactionId: string | null;
};

/** Time for which the pool that a notOwner error names is tried first, in milliseconds. */
export const redirectLifetime: Milliseconds = 1000;

/** Allowance for the transmission of a response, added to the deadline and the statement timeout, in milliseconds. */
export const responseTransmissionAllowance: Milliseconds = 1000;

/** Interval at which one request tries an unreachable pool again, in milliseconds. The other requests skip the pool meanwhile, so that they do not wait for its connection timeout. */
export const unreachableRetryInterval: Milliseconds = 500;

/** Time for resolving the unknown outcome of a write with a request id after its deadline, in milliseconds. */
export const abandonTimeout: Milliseconds = 2000;

// Announcements of backend servers go to three pools only, so asking more pools would only add load.
const maximumResponsesBeforeBackoff = 3;
// Enough if several pools in a row are unreachable. Keeping all pools for each database would take too much memory in a large deployment.
const maximumCandidatePools = 8;
const minimumBackoff: Milliseconds = 10;
const maximumBackoff: Milliseconds = 80;

type Redirect = {
	readonly owner: ProcessRecord;
	readonly expiresAt: Milliseconds;
};

type RequestProgress = {
	readonly deadline: Milliseconds;
	readonly limits: Limits;
	readonly visitedPools: Set<string>;
	transactionId: string | null;
	/** Number of pools that have answered since the last backoff. */
	responseCount: number;
	/** Address of the pool of the last attempt. */
	lastPool: Address;
	attemptCount: number;
	backoffCount: number;
	mayHaveRun: boolean;
	/** Error of the last attempt. */
	lastFailure: BuckthornhitchError | undefined;
};

/** Finds the pool that owns a database, sends requests to it and retries them where that is safe. */
export class PoolRouter {
	#availablePools: readonly ProcessRecord[];
	readonly #candidatesByDatabase = new Map<string, readonly ProcessRecord[]>();
	readonly #redirectsByDatabase = new Map<string, Redirect>();
	readonly #unreachableRetryTimes = new Map<Address, Milliseconds>();
	readonly #unsubscribers: ReadonlyArray<() => void>;

	constructor(private readonly options: PoolRouterOptions) {
		this.#availablePools = poolsTakingNewWork(options.directory);
		this.#unsubscribers = [
			options.directory.watch(() => {
				this.#updateAvailablePools();
			}),
			options.configuration.watch(() => {
				this.#candidatesByDatabase.clear();
			}),
		];
	}

	/** Unsubscribes from the process directory and the configuration. */
	stop(): void {
		for (const stop of this.#unsubscribers) {
			stop();
		}
	}

	/** Returns the pools that may own the database, in ownership order, up to a maximum number. */
	candidatePools(database: string): readonly ProcessRecord[] {
		const cachedPools = this.#candidatesByDatabase.get(database);
		if (cachedPools) {
			return cachedPools;
		}

		const preferredDataCentre = this.options.configuration.deployment()?.databases.find(({name}) => name === database)?.place;
		const preferredPools = this.#availablePools.filter(({dataCentre}) => dataCentre === preferredDataCentre);
		// Pools of the preferred data centre come first in any order, so the others are ranked only if there are too few of them.
		const candidates = preferredPools.length >= maximumCandidatePools ? preferredPools : this.#availablePools;
		const orderedPools = ownershipOrder(database, candidates, preferredDataCentre).slice(0, maximumCandidatePools);
		this.#candidatesByDatabase.set(database, orderedPools);
		return orderedPools;
	}

	/**
	Sends a request outside an open transaction to the owner of its database.

	If the outcome of a write with a request id stays unknown, the id is abandoned if possible, so that the outcome becomes known. Rejects with a "not run" error only if no attempt can have been executed.
	*/
	async execute(request: RoutedRequest, isRepeatable: boolean): Promise<RoutedResponse> {
		const limits = this.#limits();
		const progress: RequestProgress = {
			deadline: this.options.clock.now() + limits.requestDeadline,
			limits,
			visitedPools: new Set(),
			transactionId: request.transactionId,
			responseCount: 0,
			lastPool: '',
			attemptCount: 0,
			backoffCount: 0,
			mayHaveRun: false,
			lastFailure: undefined,
		};
		this.options.retryBudget.countRequest();
		try {
			for (;;) {
				const routedResponse = await this.#attempt(request, isRepeatable, progress);
				if (routedResponse) {
					return routedResponse;
				}
			}
		} catch (error) {
			return this.#resolveUnknownOutcome(request, progress, toBuckthornhitchError(error));
		}
	}

	/** Sends a request of an open transaction to the pool that holds the transaction, and only there. */
	async executeInTransaction(pool: Address, request: RoutedRequest): Promise<ExecuteResponse> {
		const limits = this.#limits();
		return this.#send(pool, request, limits.requestDeadline, limits);
	}

	/** Notifies the pool that the transaction was given up; the pool then rolls it back. */
	closeTransaction(pool: Address, database: string, transactionId: string): void {
		const notice: CloseTransactionNotice = {database, transactionId};
		this.options.linkClient.notify(pool, 'closeTransaction', notice);
	}

	async #attempt(request: RoutedRequest, isRepeatable: boolean, progress: RequestProgress): Promise<RoutedResponse | undefined> {
		const remaining = progress.deadline - this.options.clock.now();
		if (remaining <= 0) {
			throw toCallerError(progress.lastFailure ?? new BuckthornhitchError('noPool', 'No pool is known.'), progress.mayHaveRun);
		}

		const pool = this.#nextPool(request.database, progress);
		if (!pool) {
			await this.#backOff(progress, remaining);
			return undefined;
		}

		progress.visitedPools.add(pool.name);
		progress.lastPool = pool.linkAddress;
		if (progress.attemptCount++ > 0) {
			this.options.onRetry();
		}

		const {transactionId} = progress;
		try {
			const response = await this.#send(pool.linkAddress, {...request, transactionId}, remaining, progress.limits);
			this.#unreachableRetryTimes.delete(pool.linkAddress);
			return {response, pool: pool.linkAddress, transactionId};
		} catch (error) {
			await this.#handleFailedAttempt(request, isRepeatable, progress, toBuckthornhitchError(error));
			return undefined;
		}
	}

	// Resolves an unknown outcome by abandoning the request id. Transactions are excluded, because the record of a committed transaction has no response that could be returned.
	async #resolveUnknownOutcome(request: RoutedRequest, progress: RequestProgress, failure: BuckthornhitchError): Promise<RoutedResponse> {
		const {requestId, transactionId, access} = request;
		if (failure.codeName !== 'outcomeUnknown' || requestId === null || transactionId !== null || access !== 'write') {
			throw failure;
		}

		const abandonProgress: RequestProgress = {
			...progress, deadline: this.options.clock.now() + abandonTimeout, visitedPools: new Set(), responseCount: 0, backoffCount: 0,
		};
		try {
			while (this.options.clock.now() < abandonProgress.deadline) {
				const routedResponse = await this.#abandonRequest(request, requestId, abandonProgress);
				if (routedResponse) {
					return routedResponse;
				}
			}
		} catch (error) {
			const refusal = toBuckthornhitchError(error);
			throw isRecordedOutcome(refusal) ? refusal : failure;
		}

		throw failure;
	}

	/** Returns the recorded response, or undefined if the outcome is still unknown. Rejects with requestAbandoned once the request id is recorded as abandoned. */
	async #abandonRequest(request: RoutedRequest, requestId: string, progress: RequestProgress): Promise<RoutedResponse | undefined> {
		const {database, transactionId, bytes} = request;
		const remaining = progress.deadline - this.options.clock.now();
		const pool = this.#nextPool(database, progress);
		if (!pool) {
			await this.#backOff(progress, remaining);
			return undefined;
		}

		progress.visitedPools.add(pool.name);
		progress.lastPool = pool.linkAddress;
		const body: AbandonRequest = {database, requestId, deadline: remaining};
		let response: AbandonResponse;
		try {
			response = await this.options.linkClient.request(pool.linkAddress, 'abandonRequest', body, remaining) as AbandonResponse;
		} catch (error) {
			await this.#handleFailedAttempt(request, true, progress, toBuckthornhitchError(error));
			return undefined;
		}

		if (response.outcome === 'abandoned') {
			throw new BuckthornhitchError('requestAbandoned', '');
		}

		if (response.fingerprint !== requestFingerprint(bytes)) {
			throw new BuckthornhitchError('requestIdReused', '');
		}

		return {response: response.response, pool: pool.linkAddress, transactionId};
	}

	async #handleFailedAttempt(request: RoutedRequest, isRepeatable: boolean, progress: RequestProgress, error: BuckthornhitchError): Promise<void> {
		progress.lastFailure = error;
		if (error.codeName === 'linkNotSent') {
			this.#unreachableRetryTimes.set(progress.lastPool, this.options.clock.now() + unreachableRetryInterval);
		} else {
			progress.responseCount++;
		}

		switch (stepAfterFailure(error, isRepeatable)) {
			case 'nextPool': {
				this.#redirectsByDatabase.delete(request.database);
				this.#recordRedirect(request.database, error);
				break;
			}

			case 'wait': {
				await this.#backOff(progress, progress.deadline - this.options.clock.now());
				break;
			}

			case 'repeat': {
				this.#redirectsByDatabase.delete(request.database);
				progress.mayHaveRun = true;
				await this.#prepareRepeat(request, progress);
				break;
			}

			case 'fail': {
				if (error.resultCode.execution !== 'notRun' && progress.transactionId !== null) {
					this.closeTransaction(progress.lastPool, request.database, progress.transactionId);
				}

				throw toCallerError(error, progress.mayHaveRun);
			}
		}
	}

	async #prepareRepeat(request: RoutedRequest, progress: RequestProgress): Promise<void> {
		if (progress.transactionId !== null) {
			// The transaction may be open at that pool. That pool is notified to roll it back, and the request begins a transaction under another id.
			this.closeTransaction(progress.lastPool, request.database, progress.transactionId);
			progress.transactionId = uniqueId();
		}

		if (request.requestId !== null && request.access === 'write') {
			await this.#backOff(progress, progress.deadline - this.options.clock.now());
		} else if (!this.options.retryBudget.tryTake()) {
			throw toCallerError(new BuckthornhitchError('retryBudgetSpent', ''), true);
		}
	}

	#nextPool(database: string, {visitedPools, responseCount}: RequestProgress): ProcessRecord | undefined {
		const redirect = this.#redirectsByDatabase.get(database);
		if (redirect && redirect.expiresAt > this.options.clock.now() && !visitedPools.has(redirect.owner.name) && this.#allowAttempt(redirect.owner)) {
			return redirect.owner;
		}

		if (responseCount >= maximumResponsesBeforeBackoff) {
			return undefined;
		}

		const unvisitedPools = this.candidatePools(database).filter(({name}) => !visitedPools.has(name));
		return unvisitedPools.find(pool => this.#allowAttempt(pool)) ?? (responseCount === 0 ? unvisitedPools.at(0) : undefined);
	}

	#updateAvailablePools(): void {
		const pools = poolsTakingNewWork(this.options.directory);
		if (pools.length === this.#availablePools.length && pools.every((record, index) => isSamePool(record, this.#availablePools[index]))) {
			return;
		}

		this.#availablePools = pools;
		this.#candidatesByDatabase.clear();
		this.#redirectsByDatabase.clear();
		for (const [address, retryAt] of this.#unreachableRetryTimes) {
			if (retryAt <= this.options.clock.now()) {
				this.#unreachableRetryTimes.delete(address);
			}
		}
	}

	// Returns whether the pool may be tried. When the retry interval of an unreachable pool has elapsed, only one request may try it; the next interval starts with that request.
	#allowAttempt({linkAddress}: ProcessRecord): boolean {
		const now = this.options.clock.now();
		const retryAt = this.#unreachableRetryTimes.get(linkAddress);
		if (retryAt === undefined) {
			return true;
		}

		if (retryAt > now) {
			return false;
		}

		this.#unreachableRetryTimes.set(linkAddress, now + unreachableRetryInterval);
		return true;
	}

	#recordRedirect(database: string, error: BuckthornhitchError): void {
		if (error.codeName !== 'notOwner') {
			return;
		}

		const owner = this.#availablePools.find(({name}) => error.detail === name || error.detail.includes(`"${name}"`));
		if (owner) {
			this.#redirectsByDatabase.set(database, {owner, expiresAt: this.options.clock.now() + redirectLifetime});
		}
	}

	// Exponential backoff with jitter: the delays are short, because there is usually a new primary or owner within a second, and random, so that waiting requests do not retry at the same time.
	async #backOff(progress: RequestProgress, remaining: Milliseconds): Promise<void> {
		const longestDelay = Math.min(maximumBackoff, minimumBackoff * (2 ** progress.backoffCount));
		progress.backoffCount++;
		progress.visitedPools.clear();
		progress.responseCount = 0;
		const delay = longestDelay * (1 + this.options.random.fraction()) / 2;
		await this.options.clock.sleep(Math.max(0, Math.min(delay, remaining)));
	}

	async #send(pool: Address, request: RoutedRequest, remaining: Milliseconds, limits: Limits): Promise<ExecuteResponse> {
		const body: ExecuteRequest = {...request, deadline: remaining};
		const response = await this.options.linkClient.request(pool, 'execute', body, remaining + limits.statementTimeout + responseTransmissionAllowance);
		return response as ExecuteResponse;
	}

	#limits(): Limits {
		const limits = this.options.configuration.deployment()?.limits;
		if (!limits) {
			throw new BuckthornhitchError('noPool', 'No configuration has arrived yet.');
		}

		return limits;
	}
}

function poolsTakingNewWork(directory: ProcessDirectory): readonly ProcessRecord[] {
	return directory.records().filter(record => record.role === 'pool' && takesNewWork(record));
}

function isSamePool(first: ProcessRecord, second: ProcessRecord): boolean {
	return first.name === second.name && first.linkAddress === second.linkAddress && first.dataCentre === second.dataCentre;
}
