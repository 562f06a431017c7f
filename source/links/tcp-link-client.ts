import {createConnection, type Socket} from 'node:net';
import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {describeTimeout} from '../clock/describe-timeout.js';
import {BuckthornhitchError, errorFromCode, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type HybridClock} from '../timeline/hybrid-clock.js';
import {parseAddress, type Address} from './address.js';
import {LinkClient} from './link-client.js';
import {LinkSocket} from './link-socket.js';
import {type LinkMessage} from './messages.js';

/** Maximum time to open a link. */
export const connectTimeout: Milliseconds = 400;

/** A link that has sent no request or notice for this long is closed. Anti-entropy picks random peers, so without the limit a process would keep a link open to each of them. */
const defaultIdleLimit: Milliseconds = 30_000;

type PendingRequest = {
	readonly resolve: (body: unknown) => void;
	readonly reject: (error: BuckthornhitchError) => void;
	readonly cancelTimeout: Cancel;
};

type OpenLink = {
	readonly link: LinkSocket;
	readonly pending: Map<number, PendingRequest>;
	lastUsedAt: Milliseconds;
	cancelIdleCheck: Cancel;
};

/** Sends requests and notices over TCP; keeps one link per address. */
export class TcpLinkClient extends LinkClient {
	readonly #links = new Map<Address, Promise<OpenLink>>();
	readonly #silentAddresses = new Set<Address>();
	#nextRequestNumber = 1;
	#lateResponses = 0;

	/** The idle limit is in milliseconds. */
	constructor(private readonly clock: Clock, private readonly hybridClock: HybridClock, private readonly idleLimit: Milliseconds = defaultIdleLimit) {
		super();
	}

	/** Number of responses that were dropped because no request waited for them, usually after its timeout. */
	get lateResponses(): number {
		return this.#lateResponses;
	}

	override async request(address: Address, name: string, body: unknown, timeout: Milliseconds): Promise<unknown> {
		const {link, pending} = await this.#linkFor(address);
		const number = this.#nextRequestNumber++;
		return new Promise((resolve, reject) => {
			const cancelTimeout = this.clock.schedule(timeout, () => {
				pending.delete(number);
				reject(new BuckthornhitchError('linkOutcomeUnknown', `${address} did not answer ${name} ${describeTimeout(timeout)}.`));
			});
			pending.set(number, {resolve, reject, cancelTimeout});
			link.watchPeer();
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
		this.#linkFor(address).then(({link}) => {
			link.send({kind: 'notice', name, body});
		}).catch(() => {
			// Delivery of notices is best effort.
		});
	}

	override allowSilence(address: Address): void {
		this.#silentAddresses.add(address);
	}

	/** Closes all links. */
	async close(): Promise<void> {
		const linkPromises = [...this.#links.values()];
		this.#links.clear();
		for (const result of await Promise.allSettled(linkPromises)) {
			if (result.status === 'fulfilled') {
				result.value.link.destroy();
			}
		}
	}

	async #linkFor(address: Address): Promise<OpenLink> {
		const open = await this.#getOrOpen(address);
		open.lastUsedAt = this.clock.now();
		return open;
	}

	async #getOrOpen(address: Address): Promise<OpenLink> {
		const existing = this.#links.get(address);
		if (existing) {
			return existing;
		}

		const linkPromise: Promise<OpenLink> = this.#connect(address, () => {
			this.#removeLink(address, linkPromise);
		});
		this.#links.set(address, linkPromise);
		linkPromise.then(open => {
			this.#scheduleIdleCheck(address, linkPromise, open);
		}).catch(() => {
			this.#removeLink(address, linkPromise);
		});
		return linkPromise;
	}

	async #connect(address: Address, onClosed: () => void): Promise<OpenLink> {
		const socket = await connectSocket(address, this.clock);
		const pending = new Map<number, PendingRequest>();
		const link = new LinkSocket({
			socket,
			clock: this.clock,
			hybridClock: this.hybridClock,
			isPeerNeeded: () => pending.size > 0,
			allowsSilence: this.#silentAddresses.has(address),
			onMessage: message => {
				this.#receive(pending, message);
			},
			onClose() {
				open.cancelIdleCheck();
				// The link is removed before its requests are rejected, so that a retry made on rejection opens a new link.
				onClosed();
				rejectPending(address, pending);
			},
		});
		const open: OpenLink = {
			link, pending, lastUsedAt: this.clock.now(), cancelIdleCheck() {
				// Replaced when the first idle check is scheduled.
			},
		};
		return open;
	}

	#scheduleIdleCheck(address: Address, linkPromise: Promise<OpenLink>, open: OpenLink): void {
		open.cancelIdleCheck = this.clock.schedule(this.idleLimit, () => {
			if (open.pending.size === 0 && this.clock.now() - open.lastUsedAt >= this.idleLimit) {
				this.#removeLink(address, linkPromise);
				open.link.destroy();
			} else {
				this.#scheduleIdleCheck(address, linkPromise, open);
			}
		});
	}

	#receive(pending: Map<number, PendingRequest>, message: LinkMessage): void {
		if (message.kind !== 'response') {
			return;
		}

		const request = pending.get(message.number);
		if (!request) {
			this.#lateResponses++;
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

	#removeLink(address: Address, linkPromise: Promise<OpenLink>): void {
		if (this.#links.get(address) === linkPromise) {
			this.#links.delete(address);
		}
	}
}

function rejectPending(address: Address, pending: Map<number, PendingRequest>): void {
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
