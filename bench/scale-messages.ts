import {type DatagramCounts} from '../source/membership/udp-transport.js';

/** Settings of one benchmark process. */
export type NodeSettings = {
	readonly name: string;
	readonly address: string;
	/** Gossip addresses of the processes to contact first. */
	readonly seeds: readonly string[];
	/** Link address of the stand-in for control, from which the process fetches the configuration. */
	readonly controlAddress: string;
	/** Seed of the random number generator. */
	readonly seed: number;
	/** Whether the process holds a configuration of 8,200 databases from the start instead of fetching one from control. */
	readonly largeConfiguration: boolean;
};

/** Commands of the benchmark to a process. For `loss`, `rate` is the fraction of datagrams to drop. */
export type NodeCommand =
	| {readonly kind: 'start'; readonly settings: NodeSettings}
	| {readonly kind: 'usage'}
	| {readonly kind: 'refresh'}
	| {readonly kind: 'loss'; readonly rate: number};

/** Resources that a process has used since its start. */
export type ResourceUsage = DatagramCounts & {
	readonly kind: 'usage';
	readonly processorMicroseconds: number;
	readonly residentBytes: number;
	/** Bytes sent over links, the TCP connections between processes. */
	readonly sentLinkBytes: number;
	readonly liveRecords: number;
	readonly revision: number;
};

/** Reports of a process to the benchmark; times are from `epochTime`. */
export type NodeReport =
	| ResourceUsage
	| {readonly kind: 'ready'}
	| {readonly kind: 'revision'; readonly revision: number; readonly time: number}
	| {readonly kind: 'state'; readonly name: string; readonly state: string; readonly time: number};

/** Returns the milliseconds since the Unix epoch, comparable between processes. */
export function epochTime(): number {
	return performance.timeOrigin + performance.now();
}
