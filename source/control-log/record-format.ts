import {Buffer} from 'node:buffer';
import {crc32} from 'node:zlib';
import {Decoder, Encoder} from 'cbor-x';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';

/** Maximum length of a record's body in bytes. A greater length in a file means that the record is damaged. */
export const maximumRecordBytes = 64 * 1024 * 1024;

/** Offset of the checksum; the length of the body precedes it. */
const checksumOffset = 4;
const headerBytes = 8;
const encoder = new Encoder({useRecords: false, mapsAsObjects: true});
const decoder = new Decoder({useRecords: false, mapsAsObjects: true});

/** Decoded records of a file. */
export type DecodedRecords = {
	readonly values: readonly unknown[];
	/** Number of bytes up to the end of the last valid record. */
	readonly validBytes: number;
	/** Number of bytes of an incomplete record at the end. */
	readonly tornBytes: number;
};

/** Encodes a value as a record: the body's length, a CRC-32 of length and body, and the body in CBOR. Throws messageTooLarge. */
export function encodeRecord(value: unknown): Buffer {
	const body = encoder.encode(value);
	if (body.length > maximumRecordBytes) {
		throw new BuckthornhitchError('messageTooLarge', `The record has ${body.length} bytes, at most ${maximumRecordBytes} are allowed.`);
	}

	const record = Buffer.allocUnsafe(headerBytes + body.length);
	record.writeUInt32BE(body.length, 0);
	body.copy(record, headerBytes);
	record.writeUInt32BE(checksum(record), checksumOffset);
	return record;
}

/**
Decodes the records of a file up to a torn write at its end. Throws storageCorrupt.

Each sync writes one record, so only the last record can be a torn write. An invalid record before a valid one was damaged after its sync, which is an error. Damage to the last record after its sync cannot be distinguished from a torn write.
*/
export function readRecords(bytes: Buffer, file: string): DecodedRecords {
	const values: unknown[] = [];
	let offset = 0;
	while (offset < bytes.length) {
		const end = recordEnd(bytes, offset);
		if (end === undefined) {
			throwIfValidRecordFollows(bytes, offset, file);
			break;
		}

		values.push(decodeBody(bytes.subarray(offset + headerBytes, end), offset, file));
		offset = end;
	}

	return {values, validBytes: offset, tornBytes: bytes.length - offset};
}

/** Decodes a file that consists of exactly one record. Throws storageCorrupt. */
export function readSingleRecord(bytes: Buffer, file: string): unknown {
	if (recordEnd(bytes, 0) !== bytes.length) {
		throw corruptionError(file, 0, 'the file is not one valid record');
	}

	return decodeBody(bytes.subarray(headerBytes), 0, file);
}

/** Returns a storageCorrupt error for an offset in a file. */
export function corruptionError(file: string, offset: number, reason: string): BuckthornhitchError {
	return new BuckthornhitchError('storageCorrupt', `${file} at byte ${offset}: ${reason}.`);
}

/** Returns the end offset of a valid record, or undefined if the record is invalid. */
function recordEnd(bytes: Buffer, offset: number): number | undefined {
	if (bytes.length - offset <= headerBytes) {
		return undefined;
	}

	const length = bytes.readUInt32BE(offset);
	const end = offset + headerBytes + length;
	if (length === 0 || length > maximumRecordBytes || end > bytes.length) {
		return undefined;
	}

	return checksum(bytes.subarray(offset, end)) === bytes.readUInt32BE(offset + checksumOffset) ? end : undefined;
}

/** Distinguishes damage from a torn write: throws storageCorrupt if a valid record follows the invalid one. */
function throwIfValidRecordFollows(bytes: Buffer, offset: number, file: string): void {
	for (let next = offset + 1; next < bytes.length; next++) {
		if (recordEnd(bytes, next) !== undefined) {
			throw corruptionError(file, offset, `the record does not match its checksum, and a valid record follows at byte ${next}`);
		}
	}
}

function checksum(record: Buffer): number {
	return crc32(record.subarray(headerBytes), crc32(record.subarray(0, checksumOffset)));
}

function decodeBody(body: Buffer, offset: number, file: string): unknown {
	try {
		return decoder.decode(body) as unknown;
	} catch {
		throw corruptionError(file, offset, 'the record is not valid CBOR');
	}
}
