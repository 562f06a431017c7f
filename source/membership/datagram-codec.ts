import {Buffer} from 'node:buffer';
import {Decoder, Encoder} from 'cbor-x';
import {type Address} from '../links/address.js';
import {type ProcessRole} from './process-record.js';
import {publicState, type Health, type GossipRecord} from './membership-rules.js';

/** Longest datagram in bytes; fits the smallest usual path without fragments. */
export const maximumDatagramBytes = 1200;

/** Longest encoded record in bytes, so that a datagram always has room for it beside its header. */
export const maximumEntryBytes = 600;

const datagramKinds = ['ping', 'ack', 'pingRequest', 'notice'] as const;

/** Kinds of datagrams: a probe, its answer, the request to probe for the sender, and news without an answer. */
export type DatagramKind = (typeof datagramKinds)[number];

/** One datagram. */
export type Datagram = {
	readonly kind: DatagramKind;
	readonly from: string;
	/** Name of the addressee, or empty when only its address is known. */
	readonly to: string;
	readonly sequence: number;
	/** Configuration revision that the sender holds. */
	readonly revision: number;
	/** Hash over the live records that the sender holds. */
	readonly digest: number;
	/** Whether the sender asks for the addressee's own record. */
	readonly introduce: boolean;
	/** Process to probe for the sender, in a pingRequest. */
	readonly targetName: string;
	readonly targetAddress: Address;
	/** Encoded records. */
	readonly updates: readonly Buffer[];
};

const formatVersion = 1;
const roles: readonly ProcessRole[] = ['entry', 'pool', 'control'];
const healths: readonly Health[] = ['alive', 'suspect', 'failed', 'left'];
const encoder = new Encoder({useRecords: false});
const decoder = new Decoder({useRecords: false});

// Array head, kinds, three whole numbers, flags and the heads of the texts.
const fixedHeaderBytes = 40;

/** Bytes that an encoded record takes beside its own length. */
export const updateOverheadBytes = 3;

/** Returns the bytes that are left for updates. */
export function updateBudget(from: string, to: string, targetName: string, targetAddress: Address): number {
	const texts = [from, to, targetName, targetAddress];
	return maximumDatagramBytes - fixedHeaderBytes - texts.reduce((sum, text) => sum + Buffer.byteLength(text), 0);
}

/** Encodes a datagram. */
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

/** Decodes a datagram; returns undefined for one that is malformed or of another format version. */
export function decodeDatagram(bytes: Uint8Array): Datagram | undefined {
	const fields = decodeArray(bytes);
	if (fields?.[0] !== formatVersion) {
		return undefined;
	}

	const [, kindIndex, from, to, sequence, revision, digest, introduce, targetName, targetAddress, updates] = fields;
	const kind = typeof kindIndex === 'number' ? datagramKinds[kindIndex] : undefined;
	if (!kind || !areTexts([from, to, targetName, targetAddress]) || !areNumbers([sequence, revision, digest]) || !Array.isArray(updates)) {
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

/** Encodes a record. */
export function encodeGossipRecord(entry: GossipRecord): Buffer {
	return encoder.encode([
		entry.name,
		roles.indexOf(entry.role),
		entry.instance,
		entry.dataCentre,
		entry.region,
		entry.linkAddress,
		entry.gossipAddress,
		entry.incarnation,
		healths.indexOf(entry.health),
		entry.draining,
		entry.configurationRevision,
	]);
}

/** Decodes a record; returns undefined for a malformed one. */
export function decodeGossipRecord(bytes: unknown): GossipRecord | undefined {
	const fields = bytes instanceof Uint8Array ? decodeArray(bytes) : undefined;
	if (!fields) {
		return undefined;
	}

	const [name, roleIndex, instance, dataCentre, region, linkAddress, gossipAddress, incarnation, healthIndex, draining, configurationRevision] = fields;
	const role = typeof roleIndex === 'number' ? roles[roleIndex] : undefined;
	const health = typeof healthIndex === 'number' ? healths[healthIndex] : undefined;
	if (!role || !health || !areTexts([name, instance, dataCentre, region, linkAddress, gossipAddress]) || !areNumbers([incarnation, configurationRevision])) {
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
		state: publicState(health, draining === true),
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

function areTexts(values: readonly unknown[]): boolean {
	return values.every(value => typeof value === 'string');
}

function areNumbers(values: readonly unknown[]): boolean {
	return values.every(value => typeof value === 'number' && Number.isSafeInteger(value) && value >= 0);
}
