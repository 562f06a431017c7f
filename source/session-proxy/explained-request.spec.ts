import assert from 'node:assert/strict';
import {test} from 'node:test';
import {causeOf, explanationOf, type EndedRequest} from './explained-request.js';
import {type TracedAttempt} from './request-trace.js';

const attempt: TracedAttempt = {
	member: 'i-1', startedAfter: 0, connectionWait: 10, memberTime: 20, result: 'done',
};

function ended(changes: Partial<EndedRequest>): EndedRequest {
	return {
		kind: 'statement', outcome: 'done', elapsed: 30, target: 400, callerTime: 0, admissionTime: 0, statements: [], attempts: [attempt], ...changes,
	};
}

function cause(changes: Partial<EndedRequest>): string {
	const request = ended(changes);
	const explanation = explanationOf(request);
	assert.ok(explanation);
	return causeOf(request, explanation);
}

// A line for each request would cost more than the requests themselves.
test('a request that its first attempt answered within the target is not explained', () => {
	assert.equal(explanationOf(ended({})), undefined);
	assert.equal(explanationOf(ended({elapsed: 400})), undefined);
	assert.equal(explanationOf(ended({elapsed: 401})), 'late');
	assert.equal(explanationOf(ended({attempts: [attempt, attempt]})), 'repeated');
	assert.equal(explanationOf(ended({attempts: [{...attempt, busyRetries: 1}]})), 'repeated');
	assert.equal(explanationOf(ended({elapsed: 401, outcome: 'refused busy', refusal: 'busy'})), 'refused');
	assert.equal(explanationOf(ended({target: undefined})), undefined, 'a database without a route has no target');
});

// Each part of the time has another remedy: the caller, the limit, the number of connections, the member, the primary.
test('the cause of a late request names the part that took most of the time', () => {
	const late = {elapsed: 500};
	assert.match(
		cause({...late, attempts: [{...attempt, connectionWait: 400, memberTime: 90}]}),
		/^it took 500 ms with a target of 400 ms: 400 ms passed while the request waited for a connection to i-1$/v,
	);
	assert.match(cause({...late, attempts: [{...attempt, gateway: 'entry-9', memberTime: 480}]}), /480 ms passed while the request waited for the answer of i-1 through gateway entry-9$/v);
	assert.match(
		cause({
			...late, attempts: [{
				...attempt, gateway: 'entry-9', gatewayWait: 300, memberTime: 100,
			}],
		}),
		/300 ms passed while the request waited at gateway entry-9 for a connection to i-1$/v,
	);
	assert.match(cause({...late, callerTime: 450}), /450 ms passed while the caller left the transaction idle$/v);
	assert.match(cause({...late, admissionTime: 450}), /450 ms passed while the limiter was asked/v);
	assert.match(cause({...late, attempts: [{...attempt, startedAfter: 470}]}), /470 ms passed while no attempt was in progress/v);
});

// A read that is also sent to a second member would otherwise seem to spend more time than has passed.
test('attempts that overlap are not counted twice in the time without an attempt', () => {
	const attempts = [{...attempt, memberTime: 190}, {
		...attempt, member: 'i-2', startedAfter: 120, connectionWait: 0, memberTime: 80,
	}];
	assert.match(cause({elapsed: 500, attempts}), /: 300 ms passed while no attempt was in progress/v);
});

test('the cause of a refused request names the attempts and their results', () => {
	const busy = {outcome: 'refused busy not run, come back in 20 ms', refusal: 'busy'} as const;
	const attempts = [{...attempt, result: 'notRun busy full'}, {...attempt, member: 'i-2', result: 'notRun lagging'}];
	assert.match(
		cause({...busy, attempts}),
		/^2 attempts were made: the first on i-1 ended with "notRun busy full"; the last on i-2 ended with "notRun lagging"; of 30 ms/v,
	);
	assert.match(cause({...busy, attempts, omitted: {count: 5, connectionWait: 1, memberTime: 1}}), /^7 attempts were made/v);
	assert.match(cause({...busy, attempts: [], primaryError: 'no primary confirmed its log position in time'}), /^it was refused after 30 ms without an attempt: no primary confirmed its log position in time$/v);
	assert.match(cause({...busy, attempts: []}), /without an attempt: refused busy not run, come back in 20 ms$/v);
	assert.match(cause({outcome: 'refused notAuthorized', refusal: 'notAuthorized', attempts: []}), /API key .* wrong, or it was taken away$/v);
	assert.match(
		cause({outcome: 'refused outcomeUnknown', refusal: 'outcomeUnknown', attempts: [{...attempt, result: 'unknown no answer within 380 ms'}]}),
		/unknown whether the statement ran, since i-1 gave no answer: unknown no answer within 380 ms$/v,
	);
	assert.match(cause({outcome: 'refused failed division by zero', refusal: 'failed'}), /^i-1 executed a statement, which failed: refused failed division by zero$/v);
});

test('the cause of a request with several attempts that was answered in time names the first and the last one', () => {
	const attempts = [{...attempt, result: 'notRun readOnly'}, {...attempt, member: 'i-2'}];
	assert.equal(cause({attempts}), 'it was answered within its target, but 2 attempts were made: the first on i-1 ended with "notRun readOnly"; the last on i-2 ended with "done"');
});
