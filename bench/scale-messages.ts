import {type DatagramCounts} from '../source/membership/udp-transport.js';

/** What one process of the benchmark is started with. */
export type NodeSettings = {
	readonly name: string;
	readonly address: string;
	readonly seeds: readonly string[];
	readonly origin: string;
	readonly seed: number;
	/** Whether the process holds a configuration of the design scale instead of asking the origin. */
	readonly largeConfiguration: boolean;
};

/** Orders of the benchmark to a process. */
export type NodeOrder =
	| {readonly kind: 'start'; readonly settings: NodeSettings}
	| {readonly kind: 'usage'}
	| {readonly kind: 'refresh'}
	| {readonly kind: 'loss'; readonly share: number};

/** Resources that a process used since its start. */
export type Usage = DatagramCounts & {
	readonly kind: 'usage';
	readonly processorMicroseconds: number;
	readonly residentBytes: number;
	readonly linkBytes: number;
	readonly liveRecords: number;
	readonly revision: number;
};

/** Reports of a process to the benchmark; times are in milliseconds of the machine's clock. */
export type NodeReport =
	| Usage
	| {readonly kind: 'ready'}
	| {readonly kind: 'revision'; readonly revision: number; readonly time: number}
	| {readonly kind: 'state'; readonly name: string; readonly state: string; readonly time: number};

/** Returns the machine's time in milliseconds, comparable between processes. */
export function machineTime(): number {
	return performance.timeOrigin + performance.now();
}
