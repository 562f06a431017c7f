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
	FakePoolLinkClient, RecordingOutput, settle, testServices,
} from './entry-fixture.js';
import {EntrySession, pipelineLimit} from './entry-session.js';
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
	const services = testServices(links);
	const output = new RecordingOutput();
	const session = new EntrySession(new SessionExecutor(services, 'session', 'notices', initialSettings), output);
	const send = async (...parts: readonly Buffer[]): Promise<readonly string[]> => {
		const before = output.answers.length;
		session.receive(new FrontendMessageSplitter().push(Buffer.concat(parts)));
		await settle();
		await settle();
		return output.types.slice(before);
	};

	const fail = (codeName: ResultCodeName): void => {
		links.behaviour = async () => {
			throw new BuckthornhitchError(codeName, '');
		};
	};

	const recover = (): void => {
		links.behaviour = async request => links.execute(request);
	};

	const lastText = (): string => output.answers.at(-1)!.toString('latin1');
	return {
		links, services, output, session, send, fail, recover, lastText,
	};
}

test('answers that come late or out of order reach another request, or pipelined queries lose their order', async () => {
	const first = openSession();
	const second = openSession();
	const waiting: Array<() => void> = [];
	for (const {links} of [first, second]) {
		links.behaviour = async request => new Promise<ExecuteResponse>(resolve => {
			waiting.push(() => {
				resolve(links.execute(request));
			});
		});
	}

	await first.send(query('SELECT 1'), query('SELECT 2'));
	await second.send(query('SELECT 3'));
	assert.equal(first.links.receivedRequests.length, 1);
	while (waiting.length > 0) {
		waiting.pop()!();
		await settle();
	}

	const texts = [...first.output.answers, ...second.output.answers].map(bytes => /SELECT \d/v.exec(bytes.toString())?.[0]);
	assert.deepEqual(texts, ['SELECT 1', 'SELECT 2', 'SELECT 3']);
});

test('a caller that pipelines without end fills the memory', async () => {
	const {links, output, send} = openSession();
	const waiting: Array<() => void> = [];
	links.behaviour = async request => new Promise<ExecuteResponse>(resolve => {
		waiting.push(() => {
			resolve(links.execute(request));
		});
	});
	await send(...Array.from({length: pipelineLimit + 2}, () => query('SELECT 1')));
	assert.equal(output.reading, false);
	while (waiting.length > 0) {
		waiting.pop()!();
		await settle();
	}

	assert.deepEqual([output.reading, output.answers.length], [true, pipelineLimit + 2]);
});

test('a caller that leaves in mid-transaction leaves it open at the pool', async () => {
	const {links, session, send} = openSession();
	await send(query('BEGIN'));
	const [{transactionId}] = links.executed;
	session.close();
	assert.deepEqual(links.notices.map(({body}) => body), [{database: 'notices', transactionId}]);
});

test('a caller that leaves while BEGIN is on its way leaves the transaction open', async () => {
	const {links, session, send} = openSession();
	const pending = send(query('BEGIN'));
	session.close();
	await pending;
	assert.equal(links.notices.length, 1);
});

test('a lost transaction goes on outside of a block, or its loss is reported wrongly', async () => {
	const {links, send, fail, recover, lastText} = openSession();
	await send(query('BEGIN'));
	fail('linkOutcomeUnknown');
	assert.deepEqual(await send(query('INSERT')), ['EZ']);
	assert.match(lastText(), /BH3002.*E$/sv);
	recover();
	const before = links.receivedRequests.length;
	assert.deepEqual(await send(query('INSERT')), ['EZ']);
	assert.match(lastText(), /25P02/v);
	assert.deepEqual(await send(parse('', 'INSERT'), bind(''), execute, sync), ['EZ']);
	assert.deepEqual(await send(parse('', 'ROLLBACK'), bind(''), describe('P'), execute, sync), ['12nCZ']);
	assert.equal(links.receivedRequests.length, before);
	assert.equal(links.notices.length, 1);
	await send(query('SELECT 1'));
	assert.equal(links.executed.at(-1)?.transactionId, null);
});

test('the loss of COMMIT is reported as "rolled back", or its retry commits twice', async () => {
	const {links, send, fail, lastText} = openSession();
	await send(query('SET buckthornhitch.request_id = \'id-1\''));
	await send(query('BEGIN'));
	await send(query('INSERT'));
	fail('linkOutcomeUnknown');
	const before = links.receivedRequests.length;
	assert.deepEqual(await send(query('COMMIT')), ['EZ']);
	assert.match(lastText(), /BH3001.*I$/sv);
	assert.equal(links.receivedRequests.length, before + 1);
	assert.deepEqual(links.executed.map(({requestId}) => requestId), ['id-1', 'id-1', 'id-1']);
});

test('a write behind ROLLBACK in the same query is reported as rolled back', async () => {
	const {send, fail, lastText} = openSession();
	await send(query('BEGIN'));
	fail('linkOutcomeUnknown');
	await send(query('ROLLBACK; INSERT'));
	assert.match(lastText(), /BH3001.*I$/sv);
});

test('an outage pushes all other events out of the timeline', async () => {
	const {services, send, fail} = openSession();
	fail('linkOutcomeUnknown');
	await send(query('INSERT'), query('INSERT'), query('INSERT'));
	services.clock.advance(1000);
	await send(query('INSERT'));
	assert.deepEqual(services.timeline.events().map(({detail}) => detail), ['BH6002', 'BH6002, 2 more since the last event']);
});

test('COMMIT that was not sent is reported as unknown', async () => {
	const {send, fail, lastText} = openSession();
	await send(query('BEGIN'));
	fail('linkNotSent');
	await send(query('COMMIT'));
	assert.match(lastText(), /BH3002/v);
});

test('statements sent behind a refused BEGIN run on their own', async () => {
	const {links, send, fail, recover} = openSession();
	fail('queueFull');
	await send(query('BEGIN'));
	recover();
	assert.deepEqual(await send(query('INSERT'), query('COMMIT')), ['EZ', 'CZ']);
	assert.equal(links.executed.length, 1);
});

test('a refused statement lets its transaction go on as if it had run', async () => {
	const {links, send} = openSession();
	await send(query('BEGIN'));
	await send(query('COPY t FROM STDIN'));
	assert.equal(links.notices.length, 1);
	assert.deepEqual(await send(query('COMMIT')), ['CZ']);
	assert.equal(links.executed.length, 1);
});

test('a prepared statement is missing on another connection, or the caller sees that it was prepared again', async () => {
	const {links, send} = openSession();
	assert.deepEqual(await send(parse('name', 'INSERT $1'), describe('Sname'), sync), ['1tTSZ']);
	assert.equal(links.executed[0].access, 'read');
	assert.deepEqual(await send(bind('name'), describe('P'), execute, sync), ['2TDCSZ']);
	assert.equal(links.executed[1].access, 'write');
	assert.deepEqual(await send(bind('name'), execute, bind('name'), execute, sync), ['2DC2DCSZ']);
	assert.deepEqual(await send(close('Sname'), sync), ['3Z']);
	assert.deepEqual(await send(bind('name'), execute, sync), ['EZ']);
});

test('a statement is prepared again within a transaction, which closes its portals', async () => {
	const {links, send} = openSession();
	await send(parse('name', 'SELECT $1'), sync);
	await send(query('BEGIN'));
	await send(bind('name'), execute, sync);
	const firstUse = links.executed.at(-1)!.bytes.length;
	await send(bind('name'), execute, sync);
	assert.ok(links.executed.at(-1)!.bytes.length < firstUse);
	// The stand-in moves the token with each unit of a writing transaction.
	assert.deepEqual(await send(bind('name'), execute, sync), ['2DCSZ']);
});

test('own settings reach a pool, or are answered unlike those of a server', async () => {
	const {links, send, lastText} = openSession();
	assert.deepEqual(await send(query('SET buckthornhitch.max_age = \'5s\'')), ['CZ']);
	assert.deepEqual(await send(query('SHOW buckthornhitch.max_age')), ['TDCZ']);
	assert.match(lastText(), /5000ms/v);
	assert.deepEqual(await send(parse('', 'SHOW buckthornhitch.token'), describe('S'), bind(''), describe('P'), execute, sync), ['1tT2TDCZ']);
	assert.deepEqual(await send(query('SET extra_float_digits = 3')), ['CZ']);
	for (const text of ['SET extra_float_digits = 0', 'SET search_path = a', 'SET buckthornhitch.other = 1', 'SET buckthornhitch.token = \'other@1.1\'', 'SET client_encoding TO UTF8; SELECT 1']) {
		assert.deepEqual(await send(query(text)), ['EZ'], text);
	}

	assert.equal(links.receivedRequests.length, 0);
	await send(query('SELECT 1'));
	await send(query('/*buckthornhitch max_age=0 request_id=id-2*/ INSERT'));
	assert.deepEqual(links.executed.map(({maximumAge, requestId}) => [maximumAge, requestId]), [[5000, null], [null, 'id-2']]);
});

test('a batch with Flush hangs or runs in part', async () => {
	const {links, send} = openSession();
	assert.deepEqual(await send(parse('', 'INSERT'), buildFrontendMessage('H', Buffer.alloc(0))), ['E']);
	assert.deepEqual(await send(bind(''), execute, sync), ['Z']);
	assert.equal(links.receivedRequests.length, 0);
});

test('lookups crowd out writes at the entry', async () => {
	const {services, send, lastText} = openSession();
	for (let count = 0; count < 10; count++) {
		services.admission.enter('notices', 'read', 10);
	}

	await send(query('SELECT 1'));
	assert.match(lastText(), /BH2001/v);
	assert.deepEqual(await send(query('INSERT')), ['TDCSZ']);
});

test('draining interrupts a transaction, or an idle caller stays', async () => {
	const {output, session, send, lastText} = openSession();
	await send(query('BEGIN'));
	session.drain();
	assert.equal(output.ended, false);
	await send(query('COMMIT'));
	assert.equal(output.ended, true);
	assert.match(lastText(), /57P01/v);
});

test('the end of the entry claims "not run" for a request on its way', async () => {
	const {links, session, send, lastText} = openSession();
	links.behaviour = async () => new Promise<ExecuteResponse>(() => {
		// Never answers.
	});
	await send(query('INSERT'));
	session.shutDown();
	assert.match(lastText(), /FATAL.*BH3001/sv);
});

const texts = ['SELECT 1', 'INSERT', 'BEGIN', 'COMMIT', 'ROLLBACK', 'COPY t FROM STDIN', 'SET buckthornhitch.max_age = \'5s\''];
const failures: ReadonlyArray<ResultCodeName | undefined> = [undefined, undefined, undefined, 'linkOutcomeUnknown', 'linkNotSent', 'queueFull', 'noPrimary'];

test('some sequence of failures repeats a write, moves a transaction, loses an answer or claims a false "not run"', async () => {
	const steps = fastCheck.array(fastCheck.tuple(fastCheck.constantFrom(...texts), fastCheck.constantFrom(...failures), fastCheck.boolean(), fastCheck.boolean()), {maxLength: 12});
	await fastCheck.assert(fastCheck.asyncProperty(steps, async sequence => {
		const {links, services, output, send} = openSession();
		const pools = new Map<string, Set<string>>();
		for (const [index, [text, codeName, runsAnyway, isExtended]] of sequence.entries()) {
			let ran = 0;
			let attempts = 0;
			links.behaviour = async (request, address) => {
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
			assert.equal(output.answers.length, index + 1);
			const answer = output.answers[index].toString('latin1');
			assert.match(answer, /Z.{4}[ITE]$/sv);
			assert.ok(text !== 'INSERT' || ran <= 1, 'a write ran twice');
			assert.ok(ran === 0 || !answer.includes('Not run'), 'a request that ran is reported as not run');
		}

		assert.ok([...pools.values()].every(addresses => addresses.size <= 1), 'a transaction was sent to two pools');
	}), {seed: 4, numRuns: 300});
});
