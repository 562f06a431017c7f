import {type LogPosition} from '../database-group/types.js';
import {type Address} from '../links/address.js';
import {type Access, type TransactionStatus} from '../pool/messages.js';
import {type UnitClassification} from '../routing/statement-classification.js';
import {initialSettings, type SessionSettings} from './session-settings.js';
import {advanceSessionToken} from './session-token.js';

/** Transaction state of a session: no transaction, one open in a pool, or one that was lost and that the caller has not ended yet. */
export type SessionTransactionState =
	| {readonly kind: 'none'}
	| {
		readonly kind: 'open';
		readonly id: string;
		readonly pool: Address;
		readonly status: TransactionStatus;
		/** Access of the transaction; read access becomes write access when a statement of the transaction writes. */
		readonly access: Access;
		readonly requestId: string | null;
	}
	| {readonly kind: 'lost'};

/** State of one caller's session. */
export type SessionState = {
	readonly database: string;
	readonly settings: SessionSettings;
	readonly transaction: SessionTransactionState;
};

const noTransaction: SessionTransactionState = {kind: 'none'};

/** Returns the initial state of a session. */
export function newSession(database: string, settings: SessionSettings = initialSettings): SessionState {
	return {database, settings, transaction: noTransaction};
}

/** Returns the transaction status to report in ReadyForQuery. */
export function sessionStatus(state: SessionState): TransactionStatus {
	const {transaction} = state;
	if (transaction.kind === 'open') {
		return transaction.status;
	}

	return transaction.kind === 'lost' ? 'failed' : 'idle';
}

/** Returns the access that a forwarding unit (the statements that are forwarded and answered together) needs in the current state. */
export function requiredAccess(state: SessionState, unit: UnitClassification): Access {
	const {transaction} = state;
	if (transaction.kind !== 'open') {
		return unit.access;
	}

	// A unit that ends the transaction and begins another one may write in the second.
	return transaction.access === 'write' || unit.writes || unit.begins ? 'write' : 'read';
}

/** Outcome of a forwarding unit that was executed. */
export type ExecutionOutcome = {
	readonly status: TransactionStatus;
	readonly point: LogPosition;
	readonly pool: Address;
	/** Id of the transaction in which the unit ran; null outside a transaction. */
	readonly transactionId: string | null;
	readonly access: Access;
	readonly requestId: string | null;
};

/** Returns the state after a forwarding unit was executed. The session token advances to its log position, and the transaction stays open unless the status is idle. */
export function stateAfterExecution(state: SessionState, outcome: ExecutionOutcome): SessionState {
	const token = advanceSessionToken(state.settings.token, state.database, outcome.point);
	const {status, pool, access, requestId, transactionId: id} = outcome;
	const transaction: SessionTransactionState = status === 'idle' || id === null
		? noTransaction
		: {
			kind: 'open', id, pool, status, access, requestId,
		};
	return {...state, settings: {...state.settings, token}, transaction};
}

/** Returns the state after the open transaction was lost because a forwarding unit failed. If the unit would have ended the transaction (`endsTransaction`), no transaction remains; otherwise the session reports a failed transaction until the caller ends it. */
export function stateAfterFailure(state: SessionState, endsTransaction: boolean): SessionState {
	return {...state, transaction: endsTransaction ? noTransaction : {kind: 'lost'}};
}

/** Returns the state with its settings replaced. */
export function withSettings(state: SessionState, settings: SessionSettings): SessionState {
	return {...state, settings};
}
