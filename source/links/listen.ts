import {type Server} from 'node:net';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {parseAddress, type Address} from './address.js';

/** Listens on the address and resolves with the bound address, which differs when the port is 0. Rejects with invalidSetting when the address cannot be bound. */
export async function listenOn(server: Server, address: Address): Promise<Address> {
	const {host, port} = parseAddress(address);
	return new Promise((resolve, reject) => {
		const onError = (error: Error): void => {
			reject(new BuckthornhitchError('invalidSetting', `The address ${address} cannot be opened: ${error.message}.`, {cause: error}));
		};

		server.once('error', onError);
		server.listen({host, port}, () => {
			server.off('error', onError);
			server.on('error', () => {
				// A connection that cannot be accepted, for example for lack of file descriptors, must not crash the process.
			});
			const bound = server.address();
			resolve(typeof bound === 'object' && bound ? `${host}:${bound.port}` : address);
		});
	});
}
