/** Report of an entry instance in transit. It may be lost, late or repeated; a later report of the same process replaces it, since a link delivers in order. */
export type ReportMessage = {
	readonly control: number;
	readonly number: number;
	/** Operations admitted in the window. */
	readonly used: number;
	/** Operations admitted since the last report was sent. */
	readonly increment: number;
	readonly firstOpenRequest: number;
};

/** Request for operations in transit, which may be lost, late or repeated once. */
export type RequestMessage = {
	readonly control: number;
	readonly number: number;
	readonly timesHandled: number;
	/** Operations granted by the answer. */
	readonly granted: number;
};

/** One process of an entry instance. */
export type EntryModel = {
	readonly isDead: boolean;
	/** Control instance that the process watches. */
	readonly control: number;
	readonly used: number;
	/** Number of the open request, or 0. */
	readonly openRequest: number;
	readonly nextRequest: number;
	readonly reportNumber: number;
	/** Number of times that the process has begun to watch the other control instance. */
	readonly changeCount: number;
	readonly report: ReportMessage | null;
	readonly request: RequestMessage | null;
};

/** What a control instance counts for one process of an entry instance. */
export type HolderModel = {
	/** Whether reports of the process are kept here. */
	readonly isEntry: boolean;
	readonly used: number;
	readonly reportNumber: number;
	/** Number and first open request of the report with which the process began to report here. */
	readonly joined: readonly [number: number, firstOpenRequest: number];
	/** Granted operations that no report contains yet, as request number and count. */
	readonly grants: ReadonlyArray<readonly [request: number, count: number]>;
};

/** Sum of a control instance in transit to the other one. */
export type ShareMessage = {
	readonly sum: number;
	readonly joined: ReadonlyArray<readonly [entry: number, number: number, firstOpenRequest: number]>;
};

/** One control instance, and what it knows about the other one. */
export type ControlModel = {
	readonly condition: 'running' | 'frozen' | 'down';
	/** Identifies the process. */
	readonly run: number;
	/** Whether operations may be granted; not after a start or a freeze until the other instance was heard or could have been. */
	readonly isReady: boolean;
	readonly holders: readonly HolderModel[];
	readonly hearsPeer: boolean;
	readonly peerRun: number;
	readonly peerSum: number;
	/** Own sum that the other instance acknowledged. */
	readonly acknowledgedSum: number;
	readonly share: ShareMessage | null;
};

/** State of two control instances and the processes of the entry instances. */
export type LimitState = {
	readonly controls: readonly ControlModel[];
	readonly entries: readonly EntryModel[];
	readonly isPartitioned: boolean;
	readonly faultCount: number;
};

/** Step of an entry instance or of the messages that it sends. */
export type EntryStepType = 'ask' | 'handleRequest' | 'receiveAnswer' | 'giveUp' | 'sendReport' | 'deliverReport' | 'watchOther' | 'restart';

/** Step of a control instance or of the message that it sends. */
export type ControlStepType = 'sendShare' | 'deliverShare' | 'deliverShareWithoutAnswer' | 'stopHearing' | 'becomeReady' | 'freeze' | 'resume' | 'stop' | 'start';

/** One step of an instance or of the network. */
export type LimitStep =
	| {readonly type: EntryStepType; readonly entry: number}
	| {readonly type: ControlStepType; readonly control: number}
	| {readonly type: 'partition'};

/** Returns an entry instance without operations. */
export function createEntry(control: number): EntryModel {
	return {
		isDead: false, control, used: 0, openRequest: 0, nextRequest: 1, reportNumber: 0, changeCount: 0, report: null, request: null,
	};
}

const emptyHolder: HolderModel = {
	isEntry: false, used: 0, reportNumber: 0, joined: [0, 0], grants: [],
};

/** Returns a control instance that was just started. */
export function createControl(run: number, entryCount: number): ControlModel {
	return {
		condition: 'running', run, isReady: false, holders: Array.from({length: entryCount}, () => emptyHolder), hearsPeer: false, peerRun: 0, peerSum: 0, acknowledgedSum: 0, share: null,
	};
}

/** Returns the operations that a control instance counts. */
export function countedOperations({holders}: ControlModel): number {
	let total = 0;
	for (const {used, grants} of holders) {
		total += used;
		for (const [, count] of grants) {
			total += count;
		}
	}

	return total;
}

/** Returns the state with a changed control instance. */
export function withControl(state: LimitState, id: number, change: Partial<ControlModel>): LimitState {
	return {...state, controls: state.controls.with(id, {...state.controls[id], ...change})};
}

/** Returns the state with a changed entry instance. */
export function withEntry(state: LimitState, id: number, change: Partial<EntryModel>): LimitState {
	return {...state, entries: state.entries.with(id, {...state.entries[id], ...change})};
}

/** Returns the holder without the grants of requests before the first open one. */
export function withoutEndedGrants(holder: HolderModel, firstOpenRequest: number): HolderModel {
	return {...holder, grants: holder.grants.filter(([request]) => request >= firstOpenRequest)};
}
