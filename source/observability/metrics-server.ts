import {createServer, type Server} from 'node:http';
import {type Registry} from 'prom-client';
import {type Address} from '../links/address.js';
import {listenOn} from '../links/listen.js';

/** HTTP server that exposes the Prometheus metrics of a process under `/metrics`. */
export class MetricsServer {
	readonly #server: Server;

	constructor(registry: Registry) {
		this.#server = createServer((request, response) => {
			if (request.url !== '/metrics') {
				response.writeHead(404).end();
				return;
			}

			void registry.metrics().then(text => {
				response.writeHead(200, {'content-type': registry.contentType}).end(text);
			});
		});
	}

	/** Listens on the address. Rejects when the address is already in use. */
	async listen(address: Address): Promise<void> {
		await listenOn(this.#server, address);
	}

	/** Stops listening and closes all connections. */
	close(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}
}
