import {Buffer} from 'node:buffer';
import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type Address} from '../links/address.js';
import {type LinkClient, type RequestHandler} from '../links/link-client.js';
import {LargeResponseLimiter} from '../links/large-response-limiter.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {decodeGossipRecord, encodeGossipRecord} from './datagram-codec.js';
import {bucketCount, type MembershipTable} from './membership-table.js';
import {type GossipRecord} from './membership-rules.js';

/** Registers handlers of link requests; implemented by `LinkServer`. */
export type RequestHandlerRegistry = {
	handle(name: string, handler: RequestHandler): void;
};

type ExchangeRequest = {
	readonly bucketHashes: Buffer;
};

type ExchangeResponse = {
	readonly buckets: readonly number[];
	readonly entries: readonly Buffer[];
};

/** Name of the request that returns the records of the buckets whose hashes differ. */
export const exchangeRequestName = 'membershipExchange';

/** Name of the one-way message with which the requester then sends its own records of the differing buckets. */
export const recordsNoticeName = 'membershipEntries';

const exchangeTimeout: Milliseconds = 3000;

// A joining process fetches all records; a seed sends at most this many such responses at a time.
const maximumConcurrentResponses = 4;

/** Dependencies of the record exchange, and the callback for received records. */
export type RecordExchangeOptions = {
	readonly clock: Clock;
	readonly linkClient: LinkClient;
	readonly handlers: RequestHandlerRegistry;
	readonly table: MembershipTable;
	readonly onRecords: (records: readonly GossipRecord[]) => void;
};

/** Anti-entropy over a link: two processes compare bucket hashes and exchange the records of the buckets that differ. */
export class RecordExchange {
	readonly #responseLimiter: LargeResponseLimiter;

	constructor(private readonly options: RecordExchangeOptions) {
		this.#responseLimiter = new LargeResponseLimiter(options.clock, maximumConcurrentResponses);
	}

	/** Registers the request handlers. */
	start(): void {
		this.options.handlers.handle(exchangeRequestName, async body => this.#handleExchange(body as ExchangeRequest));
		this.options.handlers.handle(recordsNoticeName, async body => {
			this.#receiveRecords(body);
		});
	}

	/** Exchanges records with one process. Rejects when it cannot be reached or is serving too many other processes. */
	async exchangeWith(address: Address): Promise<void> {
		const {linkClient, table} = this.options;
		const request: ExchangeRequest = {bucketHashes: table.bucketHashes()};
		const response = await linkClient.request(address, exchangeRequestName, request, exchangeTimeout) as ExchangeResponse;
		const ownRecords = encodeRecords(table.recordsInBuckets(response.buckets));
		if (ownRecords.length > 0) {
			linkClient.notify(address, recordsNoticeName, ownRecords);
		}

		this.#receiveRecords(response.entries);
	}

	#handleExchange(request: ExchangeRequest): ExchangeResponse {
		if (!(request.bucketHashes instanceof Uint8Array) || request.bucketHashes.length !== bucketCount * 4) {
			throw new BuckthornhitchError('malformedMessage', 'The hashes of an exchange of records have the wrong length.');
		}

		return this.#responseLimiter.respond(
			() => {
				const buckets = this.options.table.differingBuckets(Buffer.from(request.bucketHashes));
				return {buckets, entries: encodeRecords(this.options.table.recordsInBuckets(buckets))};
			},
			response => response.entries.reduce((sum, record) => sum + record.length, 0),
		);
	}

	#receiveRecords(encoded: unknown): void {
		if (Array.isArray(encoded)) {
			this.options.onRecords(encoded.map(bytes => decodeGossipRecord(bytes)).filter(record => record !== undefined));
		}
	}
}

function encodeRecords(records: readonly GossipRecord[]): readonly Buffer[] {
	return records.map(record => encodeGossipRecord(record));
}
