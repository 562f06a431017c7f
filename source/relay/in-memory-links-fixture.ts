import {type Milliseconds} from '../clock/clock.js';
import {LinkClient, type LinkPeer, type RequestHandler} from '../links/link-client.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';

/** Registers handlers of one address of in-memory links. */
export type InMemoryLinkServer = {
	handle(name: string, handler: RequestHandler): void;
	onLinkClosed(listener: (peer: LinkPeer) => void): void;
	watchPeer(linkId: number, isNeeded: boolean): void;
};

/** In-memory links between entries; tests may make an address unreachable or silent. */
export class InMemoryLinks extends LinkClient {
	readonly unreachableAddresses = new Set<string>();
	/** Addresses that receive requests and never answer them. */
	readonly silentAddresses = new Set<string>();
	/** Links whose peers the servers watch. */
	readonly watchedLinks = new Set<number>();
	/** Requests sent so far, with their address. */
	readonly requests: Array<{readonly address: string; readonly name: string; readonly body: unknown}> = [];
	readonly #handlers = new Map<string, Map<string, RequestHandler>>();
	readonly #closeListeners = new Map<string, (peer: LinkPeer) => void>();

	/** Returns the registry of the handlers of an address. */
	serverAt(address: string): InMemoryLinkServer {
		const handlers = new Map<string, RequestHandler>();
		this.#handlers.set(address, handlers);
		return {
			handle(name, handler) {
				handlers.set(name, handler);
			},
			onLinkClosed: listener => {
				this.#closeListeners.set(address, listener);
			},
			watchPeer: (linkId, isNeeded) => {
				if (isNeeded) {
					this.watchedLinks.add(linkId);
				} else {
					this.watchedLinks.delete(linkId);
				}
			},
		};
	}

	/** Drops the link to the address and makes the address unreachable; the peer notices that the link is closed. */
	dropLink(address: string, linkId = 1): void {
		this.unreachableAddresses.add(address);
		this.#closeListeners.get(address)?.({linkId});
	}

	/** Returns a client whose requests arrive on links of their own. */
	clientWithLink(linkId: number): LinkClient {
		return new LinkView(this, linkId);
	}

	override async request(address: string, name: string, body: unknown, timeout: Milliseconds): Promise<unknown> {
		return this.requestOn(1, address, name, body, timeout);
	}

	/** Sends a request on the link. */
	async requestOn(linkId: number, ...[address, name, body, timeout]: Parameters<LinkClient['request']>): Promise<unknown> {
		this.requests.push({address, name, body});
		const handler = this.#handlers.get(address)?.get(name);
		if (this.unreachableAddresses.has(address) || !handler) {
			throw new BuckthornhitchError('linkNotSent', `${address} ${timeout}`);
		}

		return this.silentAddresses.has(address) ? this.waitForTimeout(timeout) : handler(body, {linkId});
	}

	override notify(address: string, name: string, body: unknown): void {
		this.notifyOn(1, address, name, body);
	}

	/** Sends a notice on the link. */
	notifyOn(linkId: number, ...[address, name, body]: Parameters<LinkClient['notify']>): void {
		if (!this.unreachableAddresses.has(address) && !this.silentAddresses.has(address)) {
			void this.#handlers.get(address)?.get(name)?.(body, {linkId});
		}
	}

	/** Rejects after the timeout; tests with silent addresses replace it by a wait on their clock. */
	waitForTimeout: (timeout: Milliseconds) => Promise<never> = async () => {
		throw new BuckthornhitchError('linkOutcomeUnknown', 'no answer');
	};
}

class LinkView extends LinkClient {
	constructor(private readonly links: InMemoryLinks, private readonly linkId: number) {
		super();
	}

	override async request(...parameters: Parameters<LinkClient['request']>): Promise<unknown> {
		return this.links.requestOn(this.linkId, ...parameters);
	}

	override notify(...parameters: Parameters<LinkClient['notify']>): void {
		this.links.notifyOn(this.linkId, ...parameters);
	}
}
