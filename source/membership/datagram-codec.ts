import {Buffer} from 'node:buffer';
import {Decoder, Encoder} from 'cbor-x';
import {type Address} from '../links/address.js';
import {type ProcessRole} from './process-record.js';
import {toProcessState, type Health, type GossipRecord} from './membership-rules.js';

/** Maximum size of a datagram in bytes; below the usual path MTU, so that datagrams are not fragmented. */
export const maximumDatagramBytes = 1200;

/** Maximum size of an encoded record in bytes, so that a datagram always has room for one after its header. */
export const maximumGossipRecordBytes = 600;

const datagramKinds = ['ping', 'ack', 'pingRequest', 'notice'] as const;

/** Kinds of datagrams: a probe, its acknowledgement, a request for an indirect probe, and gossip that is not acknowledged. */
export type DatagramKind = (typeof datagramKinds)[number];

/** A decoded datagram. */
export type Datagram = {
	readonly kind: DatagramKind;
	readonly from: string;
	/** Name of the recipient, or empty when only its address is known. */
	readonly to: string;
	readonly sequence: number;
	/** Configuration revision that the sender holds. */
	readonly revision: number;
	/** Hash of the live records that the sender holds. */
	readonly digest: number;
	/** Whether the sender asks for the recipient's own record. */
	readonly introduce: boolean;
	/** Process to probe on behalf of the sender, in a pingRequest. */
	readonly targetName: string;
	readonly targetAddress: Address;
	/** Encoded records that the sender passes on. */
	readonly updates: readonly Buffer[];
};

const formatVersion = 1;
const processRoles: readonly ProcessRole[] = ['entry', 'pool', 'control'];
const healthValues: readonly Health[] = ['alive', 'suspect', 'failed', 'left'];
const encoder = new Encoder({useRecords: false});
const decoder = new Decoder({useRecords: false});

// Upper bound of the CBOR array header, the kind, three integers, the flags and the string headers.
const fixedHeaderBytes = 40;

/** Bytes that the encoding adds to each record in a datagram. */
export const updateOverheadBytes = 3;

/** Returns the number of bytes left for updates in a datagram with these names and addresses. */
export function updateByteBudget(from: string, to: string, targetName: string, targetAddress: Address): number {
	const headerStrings = [from, to, targetName, targetAddress];
	return maximumDatagramBytes - fixedHeaderBytes - headerStrings.reduce((sum, text) => sum + Buffer.byteLength(text), 0);
}

/** Encodes a datagram as a CBOR array. */
export function encodeDatagram(datagram: Datagram): Buffer {
	return encoder.encode([
		formatVersion,
		datagramKinds.indexOf(datagram.kind),
		datagram.from,
		datagram.to,
		datagram.sequence,
		datagram.revision,
		datagram.digest,
		datagram.introduce,
		datagram.targetName,
		datagram.targetAddress,
		datagram.updates,
	]);
}

/** Decodes a datagram; returns undefined if it is malformed or has another format version. */
export function decodeDatagram(bytes: Uint8Array): Datagram | undefined {
	const fields = decodeArray(bytes);
	if (fields?.[0] !== formatVersion) {
		return undefined;
	}

	const [, kindIndex, from, to, sequence, revision, digest, introduce, targetName, targetAddress, updates] = fields;
	const kind = typeof kindIndex === 'number' ? datagramKinds[kindIndex] : undefined;
	if (!kind || !areStrings([from, to, targetName, targetAddress]) || !areNonNegativeIntegers([sequence, revision, digest]) || !Array.isArray(updates)) {
		return undefined;
	}

	return {
		kind,
		from: from as string,
		to: to as string,
		sequence: sequence as number,
		revision: revision as number,
		digest: digest as number,
		introduce: introduce === true,
		targetName: targetName as string,
		targetAddress: targetAddress as string,
		updates: updates as readonly Buffer[],
	};
}

/** Encodes a record as a CBOR array. */
export function encodeGossipRecord(record: GossipRecord): Buffer {
	return encoder.encode([
		record.name,
		processRoles.indexOf(record.role),
		record.instance,
		record.dataCentre,
		record.region,
		record.linkAddress,
		record.gossipAddress,
		record.incarnation,
		healthValues.indexOf(record.health),
		record.draining,
		record.configurationRevision,
	]);
}

/** Decodes a record; returns undefined if it is malformed. */
export function decodeGossipRecord(bytes: unknown): GossipRecord | undefined {
	const fields = bytes instanceof Uint8Array ? decodeArray(bytes) : undefined;
	if (!fields) {
		return undefined;
	}

	const [name, roleIndex, instance, dataCentre, region, linkAddress, gossipAddress, incarnation, healthIndex, draining, configurationRevision] = fields;
	const role = typeof roleIndex === 'number' ? processRoles[roleIndex] : undefined;
	const health = typeof healthIndex === 'number' ? healthValues[healthIndex] : undefined;
	if (!role || !health || !areStrings([name, instance, dataCentre, region, linkAddress, gossipAddress]) || !areNonNegativeIntegers([incarnation, configurationRevision])) {
		return undefined;
	}

	return {
		name: name as string,
		role,
		instance: instance as string,
		dataCentre: dataCentre as string,
		region: region as string,
		linkAddress: linkAddress as string,
		gossipAddress: gossipAddress as string,
		incarnation: incarnation as number,
		state: toProcessState(health, draining === true),
		configurationRevision: configurationRevision as number,
		health,
		draining: draining === true,
	};
}

function decodeArray(bytes: Uint8Array): readonly unknown[] | undefined {
	try {
		const value: unknown = decoder.decode(bytes);
		return Array.isArray(value) ? value as readonly unknown[] : undefined;
	} catch {
		return undefined;
	}
}

function areStrings(values: readonly unknown[]): boolean {
	return values.every(value => typeof value === 'string');
}

function areNonNegativeIntegers(values: readonly unknown[]): boolean {
	return values.every(value => typeof value === 'number' && Number.isSafeInteger(value) && value >= 0);
}
