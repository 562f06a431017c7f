import {Buffer} from 'node:buffer';
import {BackOff} from '../clock/back-off.js';
import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type Address} from '../links/address.js';
import {type LinkClient} from '../links/link-client.js';
import {type Logger} from '../observability/logger.js';
import {type Random} from '../random/random.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {
	applyRoutingDifference, emptyDigest, routingDigest, type RoutingTableVersion,
} from '../routing-table/routing-difference.js';
import {validateRoutingTable} from '../routing-table/routing-table-validation.js';
import {type RoutingTable} from '../routing-table/types.js';
import {decodeDifference, type RoutingPiece, type RoutingPieceRequest} from './routing-transfer.js';

/** Timeout of one piece. It bounds the silence of the control instance and not the duration of the transfer. */
const pieceTimeout: Milliseconds = 1000;

/** Delays before a piece is requested again after a failure. */
const retryDelays = {shortest: 100, longest: 1000};

/** Number of whole transfers after which a version whose digest does not match is rejected. A transfer that continued at an instance of another build may not match once. */
const maximumMismatches = 2;

/** Delays before a rejected version is fetched again. An upgrade of either side may resolve the difference. */
const rejectionDelays = {shortest: 10_000, longest: 300_000};

/** A version that does not arrive as the control instances hold it. */
export type RejectedVersion = RoutingTableVersion & {
	readonly retryAt: Milliseconds;
};

/** Dependencies and callbacks of a routing fetcher. */
export type RoutingFetcherOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly logger: Logger;
	readonly linkClient: LinkClient;
	/** Called with each newer routing table. */
	readonly onRoutingTable: (table: RoutingTable) => void;
	/** Called when a control instance did not answer with a usable piece. */
	readonly onSourceFailure: (address: Address, reason: string) => void;
};

/** Fetches newer routing tables as differences to the one held, one piece at a time. A transfer that was interrupted continues at the control instance that offers the table next. */
export class RoutingFetcher {
	#table: RoutingTable | undefined;
	#digest = emptyDigest;
	/** Newest version that a control instance offered, and the address of that instance. */
	#offered: {readonly target: RoutingTableVersion; readonly source: Address} | undefined;
	/** Table in transfer, and the digest of the table from which its difference starts. */
	#target: RoutingTableVersion | undefined;
	#base = emptyDigest;
	#pieces: Uint8Array[] = [];
	#receivedBytes = 0;
	/** Whether the last difference led to another table than announced, so that the whole table is needed. */
	#needsWholeTable = false;
	/** Whole transfers in a row whose digest did not match. */
	#mismatchCount = 0;
	#rejected: RejectedVersion | undefined;
	#isRunning = false;
	#isStopped = false;
	readonly #backOff: BackOff;
	readonly #rejectionBackOff: BackOff;

	constructor(private readonly options: RoutingFetcherOptions) {
		this.#backOff = new BackOff(options.random, retryDelays);
		this.#rejectionBackOff = new BackOff(options.random, rejectionDelays);
	}

	/** Version of the table held; -1 before the first one. */
	get version(): number {
		return this.#table?.version ?? -1;
	}

	/** Digest of the table held; `emptyDigest` before the first one. */
	get digest(): string {
		return this.#digest;
	}

	/** Newest version that did not arrive as the control instances hold it, until a later one is in force; undefined if there is none. */
	get rejectedVersion(): number | undefined {
		return this.#rejected?.version;
	}

	/** Stops after the piece in transfer. */
	stop(): void {
		this.#isStopped = true;
	}

	/** Fetches the table that a control instance offers unless the one held is as new. */
	offer(target: RoutingTableVersion, source: Address): void {
		if (target.version <= this.version || this.#isRejected(target)) {
			return;
		}

		this.#offered = {target, source};
		if (!this.#isRunning) {
			this.#isRunning = true;
			void this.#run();
		}
	}

	async #run(): Promise<void> {
		while (this.#offered && this.#offered.target.version > this.version && !this.#isRejected(this.#offered.target) && !this.#isStopped) {
			const {source} = this.#offered;
			try {
				await this.#fetchPiece(source);
				this.#backOff.reset();
			} catch (error) {
				const {message} = toBuckthornhitchError(error);
				this.options.logger.warn(`routing version ${this.#offered.target.version} was not fetched from ${source}: ${message}`, {received: this.#receivedBytes, heldVersion: this.#table?.version});
				this.options.onSourceFailure(source, message);
				await this.options.clock.sleep(this.#backOff.nextDelay());
			}
		}

		this.#isRunning = false;
	}

	async #fetchPiece(source: Address): Promise<void> {
		if (this.#target === undefined) {
			this.#target = this.#offered!.target;
			this.#base = this.#needsWholeTable ? emptyDigest : this.#digest;
		}

		const request: RoutingPieceRequest = {
			base: this.#base, target: this.#target.digest, offset: this.#receivedBytes, readsJson: true,
		};
		const piece = await this.options.linkClient.request(source, 'fetchRouting', request, pieceTimeout) as RoutingPiece | null;
		if (!piece || piece.target.version <= this.version) {
			this.#restart();
			throw new BuckthornhitchError('controlBehind', `${source} holds version ${piece?.target.version ?? 'none'}`);
		}

		if (piece.target.digest !== this.#target.digest || piece.base !== this.#base || piece.offset !== this.#receivedBytes) {
			this.#restart();
		}

		if (piece.offset === this.#receivedBytes) {
			this.#target = piece.target;
			this.#base = piece.base;
			this.#pieces.push(piece.bytes);
			this.#receivedBytes += piece.bytes.length;
		}

		if (this.#receivedBytes >= piece.length) {
			this.#finish(piece);
		}
	}

	#restart(): void {
		this.#target = undefined;
		this.#pieces = [];
		this.#receivedBytes = 0;
	}

	#finish({base, target, length}: RoutingPiece): void {
		const bytes = Buffer.concat(this.#pieces);
		this.#restart();
		const table = this.#decodeTable(bytes, base);
		const digest = table && routingDigest(table);
		if (!table || digest !== target.digest) {
			this.#handleMismatch(target, base, table, digest);
			return;
		}

		this.#rejected = undefined;
		this.#rejectionBackOff.reset();
		this.#putInForce(table, digest, {bytes: length, whole: base === emptyDigest});
	}

	/** Fetches the whole table next if the transfer was that of a difference or the first one. Otherwise rejects the version: the table held stays in force, and an instance that holds none takes over what has arrived, so that no version leaves nothing served. */
	#handleMismatch(target: RoutingTableVersion, base: string, table: RoutingTable | undefined, digest: string | undefined): void {
		const isWhole = base === emptyDigest;
		this.#mismatchCount = isWhole ? this.#mismatchCount + 1 : 0;
		this.#needsWholeTable = true;
		if (this.#mismatchCount < maximumMismatches) {
			throw new BuckthornhitchError('malformedMessage', `The digest is ${digest ?? 'missing'} in place of ${target.digest}; the whole table is fetched next`);
		}

		const {clock, logger} = this.options;
		this.#mismatchCount = 0;
		if (this.#rejected?.digest !== target.digest) {
			const held = this.#table ? `version ${this.#table.version} stays in force` : 'it is put in force all the same, since no other is held';
			logger.error(`routing version ${target.version} does not arrive as the control instances hold it: the digest is ${digest ?? 'missing'} in place of ${target.digest}; ${held}`);
			this.#rejectionBackOff.reset();
		}

		this.#rejected = {...target, retryAt: clock.now() + this.#rejectionBackOff.nextDelay()};
		if (!this.#table && table && digest !== undefined && this.#isValid(table)) {
			this.#putInForce(table, digest, {whole: true});
		}
	}

	#isRejected({digest}: RoutingTableVersion): boolean {
		return this.#rejected?.digest === digest && this.options.clock.now() < this.#rejected.retryAt;
	}

	#isValid(table: RoutingTable): boolean {
		try {
			validateRoutingTable(table);
			return true;
		} catch (error) {
			this.options.logger.error(`routing version ${table.version} is not valid as it arrived: ${toBuckthornhitchError(error).message}`);
			return false;
		}
	}

	#putInForce(table: RoutingTable, digest: string, transfer: Readonly<Record<string, unknown>>): void {
		const replaced = this.#table ? `version ${this.#table.version}` : 'none';
		this.options.logger.info(`routing version ${table.version} is in force, replacing ${replaced}`, {...transfer, routes: table.routes.length});
		this.#needsWholeTable = false;
		this.#mismatchCount = 0;
		this.#table = table;
		this.#digest = digest;
		this.options.onRoutingTable(table);
	}

	/** Returns the table, or undefined when pieces of two instances did not fit together. */
	#decodeTable(bytes: Uint8Array, base: string): RoutingTable | undefined {
		try {
			return applyRoutingDifference(base === emptyDigest ? undefined : this.#table, decodeDifference(bytes));
		} catch (error) {
			this.options.logger.warn(`a routing difference of ${bytes.length} bytes could not be decoded: ${toBuckthornhitchError(error).message}`);
			return undefined;
		}
	}
}
