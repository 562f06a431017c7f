import {createConnection, type Socket} from 'node:net';
import {serialize} from 'pg-protocol';
import {parseAddress, type Address} from '../../source/links/address.js';

/** Connections that are set up at the same time. */
const parallelSetups = 100;

/** Type of the message with which the server tells that it is ready, at the end of the answer. */
const readyForQuery = 'Z'.codePointAt(0);
const readyForQueryLength = 6;

/** Opens callers that send nothing after the start; returns what closes them. */
export async function openIdleCallers(address: Address, database: string, count: number): Promise<() => void> {
	const sockets: Socket[] = [];
	while (sockets.length < count) {
		const setups = Array.from({length: Math.min(parallelSetups, count - sockets.length)}, async () => openCaller(address, database));
		sockets.push(...await Promise.all(setups));
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
			reject(new Error('the entry closed an idle caller'));
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
