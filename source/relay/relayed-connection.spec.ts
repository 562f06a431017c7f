import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../clock/manual-clock.js';
import {localReply} from '../session-proxy/replies.js';
import {InMemoryLinks} from './in-memory-links-fixture.js';
import {type OpenRelayResponse, type RelayStatementRequest} from './messages.js';
import {RelayedConnection} from './relayed-connection.js';

// A PREPARE that is sent before uses a name that the gateway may not expect, and the EXEC after it another one. A retry would hide both from a session.
test('a PREPARE is sent once the gateway has said which names it uses, under the same name as the EXEC', async () => {
	for (const {response, shape, name} of [
		{response: {usesSentNames: true}, shape: 'q7 READ muthfnwx', name: 's1'},
		{response: {usesSentNames: true}, shape: 'q2', name: 's1'},
		{response: null, shape: 'q2', name: 'w_q2'},
	] as ReadonlyArray<{readonly response: OpenRelayResponse; readonly shape: string; readonly name: string}>) {
		const links = new InMemoryLinks();
		links.serverAt('gateway-1:1').handle('relayStatement', async () => ({kind: 'answered', reply: localReply('idle')}));
		let confirm: (answer: OpenRelayResponse) => void;
		const connection = new RelayedConnection({
			clock: new ManualClock(),
			linkClient: links,
			gateway: 'gateway-1:1',
			relay: 1,
			sendsPriority: false,
			isObsolete: () => false,
			opening: new Promise<OpenRelayResponse>(resolve => {
				confirm = resolve;
			}),
			onFailure() {
				assert.fail('no request fails');
			},
		});
		const replies = Promise.all([
			connection.execute({kind: 'prepare', name: 's1', shape: {access: 'write', shape}}, 500),
			connection.execute({
				kind: 'execute', id: 'e', name: 's1', parameters: '1 x',
			}, 500),
		]);
		assert.deepEqual(links.requests, []);
		confirm!(response);
		const outcomes = await replies;
		assert.deepEqual(outcomes.map(({outcome}) => outcome), ['done', 'done']);
		const statements = links.requests.map(({body}) => (body as RelayStatementRequest).statement);
		assert.deepEqual(statements.map(statement => [statement.kind, 'name' in statement && statement.name]), [['prepare', name], ['execute', name]]);
	}
});
