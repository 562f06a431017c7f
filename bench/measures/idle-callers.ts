import {createConnection, type Socket} from 'node:net';
import {serialize} from 'pg-protocol';
import {parseAddress, type Address} from '../../source/links/address.js';

/** Connections that are opened at the same time. */
const parallelConnects = 100;

/** Type byte of ReadyForQuery, the last message of the startup response. */
const readyForQuery = 'Z'.codePointAt(0);
const readyForQueryLength = 6;

/** Opens callers that send nothing after their startup message; returns a function that closes them. */
export async function openIdleCallers(address: Address, database: string, count: number): Promise<() => void> {
	const sockets: Socket[] = [];
	while (sockets.length < count) {
		const connects = Array.from({length: Math.min(parallelConnects, count - sockets.length)}, async () => openCaller(address, database));
		sockets.push(...await Promise.all(connects));
	}

	return () => {
		for (const socket of sockets) {
			socket.destroy();
		}
	};
}

async function openCaller(address: Address, database: string): Promise<Socket> {
	const socket = createConnection(parseAddress(address));
	await new Promise<void>((resolve, reject) => {
		socket.on('error', reject);
		socket.on('close', () => {
			reject(new Error('the entry closed the connection before it was ready'));
		});
		socket.on('data', chunk => {
			if (chunk.at(-readyForQueryLength) === readyForQuery) {
				resolve();
			}
		});
		socket.write(serialize.startup({user: 'bench', database}));
	});
	return socket;
}
