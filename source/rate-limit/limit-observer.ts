/** How an operation was admitted: with a credit, by a grant on request, or by the history of the instance while no control instance answers. */
export type AdmissionKind = 'credit' | 'grant' | 'history';

/** Receives the decisions of an operation limiter. */
export abstract class LimitObserver {
	/** Called for each admitted operation. */
	abstract operationAdmitted(customer: string, kind: AdmissionKind): void;

	/** Called for each refused operation. */
	abstract operationRefused(customer: string): void;

	/** Called for each request for operations. */
	abstract operationsRequested(count: number): void;

	/** Called for each response with granted operations. */
	abstract operationsGranted(count: number): void;
}
