import {type Milliseconds} from '../source/clock/clock.js';
import {type ResultCodeName} from '../source/result-codes/result-codes.js';

/** Kind of an operation, which also determines its table. An insert adds one row to `notice`, and a transaction adds two rows to `pair`. An update changes the one row that its session has in `register`. */
export type OperationKind = 'insert' | 'update' | 'transaction' | 'lookupNotice' | 'lookupRegister' | 'lookupPair';

/** Row that a caller received or that the group holds. */
export type HistoryRow = {readonly key: string; readonly value: string};

/** Outcome of a request as reported to the caller. */
export type Outcome =
	| {readonly kind: 'acknowledged'}
	| {readonly kind: 'rows'; readonly rows: readonly HistoryRow[]}
	/** A result code says that the request did not run. */
	| {readonly kind: 'notRun'; readonly code: ResultCodeName}
	/** A result code says that the outcome is unknown, or the connection was lost. */
	| {readonly kind: 'unknown'; readonly detail: string}
	/** Error of a backend server, which rolled the statement or transaction back. */
	| {readonly kind: 'error'; readonly detail: string};

/** Request of a caller. */
export type SentRequest = {
	/** Session, which continues over all connections of one caller. */
	readonly session: string;
	readonly entry: string;
	readonly kind: OperationKind;
	readonly key: string;
	/** Value of a write; empty for lookups. */
	readonly value: string;
	readonly requestId: string | null;
	readonly maximumAge: Milliseconds | null;
};

/** Request with its outcome. All starts and ends are numbered in one sequence (`startOrder`, `endOrder`). */
export type Operation = SentRequest & {
	readonly startOrder: number;
	readonly endOrder: number;
	readonly startedAt: Milliseconds;
	readonly endedAt: Milliseconds;
	readonly outcome: Outcome;
};

/** Configuration revision that a process reported. A restarted process counts as another process; samples are in the order of the reports. */
export type RevisionSample = {readonly process: string; readonly revision: number};

/** Content of the group's tables after the scenario, when all injected faults have ended. */
export type FinalContent = Readonly<Record<'notice' | 'register' | 'pair', readonly HistoryRow[]>>;

/** Input of `checkHistory`. */
export type RecordedHistory = {
	readonly operations: readonly Operation[];
	readonly revisions: readonly RevisionSample[];
	readonly finalContent: FinalContent;
};

/** Returns the value that a write stores under a key; it identifies the request. */
export function writtenValue(key: string, part: string): string {
	return `${key}/${part}`;
}

/** Returns the sequence number in the value of a register, or -1 if the value is not one of that register. */
export function registerSequence(key: string, value: string): number {
	const match = /^(?<key>.+)\/(?<sequence>\d+)$/v.exec(value);
	return match?.groups?.key === key ? Number(match.groups.sequence) : -1;
}

/** Records operations and revisions while a scenario runs. */
export class History {
	readonly operations: Operation[] = [];
	readonly revisions: RevisionSample[] = [];
	/** Number of operations before the end of the load; undefined until then. */
	loadOperations: number | undefined;
	#order = 0;

	/** Runs a request and records it with its outcome. */
	async record(sent: SentRequest, request: () => Promise<Outcome>): Promise<Outcome> {
		const startOrder = this.#nextOrder();
		const startedAt = performance.now();
		const outcome = await request();
		this.operations.push({
			...sent, startOrder, endOrder: this.#nextOrder(), startedAt, endedAt: performance.now(), outcome,
		});
		return outcome;
	}

	/** Marks the end of the load; later operations only check that every entry serves requests. */
	endLoad(): void {
		this.loadOperations = this.operations.length;
	}

	/** Records a configuration revision that a process reported. */
	recordRevision(process: string, revision: number): void {
		this.revisions.push({process, revision});
	}

	#nextOrder(): number {
		return ++this.#order;
	}
}
