import * as z from 'zod';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';

const wholeNumber = z.number().int().min(0);
const voterIdentity = z.object({name: z.string().min(1), diskId: z.string().min(1)});
const voterRecord = voterIdentity.extend({address: z.string().min(1)});
const list = z.object({voters: z.array(voterRecord), learners: z.array(voterRecord)});
const files = z.record(z.string(), z.string());

const command = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('opening')}),
	z.object({
		kind: z.literal('apply'), changeId: z.string(), expectedRevision: wholeNumber, files, operator: z.string(),
	}),
	z.object({
		kind: z.literal('registerMember'), database: z.string(), member: z.string(), memberCount: wholeNumber,
	}),
	z.object({kind: z.literal('changeVoters'), list}),
	z.object({kind: z.literal('replaceRouting'), version: z.number(), document: z.string()}),
	z.object({
		kind: z.literal('issueToken'), subject: z.string(), member: z.string().optional(), settledToken: wholeNumber.optional(),
	}),
]);

const voterRequest = z.object({group: z.string(), term: wholeNumber, target: voterIdentity});

/** Schemas of the request bodies that a control process accepts. */
export const requestSchemas = {
	apply: z.object({
		changeId: z.string().min(1).max(200), expectedRevision: wholeNumber, files, operator: z.string().max(200),
	}),
	registerMember: z.object({database: z.string().min(1).max(200), member: z.string().min(1).max(200)}),
	// A negative revision requests the whole configuration.
	configurationSince: z.object({revision: z.number().int()}),
	bootstrap: z.object({voters: z.array(voterRecord).min(1)}),
	requestVote: voterRequest.extend({
		candidate: voterRecord, lastIndex: wholeNumber, lastTerm: wholeNumber, preliminary: z.boolean(),
	}),
	appendEntries: voterRequest.extend({
		leader: voterRecord,
		previousIndex: wholeNumber,
		previousTerm: wholeNumber,
		entries: z.array(z.object({index: wholeNumber, term: wholeNumber, command})),
		commitIndex: wholeNumber,
	}),
	installSnapshot: voterRequest.extend({
		leader: voterRecord,
		snapshot: z.object({
			index: wholeNumber, term: wholeNumber, group: z.string(), list, image: z.unknown(),
		}),
	}),
};

/** Validates a body against a schema and returns it. Throws malformedMessage. */
export function parseBody<Body>(schema: z.ZodType<Body>, body: unknown): Body {
	const result = schema.safeParse(body);
	if (!result.success) {
		const issue = result.error.issues[0];
		throw new BuckthornhitchError('malformedMessage', `${issue.path.join('.')}: ${issue.message}`);
	}

	return result.data;
}
