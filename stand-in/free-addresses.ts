import {randomInt} from 'node:crypto';
import {createServer, type Server} from 'node:net';
import {type Address} from '../source/links/address.js';

// Outgoing connections take their ports from 32768 on; a port below that stays free until its process listens, also when it restarts.
const lowestPort = 12_000;
const highestPort = 32_000;
const attempts = 100;
// An address may be handed out some time before its process listens, so none is handed out twice.
const issued = new Set<number>();

/** Returns addresses on loopback whose ports are free for TCP now. */
export async function findFreeAddresses(count: number): Promise<readonly Address[]> {
	const servers: Server[] = [];
	const addresses: Address[] = [];
	for (let attempt = 0; addresses.length < count && attempt < attempts; attempt++) {
		const server = createServer();
		const port = randomInt(lowestPort, highestPort);
		if (!issued.has(port) && await listens(server, port)) {
			issued.add(port);
			servers.push(server);
			addresses.push(`127.0.0.1:${port}`);
		}
	}

	for (const server of servers) {
		await new Promise(resolve => {
			server.close(resolve);
		});
	}

	return addresses;
}

async function listens(server: Server, port: number): Promise<boolean> {
	return new Promise(resolve => {
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, '127.0.0.1', () => {
			resolve(true);
		});
	});
}
