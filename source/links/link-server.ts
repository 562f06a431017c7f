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
	readonly #links = new Map<number, LinkSocket>();
	/** Ids of the links whose peers must be known to be there. */
	readonly #watchedLinks = new Set<number>();
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

	/** Sets whether the peer of a link must be known to be there; if so, the link is closed when it is not. Otherwise a link that may be silent shows only with the next request that the peer is gone. */
	watchPeer(linkId: number, isNeeded: boolean): void {
		if (isNeeded) {
			this.#watchedLinks.add(linkId);
			this.#links.get(linkId)?.watchPeer();
		} else {
			this.#watchedLinks.delete(linkId);
		}
	}

	/** Listens on the address and resolves with the bound address. */
	async listen(address: Address): Promise<Address> {
		return listenOn(this.#server, address);
	}

	/** Stops accepting links and closes the open ones. */
	async close(): Promise<void> {
		for (const link of this.#links.values()) {
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
			isPeerNeeded: () => this.#watchedLinks.has(peer.linkId),
			allowsSilence: false,
			onMessage: message => {
				void this.#receive(link, peer, message);
			},
			onClose: () => {
				this.#links.delete(peer.linkId);
				this.#watchedLinks.delete(peer.linkId);
				this.#closeListeners.notify(peer);
			},
		});
		this.#links.set(peer.linkId, link);
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
