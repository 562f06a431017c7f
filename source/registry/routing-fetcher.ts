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
import {type RoutingTable} from '../routing-table/types.js';
import {decodeDifference, type RoutingPiece, type RoutingPieceRequest} from './routing-transfer.js';

/** Timeout of one piece. It bounds the silence of the control instance and not the duration of the transfer. */
const pieceTimeout: Milliseconds = 1000;

/** Delays before a piece is requested again after a failure. */
const retryDelays = {shortest: 100, longest: 1000};

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
	#isRunning = false;
	#isStopped = false;
	readonly #backOff: BackOff;

	constructor(private readonly options: RoutingFetcherOptions) {
		this.#backOff = new BackOff(options.random, retryDelays);
	}

	/** Version of the table held; -1 before the first one. */
	get version(): number {
		return this.#table?.version ?? -1;
	}

	/** Digest of the table held; `emptyDigest` before the first one. */
	get digest(): string {
		return this.#digest;
	}

	/** Stops after the piece in transfer. */
	stop(): void {
		this.#isStopped = true;
	}

	/** Fetches the table that a control instance offers unless the one held is as new. */
	offer(target: RoutingTableVersion, source: Address): void {
		if (target.version <= this.version) {
			return;
		}

		this.#offered = {target, source};
		if (!this.#isRunning) {
			this.#isRunning = true;
			void this.#run();
		}
	}

	async #run(): Promise<void> {
		while (this.#offered && this.#offered.target.version > this.version && !this.#isStopped) {
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

		const request: RoutingPieceRequest = {base: this.#base, target: this.#target.digest, offset: this.#receivedBytes};
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
			this.#needsWholeTable = base !== emptyDigest;
			throw new BuckthornhitchError('malformedMessage', `The digest is ${digest ?? 'missing'} in place of ${target.digest}; the whole table is fetched next`);
		}

		const replaced = this.#table ? `version ${this.#table.version}` : 'none';
		this.options.logger.info(`routing version ${target.version} is in force, replacing ${replaced}`, {bytes: length, whole: base === emptyDigest, routes: table.routes.length});
		this.#needsWholeTable = false;
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
