import {parseWholeNumber} from '../bounds/external-numbers.js';
import {initialLogPosition, laterLogPosition} from '../database-group/log-position-rules.js';
import {type LogPosition} from '../database-group/types.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';

/** Log position of a database that every read of the session must include. */
export type SessionToken = {
	readonly database: string;
	readonly point: LogPosition;
};

const tokenPattern = /^(?<database>[^@]+)@(?<term>\d{1,15})\.(?<position>\d{1,15})$/v;

/** Returns the text form of a token: `database@term.position`. */
export function formatSessionToken(token: SessionToken): string {
	return `${token.database}@${token.point.term}.${token.point.position}`;
}

/** Parses a token of the given database. Throws invalidSetting or tokenForOtherDatabase. */
export function parseSessionToken(text: string, database: string): SessionToken {
	const match = tokenPattern.exec(text);
	const term = parseWholeNumber(match?.groups?.term);
	const position = parseWholeNumber(match?.groups?.position);
	if (!match?.groups || term === undefined || position === undefined) {
		throw new BuckthornhitchError('invalidSetting', 'buckthornhitch.token must have the form database@term.position.');
	}

	if (match.groups.database !== database) {
		throw new BuckthornhitchError('tokenForOtherDatabase', `The token belongs to "${match.groups.database}", the session uses "${database}".`);
	}

	return {database, point: {term, position}};
}

/** Returns a token with the given log position, or with that of the given token if it is later. */
export function advanceSessionToken(token: SessionToken | null, database: string, point: LogPosition): SessionToken {
	return {database, point: laterLogPosition(token?.point ?? initialLogPosition, point)};
}
