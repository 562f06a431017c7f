import {type Milliseconds} from '../source/clock/clock.js';
import {type ResultCodeName} from '../source/result-codes/result-codes.js';

/** Table that an operation uses. Each insert adds one row to `notice`, each transaction two rows to `pair`, and `register` has one row for each session. */
export type OperationKind = 'insert' | 'update' | 'transaction' | 'lookupNotice' | 'lookupRegister' | 'lookupPair';

/** One row as a caller or the group returns it. */
export type HistoryRow = {readonly key: string; readonly value: string};

/** What a caller was told. */
export type Outcome =
	| {readonly kind: 'acknowledged'}
	| {readonly kind: 'rows'; readonly rows: readonly HistoryRow[]}
	/** Answered with a numbered code that says that the request did not run. */
	| {readonly kind: 'notRun'; readonly code: ResultCodeName}
	/** Answered with a numbered code of unknown outcome, or the connection was lost. */
	| {readonly kind: 'unknown'; readonly detail: string}
	/** Error of a backend server, which rolled the statement or transaction back. */
	| {readonly kind: 'error'; readonly detail: string};

/** What a caller sends. */
export type Sent = {
	/** The same over all connections of one caller. */
	readonly session: string;
	readonly entry: string;
	readonly kind: OperationKind;
	readonly key: string;
	/** Value of a write; the empty text for lookups. */
	readonly value: string;
	readonly requestId: string | null;
	readonly maximumAge: Milliseconds | null;
};

/** One request with its answer. Orders are unique and increase over the whole history. */
export type Operation = Sent & {
	readonly startOrder: number;
	readonly endOrder: number;
	readonly startedAt: Milliseconds;
	readonly endedAt: Milliseconds;
	readonly outcome: Outcome;
};

/** Configuration revision that one run of a process reported; samples are in the order of the reports. */
export type RevisionSample = {readonly process: string; readonly revision: number};

/** Content of the group after repair. */
export type FinalContent = Readonly<Record<'notice' | 'register' | 'pair', readonly HistoryRow[]>>;

/** All that a check needs. */
export type RecordedHistory = {
	readonly operations: readonly Operation[];
	readonly revisions: readonly RevisionSample[];
	readonly finalContent: FinalContent;
};

/** Returns the value that the write of a key carries; it tells the request. */
export function valueOf(key: string, part: string): string {
	return `${key}/${part}`;
}

/** Returns the sequence number within the value of a register, or -1 for another value. */
export function registerSequence(key: string, value: string): number {
	const match = /^(?<key>.+)\/(?<sequence>\d+)$/v.exec(value);
	return match?.groups?.key === key ? Number(match.groups.sequence) : -1;
}

/** Records operations in the order of their events. */
export class History {
	readonly operations: Operation[] = [];
	readonly revisions: RevisionSample[] = [];
	/** Number of operations under load, once the load has ended. */
	loadOperations: number | undefined;
	#order = 0;

	/** Runs a request and records it with its answer. */
	async run(sent: Sent, request: () => Promise<Outcome>): Promise<Outcome> {
		const startOrder = this.#nextOrder();
		const startedAt = performance.now();
		const outcome = await request();
		this.operations.push({
			...sent, startOrder, endOrder: this.#nextOrder(), startedAt, endedAt: performance.now(), outcome,
		});
		return outcome;
	}

	/** Takes note that the load has ended; later operations only check that every entry serves. */
	endLoad(): void {
		this.loadOperations = this.operations.length;
	}

	sampleRevision(process: string, revision: number): void {
		this.revisions.push({process, revision});
	}

	#nextOrder(): number {
		return ++this.#order;
	}
}
