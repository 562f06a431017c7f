import {Buffer} from 'node:buffer';
import {z, type ZodType} from 'zod';
import {type Announcement} from '../announcement/types.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {
	type AbandonRequest, type CloseTransactionNotice, type ExecuteRequest, type PromoteRequest, type YieldRequest,
} from './messages.js';

const logPoint = z.object({term: z.number(), position: z.number()});

const executeSchema = z.object({
	database: z.string(),
	sessionId: z.string(),
	transactionId: z.string().nullable(),
	access: z.enum(['read', 'write']),
	bytes: z.instanceof(Uint8Array).transform(bytes => Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength)),
	neededPoint: logPoint.nullable(),
	maximumAge: z.number().nullable(),
	requestId: z.string().nullable(),
	deadline: z.number(),
});
const closeTransactionSchema = z.object({database: z.string(), transactionId: z.string()});
const abandonSchema = z.object({database: z.string(), requestId: z.string(), deadline: z.number()});
const announcementSchema = z.object({
	database: z.string(), member: z.string(), address: z.string(), dataCentre: z.string(), leaving: z.boolean(),
});
const promoteSchema = z.object({database: z.string(), member: z.string()});
const yieldSchema = z.object({database: z.string(), successor: z.string()});

/** Checks the body of an `execute` request. Throws malformedMessage. */
export function readExecuteRequest(body: unknown): ExecuteRequest {
	return check(executeSchema, body);
}

/** Checks the body of a `closeTransaction` notice. Throws malformedMessage. */
export function readCloseTransaction(body: unknown): CloseTransactionNotice {
	return check(closeTransactionSchema, body);
}

/** Checks the body of an `abandonRequest` request. Throws malformedMessage. */
export function readAbandonRequest(body: unknown): AbandonRequest {
	return check(abandonSchema, body);
}

/** Checks the body of an `announce` request. Throws malformedMessage. */
export function readAnnouncement(body: unknown): Announcement {
	return check(announcementSchema, body);
}

/** Checks the body of a `promote` request. Throws malformedMessage. */
export function readPromoteRequest(body: unknown): PromoteRequest {
	return check(promoteSchema, body);
}

/** Checks the body of a `yieldDatabase` request. Throws malformedMessage. */
export function readYieldRequest(body: unknown): YieldRequest {
	return check(yieldSchema, body);
}

function check<Body>(schema: ZodType<Body>, body: unknown): Body {
	const result = schema.safeParse(body);
	if (!result.success) {
		const fields = result.error.issues.map(issue => issue.path.join('.')).join(', ');
		throw new BuckthornhitchError('malformedMessage', `Fields that are missing or of the wrong type: ${fields}.`);
	}

	return result.data;
}
