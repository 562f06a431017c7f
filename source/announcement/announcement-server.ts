import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type Milliseconds} from '../clock/clock.js';
import {type Address} from '../links/address.js';
import {listenOn} from '../links/listen.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {parseAnnouncementPath, httpStatusOf, parseAnnouncementBody} from './announcement-rules.js';
import {type Announcement} from './types.js';

/** Callbacks of an {@link AnnouncementServer}. */
export type AnnouncementServerOptions = {
	/** Processes an announcement. Rejects with a BuckthornhitchError to refuse it. */
	readonly onAnnouncement: (announcement: Announcement) => Promise<void>;
	/** Returns whether the process accepts new callers. */
	readonly isHealthy: () => boolean;
};

const payloadTooLargeStatus = 413;
const maximumBodyBytes = 10_000;
const maximumConcurrentAnnouncements = 256;
const requestTimeout: Milliseconds = 5000;

/** HTTP server that receives announcements of backend servers and answers the health checks of the load balancer. */
export class AnnouncementServer {
	readonly #server: Server;
	#inProgress = 0;

	constructor(private readonly options: AnnouncementServerOptions) {
		this.#server = createServer({requestTimeout, headersTimeout: requestTimeout}, (request, response) => {
			void this.#respond(request, response);
		});
	}

	/** Listens on the address and resolves with the bound address. Rejects when the address is already in use. */
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

	async #respond(request: IncomingMessage, response: ServerResponse): Promise<void> {
		try {
			await this.#handle(request, response);
		} catch (error) {
			const failure = toBuckthornhitchError(error);
			sendJson(response, httpStatusOf(failure), {code: failure.code, message: failure.message});
		}
	}

	async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
		const path = (request.url ?? '').split('?')[0];
		if (request.method === 'GET' && path === '/health') {
			const healthy = this.options.isHealthy();
			sendJson(response, healthy ? 200 : 503, {status: healthy ? 'serving' : 'draining'});
			return;
		}

		const pathNames = request.method === 'PUT' ? parseAnnouncementPath(path) : undefined;
		if (!pathNames) {
			throw new BuckthornhitchError('unknownRequest', 'Known are PUT /backend-servers/{database}/{member} and GET /health.');
		}

		if (this.#inProgress >= maximumConcurrentAnnouncements) {
			throw new BuckthornhitchError('queueFull', `${maximumConcurrentAnnouncements} announcements are in progress.`);
		}

		this.#inProgress++;
		try {
			await this.options.onAnnouncement(parseAnnouncementBody(pathNames, await readBody(request)));
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
		if (length > maximumBodyBytes) {
			throw new BuckthornhitchError('messageTooLarge', `An announcement has at most ${maximumBodyBytes} bytes.`);
		}

		chunks.push(chunk);
	}

	return Buffer.concat(chunks).toString('utf8');
}

function sendJson(response: ServerResponse, status: number, body: unknown): void {
	response.writeHead(status, {'content-type': 'application/json', ...(status === payloadTooLargeStatus && {connection: 'close'})}).end(JSON.stringify(body));
}
