import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {type Address} from '../links/address.js';
import {StaticProcessDirectory} from '../membership/process-directory.js';
import {type AbandonRequest, type ExecuteRequest} from '../pool/messages.js';
import {requestFingerprint} from '../pool/idempotent-request-executor.js';
import {buildFrontendMessage} from '../postgres-protocol/frontend-messages.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {resultCodes, type ResultCodeName} from '../result-codes/result-codes.js';
import {
	FakePoolLinkClient, settlePromises, testProcessRecord, createTestServices,
} from './entry-fixture.js';
import {abandonTimeout, unreachableRetryInterval, type RoutedRequest} from './pool-router.js';
import {toCallerError, mayRepeat} from './retry-rules.js';

function request(change: Partial<RoutedRequest> = {}): RoutedRequest {
	const bytes = buildFrontendMessage('Q', Buffer.from('SELECT 1\0'));
	return {
		database: 'notices', sessionId: 'session', transactionId: null, access: 'read', bytes, neededPoint: null, maximumAge: null, requestId: null, ...change,
	};
}

type FailureScript = (attempt: number, address: Address, body: ExecuteRequest) => ResultCodeName | undefined;

// Sends a request to pools that fail as scripted and advances the clock until the request ends.
async function runRequest(routedRequest: RoutedRequest, script: FailureScript, {isBeginAlone = false, links = new FakePoolLinkClient()} = {}) {
	const services = createTestServices(links);
	links.onExecute = async (body, address) => {
		const codeName = script(links.receivedRequests.length, address, body);
		if (codeName) {
			throw new BuckthornhitchError(codeName, codeName === 'notOwner' ? 'second' : '');
		}

		return links.execute(body);
	};

	const outcome = outcomeOf(services.router.execute(routedRequest, mayRepeat({...routedRequest, begins: routedRequest.transactionId !== null, isBeginAlone})));
	await settlePromises();
	await services.clock.advanceInSteps(1200 + abandonTimeout, 10);
	return {
		code: await outcome, links, attempts: links.receivedRequests.length, pools: links.receivedRequests.map(({address}) => address),
	};
}

async function outcomeOf(response: Promise<unknown>): Promise<ResultCodeName> {
	try {
		await response;
		return 'done';
	} catch (error) {
		return (error as BuckthornhitchError).codeName;
	}
}

test('a request refused with notOwner is redirected to the owner', async () => {
	const result = await runRequest(request(), (attempt, address) => address === 'second:1' ? undefined : 'notOwner');
	assert.equal(result.code, 'done');
	assert.equal(result.pools.at(-1), 'second:1');
	assert.ok(result.attempts <= 2);
});

test('a request that could not be sent is tried at another pool', async () => {
	const result = await runRequest(request({access: 'write'}), attempt => attempt === 1 ? 'linkNotSent' : undefined);
	assert.deepEqual([result.code, new Set(result.pools).size], ['done', 2]);
});

// The write may have been executed, so repeating it could execute it twice.
test('a write without a request id is not repeated after its link was lost', async () => {
	const result = await runRequest(request({access: 'write'}), () => 'linkOutcomeUnknown');
	assert.deepEqual([result.code, result.attempts], ['outcomeUnknown', 1]);
});

test('a write with a request id is repeated under the same id until its outcome is known', async () => {
	const sent = request({access: 'write', requestId: 'id-1'});
	const result = await runRequest(sent, attempt => attempt < 4 ? 'linkOutcomeUnknown' : undefined);
	assert.deepEqual([result.code, result.attempts], ['done', 4]);
	assert.ok(result.links.executeRequests.every(({requestId}) => requestId === 'id-1'));
	const unresolved = await runRequest(sent, () => 'linkOutcomeUnknown');
	assert.equal(unresolved.code, 'outcomeUnknown');
});

// Guards against a false "not run": an error of the last attempt says nothing about earlier attempts, unless the pool derives it from the record of the request id.
test('the outcome is unknown if an earlier attempt may have been executed, unless the record of the request id decides it', async () => {
	for (const later of ['queueFull', 'noPrimary', 'linkNotSent'] as const) {
		const result = await runRequest(request({access: 'write', requestId: 'id-1'}), attempt => attempt === 1 ? 'linkOutcomeUnknown' : later);
		assert.equal(result.code, 'outcomeUnknown', later);
	}

	const expired = await runRequest(request({access: 'write', requestId: 'id-1'}), attempt => attempt === 1 ? 'linkOutcomeUnknown' : 'requestIdExpired');
	assert.deepEqual([expired.code, resultCodes.requestIdExpired.execution], ['requestIdExpired', 'unknown']);
	const abandoned = await runRequest(request({access: 'write', requestId: 'id-1'}), attempt => attempt === 1 ? 'linkOutcomeUnknown' : 'requestAbandoned');
	assert.equal(abandoned.code, 'requestAbandoned');
});

// The outcome is known once the id is abandoned or a recorded response is found.
test('abandoning the request id resolves the unknown outcome of a write', async () => {
	const sent = request({access: 'write', requestId: 'id-1'});
	const runWithAbandonResponse = async (createResponse: (links: FakePoolLinkClient) => unknown) => {
		const links = new FakePoolLinkClient();
		links.onOtherRequest = async () => createResponse(links);
		return runRequest(sent, () => 'linkOutcomeUnknown', {links});
	};

	const abandoned = await runWithAbandonResponse(() => ({outcome: 'abandoned'}));
	assert.equal(abandoned.code, 'requestAbandoned');
	const lastRequest = abandoned.links.receivedRequests.at(-1)!;
	const {deadline, ...requestFields} = lastRequest.body as AbandonRequest;
	assert.deepEqual([lastRequest.name, requestFields], ['abandonRequest', {database: 'notices', requestId: 'id-1'}]);
	assert.ok(deadline > 0 && deadline <= abandonTimeout);
	const recorded = await runWithAbandonResponse(links => ({outcome: 'done', fingerprint: requestFingerprint(sent.bytes), response: links.execute({...sent, deadline: 1})}));
	assert.equal(recorded.code, 'done');
	const reused = await runWithAbandonResponse(links => ({outcome: 'done', fingerprint: 'other', response: links.execute({...sent, deadline: 1})}));
	assert.equal(reused.code, 'requestIdReused');
});

// Guards against a false "not run", and against endless attempts to abandon the request id.
test('the outcome stays unknown if the request id cannot be abandoned in time', async () => {
	const sent = request({access: 'write', requestId: 'id-1'});
	for (const codeName of ['linkOutcomeUnknown', 'linkNotSent', 'noPrimary', 'deadlinePassed', 'queueFull', 'requestIdExpired', 'unknownRequest'] as const) {
		const links = new FakePoolLinkClient();
		links.onOtherRequest = async () => {
			throw new BuckthornhitchError(codeName, '');
		};

		const result = await runRequest(sent, () => 'linkOutcomeUnknown', {links});
		assert.equal(result.code, 'outcomeUnknown', codeName);
		assert.ok(links.receivedRequests.some(({name}) => name === 'abandonRequest'), codeName);
	}
});

test('abandoning a request id follows the database to its new owner', async () => {
	const links = new FakePoolLinkClient();
	links.onOtherRequest = async (name, body, address) => {
		if (address !== 'second:1') {
			throw new BuckthornhitchError('notOwner', 'second');
		}

		return {outcome: 'abandoned'};
	};

	const result = await runRequest(request({access: 'write', requestId: 'id-1'}), () => 'linkOutcomeUnknown', {links});
	assert.equal(result.code, 'requestAbandoned');
});

test('the request id is abandoned only for a write outside a transaction, and only if the write may have been executed', async () => {
	for (const [change, codeName] of [
		[{access: 'write'}, 'linkOutcomeUnknown'],
		[{}, 'linkOutcomeUnknown'],
		[{access: 'write', requestId: 'id-1', transactionId: 't1'}, 'linkOutcomeUnknown'],
		[{access: 'write', requestId: 'id-1'}, 'queueFull'],
	] as const) {
		const {links} = await runRequest(request(change), () => codeName);
		assert.ok(links.receivedRequests.every(({name}) => name === 'execute'));
	}
});

test('the error for the caller states "not run" if and only if its code proves that the request did not run', () => {
	for (const [codeName, resultCode] of Object.entries(resultCodes)) {
		const error = toCallerError(new BuckthornhitchError(codeName as ResultCodeName, ''), false);
		assert.equal(error.resultCode.execution === 'notRun', resultCode.execution === 'notRun', codeName);
	}
});

test('a read is repeated at another pool after its link was lost', async () => {
	const result = await runRequest(request(), attempt => attempt === 1 ? 'linkOutcomeUnknown' : undefined);
	assert.deepEqual([result.code, new Set(result.pools).size], ['done', 2]);
});

test('retries of reads are limited by the retry budget', async () => {
	const result = await runRequest(request(), () => 'linkOutcomeUnknown');
	assert.equal(result.code, 'outcomeUnknown');
	assert.ok(result.attempts <= 25, `${result.attempts} attempts`);
});

test('a write waits for a new primary, but not beyond its deadline', async () => {
	const served = await runRequest(request({access: 'write'}), attempt => attempt < 8 ? 'noPrimary' : undefined);
	assert.equal(served.code, 'done');
	const refused = await runRequest(request({access: 'write'}), () => 'noPrimary');
	assert.equal(refused.code, 'noPrimary');
	assert.ok(refused.links.executeRequests.every(({deadline}) => deadline > 0 && deadline <= 1000));
});

// A retry would add to the overload.
test('a request refused with queueFull is not retried', async () => {
	const result = await runRequest(request(), () => 'queueFull');
	assert.deepEqual([result.code, result.attempts], ['queueFull', 1]);
});

// Guards against a transaction that stays open at the first pool, and against one id at two pools.
test('a repeated BEGIN has the first transaction rolled back and uses a new transaction id', async () => {
	const sent = request({access: 'write', transactionId: 'first-id'});
	const result = await runRequest(sent, attempt => attempt === 1 ? 'linkOutcomeUnknown' : undefined, {isBeginAlone: true});
	assert.equal(result.code, 'done');
	assert.deepEqual(result.links.notices, [{address: result.pools[0], name: 'closeTransaction', body: {database: 'notices', transactionId: 'first-id'}}]);
	assert.notEqual(result.links.executeRequests[1].transactionId, 'first-id');
});

test('draining and failed pools are not candidates for new requests', () => {
	const services = createTestServices(new FakePoolLinkClient());
	services.directory.replace([
		testProcessRecord('first', 'pool', {state: 'draining'}),
		testProcessRecord('second', 'pool', {state: 'failed'}),
		testProcessRecord('third'),
		testProcessRecord('entry', 'entry'),
	]);
	assert.deepEqual(services.router.candidatePools('notices').map(({name}) => name), ['third']);
});

// Guards against every request waiting for the connection timeout.
test('only one request at a time tries an unreachable pool again', async () => {
	const links = new FakePoolLinkClient();
	const services = createTestServices(links);
	const [first, second] = services.router.candidatePools('notices').map(({linkAddress}) => linkAddress);
	const connecting: Array<() => void> = [];
	links.onExecute = async (body, address) => {
		if (address === first) {
			await new Promise<void>(resolve => {
				connecting.push(resolve);
			});
			throw new BuckthornhitchError('linkNotSent', '');
		}

		return links.execute(body);
	};

	const send = async () => services.router.execute(request(), true);
	const sent = [send()];
	connecting.pop()!();
	await Promise.all(sent);
	await send();
	services.clock.advance(unreachableRetryInterval);
	sent.push(send());
	await send();
	connecting.pop()!();
	await Promise.all(sent);
	assert.deepEqual(links.receivedRequests.map(({address}) => address), [first, second, second, first, second, second]);
});

// Guards against repeated attempts at an unreachable pool to which the other pools still redirect; the request must wait for the next owner.
test('a redirect to an unreachable pool is followed only once', async () => {
	let unreachableAttempts = 0;
	const result = await runRequest(request({access: 'write'}), (attempt, address) => {
		unreachableAttempts += address === 'second:1' ? 1 : 0;
		return address === 'second:1' ? 'linkNotSent' : (attempt < 8 ? 'notOwner' : undefined);
	});
	assert.equal(result.code, 'done');
	assert.equal(unreachableAttempts, 1);
});

// Guards against load on all pools of a large deployment.
test('a request that waits for an owner asks only the first three pools', async () => {
	const links = new FakePoolLinkClient();
	const directory = new StaticProcessDirectory(Array.from({length: 20}, (unused, index) => testProcessRecord(`pool-${index}`)));
	const services = createTestServices(links, directory);
	links.onExecute = async () => {
		throw new BuckthornhitchError('notOwner', '');
	};

	const outcome = outcomeOf(services.router.execute(request({access: 'write'}), false));
	await settlePromises();
	assert.equal(links.receivedRequests.length, 3);
	await services.clock.advanceInSteps(1200, 10);
	assert.equal(await outcome, 'noPool');
	assert.equal(new Set(links.receivedRequests.map(({address}) => address)).size, 3);
});
