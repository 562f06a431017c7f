import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type ConfigurationSource} from '../configuration/configuration-source.js';
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

/** What the router needs. */
export type PoolRouterOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly linkClient: LinkClient;
	readonly directory: ProcessDirectory;
	readonly configuration: ConfigurationSource;
	readonly budget: RetryBudget;
	/** Called for each attempt after the first. */
	readonly onRetry: () => void;
};

/** Request without its deadline, which the router adds for each attempt. */
export type RoutedRequest = Omit<ExecuteRequest, 'deadline'>;

/** Answer with the pool that gave it and the transaction id under which it was sent. */
export type RoutedAnswer = {
	readonly response: ExecuteResponse;
	readonly pool: Address;
	readonly transactionId: string | null;
};

/** A pool named by notOwner is tried first for this many milliseconds. */
export const redirectLifetime: Milliseconds = 1000;

/** Time for the answer to travel, on top of the deadline and the statement timeout, in milliseconds. */
export const answerAllowance: Milliseconds = 1000;

/** A pool that could not be reached is tried again after this many milliseconds, by one request; the others do not wait for its connect timeout. */
export const unreachableLifetime: Milliseconds = 500;

/** Time to resolve the unknown outcome of a write with a request id after its deadline, in milliseconds. */
export const abandonTime: Milliseconds = 2000;

// Pools beyond the third are told no member addresses, so asking more of them only adds load.
const answersPerRound = 3;
// Enough when several in a row can not be reached; the whole order of each database would fill the memory of a large fleet.
const orderLength = 8;
const shortestPause: Milliseconds = 10;
const longestPause: Milliseconds = 80;

type Redirect = {
	readonly owner: ProcessRecord;
	readonly until: Milliseconds;
};

type Progress = {
	readonly until: Milliseconds;
	readonly limits: Limits;
	readonly visited: Set<string>;
	transactionId: string | null;
	/** Pools that answered since the last pause. */
	answered: number;
	/** Pool of the last attempt. */
	pool: Address;
	attempts: number;
	pauses: number;
	mayHaveRun: boolean;
	/** Failure of the last attempt. */
	failure: BuckthornhitchError | undefined;
};

/** Finds the pool that owns a database and sends requests to it, again where that is safe. */
export class PoolRouter {
	#candidates: readonly ProcessRecord[];
	readonly #orders = new Map<string, readonly ProcessRecord[]>();
	readonly #redirects = new Map<string, Redirect>();
	readonly #unreachableUntil = new Map<Address, Milliseconds>();
	readonly #stopWatching: ReadonlyArray<() => void>;

	constructor(private readonly options: PoolRouterOptions) {
		this.#candidates = poolsForNewWork(options.directory);
		this.#stopWatching = [
			options.directory.watch(() => {
				this.#takeRecords();
			}),
			options.configuration.watch(() => {
				this.#orders.clear();
			}),
		];
	}

	/** Ends the subscriptions. */
	stop(): void {
		for (const stop of this.#stopWatching) {
			stop();
		}
	}

	/** Returns the first pools that may own the database, in ownership order. */
	pools(database: string): readonly ProcessRecord[] {
		const known = this.#orders.get(database);
		if (known) {
			return known;
		}

		const place = this.options.configuration.deployment()?.databases.find(({name}) => name === database)?.place;
		const preferred = this.#candidates.filter(({dataCentre}) => dataCentre === place);
		// Those of the preferred data centre come first in any case; the others are hashed only when they are needed.
		const candidates = preferred.length >= orderLength ? preferred : this.#candidates;
		const order = ownershipOrder(database, candidates, place).slice(0, orderLength);
		this.#orders.set(database, order);
		return order;
	}

	/** Sends a request that has no open transaction; a write with an id whose outcome stays unknown is abandoned if possible. Rejects with "not run" only when no attempt can have run. */
	async execute(request: RoutedRequest, repeatable: boolean): Promise<RoutedAnswer> {
		const limits = this.#limits();
		const progress: Progress = {
			until: this.options.clock.now() + limits.requestDeadline,
			limits,
			visited: new Set(),
			transactionId: request.transactionId,
			answered: 0,
			pool: '',
			attempts: 0,
			pauses: 0,
			mayHaveRun: false,
			failure: undefined,
		};
		this.options.budget.countRequest();
		try {
			for (;;) {
				const answer = await this.#attempt(request, repeatable, progress);
				if (answer) {
					return answer;
				}
			}
		} catch (error) {
			return this.#resolveOutcome(request, progress, toBuckthornhitchError(error));
		}
	}

	/** Sends a request of an open transaction to the pool that holds it. Never sends it elsewhere. */
	async executeAt(pool: Address, request: RoutedRequest): Promise<ExecuteResponse> {
		const limits = this.#limits();
		return this.#send(pool, request, limits.requestDeadline, limits);
	}

	/** Tells the pool that the transaction was given up. */
	closeTransaction(pool: Address, database: string, transactionId: string): void {
		const notice: CloseTransactionNotice = {database, transactionId};
		this.options.linkClient.notify(pool, 'closeTransaction', notice);
	}

	async #attempt(request: RoutedRequest, repeatable: boolean, progress: Progress): Promise<RoutedAnswer | undefined> {
		const remaining = progress.until - this.options.clock.now();
		if (remaining <= 0) {
			throw toCallerError(progress.failure ?? new BuckthornhitchError('noPool', 'No pool is known.'), progress.mayHaveRun);
		}

		const pool = this.#nextPool(request.database, progress);
		if (!pool) {
			await this.#pause(progress, remaining);
			return undefined;
		}

		progress.visited.add(pool.name);
		progress.pool = pool.linkAddress;
		if (progress.attempts++ > 0) {
			this.options.onRetry();
		}

		const {transactionId} = progress;
		try {
			const response = await this.#send(pool.linkAddress, {...request, transactionId}, remaining, progress.limits);
			this.#unreachableUntil.delete(pool.linkAddress);
			return {response, pool: pool.linkAddress, transactionId};
		} catch (error) {
			await this.#afterFailure(request, repeatable, progress, toBuckthornhitchError(error));
			return undefined;
		}
	}

	// Transactions are left out: the record of a committed one holds no answer that could be returned.
	async #resolveOutcome(request: RoutedRequest, progress: Progress, failure: BuckthornhitchError): Promise<RoutedAnswer> {
		const {requestId, transactionId, access} = request;
		if (failure.codeName !== 'outcomeUnknown' || requestId === null || transactionId !== null || access !== 'write') {
			throw failure;
		}

		const abandoning: Progress = {
			...progress, until: this.options.clock.now() + abandonTime, visited: new Set(), answered: 0, pauses: 0,
		};
		try {
			while (this.options.clock.now() < abandoning.until) {
				const answer = await this.#abandon(request, requestId, abandoning);
				if (answer) {
					return answer;
				}
			}
		} catch (error) {
			const refusal = toBuckthornhitchError(error);
			throw isRecordedOutcome(refusal) ? refusal : failure;
		}

		throw failure;
	}

	/** Returns the recorded answer, or undefined when the outcome is still unknown. Rejects with requestAbandoned once the id is recorded as abandoned. */
	async #abandon(request: RoutedRequest, requestId: string, progress: Progress): Promise<RoutedAnswer | undefined> {
		const {database, transactionId, bytes} = request;
		const remaining = progress.until - this.options.clock.now();
		const pool = this.#nextPool(database, progress);
		if (!pool) {
			await this.#pause(progress, remaining);
			return undefined;
		}

		progress.visited.add(pool.name);
		progress.pool = pool.linkAddress;
		const body: AbandonRequest = {database, requestId, deadline: remaining};
		let answer: AbandonResponse;
		try {
			answer = await this.options.linkClient.request(pool.linkAddress, 'abandonRequest', body, remaining) as AbandonResponse;
		} catch (error) {
			await this.#afterFailure(request, true, progress, toBuckthornhitchError(error));
			return undefined;
		}

		if (answer.outcome === 'abandoned') {
			throw new BuckthornhitchError('requestAbandoned', '');
		}

		if (answer.fingerprint !== requestFingerprint(bytes)) {
			throw new BuckthornhitchError('requestIdReused', '');
		}

		return {response: answer.response, pool: pool.linkAddress, transactionId};
	}

	async #afterFailure(request: RoutedRequest, repeatable: boolean, progress: Progress, error: BuckthornhitchError): Promise<void> {
		progress.failure = error;
		if (error.codeName === 'linkNotSent') {
			this.#unreachableUntil.set(progress.pool, this.options.clock.now() + unreachableLifetime);
		} else {
			progress.answered++;
		}

		switch (stepAfterFailure(error, repeatable)) {
			case 'nextPool': {
				this.#redirects.delete(request.database);
				this.#followOwner(request.database, error);
				break;
			}

			case 'wait': {
				await this.#pause(progress, progress.until - this.options.clock.now());
				break;
			}

			case 'repeat': {
				this.#redirects.delete(request.database);
				progress.mayHaveRun = true;
				await this.#prepareRepeat(request, progress);
				break;
			}

			case 'fail': {
				if (error.entry.execution !== 'notRun' && progress.transactionId !== null) {
					this.closeTransaction(progress.pool, request.database, progress.transactionId);
				}

				throw toCallerError(error, progress.mayHaveRun);
			}
		}
	}

	async #prepareRepeat(request: RoutedRequest, progress: Progress): Promise<void> {
		if (progress.transactionId !== null) {
			// The block may be open at that pool; it is given up and begun anew under another id.
			this.closeTransaction(progress.pool, request.database, progress.transactionId);
			progress.transactionId = uniqueId();
		}

		if (request.requestId !== null && request.access === 'write') {
			await this.#pause(progress, progress.until - this.options.clock.now());
		} else if (!this.options.budget.take()) {
			throw toCallerError(new BuckthornhitchError('retryBudgetSpent', ''), true);
		}
	}

	#nextPool(database: string, {visited, answered}: Progress): ProcessRecord | undefined {
		const redirect = this.#redirects.get(database);
		if (redirect && redirect.until > this.options.clock.now() && !visited.has(redirect.owner.name) && this.#mayTry(redirect.owner)) {
			return redirect.owner;
		}

		if (answered >= answersPerRound) {
			return undefined;
		}

		const rest = this.pools(database).filter(({name}) => !visited.has(name));
		return rest.find(pool => this.#mayTry(pool)) ?? (answered === 0 ? rest.at(0) : undefined);
	}

	#takeRecords(): void {
		const candidates = poolsForNewWork(this.options.directory);
		if (candidates.length === this.#candidates.length && candidates.every((record, index) => isSamePool(record, this.#candidates[index]))) {
			return;
		}

		this.#candidates = candidates;
		this.#orders.clear();
		this.#redirects.clear();
		for (const [address, until] of this.#unreachableUntil) {
			if (until <= this.options.clock.now()) {
				this.#unreachableUntil.delete(address);
			}
		}
	}

	// After the time is over, one request finds out whether the pool is back, while the others still avoid it.
	#mayTry({linkAddress}: ProcessRecord): boolean {
		const now = this.options.clock.now();
		const until = this.#unreachableUntil.get(linkAddress);
		if (until === undefined) {
			return true;
		}

		if (until > now) {
			return false;
		}

		this.#unreachableUntil.set(linkAddress, now + unreachableLifetime);
		return true;
	}

	#followOwner(database: string, error: BuckthornhitchError): void {
		if (error.codeName !== 'notOwner') {
			return;
		}

		const owner = this.#candidates.find(({name}) => error.detail === name || error.detail.includes(`"${name}"`));
		if (owner) {
			this.#redirects.set(database, {owner, until: this.options.clock.now() + redirectLifetime});
		}
	}

	// The pause is short, since a new primary or owner is usually there within a second, and random, so that waiting requests do not return together.
	async #pause(progress: Progress, remaining: Milliseconds): Promise<void> {
		const longest = Math.min(longestPause, shortestPause * (2 ** progress.pauses));
		progress.pauses++;
		progress.visited.clear();
		progress.answered = 0;
		const pause = longest * (1 + this.options.random.fraction()) / 2;
		await this.options.clock.sleep(Math.max(0, Math.min(pause, remaining)));
	}

	async #send(pool: Address, request: RoutedRequest, remaining: Milliseconds, limits: Limits): Promise<ExecuteResponse> {
		const body: ExecuteRequest = {...request, deadline: remaining};
		const answer = await this.options.linkClient.request(pool, 'execute', body, remaining + limits.statementTimeout + answerAllowance);
		return answer as ExecuteResponse;
	}

	#limits(): Limits {
		const limits = this.options.configuration.deployment()?.limits;
		if (!limits) {
			throw new BuckthornhitchError('noPool', 'No configuration has arrived yet.');
		}

		return limits;
	}
}

function poolsForNewWork(directory: ProcessDirectory): readonly ProcessRecord[] {
	return directory.records().filter(record => record.role === 'pool' && takesNewWork(record));
}

function isSamePool(first: ProcessRecord, second: ProcessRecord): boolean {
	return first.name === second.name && first.linkAddress === second.linkAddress && first.dataCentre === second.dataCentre;
}
