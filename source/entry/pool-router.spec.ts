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
	FakePoolLinkClient, settle, testRecord, testServices,
} from './entry-fixture.js';
import {abandonTime, unreachableLifetime, type RoutedRequest} from './pool-router.js';
import {toCallerError, mayRepeat} from './retry-rules.js';

function request(change: Partial<RoutedRequest> = {}): RoutedRequest {
	const bytes = buildFrontendMessage('Q', Buffer.from('SELECT 1\0'));
	return {
		database: 'notices', sessionId: 'session', transactionId: null, access: 'read', bytes, neededPoint: null, maximumAge: null, requestId: null, ...change,
	};
}

type Script = (attempt: number, address: Address, body: ExecuteRequest) => ResultCodeName | undefined;

// Runs a request against pools that fail as scripted, moving the clock until it ends.
async function run(sent: RoutedRequest, script: Script, {isBeginAlone = false, links = new FakePoolLinkClient()} = {}) {
	const services = testServices(links);
	links.behaviour = async (body, address) => {
		const codeName = script(links.receivedRequests.length, address, body);
		if (codeName) {
			throw new BuckthornhitchError(codeName, codeName === 'notOwner' ? 'second' : '');
		}

		return links.execute(body);
	};

	const outcome = outcomeOf(services.router.execute(sent, mayRepeat({...sent, begins: sent.transactionId !== null, isBeginAlone})));
	await settle();
	await services.clock.advanceInSteps(1200 + abandonTime, 10);
	return {
		code: await outcome, links, attempts: links.receivedRequests.length, pools: links.receivedRequests.map(({address}) => address),
	};
}

async function outcomeOf(answer: Promise<unknown>): Promise<ResultCodeName> {
	try {
		await answer;
		return 'done';
	} catch (error) {
		return (error as BuckthornhitchError).codeName;
	}
}

test('a request stays with a pool that is not the owner', async () => {
	const result = await run(request(), (attempt, address) => address === 'second:1' ? undefined : 'notOwner');
	assert.equal(result.code, 'done');
	assert.equal(result.pools.at(-1), 'second:1');
	assert.ok(result.attempts <= 2);
});

test('a request is given up though nothing was sent and another pool serves', async () => {
	const result = await run(request({access: 'write'}), attempt => attempt === 1 ? 'linkNotSent' : undefined);
	assert.deepEqual([result.code, new Set(result.pools).size], ['done', 2]);
});

test('a write without an id runs twice after its link was lost', async () => {
	const result = await run(request({access: 'write'}), () => 'linkOutcomeUnknown');
	assert.deepEqual([result.code, result.attempts], ['outcomeUnknown', 1]);
});

test('a write with an id is not resolved under the same id', async () => {
	const sent = request({access: 'write', requestId: 'id-1'});
	const result = await run(sent, attempt => attempt < 4 ? 'linkOutcomeUnknown' : undefined);
	assert.deepEqual([result.code, result.attempts], ['done', 4]);
	assert.ok(result.links.executed.every(({requestId}) => requestId === 'id-1'));
	const unresolved = await run(sent, () => 'linkOutcomeUnknown');
	assert.equal(unresolved.code, 'outcomeUnknown');
});

test('"not run" is claimed though an earlier attempt may have run', async () => {
	for (const later of ['queueFull', 'noPrimary', 'linkNotSent'] as const) {
		const result = await run(request({access: 'write', requestId: 'id-1'}), attempt => attempt === 1 ? 'linkOutcomeUnknown' : later);
		assert.equal(result.code, 'outcomeUnknown', later);
	}

	const expired = await run(request({access: 'write', requestId: 'id-1'}), attempt => attempt === 1 ? 'linkOutcomeUnknown' : 'requestIdExpired');
	assert.deepEqual([expired.code, resultCodes.requestIdExpired.execution], ['requestIdExpired', 'unknown']);
	const abandoned = await run(request({access: 'write', requestId: 'id-1'}), attempt => attempt === 1 ? 'linkOutcomeUnknown' : 'requestAbandoned');
	assert.equal(abandoned.code, 'requestAbandoned');
});

test('a write whose id was abandoned, or whose outcome was found, is reported as unknown', async () => {
	const sent = request({access: 'write', requestId: 'id-1'});
	const runAnswered = async (answer: (links: FakePoolLinkClient) => unknown) => {
		const links = new FakePoolLinkClient();
		links.onOtherRequest = async () => answer(links);
		return run(sent, () => 'linkOutcomeUnknown', {links});
	};

	const abandoned = await runAnswered(() => ({outcome: 'abandoned'}));
	assert.equal(abandoned.code, 'requestAbandoned');
	const last = abandoned.links.receivedRequests.at(-1)!;
	const {deadline, ...named} = last.body as AbandonRequest;
	assert.deepEqual([last.name, named], ['abandonRequest', {database: 'notices', requestId: 'id-1'}]);
	assert.ok(deadline > 0 && deadline <= abandonTime);
	const recorded = await runAnswered(links => ({outcome: 'done', fingerprint: requestFingerprint(sent.bytes), response: links.execute({...sent, deadline: 1})}));
	assert.equal(recorded.code, 'done');
	const other = await runAnswered(links => ({outcome: 'done', fingerprint: 'other', response: links.execute({...sent, deadline: 1})}));
	assert.equal(other.code, 'requestIdReused');
});

test('"not run" is claimed though abandoning the id failed, or abandoning goes on without end', async () => {
	const sent = request({access: 'write', requestId: 'id-1'});
	for (const codeName of ['linkOutcomeUnknown', 'linkNotSent', 'noPrimary', 'deadlinePassed', 'queueFull', 'requestIdExpired', 'unknownRequest'] as const) {
		const links = new FakePoolLinkClient();
		links.onOtherRequest = async () => {
			throw new BuckthornhitchError(codeName, '');
		};

		const result = await run(sent, () => 'linkOutcomeUnknown', {links});
		assert.equal(result.code, 'outcomeUnknown', codeName);
		assert.ok(links.receivedRequests.some(({name}) => name === 'abandonRequest'), codeName);
	}
});

test('abandoning stops at a pool that has given the database up', async () => {
	const links = new FakePoolLinkClient();
	links.onOtherRequest = async (name, body, address) => {
		if (address !== 'second:1') {
			throw new BuckthornhitchError('notOwner', 'second');
		}

		return {outcome: 'abandoned'};
	};

	const result = await run(request({access: 'write', requestId: 'id-1'}), () => 'linkOutcomeUnknown', {links});
	assert.equal(result.code, 'requestAbandoned');
});

test('a write without an id, a read or a transaction is abandoned, or a request that did not run', async () => {
	for (const [change, codeName] of [
		[{access: 'write'}, 'linkOutcomeUnknown'],
		[{}, 'linkOutcomeUnknown'],
		[{access: 'write', requestId: 'id-1', transactionId: 't1'}, 'linkOutcomeUnknown'],
		[{access: 'write', requestId: 'id-1'}, 'queueFull'],
	] as const) {
		const {links} = await run(request(change), () => codeName);
		assert.ok(links.receivedRequests.every(({name}) => name === 'execute'));
	}
});

test('a failure whose outcome is unknown is reported as "not run"', () => {
	for (const [codeName, entry] of Object.entries(resultCodes)) {
		const error = toCallerError(new BuckthornhitchError(codeName as ResultCodeName, ''), false);
		assert.equal(error.entry.execution === 'notRun', entry.execution === 'notRun', codeName);
	}
});

test('a read fails with its link while another pool could serve it', async () => {
	const result = await run(request(), attempt => attempt === 1 ? 'linkOutcomeUnknown' : undefined);
	assert.deepEqual([result.code, new Set(result.pools).size], ['done', 2]);
});

test('retries of reads go beyond their budget', async () => {
	const result = await run(request(), () => 'linkOutcomeUnknown');
	assert.equal(result.code, 'outcomeUnknown');
	assert.ok(result.attempts <= 25, `${result.attempts} attempts`);
});

test('a write does not wait for the next primary, or beyond its deadline', async () => {
	const served = await run(request({access: 'write'}), attempt => attempt < 8 ? 'noPrimary' : undefined);
	assert.equal(served.code, 'done');
	const refused = await run(request({access: 'write'}), () => 'noPrimary');
	assert.equal(refused.code, 'noPrimary');
	assert.ok(refused.links.executed.every(({deadline}) => deadline > 0 && deadline <= 1000));
});

test('a full queue is asked again, which adds to the overload', async () => {
	const result = await run(request(), () => 'queueFull');
	assert.deepEqual([result.code, result.attempts], ['queueFull', 1]);
});

test('a repeated BEGIN leaves a transaction open or uses its id at a second pool', async () => {
	const sent = request({access: 'write', transactionId: 'first-id'});
	const result = await run(sent, attempt => attempt === 1 ? 'linkOutcomeUnknown' : undefined, {isBeginAlone: true});
	assert.equal(result.code, 'done');
	assert.deepEqual(result.links.notices, [{address: result.pools[0], name: 'closeTransaction', body: {database: 'notices', transactionId: 'first-id'}}]);
	assert.notEqual(result.links.executed[1].transactionId, 'first-id');
});

test('a draining or failed pool gets new work', () => {
	const services = testServices(new FakePoolLinkClient());
	services.directory.replace([testRecord('first', 'pool', {state: 'draining'}), testRecord('second', 'pool', {state: 'failed'}), testRecord('third'), testRecord('entry', 'entry')]);
	assert.deepEqual(services.router.pools('notices').map(({name}) => name), ['third']);
});

test('every request waits anew for a pool that can not be reached', async () => {
	const links = new FakePoolLinkClient();
	const services = testServices(links);
	const [first, second] = services.router.pools('notices').map(({linkAddress}) => linkAddress);
	const connecting: Array<() => void> = [];
	links.behaviour = async (body, address) => {
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
	services.clock.advance(unreachableLifetime);
	sent.push(send());
	await send();
	connecting.pop()!();
	await Promise.all(sent);
	assert.deepEqual(links.receivedRequests.map(({address}) => address), [first, second, second, first, second, second]);
});

test('a request follows a redirect to a pool that can not be reached instead of waiting for the next owner', async () => {
	let deadTried = 0;
	const result = await run(request({access: 'write'}), (attempt, address) => {
		deadTried += address === 'second:1' ? 1 : 0;
		return address === 'second:1' ? 'linkNotSent' : (attempt < 8 ? 'notOwner' : undefined);
	});
	assert.equal(result.code, 'done');
	assert.equal(deadTried, 1);
});

test('a request that waits for an owner asks all pools of the fleet again and again', async () => {
	const links = new FakePoolLinkClient();
	const directory = new StaticProcessDirectory(Array.from({length: 20}, (unused, index) => testRecord(`pool-${index}`)));
	const services = testServices(links, directory);
	links.behaviour = async () => {
		throw new BuckthornhitchError('notOwner', '');
	};

	const outcome = outcomeOf(services.router.execute(request({access: 'write'}), false));
	await settle();
	assert.equal(links.receivedRequests.length, 3);
	await services.clock.advanceInSteps(1200, 10);
	assert.equal(await outcome, 'noPool');
	assert.equal(new Set(links.receivedRequests.map(({address}) => address)).size, 3);
});
