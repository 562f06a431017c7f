import {boundDuration} from '../bounds/external-numbers.js';
import {type Milliseconds} from '../clock/clock.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {parseSessionToken, type SessionToken} from './session-token.js';

/** Session settings that the proxy itself keeps. The request id applies to the next statement or transaction only. */
export type SessionSettings = {
	readonly token: SessionToken | null;
	/** Accepted age of the data that reads see; null when reads must see all earlier writes of the session. */
	readonly maximumAge: Milliseconds | null;
	readonly requestId: string | null;
};

/** Settings of a new session. */
export const initialSettings: SessionSettings = {token: null, maximumAge: null, requestId: null};

const proxySettingPrefix = 'buckthornhitch.';
const maximumRequestIdLength = 128;
const requestIdPattern = /^[\w.:\-]+$/v;
const durationPattern = /^(?<count>\d{1,9})(?<unit>ms|s|min|h)?$/v;
const unitMilliseconds: Readonly<Record<string, Milliseconds>> = {
	ms: 1, s: 1000, min: 60_000, h: 3_600_000,
};

/** Returns whether the setting belongs to the proxy rather than to the database. */
export function isProxySetting(name: string): boolean {
	return name.startsWith(proxySettingPrefix);
}

/** Returns the settings with one proxy setting changed; a null value restores its default. Throws invalidSetting or tokenForOtherDatabase. */
export function changeProxySetting(settings: SessionSettings, database: string, name: string, value: string | null): SessionSettings {
	switch (name.slice(proxySettingPrefix.length)) {
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
			throw unknownProxySettingError();
		}
	}
}

function unknownProxySettingError(): BuckthornhitchError {
	return new BuckthornhitchError('invalidSetting', `Settings with the prefix ${proxySettingPrefix} are token, max_age and request_id.`);
}

/** Parses the maximum age of data, for example `5s`. Returns null for zero or an empty text, which set no maximum. Throws invalidSetting. */
export function parseMaximumAge(text: string): Milliseconds | null {
	if (text === '') {
		return null;
	}

	const match = durationPattern.exec(text.replaceAll(' ', ''));
	const count = Number(match?.groups?.count);
	if (!match || (count > 0 && !match.groups?.unit)) {
		throw new BuckthornhitchError('invalidSetting', 'buckthornhitch.max_age must be a duration such as 5s or 200ms, or 0.');
	}

	return count === 0 ? null : boundDuration(count * unitMilliseconds[match.groups?.unit ?? 'ms']);
}

/** Validates a request id. Returns null for an empty text. Throws invalidSetting. */
export function parseRequestId(text: string): string | null {
	if (text.length > maximumRequestIdLength || (text !== '' && !requestIdPattern.test(text))) {
		throw new BuckthornhitchError('invalidSetting', `buckthornhitch.request_id must have at most ${maximumRequestIdLength} letters, digits, "_", "-", "." or ":".`);
	}

	return text === '' ? null : text;
}

const anyValuePattern = /^/v;
const offPattern = /^(?:off|false|no|0)$/iv;
const onPattern = /^(?:on|true|yes|1)$/iv;
const zeroDurationPattern = /^0(?:ms|s|min)?$/v;

// Values that have no effect on results or that equal the defaults of a new connection. Others are refused, because sessions share connections and a change would affect the results of other sessions.
const ignoredSettingPatterns: ReadonlyMap<string, RegExp> = new Map([
	['application_name', anyValuePattern],
	['bytea_output', /^hex$/iv],
	['check_function_bodies', onPattern],
	['client_encoding', /^(?:utf-?8|unicode)$/iv],
	['client_min_messages', anyValuePattern],
	['datestyle', /^iso(?:, *mdy)?$/iv],
	['default_transaction_isolation', /^read committed$/iv],
	['default_transaction_read_only', offPattern],
	['extra_float_digits', /^[123]$/v],
	['fallback_application_name', anyValuePattern],
	['idle_in_transaction_session_timeout', zeroDurationPattern],
	['intervalstyle', /^postgres$/iv],
	['lock_timeout', zeroDurationPattern],
	['role', /^none$/iv],
	['row_security', onPattern],
	['search_path', /^"?\$user"?, *public$/v],
	['standard_conforming_strings', onPattern],
	['statement_timeout', zeroDurationPattern],
	['synchronous_commit', onPattern],
	['timezone', /^(?:utc|gmt|etc\/utc|uct|zulu|0|\+00(?::00)?)$/iv],
]);

/** Accepts a database setting whose value has no effect on results. Throws unsupportedFeature for any other. */
export function checkIgnoredSetting(name: string, value: string | null): void {
	const pattern = ignoredSettingPatterns.get(name);
	if (value !== null && !pattern?.test(value)) {
		const reason = pattern ? 'Only the default value is allowed' : 'It is not among the settings that a session may set';
		throw new BuckthornhitchError('unsupportedFeature', `Session setting "${name}": ${reason}, since connections are shared; use SET LOCAL in a transaction.`);
	}
}

/** Returns the value of a proxy setting as SHOW displays it. Throws invalidSetting for an unknown name. */
export function formatProxySetting(settings: SessionSettings, name: string, formatToken: (token: SessionToken) => string): string {
	switch (name.slice(proxySettingPrefix.length)) {
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
			throw unknownProxySettingError();
		}
	}
}

const commentPattern = /^[ \t\n\r\f\v]*\/\*[ \t]*buckthornhitch(?<body>[ \t][^*\/]*)\*\//v;

/** Returns the body of the comment with proxy settings at the start of a statement, or undefined if there is none. */
export function leadingComment(text: string): string | undefined {
	return commentPattern.exec(text)?.groups?.body;
}

/** Returns the settings of a session, overridden for one statement by the body of its leading comment. Throws invalidSetting or tokenForOtherDatabase. */
export function settingsFromComment(settings: SessionSettings, database: string, body: string): SessionSettings {
	let changed = settings;
	for (const part of body.trim().split(/[ \t\n\r]+/v)) {
		const separator = part.indexOf('=');
		if (separator === -1) {
			throw new BuckthornhitchError('invalidSetting', 'A leading buckthornhitch comment holds name=value pairs.');
		}

		changed = changeProxySetting(changed, database, proxySettingPrefix + part.slice(0, separator), part.slice(separator + 1));
	}

	return changed;
}
