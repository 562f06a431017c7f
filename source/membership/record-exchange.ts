import {Buffer} from 'node:buffer';
import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type Address} from '../links/address.js';
import {type LinkClient, type RequestHandler} from '../links/link-client.js';
import {LargeResponseLimiter} from '../links/large-response-limiter.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {decodeGossipRecord, encodeGossipRecord} from './datagram-codec.js';
import {bucketCount, type MemberTable} from './member-table.js';
import {type GossipRecord} from './membership-rules.js';

/** Registers handlers of link requests, as `LinkServer` does. */
export type RequestRegistry = {
	handle(name: string, handler: RequestHandler): void;
};

type ExchangeRequest = {
	readonly bucketHashes: Buffer;
};

type ExchangeResponse = {
	readonly buckets: readonly number[];
	readonly entries: readonly Buffer[];
};

/** Name of the request that returns the records whose hashes differ. */
export const exchangeName = 'membershipExchange';

/** Name of the notice that returns the other side's records. */
export const recordsNoticeName = 'membershipEntries';

const exchangeTimeout: Milliseconds = 3000;

// A joining process fetches all records; a seed sends at most this many lists at a time.
const largestServing = 4;

/** What the exchange of records needs. */
export type RecordExchangeOptions = {
	readonly clock: Clock;
	readonly linkClient: LinkClient;
	readonly handlers: RequestRegistry;
	readonly table: MemberTable;
	readonly learn: (entries: readonly GossipRecord[]) => void;
};

/** Exchanges the records that differ between two processes, over a link: hashes first, then the records of the groups that differ. */
export class RecordExchange {
	readonly #limit: LargeResponseLimiter;

	constructor(private readonly options: RecordExchangeOptions) {
		this.#limit = new LargeResponseLimiter(options.clock, largestServing);
	}

	/** Registers the handlers. */
	start(): void {
		this.options.handlers.handle(exchangeName, async body => this.#answer(body as ExchangeRequest));
		this.options.handlers.handle(recordsNoticeName, async body => {
			this.#learnEncoded(body);
		});
	}

	/** Exchanges records with one process. Rejects when it cannot be reached or serves too many others. */
	async exchangeWith(address: Address): Promise<void> {
		const {linkClient, table} = this.options;
		const request: ExchangeRequest = {bucketHashes: table.bucketHashes()};
		const response = await linkClient.request(address, exchangeName, request, exchangeTimeout) as ExchangeResponse;
		const own = encodeEntries(table.entriesOf(response.buckets));
		if (own.length > 0) {
			linkClient.notify(address, recordsNoticeName, own);
		}

		this.#learnEncoded(response.entries);
	}

	#answer(request: ExchangeRequest): ExchangeResponse {
		if (!(request.bucketHashes instanceof Uint8Array) || request.bucketHashes.length !== bucketCount * 4) {
			throw new BuckthornhitchError('malformedMessage', 'The hashes of an exchange of records have the wrong length.');
		}

		return this.#limit.serve(
			() => {
				const buckets = this.options.table.differingBuckets(Buffer.from(request.bucketHashes));
				return {buckets, entries: encodeEntries(this.options.table.entriesOf(buckets))};
			},
			response => response.entries.reduce((sum, entry) => sum + entry.length, 0),
		);
	}

	#learnEncoded(encoded: unknown): void {
		if (Array.isArray(encoded)) {
			this.options.learn(encoded.map(bytes => decodeGossipRecord(bytes)).filter(entry => entry !== undefined));
		}
	}
}

function encodeEntries(entries: readonly GossipRecord[]): readonly Buffer[] {
	return entries.map(entry => encodeGossipRecord(entry));
}
