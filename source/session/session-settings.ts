import {type Milliseconds} from '../clock/clock.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {parseSessionToken, type SessionToken} from './session-token.js';

/** Settings of a session that are its own; the request id serves the next statement or transaction. */
export type SessionSettings = {
	readonly token: SessionToken | null;
	/** Null when reads need the session's own writes. */
	readonly maximumAge: Milliseconds | null;
	readonly requestId: string | null;
};

/** Settings at the start of a session. */
export const initialSettings: SessionSettings = {token: null, maximumAge: null, requestId: null};

const ownPrefix = 'buckthornhitch.';
const longestRequestId = 128;
const requestIdPattern = /^[\w.:\-]+$/v;
const durationPattern = /^(?<count>\d{1,9})(?<unit>ms|s|min|h)?$/v;
const unitMilliseconds: Readonly<Record<string, Milliseconds>> = {
	ms: 1, s: 1000, min: 60_000, h: 3_600_000,
};

/** Returns whether the entry itself keeps and answers the setting. */
export function isProxySetting(name: string): boolean {
	return name.startsWith(ownPrefix);
}

/** Returns the settings after one of the own settings changed; null restores the default. Throws invalidSetting or tokenForOtherDatabase. */
export function changeProxySetting(settings: SessionSettings, database: string, name: string, value: string | null): SessionSettings {
	switch (name.slice(ownPrefix.length)) {
		case 'token': {
			return {...settings, token: value ? parseSessionToken(value, database) : null};
		}

		case 'max_age': {
			return {...settings, maximumAge: parseMaximumAge(value ?? '')};
		}

		case 'request_id': {
			return {...settings, requestId: parseRequestId(value ?? '')};
		}

		default: {
			throw unknownOwnSetting();
		}
	}
}

function unknownOwnSetting(): BuckthornhitchError {
	return new BuckthornhitchError('invalidSetting', `Settings with the prefix ${ownPrefix} are token, max_age and request_id.`);
}

/** Parses a stated maximum age, for example `5s`. Zero and an empty text mean none. Throws invalidSetting. */
export function parseMaximumAge(text: string): Milliseconds | null {
	if (text === '') {
		return null;
	}

	const match = durationPattern.exec(text.replaceAll(' ', ''));
	const count = Number(match?.groups?.count);
	if (!match || (count > 0 && !match.groups?.unit)) {
		throw new BuckthornhitchError('invalidSetting', 'buckthornhitch.max_age must be a duration such as 5s or 200ms, or 0.');
	}

	return count === 0 ? null : count * unitMilliseconds[match.groups?.unit ?? 'ms'];
}

/** Checks a request id; an empty text means none. Throws invalidSetting. */
export function parseRequestId(text: string): string | null {
	if (text.length > longestRequestId || (text !== '' && !requestIdPattern.test(text))) {
		throw new BuckthornhitchError('invalidSetting', `buckthornhitch.request_id must have at most ${longestRequestId} letters, digits, "_", "-", "." or ":".`);
	}

	return text === '' ? null : text;
}

const anyValue = /^/v;
const off = /^(?:off|false|no|0)$/iv;
const on = /^(?:on|true|yes|1)$/iv;
const none = /^0(?:ms|s|min)?$/v;

// Only values that leave results as they are on a fresh connection, since connections are shared between sessions.
const harmlessValues: ReadonlyMap<string, RegExp> = new Map([
	['application_name', anyValue],
	['bytea_output', /^hex$/iv],
	['check_function_bodies', on],
	['client_encoding', /^(?:utf-?8|unicode)$/iv],
	['client_min_messages', anyValue],
	['datestyle', /^iso(?:, *mdy)?$/iv],
	['default_transaction_isolation', /^read committed$/iv],
	['default_transaction_read_only', off],
	['extra_float_digits', /^[123]$/v],
	['fallback_application_name', anyValue],
	['idle_in_transaction_session_timeout', none],
	['intervalstyle', /^postgres$/iv],
	['lock_timeout', none],
	['role', /^none$/iv],
	['row_security', on],
	['search_path', /^"?\$user"?, *public$/v],
	['standard_conforming_strings', on],
	['statement_timeout', none],
	['synchronous_commit', on],
	['timezone', /^(?:utc|gmt|etc\/utc|uct|zulu|0|\+00(?::00)?)$/iv],
]);

/** Accepts a setting that has no effect. Throws unsupportedFeature for one that would change results. */
export function checkIgnoredSetting(name: string, value: string | null): void {
	const pattern = harmlessValues.get(name);
	if (value !== null && !pattern?.test(value)) {
		const reason = pattern ? 'Only the default value is allowed' : 'It is not among the settings that a session may set';
		throw new BuckthornhitchError('unsupportedFeature', `Session setting "${name}": ${reason}, since connections are shared; use SET LOCAL in a transaction.`);
	}
}

/** Returns the text of an own setting as SHOW displays it. Throws invalidSetting for an unknown name. */
export function formatProxySetting(settings: SessionSettings, name: string, formatToken: (token: SessionToken) => string): string {
	switch (name.slice(ownPrefix.length)) {
		case 'token': {
			return settings.token ? formatToken(settings.token) : '';
		}

		case 'max_age': {
			return settings.maximumAge === null ? '0' : `${settings.maximumAge}ms`;
		}

		case 'request_id': {
			return settings.requestId ?? '';
		}

		default: {
			throw unknownOwnSetting();
		}
	}
}

const commentPattern = /^[ \t\n\r\f\v]*\/\*[ \t]*buckthornhitch(?<body>[ \t][^*\/]*)\*\//v;

/** Returns the leading buckthornhitch comment of a statement, or undefined. */
export function leadingComment(text: string): string | undefined {
	return commentPattern.exec(text)?.groups?.body;
}

/** Returns the settings for one statement as stated by the body of its leading comment. Throws invalidSetting or tokenForOtherDatabase. */
export function settingsFromComment(settings: SessionSettings, database: string, body: string): SessionSettings {
	let changed = settings;
	for (const part of body.trim().split(/[ \t\n\r]+/v)) {
		const separator = part.indexOf('=');
		if (separator === -1) {
			throw new BuckthornhitchError('invalidSetting', 'A leading buckthornhitch comment holds name=value pairs.');
		}

		changed = changeProxySetting(changed, database, ownPrefix + part.slice(0, separator), part.slice(separator + 1));
	}

	return changed;
}
