import {createServer, type Server, type Socket} from 'node:net';
import {ListenerSet} from '../blackboard/listener-set.js';
import {type Clock} from '../clock/clock.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type HybridClock} from '../timeline/hybrid-clock.js';
import {type Address} from './address.js';
import {listenOn} from './listen.js';
import {type LinkPeer, type RequestHandler} from './link-client.js';
import {LinkSocket} from './link-socket.js';
import {type LinkMessage, type RequestMessage} from './messages.js';

/** Accepts links and dispatches requests and notices to registered handlers. */
export class LinkServer {
	readonly #handlers = new Map<string, RequestHandler>();
	readonly #links = new Set<LinkSocket>();
	readonly #closeListeners = new ListenerSet<[peer: LinkPeer]>();
	readonly #server: Server;
	#nextLinkId = 1;

	constructor(private readonly clock: Clock, private readonly hybridClock: HybridClock) {
		this.#server = createServer(socket => {
			this.#accept(socket);
		});
	}

	/** Registers the handler for requests or notices of the name. */
	handle(name: string, handler: RequestHandler): void {
		this.#handlers.set(name, handler);
	}

	/** Calls the listener after an accepted link was closed. */
	onLinkClosed(listener: (peer: LinkPeer) => void): void {
		this.#closeListeners.add(listener);
	}

	/** Listens on the address and resolves with the bound address. */
	async listen(address: Address): Promise<Address> {
		return listenOn(this.#server, address);
	}

	/** Stops accepting links and closes the open ones. */
	async close(): Promise<void> {
		for (const link of this.#links) {
			link.destroy();
		}

		return new Promise(resolve => {
			this.#server.close(() => {
				resolve();
			});
		});
	}

	#accept(socket: Socket): void {
		const peer: LinkPeer = {linkId: this.#nextLinkId++};
		const link = new LinkSocket({
			socket,
			clock: this.clock,
			hybridClock: this.hybridClock,
			onMessage: message => {
				void this.#receive(link, peer, message);
			},
			onClose: () => {
				this.#links.delete(link);
				this.#closeListeners.notify(peer);
			},
		});
		this.#links.add(link);
	}

	async #receive(link: LinkSocket, peer: LinkPeer, message: LinkMessage): Promise<void> {
		if (message.kind === 'notice') {
			await this.#handlers.get(message.name)?.(message.body, peer).catch(() => {
				// A notice has no response that could carry the error.
			});
		} else if (message.kind === 'request') {
			await this.#respond(link, peer, message);
		}
	}

	async #respond(link: LinkSocket, peer: LinkPeer, message: RequestMessage): Promise<void> {
		try {
			const handler = this.#handlers.get(message.name);
			if (!handler) {
				throw new BuckthornhitchError('unknownRequest', `"${message.name}"`);
			}

			const body = await handler(message.body, peer);
			link.send({
				kind: 'response', number: message.number, code: 0, body: body ?? null,
			});
		} catch (error) {
			const failure = toBuckthornhitchError(error);
			link.send({
				kind: 'response', number: message.number, code: failure.code, body: failure.detail,
			});
		}
	}
}
