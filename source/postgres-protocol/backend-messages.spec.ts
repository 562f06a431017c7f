import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import fc from 'fast-check';
import {BackendMessageSplitter} from './backend-message-splitter.js';
import {findErrorInResponse} from './backend-rows.js';
import {continueStartup} from './backend-startup.js';
import {
	buildCommandComplete, buildErrorResponse, buildBackendMessage, buildReadyForQuery, readTransactionStatus,
} from './backend-messages.js';

test('messages split at any byte are reassembled without loss', () => {
	fc.assert(fc.property(fc.array(fc.uint8Array({maxLength: 40}), {minLength: 1, maxLength: 8}), fc.array(fc.integer({min: 1, max: 30}), {minLength: 1}), (bodies, cuts) => {
		const stream = Buffer.concat(bodies.map(body => buildBackendMessage('D', Buffer.from(body))));
		const splitter = new BackendMessageSplitter();
		const received: Buffer[] = [];
		let offset = 0;
		for (let index = 0; offset < stream.length; index++) {
			const end = offset + cuts[index % cuts.length];
			received.push(...splitter.push(stream.subarray(offset, end)).map(({body}) => Buffer.from(body)));
			offset = end;
		}

		assert.deepEqual(received, bodies.map(body => Buffer.from(body)));
	}), {seed: 3});
});

// Waiting for a message that can never be complete would buffer bytes without limit.
test('a message with a length below the minimum or above the maximum is rejected as soon as its header has arrived', () => {
	assert.throws(() => new BackendMessageSplitter().push(Buffer.from([0x44, 0, 0, 0, 3])), {codeName: 'malformedMessage'});
	assert.throws(() => new BackendMessageSplitter(100).push(Buffer.from([0x44, 0, 0, 1, 0])), {codeName: 'messageTooLarge'});
});

test('the SQLSTATE, the error message and the transaction status are read from a response', () => {
	const response = Buffer.concat([buildErrorResponse({severity: 'ERROR', sqlState: '25006', message: 'read only'}), buildReadyForQuery('failed')]);
	assert.deepEqual(findErrorInResponse(response), {sqlState: '25006', message: 'read only'});
	assert.equal(findErrorInResponse(buildCommandComplete('INSERT 0 1')), undefined);
	assert.equal(readTransactionStatus(response.subarray(-1)), 'failed');
});

test('a password is sent only if one is configured and never for an unsupported authentication method', () => {
	const request = (method: number) => new BackendMessageSplitter().push(buildBackendMessage('R', Buffer.from([0, 0, 0, method])))[0];
	assert.equal(continueStartup(request(3), {user: 'u', password: 'p'}).kind, 'send');
	assert.equal(continueStartup(request(0), {user: 'u', password: null}).kind, 'wait');
	assert.throws(() => continueStartup(request(3), {user: 'u', password: null}), {codeName: 'linkNotSent'});
	assert.throws(() => continueStartup(request(5), {user: 'u', password: 'p'}), {codeName: 'linkNotSent'});
});
