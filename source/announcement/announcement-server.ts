import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type Milliseconds} from '../clock/clock.js';
import {type Address} from '../links/address.js';
import {listenOn} from '../links/listen.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {announcementTarget, httpStatus, readAnnouncement} from './announcement-rules.js';
import {type Announcement} from './types.js';

/** What the server needs. */
export type AnnouncementServerOptions = {
	/** Takes an announcement. Rejects with a numbered error to refuse it. */
	readonly onAnnouncement: (announcement: Announcement) => Promise<void>;
	/** Whether the process takes new callers. */
	readonly isHealthy: () => boolean;
};

const tooLargeStatus = 413;
const longestBodyBytes = 10_000;
const largestInProgress = 256;
const requestTimeout: Milliseconds = 5000;

/** HTTP server for announcements of backend servers and for the health check of the platform's load balancer. */
export class AnnouncementServer {
	readonly #server: Server;
	#inProgress = 0;

	constructor(private readonly options: AnnouncementServerOptions) {
		this.#server = createServer({requestTimeout, headersTimeout: requestTimeout}, (request, response) => {
			void this.#answer(request, response);
		});
	}

	/** Listens on the address and resolves with the address in use. Rejects when it is in use already. */
	async listen(address: Address): Promise<Address> {
		return listenOn(this.#server, address);
	}

	/** Stops listening and closes all connections. */
	async close(): Promise<void> {
		return new Promise(resolve => {
			this.#server.close(() => {
				resolve();
			});
			this.#server.closeAllConnections();
		});
	}

	async #answer(request: IncomingMessage, response: ServerResponse): Promise<void> {
		try {
			await this.#handle(request, response);
		} catch (error) {
			const failure = toBuckthornhitchError(error);
			sendJson(response, httpStatus(failure), {code: failure.code, message: failure.message});
		}
	}

	async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const path = (request.url ?? '').split('?')[0];
		if (request.method === 'GET' && path === '/health') {
			const healthy = this.options.isHealthy();
			sendJson(response, healthy ? 200 : 503, {status: healthy ? 'serving' : 'draining'});
			return;
		}

		const target = request.method === 'PUT' ? announcementTarget(path) : undefined;
		if (!target) {
			throw new BuckthornhitchError('unknownRequest', 'Known are PUT /backend-servers/{database}/{member} and GET /health.');
		}

		if (this.#inProgress >= largestInProgress) {
			throw new BuckthornhitchError('queueFull', `${largestInProgress} announcements are in progress.`);
		}

		this.#inProgress++;
		try {
			await this.options.onAnnouncement(readAnnouncement(target, await readBody(request)));
		} finally {
			this.#inProgress--;
		}

		sendJson(response, 200, {code: 0});
	}
}

async function readBody(request: IncomingMessage): Promise<string> {
	const chunks: Buffer[] = [];
	let length = 0;
	for await (const chunk of request.iterator({destroyOnReturn: false}) as AsyncIterable<Buffer>) {
		length += chunk.length;
		if (length > longestBodyBytes) {
			throw new BuckthornhitchError('messageTooLarge', `An announcement has at most ${longestBodyBytes} bytes.`);
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString('utf8');
}

function sendJson(response: ServerResponse, status: number, body: unknown): void {
	response.writeHead(status, {'content-type': 'application/json', ...(status === tooLargeStatus && {connection: 'close'})}).end(JSON.stringify(body));
}
