import {type LogPosition} from '../database-group/types.js';
import {type Address} from '../links/address.js';
import {type Access, type TransactionStatus} from '../pool/messages.js';
import {type UnitClassification} from '../routing/statement-classification.js';
import {initialSettings, type SessionSettings} from './session-settings.js';
import {advanceSessionToken} from './session-token.js';

/** Transaction of a session: none, open at one pool, or lost and waiting for its end. */
export type SessionTransactionState =
	| {readonly kind: 'none'}
	| {
		readonly kind: 'open';
		readonly id: string;
		readonly pool: Address;
		readonly status: TransactionStatus;
		/** Access of the block; a write in a read-only block makes it a write. */
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

/** Returns the state of a new session. */
export function newSession(database: string, settings: SessionSettings = initialSettings): SessionState {
	return {database, settings, transaction: noTransaction};
}

/** Returns the status that ReadyForQuery shows. */
export function sessionStatus(state: SessionState): TransactionStatus {
	const {transaction} = state;
	if (transaction.kind === 'open') {
		return transaction.status;
	}

	return transaction.kind === 'lost' ? 'failed' : 'idle';
}

/** Returns the access with which a unit is sent. */
export function requiredAccess(state: SessionState, unit: UnitClassification): Access {
	const {transaction} = state;
	if (transaction.kind !== 'open') {
		return unit.access;
	}

	// A unit that ends the block and begins another one may write in the second.
	return transaction.access === 'write' || unit.writes || unit.begins ? 'write' : 'read';
}

/** Result of a unit that was executed. */
export type ExecutionOutcome = {
	readonly status: TransactionStatus;
	readonly point: LogPosition;
	readonly pool: Address;
	/** Id under which the unit was sent; null outside of a transaction. */
	readonly transactionId: string | null;
	readonly access: Access;
	readonly requestId: string | null;
};

/** Returns the state after a unit was executed: the token covers its point, and the block is open while the status says so. */
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

/** Returns the state after a transaction can not go on: a failed block, or none when the failed unit was to end it. */
export function stateAfterFailure(state: SessionState, ends: boolean): SessionState {
	return {...state, transaction: ends ? noTransaction : {kind: 'lost'}};
}

/** Returns the state with other settings. */
export function withSettings(state: SessionState, settings: SessionSettings): SessionState {
	return {...state, settings};
}
