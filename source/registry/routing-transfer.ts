import {type Buffer} from 'node:buffer';
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
};

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

/** Encodes and compresses a difference. All instances of one build return the same bytes for the same difference, so that a transfer can continue at another instance. */
export function encodeDifference(difference: RoutingDifference): Buffer {
	return deflateRawSync(encoder.encode(difference));
}

/** Decodes a difference. Throws an error of `node:zlib` or `cbor-x` for bytes that are not one. */
export function decodeDifference(bytes: Uint8Array): RoutingDifference {
	return decoder.decode(inflateRawSync(bytes, {maxOutputLength: maximumFrameBytes})) as RoutingDifference;
}
