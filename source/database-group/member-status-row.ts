import {type TextRow} from '../postgres-protocol/backend-rows.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type MemberStatus} from './types.js';

/** Query that returns the status of a member. */
export const statusQuery = 'SELECT * FROM group_status()';

/** Parses the row returned by a group function. Throws malformedMessage. */
export function parseMemberStatus(row: TextRow | undefined): MemberStatus {
	if (!row) {
		throw new BuckthornhitchError('malformedMessage', 'A group function returned no row.');
	}

	return {
		member: textOf(row, 'member'),
		promisedTerm: numberOf(row, 'promised_term'),
		logTerm: numberOf(row, 'log_term'),
		receivedPosition: numberOf(row, 'received_position'),
		appliedPosition: numberOf(row, 'applied_position'),
		role: textOf(row, 'role') === 'primary' ? 'primary' : 'replica',
		primaryTerm: numberOf(row, 'primary_term'),
		primaryMember: row.primary_member ?? '',
		acceptingWrites: trueTexts.has(textOf(row, 'accepting_writes')),
		slots: numberOf(row, 'slots'),
		connectionLimit: numberOf(row, 'connection_limit'),
		connections: numberOf(row, 'connections'),
		leaseHolder: row.lease_holder ?? '',
		leaseRemaining: numberOf(row, 'lease_remaining'),
	};
}

const trueTexts: ReadonlySet<string> = new Set(['t', 'true']);

function textOf(row: TextRow, column: string): string {
	const value = row[column];
	if (typeof value !== 'string') {
		throw new BuckthornhitchError('malformedMessage', `A group function returned no column ${column}.`);
	}

	return value;
}

function numberOf(row: TextRow, column: string): number {
	const value = Number(textOf(row, column));
	if (!Number.isFinite(value)) {
		throw new BuckthornhitchError('malformedMessage', `A group function returned no number in column ${column}.`);
	}

	return value;
}
