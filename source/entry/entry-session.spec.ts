import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import fastCheck from 'fast-check';
import {type ExecuteResponse} from '../pool/messages.js';
import {buildFrontendMessage, FrontendMessageSplitter} from '../postgres-protocol/frontend-messages.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type ResultCodeName} from '../result-codes/result-codes.js';
import {initialSettings} from '../session/session-settings.js';
import {
	FakePoolLinkClient, RecordingCallerOutput, settlePromises, createTestServices,
} from './entry-fixture.js';
import {EntrySession, maximumQueuedUnits} from './entry-session.js';
import {SessionExecutor} from './session-executor.js';

const sync = buildFrontendMessage('S', Buffer.alloc(0));
const execute = buildFrontendMessage('E', Buffer.from('\0\0\0\0\0'));
const query = (text: string): Buffer => buildFrontendMessage('Q', Buffer.from(`${text}\0`));
const parse = (name: string, text: string): Buffer => buildFrontendMessage('P', Buffer.from(`${name}\0${text}\0\0\0`));
const bind = (name: string): Buffer => buildFrontendMessage('B', Buffer.from(`\0${name}\0\0\0\0\0\0\0`));
const describe = (target: string): Buffer => buildFrontendMessage('D', Buffer.from(`${target}\0`));
const close = (target: string): Buffer => buildFrontendMessage('C', Buffer.from(`${target}\0`));

function openSession() {
	const links = new FakePoolLinkClient();
	const services = createTestServices(links);
	const output = new RecordingCallerOutput();
	const session = new EntrySession(new SessionExecutor(services, 'session', 'notices', initialSettings), output);
	const send = async (...parts: readonly Buffer[]): Promise<readonly string[]> => {
		const before = output.responses.length;
		session.receive(new FrontendMessageSplitter().push(Buffer.concat(parts)));
		await settlePromises();
		await settlePromises();
		return output.responseTypes.slice(before);
	};

	const failRequests = (codeName: ResultCodeName): void => {
		links.onExecute = async () => {
			throw new BuckthornhitchError(codeName, '');
		};
	};

	const stopFailing = (): void => {
		links.onExecute = async request => links.execute(request);
	};

	const lastResponseText = (): string => output.responses.at(-1)!.toString('latin1');
	return {
		links, services, output, session, send, failRequests, stopFailing, lastResponseText,
	};
}

// Guards against a mix-up of responses that arrive late or in another order.
test('each response belongs to its own request, and pipelined queries are answered in order', async () => {
	const first = openSession();
	const second = openSession();
	const pendingResponses: Array<() => void> = [];
	for (const {links} of [first, second]) {
		links.onExecute = async request => new Promise<ExecuteResponse>(resolve => {
			pendingResponses.push(() => {
				resolve(links.execute(request));
			});
		});
	}

	await first.send(query('SELECT 1'), query('SELECT 2'));
	await second.send(query('SELECT 3'));
	assert.equal(first.links.receivedRequests.length, 1);
	while (pendingResponses.length > 0) {
		pendingResponses.pop()!();
		await settlePromises();
	}

	const texts = [...first.output.responses, ...second.output.responses].map(bytes => /SELECT \d/v.exec(bytes.toString())?.[0]);
	assert.deepEqual(texts, ['SELECT 1', 'SELECT 2', 'SELECT 3']);
});

// Guards against a caller that fills the memory by pipelining without waiting for responses.
test('reading from the caller pauses while too many pipelined queries are queued', async () => {
	const {links, output, send} = openSession();
	const pendingResponses: Array<() => void> = [];
	links.onExecute = async request => new Promise<ExecuteResponse>(resolve => {
		pendingResponses.push(() => {
			resolve(links.execute(request));
		});
	});
	await send(...Array.from({length: maximumQueuedUnits + 2}, () => query('SELECT 1')));
	assert.equal(output.isReading, false);
	while (pendingResponses.length > 0) {
		pendingResponses.pop()!();
		await settlePromises();
	}

	assert.deepEqual([output.isReading, output.responses.length], [true, maximumQueuedUnits + 2]);
});

test('the pool is notified to roll back the open transaction of a caller that disconnects', async () => {
	const {links, session, send} = openSession();
	await send(query('BEGIN'));
	const [{transactionId}] = links.executeRequests;
	session.close();
	assert.deepEqual(links.notices.map(({body}) => body), [{database: 'notices', transactionId}]);
});

test('the pool is notified to roll back the transaction of a caller that disconnects during BEGIN', async () => {
	const {links, session, send} = openSession();
	const pending = send(query('BEGIN'));
	session.close();
	await pending;
	assert.equal(links.notices.length, 1);
});

// Guards against statements of the lost transaction that run on their own, and against a loss that is reported with the wrong result code.
test('statements after a lost transaction are refused until the caller ends it', async () => {
	const {links, send, failRequests, stopFailing, lastResponseText} = openSession();
	await send(query('BEGIN'));
	failRequests('linkOutcomeUnknown');
	assert.deepEqual(await send(query('INSERT')), ['EZ']);
	assert.match(lastResponseText(), /BH3002.*E$/sv);
	stopFailing();
	const before = links.receivedRequests.length;
	assert.deepEqual(await send(query('INSERT')), ['EZ']);
	assert.match(lastResponseText(), /25P02/v);
	assert.deepEqual(await send(parse('', 'INSERT'), bind(''), execute, sync), ['EZ']);
	assert.deepEqual(await send(parse('', 'ROLLBACK'), bind(''), describe('P'), execute, sync), ['12nCZ']);
	assert.equal(links.receivedRequests.length, before);
	assert.equal(links.notices.length, 1);
	await send(query('SELECT 1'));
	assert.equal(links.executeRequests.at(-1)?.transactionId, null);
});

// Guards against a false report of a rollback, and against a second commit.
test('a lost COMMIT is reported as an unknown outcome and is not sent again', async () => {
	const {links, send, failRequests, lastResponseText} = openSession();
	await send(query('SET buckthornhitch.request_id = \'id-1\''));
	await send(query('BEGIN'));
	await send(query('INSERT'));
	failRequests('linkOutcomeUnknown');
	const before = links.receivedRequests.length;
	assert.deepEqual(await send(query('COMMIT')), ['EZ']);
	assert.match(lastResponseText(), /BH3001.*I$/sv);
	assert.equal(links.receivedRequests.length, before + 1);
	assert.deepEqual(links.executeRequests.map(({requestId}) => requestId), ['id-1', 'id-1', 'id-1']);
});

// The write after ROLLBACK commits outside the transaction, so it may have taken effect although the transaction was lost.
test('the outcome of a write after ROLLBACK in the same query is unknown if the response is lost', async () => {
	const {send, failRequests, lastResponseText} = openSession();
	await send(query('BEGIN'));
	failRequests('linkOutcomeUnknown');
	await send(query('ROLLBACK; INSERT'));
	assert.match(lastResponseText(), /BH3001.*I$/sv);
});

// Guards against an outage that evicts all other events from the timeline.
test('repeated failures are summarised in one timeline event a second', async () => {
	const {services, send, failRequests} = openSession();
	failRequests('linkOutcomeUnknown');
	await send(query('INSERT'), query('INSERT'), query('INSERT'));
	services.clock.advance(1000);
	await send(query('INSERT'));
	assert.deepEqual(services.timeline.events().map(({detail}) => detail), ['BH6002', 'BH6002, 2 more since the last event']);
});

// Guards against an unknown outcome being reported although the transaction was certainly rolled back.
test('a COMMIT that was not sent is reported as a lost transaction', async () => {
	const {send, failRequests, lastResponseText} = openSession();
	await send(query('BEGIN'));
	failRequests('linkNotSent');
	await send(query('COMMIT'));
	assert.match(lastResponseText(), /BH3002/v);
});

test('statements pipelined after a refused BEGIN do not run outside a transaction', async () => {
	const {links, send, failRequests, stopFailing} = openSession();
	failRequests('queueFull');
	await send(query('BEGIN'));
	stopFailing();
	assert.deepEqual(await send(query('INSERT'), query('COMMIT')), ['EZ', 'CZ']);
	assert.equal(links.executeRequests.length, 1);
});

// Guards against a COMMIT of the transaction as if the refused statement had been executed.
test('a statement refused by the entry fails its open transaction', async () => {
	const {links, send} = openSession();
	await send(query('BEGIN'));
	await send(query('COPY t FROM STDIN'));
	assert.equal(links.notices.length, 1);
	assert.deepEqual(await send(query('COMMIT')), ['CZ']);
	assert.equal(links.executeRequests.length, 1);
});

test('a prepared statement works on every connection, and preparing it again is invisible to the caller', async () => {
	const {links, send} = openSession();
	assert.deepEqual(await send(parse('name', 'INSERT $1'), describe('Sname'), sync), ['1tTSZ']);
	assert.equal(links.executeRequests[0].access, 'read');
	assert.deepEqual(await send(bind('name'), describe('P'), execute, sync), ['2TDCSZ']);
	assert.equal(links.executeRequests[1].access, 'write');
	assert.deepEqual(await send(bind('name'), execute, bind('name'), execute, sync), ['2DC2DCSZ']);
	assert.deepEqual(await send(close('Sname'), sync), ['3Z']);
	assert.deepEqual(await send(bind('name'), execute, sync), ['EZ']);
});

// Preparing a statement again would close the portals that were bound to it.
test('a statement is prepared only once within a transaction', async () => {
	const {links, send} = openSession();
	await send(parse('name', 'SELECT $1'), sync);
	await send(query('BEGIN'));
	await send(bind('name'), execute, sync);
	const firstUse = links.executeRequests.at(-1)!.bytes.length;
	await send(bind('name'), execute, sync);
	assert.ok(links.executeRequests.at(-1)!.bytes.length < firstUse);
	// The fake pool advances the token with each unit of a writing transaction, so the response includes a parameter status (S).
	assert.deepEqual(await send(bind('name'), execute, sync), ['2DCSZ']);
});

test('settings of the proxy are handled in the entry, with the responses that a server would give', async () => {
	const {links, send, lastResponseText} = openSession();
	assert.deepEqual(await send(query('SET buckthornhitch.max_age = \'5s\'')), ['CZ']);
	assert.deepEqual(await send(query('SHOW buckthornhitch.max_age')), ['TDCZ']);
	assert.match(lastResponseText(), /5000ms/v);
	assert.deepEqual(await send(parse('', 'SHOW buckthornhitch.token'), describe('S'), bind(''), describe('P'), execute, sync), ['1tT2TDCZ']);
	assert.deepEqual(await send(query('SET extra_float_digits = 3')), ['CZ']);
	for (const text of ['SET extra_float_digits = 0', 'SET search_path = a', 'SET buckthornhitch.other = 1', 'SET buckthornhitch.token = \'other@1.1\'', 'SET client_encoding TO UTF8; SELECT 1']) {
		assert.deepEqual(await send(query(text)), ['EZ'], text);
	}

	assert.equal(links.receivedRequests.length, 0);
	await send(query('SELECT 1'));
	await send(query('/*buckthornhitch max_age=0 request_id=id-2*/ INSERT'));
	assert.deepEqual(links.executeRequests.map(({maximumAge, requestId}) => [maximumAge, requestId]), [[5000, null], [null, 'id-2']]);
});

// Guards against a batch that waits forever for a response, or of which only a part runs.
test('a batch with Flush is refused as a whole', async () => {
	const {links, send} = openSession();
	assert.deepEqual(await send(parse('', 'INSERT'), buildFrontendMessage('H', Buffer.alloc(0))), ['E']);
	assert.deepEqual(await send(bind(''), execute, sync), ['Z']);
	assert.equal(links.receivedRequests.length, 0);
});

test('writes are admitted while the limit for reads is reached', async () => {
	const {services, send, lastResponseText} = openSession();
	for (let count = 0; count < 10; count++) {
		services.admission.admit('notices', 'read', 10);
	}

	await send(query('SELECT 1'));
	assert.match(lastResponseText(), /BH2001/v);
	assert.deepEqual(await send(query('INSERT')), ['TDCSZ']);
});

test('draining ends a session only when its open transaction is completed', async () => {
	const {output, session, send, lastResponseText} = openSession();
	await send(query('BEGIN'));
	session.drain();
	assert.equal(output.isEnded, false);
	await send(query('COMMIT'));
	assert.equal(output.isEnded, true);
	assert.match(lastResponseText(), /57P01/v);
});

// Guards against a false "not run", after which the caller would repeat the request.
test('a request in progress when the entry stops is reported as an unknown outcome', async () => {
	const {links, session, send, lastResponseText} = openSession();
	links.onExecute = async () => new Promise<ExecuteResponse>(() => {
		// Never answers.
	});
	await send(query('INSERT'));
	session.shutDown();
	assert.match(lastResponseText(), /FATAL.*BH3001/sv);
});

const texts = ['SELECT 1', 'INSERT', 'BEGIN', 'COMMIT', 'ROLLBACK', 'COPY t FROM STDIN', 'SET buckthornhitch.max_age = \'5s\''];
const failures: ReadonlyArray<ResultCodeName | undefined> = [undefined, undefined, undefined, 'linkOutcomeUnknown', 'linkNotSent', 'queueFull', 'noPrimary'];

test('after any sequence of failures, every request gets one truthful response, writes run at most once and transactions stay at one pool', async () => {
	const steps = fastCheck.array(fastCheck.tuple(fastCheck.constantFrom(...texts), fastCheck.constantFrom(...failures), fastCheck.boolean(), fastCheck.boolean()), {maxLength: 12});
	await fastCheck.assert(fastCheck.asyncProperty(steps, async sequence => {
		const {links, services, output, send} = openSession();
		const pools = new Map<string, Set<string>>();
		for (const [index, [text, codeName, runsAnyway, isExtended]] of sequence.entries()) {
			let ran = 0;
			let attempts = 0;
			links.onExecute = async (request, address) => {
				const failure = attempts++ === 0 ? codeName : undefined;
				const mayRun = !failure || failure === 'linkOutcomeUnknown';
				ran += !failure || (mayRun && runsAnyway) ? 1 : 0;
				if (request.transactionId !== null && mayRun) {
					pools.set(request.transactionId, new Set([...pools.get(request.transactionId) ?? [], address]));
				}

				if (failure) {
					throw new BuckthornhitchError(failure, '');
				}

				return links.execute(request);
			};

			await send(...isExtended ? [parse('name', text), bind('name'), execute, sync] : [query(text)]);
			await services.clock.advanceInSteps(200, 50);
			assert.equal(output.responses.length, index + 1);
			const answer = output.responses[index].toString('latin1');
			assert.match(answer, /Z.{4}[ITE]$/sv);
			assert.ok(text !== 'INSERT' || ran <= 1, 'a write ran twice');
			assert.ok(ran === 0 || !answer.includes('Not run'), 'a request that ran is reported as not run');
		}

		assert.ok([...pools.values()].every(addresses => addresses.size <= 1), 'a transaction was sent to two pools');
	}), {seed: 4, numRuns: 300});
});
