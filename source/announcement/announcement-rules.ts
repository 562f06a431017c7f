import {z} from 'zod';
import {parseAddress} from '../links/address.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type ResultCodeName} from '../result-codes/result-codes.js';
import {type Announcement} from './types.js';

const maximumTextLength = 128;

const bodySchema = z.strictObject({
	address: z.string().max(maximumTextLength),
	dataCentre: z.string().min(1).max(maximumTextLength),
	leaving: z.boolean(),
});

const pathPattern = /^\/backend-servers\/(?<database>[^\/]+)\/(?<member>[^\/]+)$/v;

/** Returns the database and the member named by the URL path of an announcement, or undefined for any other path. Throws invalidSetting. */
export function parseAnnouncementPath(path: string): Pick<Announcement, 'database' | 'member'> | undefined {
	const match = pathPattern.exec(path);
	if (!match?.groups) {
		return undefined;
	}

	return {database: decodeName(match.groups.database), member: decodeName(match.groups.member)};
}

function decodeName(text: string): string {
	let name = '';
	try {
		name = decodeURIComponent(text);
	} catch {
		// The name stays empty and is rejected below.
	}

	if (name === '' || name.length > maximumTextLength) {
		throw new BuckthornhitchError('invalidSetting', `Names have 1 to ${maximumTextLength} characters.`);
	}

	return name;
}

/** Parses and validates the JSON body of an announcement. Throws invalidSetting. */
export function parseAnnouncementBody(pathNames: Pick<Announcement, 'database' | 'member'>, text: string): Announcement {
	let body: unknown;
	try {
		body = JSON.parse(text);
	} catch (error) {
		throw new BuckthornhitchError('invalidSetting', 'The body is not valid JSON.', {cause: error});
	}

	const checked = bodySchema.safeParse(body);
	if (!checked.success) {
		const issues = checked.error.issues.map(({path, message}) => `${path.join('.') || 'body'}: ${message}`);
		throw new BuckthornhitchError('invalidSetting', issues.join('; '));
	}

	parseAddress(checked.data.address);
	return {...pathNames, ...checked.data};
}

const statusByCode: Readonly<Partial<Record<ResultCodeName, number>>> = {
	malformedMessage: 400,
	invalidSetting: 400,
	unknownDatabase: 404,
	unknownRequest: 404,
	memberSetFull: 409,
	messageTooLarge: 413,
};
const unavailableStatus = 503;

/** Returns the HTTP status code for an error. */
export function httpStatusOf(error: BuckthornhitchError): number {
	return statusByCode[error.codeName] ?? unavailableStatus;
}
