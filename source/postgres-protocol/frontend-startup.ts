import {type Buffer} from 'node:buffer';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';

/** Longest start-up packet or password message in bytes. */
export const maximumStartupBytes = 10_000;

/** Kinds of packets with which a connection begins. */
export type StartupPacketKind = 'startup' | 'encryption' | 'securityContext' | 'cancel';

const startupHeaderBytes = 8;
const passwordHeaderBytes = 5;
const passwordType = 'p'.codePointAt(0);
const specialMajorVersion = 1234;
const specialKinds: ReadonlyMap<number, StartupPacketKind> = new Map([[5678, 'cancel'], [5679, 'encryption'], [5680, 'securityContext']]);

/** Returns the first start-up packet of the bytes, or undefined while it is incomplete. Throws malformedMessage or messageTooLarge. */
export function firstStartupPacket(bytes: Buffer): Buffer | undefined {
	return firstPacket(bytes, 0, startupHeaderBytes);
}

/** Returns the password message at the start of the bytes, or undefined while it is incomplete. Throws malformedMessage or messageTooLarge. */
export function firstPasswordMessage(bytes: Buffer): Buffer | undefined {
	if (bytes.length > 0 && bytes[0] !== passwordType) {
		throw new BuckthornhitchError('malformedMessage', 'A password was expected.');
	}

	return firstPacket(bytes, 1, passwordHeaderBytes);
}

function firstPacket(bytes: Buffer, lengthOffset: number, shortest: number): Buffer | undefined {
	if (bytes.length < lengthOffset + 4) {
		return undefined;
	}

	const length = bytes.readUInt32BE(lengthOffset) + lengthOffset;
	if (length > maximumStartupBytes) {
		throw new BuckthornhitchError('messageTooLarge', `The start-up announces ${length} bytes, at most ${maximumStartupBytes} are allowed.`);
	}

	if (length < shortest) {
		throw new BuckthornhitchError('malformedMessage', `The start-up announces ${length} bytes.`);
	}

	return bytes.length < length ? undefined : bytes.subarray(0, length);
}

/** Returns what a start-up packet asks for. Throws malformedMessage when its parameters are not pairs of texts. */
export function startupPacketKind(packet: Buffer): StartupPacketKind {
	const special = packet.readUInt16BE(4) === specialMajorVersion ? specialKinds.get(packet.readUInt16BE(6)) : undefined;
	if (special) {
		return special;
	}

	let offset = startupHeaderBytes;
	for (let texts = 0; packet[offset] !== 0 || texts % 2 === 1; texts++) {
		const end = packet.indexOf(0, offset);
		if (end === -1) {
			throw new BuckthornhitchError('malformedMessage', 'The start-up parameters have no end.');
		}

		offset = end + 1;
	}

	if (offset !== packet.length - 1) {
		throw new BuckthornhitchError('malformedMessage', 'Bytes follow the start-up parameters.');
	}

	return 'startup';
}
