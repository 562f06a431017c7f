import {createConnection, type Socket} from 'node:net';
import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {BuckthornhitchError, errorFromCode, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type HybridClock} from '../timeline/hybrid-clock.js';
import {parseAddress, type Address} from './address.js';
import {LinkClient} from './link-client.js';
import {LinkSocket} from './link-socket.js';
import {type LinkMessage} from './messages.js';

/** A new link must be open within this many milliseconds. */
export const connectTimeout: Milliseconds = 400;

/** A link that sent no request or notice for this many milliseconds is closed, since a process that compares itself with random peers would otherwise keep a link to each of them. */
const standardIdleLimit: Milliseconds = 30_000;

type PendingRequest = {
	readonly resolve: (body: unknown) => void;
	readonly reject: (error: BuckthornhitchError) => void;
	readonly cancelTimeout: Cancel;
};

type OpenLink = {
	readonly link: LinkSocket;
	readonly pending: Map<number, PendingRequest>;
	lastUsed: Milliseconds;
	cancelIdleCheck: Cancel;
};

/** Sends requests over TCP; keeps one link for each address. */
export class TcpLinkClient extends LinkClient {
	readonly #links = new Map<Address, Promise<OpenLink>>();
	#nextNumber = 1;
	#droppedResponses = 0;

	/** The idle limit is in milliseconds. */
	constructor(private readonly clock: Clock, private readonly hybridClock: HybridClock, private readonly idleLimit: Milliseconds = standardIdleLimit) {
		super();
	}

	/** Number of responses that came after their timeout. */
	get droppedResponses(): number {
		return this.#droppedResponses;
	}

	override async request(address: Address, name: string, body: unknown, timeout: Milliseconds): Promise<unknown> {
		const {link, pending} = await this.#use(address);
		const number = this.#nextNumber++;
		return new Promise((resolve, reject) => {
			const cancelTimeout = this.clock.schedule(timeout, () => {
				pending.delete(number);
				reject(new BuckthornhitchError('linkOutcomeUnknown', `${address} did not answer ${name} within ${Math.round(timeout)} ms.`));
			});
			pending.set(number, {resolve, reject, cancelTimeout});
			try {
				link.send({
					kind: 'request', number, name, body,
				});
			} catch (error) {
				cancelTimeout();
				pending.delete(number);
				reject(toBuckthornhitchError(error));
			}
		});
	}

	override notify(address: Address, name: string, body: unknown): void {
		this.#use(address).then(({link}) => {
			link.send({kind: 'notice', name, body});
		}).catch(() => {
			// A notice may be lost.
		});
	}

	/** Closes all links. */
	async close(): Promise<void> {
		const opening = [...this.#links.values()];
		this.#links.clear();
		for (const result of await Promise.allSettled(opening)) {
			if (result.status === 'fulfilled') {
				result.value.link.destroy();
			}
		}
	}

	async #use(address: Address): Promise<OpenLink> {
		const open = await this.#open(address);
		open.lastUsed = this.clock.now();
		return open;
	}

	async #open(address: Address): Promise<OpenLink> {
		const existing = this.#links.get(address);
		if (existing) {
			return existing;
		}

		const opening: Promise<OpenLink> = this.#connect(address, () => {
			this.#forget(address, opening);
		});
		this.#links.set(address, opening);
		opening.then(open => {
			this.#closeWhenIdle(address, opening, open);
		}).catch(() => {
			this.#forget(address, opening);
		});
		return opening;
	}

	async #connect(address: Address, onClosed: () => void): Promise<OpenLink> {
		const socket = await connectSocket(address, this.clock);
		const pending = new Map<number, PendingRequest>();
		const link = new LinkSocket({
			socket,
			clock: this.clock,
			hybridClock: this.hybridClock,
			onMessage: message => {
				this.#receive(pending, message);
			},
			onClose() {
				open.cancelIdleCheck();
				// The link is forgotten before its requests fail, so that a request made in answer to the failure opens a new one.
				onClosed();
				failPending(address, pending);
			},
		});
		const open: OpenLink = {
			link, pending, lastUsed: this.clock.now(), cancelIdleCheck() {
				// Set once the link is in use.
			},
		};
		return open;
	}

	#closeWhenIdle(address: Address, opening: Promise<OpenLink>, open: OpenLink): void {
		open.cancelIdleCheck = this.clock.schedule(this.idleLimit, () => {
			if (open.pending.size === 0 && this.clock.now() - open.lastUsed >= this.idleLimit) {
				this.#forget(address, opening);
				open.link.destroy();
			} else {
				this.#closeWhenIdle(address, opening, open);
			}
		});
	}

	#receive(pending: Map<number, PendingRequest>, message: LinkMessage): void {
		if (message.kind !== 'response') {
			return;
		}

		const request = pending.get(message.number);
		if (!request) {
			this.#droppedResponses++;
			return;
		}

		pending.delete(message.number);
		request.cancelTimeout();
		if (message.code === 0) {
			request.resolve(message.body);
		} else {
			request.reject(errorFromCode(message.code, String(message.body)));
		}
	}

	#forget(address: Address, opening: Promise<OpenLink>): void {
		if (this.#links.get(address) === opening) {
			this.#links.delete(address);
		}
	}
}

function failPending(address: Address, pending: Map<number, PendingRequest>): void {
	for (const request of pending.values()) {
		request.cancelTimeout();
		request.reject(new BuckthornhitchError('linkOutcomeUnknown', `The link to ${address} was lost.`));
	}

	pending.clear();
}

async function connectSocket(address: Address, clock: Clock): Promise<Socket> {
	const {host, port} = parseAddress(address);
	return new Promise((resolve, reject) => {
		const socket = createConnection({host, port});
		const fail = (reason: string): void => {
			socket.destroy();
			reject(new BuckthornhitchError('linkNotSent', `${address}: ${reason}.`));
		};

		const cancelTimeout = clock.schedule(connectTimeout, () => {
			fail(`no connection within ${connectTimeout} ms`);
		});
		const onError = (error: Error): void => {
			cancelTimeout();
			fail(error.message);
		};

		socket.once('error', onError);
		socket.once('connect', () => {
			cancelTimeout();
			socket.off('error', onError);
			resolve(socket);
		});
	});
}
