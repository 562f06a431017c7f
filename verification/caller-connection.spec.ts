import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {test} from 'node:test';
import {backendMessages} from '../stand-in/postgres-messages.js';
import {CallerConnection} from './caller-connection.js';

// Guards against a request on a session that the entry has ended: it is never received, and would count as an interrupted one.
test('a connection is not used after a FATAL error, also while the server has not closed it yet', async t => {
	const server = createServer(socket => {
		socket.once('data', () => {
			socket.write(backendMessages.authenticationOk);
			socket.write(backendMessages.readyForQuery('I'));
			socket.once('data', () => {
				socket.write(backendMessages.error('FATAL', '57P01', 'BH2005: Not run: the process is shutting down.'));
			});
		});
		socket.on('error', () => {
			// The client closes the connection.
		});
	});
	t.after(() => {
		server.close();
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const connection = new CallerConnection('entry-1', `127.0.0.1:${(server.address() as AddressInfo).port}`, 'd', '');
	t.after(async () => connection.close());
	await connection.open();
	await assert.rejects(connection.query({text: 'SELECT 1'}));
	assert.ok(connection.isUnusable);
});
