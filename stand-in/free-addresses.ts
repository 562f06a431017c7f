import {createServer} from 'node:net';
import {type Address} from '../source/links/address.js';

/** Returns addresses on loopback whose ports are free for TCP now. */
export async function freeAddresses(count: number): Promise<readonly Address[]> {
	const servers = Array.from({length: count}, () => createServer());
	const addresses: Address[] = [];
	for (const server of servers) {
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		const bound = server.address();
		addresses.push(`127.0.0.1:${typeof bound === 'object' && bound ? bound.port : 0}`);
	}

	for (const server of servers) {
		await new Promise(resolve => {
			server.close(resolve);
		});
	}

	return addresses;
}
