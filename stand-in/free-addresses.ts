import {randomInt} from 'node:crypto';
import {createServer, type Server} from 'node:net';
import {type Address} from '../source/links/address.js';

// The system assigns ports from 32768 on to outgoing connections. Lower ports are returned, since a port that is assigned to an outgoing connection would be in use when its process starts or restarts.
const minimumPort = 12_000;
const portLimit = 32_000;
const maximumAttempts = 100;
// A process may start to listen some time after its address was returned, so no port is returned twice.
const issuedPorts = new Set<number>();

/** Returns loopback addresses whose TCP ports are free at present. */
export async function findFreeAddresses(count: number): Promise<readonly Address[]> {
	const servers: Server[] = [];
	const addresses: Address[] = [];
	for (let attempt = 0; addresses.length < count && attempt < maximumAttempts; attempt++) {
		const server = createServer();
		const port = randomInt(minimumPort, portLimit);
		if (!issuedPorts.has(port) && await canListen(server, port)) {
			issuedPorts.add(port);
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

async function canListen(server: Server, port: number): Promise<boolean> {
	return new Promise(resolve => {
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, '127.0.0.1', () => {
			resolve(true);
		});
	});
}
