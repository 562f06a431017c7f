import {Buffer} from 'node:buffer';
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {Decoder, Encoder} from 'cbor-x';
import {maximumFrameBytes} from '../links/framing.js';
import {type RoutingDifference, type RoutingTableVersion} from '../routing-table/routing-difference.js';

/** Maximum length of a piece in bytes. A link of 1.4 Mbit/s carries one in about 25 ms, which is the longest that a reply to a caller waits behind it. */
export const maximumPieceBytes = 4096;

/** Request `fetchRouting`, by which an entry instance fetches one piece of a routing difference. */
export type RoutingPieceRequest = {
	/** Digest of the table that the entry holds; `emptyDigest` requests the whole table. */
	readonly base: string;
	/** Digest of the table that the entry wants. */
	readonly target: string;
	/** Number of bytes that the entry has received already, from any control instance. */
	readonly offset: number;
	/** Whether the entry instance reads differences in JSON; absent in requests of earlier builds, which read CBOR only. */
	readonly readsJson?: true;
};

/** Encoding of a difference. The texts of JSON are those of the document, also halves of surrogate pairs, which CBOR has no form for. */
export type DifferenceEncoding = 'json' | 'cbor';

/** Response to `fetchRouting`. It belongs to another base, target and offset than requested when the control instance does not know the requested tables. */
export type RoutingPiece = {
	readonly base: string;
	readonly target: RoutingTableVersion;
	/** Length of the whole encoded difference in bytes. */
	readonly length: number;
	readonly offset: number;
	readonly bytes: Uint8Array;
};

const encoder = new Encoder({useRecords: false});
const decoder = new Decoder({useRecords: false, mapsAsObjects: true});

/** First byte of a difference in JSON, which begins no map in CBOR. */
const openingBrace = 0x7B;

/** Encodes and compresses a difference. All instances of one build return the same bytes for the same difference, so that a transfer can continue at another instance. */
export function encodeDifference(difference: RoutingDifference, encoding: DifferenceEncoding): Buffer {
	return deflateRawSync(encoding === 'json' ? Buffer.from(JSON.stringify(difference), 'utf8') : encoder.encode(difference));
}

/** Decodes a difference in either encoding. Throws an error of `node:zlib`, `JSON` or `cbor-x` for bytes that are not one. */
export function decodeDifference(bytes: Uint8Array): RoutingDifference {
	const content = inflateRawSync(bytes, {maxOutputLength: maximumFrameBytes});
	return (content.at(0) === openingBrace ? JSON.parse(content.toString('utf8')) : decoder.decode(content)) as RoutingDifference;
}
