import {type Buffer} from 'node:buffer';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';

/** Maximum length of a start-up packet or password message in bytes. */
export const maximumStartupBytes = 10_000;

/** Kind of the first packet on a connection: StartupMessage (`startup`), SSLRequest (`encryption`), GSSENCRequest (`securityContext`) or CancelRequest (`cancel`). */
export type StartupPacketKind = 'startup' | 'encryption' | 'securityContext' | 'cancel';

const startupHeaderLength = 8;
const passwordHeaderLength = 5;
const passwordMessageType = 'p'.codePointAt(0);
/** Upper 16 bits of the codes that SSLRequest, GSSENCRequest and CancelRequest have in place of a protocol version. */
const requestCodeUpperBits = 1234;
/** Kinds of these requests by the lower 16 bits of the code. */
const requestCodeKinds: ReadonlyMap<number, StartupPacketKind> = new Map([[5678, 'cancel'], [5679, 'encryption'], [5680, 'securityContext']]);

/** Returns the start-up packet at the start of the bytes, or undefined while it is incomplete. Throws malformedMessage or messageTooLarge. */
export function firstStartupPacket(bytes: Buffer): Buffer | undefined {
	return firstCompletePacket(bytes, 0, startupHeaderLength);
}

/** Returns the password message at the start of the bytes, or undefined while it is incomplete. Throws malformedMessage or messageTooLarge. */
export function firstPasswordMessage(bytes: Buffer): Buffer | undefined {
	if (bytes.length > 0 && bytes[0] !== passwordMessageType) {
		throw new BuckthornhitchError('malformedMessage', 'A password message was expected.');
	}

	return firstCompletePacket(bytes, 1, passwordHeaderLength);
}

function firstCompletePacket(bytes: Buffer, lengthOffset: number, minimumLength: number): Buffer | undefined {
	if (bytes.length < lengthOffset + 4) {
		return undefined;
	}

	const length = bytes.readUInt32BE(lengthOffset) + lengthOffset;
	if (length > maximumStartupBytes) {
		throw new BuckthornhitchError('messageTooLarge', `A start-up packet or password message of ${length} bytes exceeds the maximum of ${maximumStartupBytes} bytes.`);
	}

	if (length < minimumLength) {
		throw new BuckthornhitchError('malformedMessage', `A start-up packet or password message has a length of ${length} bytes, which is below the minimum.`);
	}

	return bytes.length < length ? undefined : bytes.subarray(0, length);
}

/** Returns the kind of a start-up packet. Throws malformedMessage if its parameters are not pairs of zero-terminated strings. */
export function startupPacketKind(packet: Buffer): StartupPacketKind {
	const requestKind = packet.readUInt16BE(4) === requestCodeUpperBits ? requestCodeKinds.get(packet.readUInt16BE(6)) : undefined;
	if (requestKind) {
		return requestKind;
	}

	let offset = startupHeaderLength;
	for (let stringCount = 0; packet[offset] !== 0 || stringCount % 2 === 1; stringCount++) {
		const end = packet.indexOf(0, offset);
		if (end === -1) {
			throw new BuckthornhitchError('malformedMessage', 'The start-up parameters have no terminating zero byte.');
		}

		offset = end + 1;
	}

	if (offset !== packet.length - 1) {
		throw new BuckthornhitchError('malformedMessage', 'The start-up packet has additional bytes after its parameters.');
	}

	return 'startup';
}
