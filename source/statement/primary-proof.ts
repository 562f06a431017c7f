import {type StatementReply} from './types.js';

/**
Returns whether the reply to the BEGIN of a write transaction proves that the member was the primary of its service after the BEGIN was sent. Only a primary opens such a transaction.

A reply that does not show the open transaction belongs to another statement: replies carry no id, and the one to the BEGIN may be lost.
*/
export function provesPrimary(beginReply: StatementReply): boolean {
	return beginReply.outcome === 'done' && beginReply.transaction === 'open';
}
