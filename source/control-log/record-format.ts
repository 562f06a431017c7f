import {Buffer} from 'node:buffer';
import {crc32} from 'node:zlib';
import {Decoder, Encoder} from 'cbor-x';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';

/** Longest body of a record in bytes; a length beyond it is a fault. */
export const maximumRecordBytes = 64 * 1024 * 1024;

const lengthBytes = 4;
const headerBytes = 8;
const encoder = new Encoder({useRecords: false, mapsAsObjects: true});
const decoder = new Decoder({useRecords: false, mapsAsObjects: true});

/** Records read from a file. */
export type ReadRecords = {
	readonly values: readonly unknown[];
	/** Bytes up to the end of the last valid record. */
	readonly length: number;
	/** Bytes of an incomplete record at the end. */
	readonly tornBytes: number;
};

/** Encodes a value as length, CRC-32 of length and body, and body. Throws messageTooLarge. */
export function encodeRecord(value: unknown): Buffer {
	const body = encoder.encode(value);
	if (body.length > maximumRecordBytes) {
		throw new BuckthornhitchError('messageTooLarge', `The record has ${body.length} bytes, at most ${maximumRecordBytes} are allowed.`);
	}

	const record = Buffer.allocUnsafe(headerBytes + body.length);
	record.writeUInt32BE(body.length, 0);
	body.copy(record, headerBytes);
	record.writeUInt32BE(checksum(record), lengthBytes);
	return record;
}

/**
Reads the records of a file up to a torn tail. Throws storageCorrupt.

One sync writes one record, so an interrupted write can only be the last one: an invalid record that a valid one follows was damaged after it was synced. A last record that was damaged after its sync cannot be told from an interrupted write.
*/
export function readRecords(bytes: Buffer, file: string): ReadRecords {
	const values: unknown[] = [];
	let offset = 0;
	while (offset < bytes.length) {
		const end = recordEnd(bytes, offset);
		if (end === undefined) {
			checkTail(bytes, offset, file);
			break;
		}

		values.push(decodeBody(bytes.subarray(offset + headerBytes, end), offset, file));
		offset = end;
	}

	return {values, length: offset, tornBytes: bytes.length - offset};
}

/** Reads a file that holds exactly one record. Throws storageCorrupt. */
export function readSingleRecord(bytes: Buffer, file: string): unknown {
	if (recordEnd(bytes, 0) !== bytes.length) {
		throw corruption(file, 0, 'the file is not one valid record');
	}

	return decodeBody(bytes.subarray(headerBytes), 0, file);
}

/** Returns the error for a fault at a place in a file. */
export function corruption(file: string, offset: number, reason: string): BuckthornhitchError {
	return new BuckthornhitchError('storageCorrupt', `${file} at byte ${offset}: ${reason}.`);
}

/** Returns the end of a valid record, or undefined. */
function recordEnd(bytes: Buffer, offset: number): number | undefined {
	if (bytes.length - offset <= headerBytes) {
		return undefined;
	}

	const length = bytes.readUInt32BE(offset);
	const end = offset + headerBytes + length;
	if (length === 0 || length > maximumRecordBytes || end > bytes.length) {
		return undefined;
	}

	return checksum(bytes.subarray(offset, end)) === bytes.readUInt32BE(offset + lengthBytes) ? end : undefined;
}

function checkTail(bytes: Buffer, offset: number, file: string): void {
	for (let next = offset + 1; next < bytes.length; next++) {
		if (recordEnd(bytes, next) !== undefined) {
			throw corruption(file, offset, `the record does not match its checksum, and a valid record follows at byte ${next}`);
		}
	}
}

function checksum(record: Buffer): number {
	return crc32(record.subarray(headerBytes), crc32(record.subarray(0, lengthBytes)));
}

function decodeBody(body: Buffer, offset: number, file: string): unknown {
	try {
		return decoder.decode(body) as unknown;
	} catch {
		throw corruption(file, offset, 'the record is not valid CBOR');
	}
}
