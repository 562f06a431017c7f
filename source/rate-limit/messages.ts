import {type Milliseconds} from '../clock/clock.js';

/** Result of a request to admit one operation of a customer. */
export type OperationAdmission = {readonly admitted: true} | {readonly admitted: false; readonly retryAfter: Milliseconds};

/** Operations of one customer at an entry instance: those admitted within the window, and the unused part of its credit. */
export type CustomerUsage = readonly [customer: string, used: number, credit: number];

/** Usage report of an entry instance, part of the request `watch`. It states counts, not increments, so that a lost or repeated report changes nothing. */
export type UsageReport = {
	/** Identifies the process, so that the operations of an earlier process of the same name still count. */
	readonly runId: string;
	/** Number of the report, which increases with each report of the process. */
	readonly number: number;
	/** Whether the report replaces all earlier ones; otherwise it contains what changed since the last answered request. */
	readonly isComplete: boolean;
	readonly counts: readonly CustomerUsage[];
	/** Requests `requestOperations` with lower numbers have ended; operations that they granted are in the counts or were never used. */
	readonly firstOpenRequest: number;
};

/** Operations that an entry instance may admit without a request until the next response, and the aimed number of operations relative to the counted ones. */
export type CustomerCredit = readonly [customer: string, credit: number, headroom: number];

/** Answer to a usage report, part of the response to `watch`. */
export type UsageResponse = {
	/** Customers with a credit, and customers with a headroom below `maximumHeadroom`. All others have no credit and at least this headroom. */
	readonly credits: readonly CustomerCredit[];
	/** Whether the receiver lacks the earlier reports of the sender, so that the next report must be complete. */
	readonly wantsCompleteUsage: boolean;
};

/** Request `requestOperations`, by which an entry instance, or a control instance on its behalf, asks for operations of a customer. */
export type OperationsRequest = {
	/** Name of the control instance that forwards the request; undefined when an entry instance asks. */
	readonly forwardedBy: string | undefined;
	/** Process that asks: of the entry instance, or of the control instance that forwards the request. */
	readonly runId: string;
	/** Number of the request, which increases with each request of the process. */
	readonly number: number;
	readonly customer: string;
	readonly count: number;
};

/** Response to `requestOperations`. */
export type OperationsResponse = {
	readonly granted: number;
	/** Time after which the operations that were not granted may be sent again. */
	readonly retryAfter: Milliseconds;
	/** Time for which the entry instance refuses operations of the customer without asking. 0 when all were granted, or when the others are not refused but may be asked for again shortly. */
	readonly pause: Milliseconds;
};

/** Process of an entry instance that began to watch a control instance, with the number and the first open request of the report with which it began. */
export type JoinedEntry = readonly [runId: string, number: number, firstOpenRequest: number];

/** Usage of the entry instances that watch a control instance, by customer. */
export type SharedSums = {
	readonly name: string;
	/** Identifies the process of the control instance. */
	readonly runId: string;
	/** Number of entry instances that watched the control instance recently. */
	readonly watchingCount: number;
	/** The sums contain all changes after this version of the receiver's knowledge. */
	readonly baseVersion: number;
	/** Version of the sums. */
	readonly version: number;
	readonly sums: ReadonlyArray<readonly [customer: string, sum: number]>;
	/** Entry instances that began to watch the sender after the base version. The receiver ends their earlier reports to itself, which would count twice. */
	readonly joined: readonly JoinedEntry[];
	/** Process and version of the receiver's sums that the sender knows. */
	readonly knownRunId: string;
	readonly knownVersion: number;
	/** Forwarded requests of the sender with lower numbers have ended; operations that they granted are in the sums or were never used. */
	readonly firstOpenRequest: number;
};
