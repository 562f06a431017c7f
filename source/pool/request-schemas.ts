import {Buffer} from 'node:buffer';
import {z, type ZodType} from 'zod';
import {type Announcement} from '../announcement/types.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {
	type AbandonRequest, type CloseTransactionNotice, type ExecuteRequest, type PromoteRequest, type YieldRequest,
} from './messages.js';

const logPositionSchema = z.object({term: z.number(), position: z.number()});

const executeRequestSchema = z.object({
	database: z.string(),
	sessionId: z.string(),
	transactionId: z.string().nullable(),
	access: z.enum(['read', 'write']),
	bytes: z.instanceof(Uint8Array).transform(bytes => Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength)),
	neededPoint: logPositionSchema.nullable(),
	maximumAge: z.number().nullable(),
	requestId: z.string().nullable(),
	deadline: z.number(),
});
const closeTransactionSchema = z.object({database: z.string(), transactionId: z.string()});
const abandonRequestSchema = z.object({database: z.string(), requestId: z.string(), deadline: z.number()});
const announcementSchema = z.object({
	database: z.string(), member: z.string(), address: z.string(), dataCentre: z.string(), leaving: z.boolean(),
});
const promoteRequestSchema = z.object({database: z.string(), member: z.string()});
const yieldRequestSchema = z.object({database: z.string(), successor: z.string()});

/** Parses the body of an `execute` request. Throws malformedMessage. */
export function parseExecuteRequest(body: unknown): ExecuteRequest {
	return parseBody(executeRequestSchema, body);
}

/** Parses the body of a `closeTransaction` notice. Throws malformedMessage. */
export function parseCloseTransactionNotice(body: unknown): CloseTransactionNotice {
	return parseBody(closeTransactionSchema, body);
}

/** Parses the body of an `abandonRequest` request. Throws malformedMessage. */
export function parseAbandonRequest(body: unknown): AbandonRequest {
	return parseBody(abandonRequestSchema, body);
}

/** Parses the body of an `announce` request. Throws malformedMessage. */
export function parseAnnounceRequest(body: unknown): Announcement {
	return parseBody(announcementSchema, body);
}

/** Parses the body of a `promote` request. Throws malformedMessage. */
export function parsePromoteRequest(body: unknown): PromoteRequest {
	return parseBody(promoteRequestSchema, body);
}

/** Parses the body of a `yieldDatabase` request. Throws malformedMessage. */
export function parseYieldRequest(body: unknown): YieldRequest {
	return parseBody(yieldRequestSchema, body);
}

function parseBody<Body>(schema: ZodType<Body>, body: unknown): Body {
	const result = schema.safeParse(body);
	if (!result.success) {
		const fields = result.error.issues.map(issue => issue.path.join('.')).join(', ');
		throw new BuckthornhitchError('malformedMessage', `Fields that are missing or of the wrong type: ${fields}.`);
	}

	return result.data;
}
