import {type Controller} from '../blackboard/blackboard.js';
import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {type ConfigurationSinceRequest, type ConfigurationSinceResponse} from '../control/messages.js';
import {type LinkClient} from '../links/link-client.js';
import {LargeResponseLimiter} from '../links/large-response-limiter.js';
import {type RequestHandlerRegistry} from '../membership/record-exchange.js';
import {type RevisionGossip} from '../membership/revision-gossip.js';
import {type Logger} from '../observability/logger.js';
import {type Random} from '../random/random.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type Timeline} from '../timeline/timeline.js';
import {type ConfigurationOrigin} from './configuration-origin.js';
import {sizeOfResponse, type ConfigurationStore} from './configuration-store.js';

/** Name of the request for the changes after a revision; every process answers it from the configuration it holds. */
export const configurationFromPeerRequestName = 'configurationFromPeer';

/** Number of peers that a process serves at a time; further ones are refused and retry with another process that holds the revision. */
export const maximumConcurrentPeerResponses = 4;

const peerTimeout: Milliseconds = 2000;
// After this many failed attempts to fetch an announced revision from peers, the control instances are asked once.
const peerAttemptsPerOriginAttempt = 5;
const minimumBackoff: Milliseconds = 40;
const maximumBackoff: Milliseconds = 2000;
const maximumRevisionHolders = 32;

/** Dependencies of the configuration controller. */
export type ConfigurationControllerOptions = {
	readonly clock: Clock;
	readonly random: Random;
	readonly store: ConfigurationStore;
	readonly origin: ConfigurationOrigin;
	readonly gossip: RevisionGossip;
	readonly linkClient: LinkClient;
	readonly handlers: RequestHandlerRegistry;
	readonly logger: Logger;
	readonly timeline: Timeline;
	/** Period at which the control instances are polled for unannounced changes. Set when this process is a control instance, since these are the first to hold a new revision; undefined otherwise. */
	readonly originPollPeriod?: Milliseconds;
};

/** Keeps the configuration of one process current. The first revision is fetched from the control instances, later ones from peers that announced them. */
export class ConfigurationController implements Controller {
	/** Highest announced revision by name of the process that holds it. */
	readonly #announcedRevisions = new Map<string, number>();
	readonly #responseLimiter: LargeResponseLimiter;
	readonly #cancels: Cancel[] = [];
	#highestAnnounced = 0;
	#fetching = false;
	#refreshing = false;
	#refreshDue = false;
	#stopped = false;
	#endBackoff: (() => void) | undefined;

	constructor(private readonly options: ConfigurationControllerOptions) {
		this.#responseLimiter = new LargeResponseLimiter(options.clock, maximumConcurrentPeerResponses);
	}

	/** Fetches the first revision from the control instances and subscribes to announcements. */
	start(): void {
		const {clock, gossip, handlers, originPollPeriod} = this.options;
		handlers.handle(configurationFromPeerRequestName, async body => this.#handlePeerRequest(body));
		this.#cancels.push(gossip.onRevision((revision, holder) => {
			this.#handleAnnouncement(revision, holder);
		}));
		if (originPollPeriod !== undefined) {
			this.#cancels.push(clock.repeat(originPollPeriod, () => {
				this.refresh();
			}));
		}

		void this.#fetchFirst();
	}

	/** Stops fetching and removes all listeners and timers. */
	stop(): void {
		this.#stopped = true;
		this.#endBackoff?.();
		for (const cancel of this.#cancels) {
			cancel();
		}
	}

	/** Fetches changes from the control instances immediately; a control instance calls this after each commit. */
	refresh(): void {
		if (this.options.store.revision === undefined) {
			this.#endBackoff?.();
		} else {
			this.#refreshDue = true;
			void this.#fetchDueChanges();
		}
	}

	async #fetchDueChanges(): Promise<void> {
		if (this.#refreshing) {
			return;
		}

		this.#refreshing = true;
		while (this.#refreshDue && !this.#stopped) {
			this.#refreshDue = false;
			try {
				await this.#fetchFromOrigin();
			} catch (error) {
				this.options.logger.debug(`fetching changes from the control instances failed: ${String(error)}`);
			}
		}

		this.#refreshing = false;
	}

	#handleAnnouncement(revision: number, holder: string): void {
		const {store} = this.options;
		if (store.revision !== undefined && revision <= store.revision) {
			return;
		}

		this.#announcedRevisions.delete(holder);
		this.#announcedRevisions.set(holder, revision);
		if (this.#announcedRevisions.size > maximumRevisionHolders) {
			const [oldest] = this.#announcedRevisions.keys();
			this.#announcedRevisions.delete(oldest);
		}

		if (revision > this.#highestAnnounced) {
			this.#highestAnnounced = revision;
			void this.#fetchAnnounced();
		}
	}

	async #fetchFirst(): Promise<void> {
		for (let attempt = 0; !this.#stopped && this.options.store.revision === undefined; attempt++) {
			try {
				await this.#fetchFromOrigin();
			} catch (error) {
				this.options.logger.info(`the control instances have not returned a confirmed configuration yet: ${String(error)}`);
			}

			if (this.options.store.revision === undefined) {
				await this.#backOff(attempt);
			}
		}

		await this.#fetchAnnounced();
	}

	async #fetchAnnounced(): Promise<void> {
		const {store} = this.options;
		if (this.#fetching || store.revision === undefined) {
			return;
		}

		this.#fetching = true;
		for (let attempt = 0; !this.#stopped && store.revision < this.#highestAnnounced; attempt++) {
			const before = store.revision;
			await this.#attemptFetch(attempt);
			if (store.revision > before) {
				attempt = -1;
			} else {
				await this.#backOff(attempt);
			}
		}

		this.#fetching = false;
	}

	async #attemptFetch(attempt: number): Promise<void> {
		try {
			const usePeer = attempt % (peerAttemptsPerOriginAttempt + 1) < peerAttemptsPerOriginAttempt;
			await (usePeer && this.#sampleHolder() !== undefined ? this.#fetchFromPeer(this.#sampleHolder()!) : this.#fetchAnnouncedFromOrigin());
		} catch (error) {
			this.options.logger.debug(`fetching an announced revision failed: ${String(error)}`);
		}
	}

	async #fetchFromPeer(holder: string): Promise<void> {
		const {gossip, linkClient, store} = this.options;
		const peer = gossip.livePeer(holder);
		if (!peer) {
			this.#announcedRevisions.delete(holder);
			return;
		}

		const request: ConfigurationSinceRequest = {revision: store.revision ?? 0};
		const response = await linkClient.request(peer.linkAddress, configurationFromPeerRequestName, request, peerTimeout);
		this.#accept(checkResponse(response), holder);
	}

	// When the control instances confirm that the announced revision does not exist, all announcements are discarded: they are wrong, or date from before the deployment was set up again.
	async #fetchAnnouncedFromOrigin(): Promise<void> {
		const announced = this.#highestAnnounced;
		await this.#fetchFromOrigin();
		if ((this.options.store.revision ?? 0) < announced && this.#highestAnnounced === announced) {
			this.#highestAnnounced = 0;
			this.#announcedRevisions.clear();
		}
	}

	async #fetchFromOrigin(): Promise<void> {
		const {origin, store} = this.options;
		this.#accept(await origin.changesSince(store.revision ?? 0), 'control');
	}

	#accept(response: ConfigurationSinceResponse, source: string): void {
		const {store, gossip, timeline, logger} = this.options;
		if (this.#stopped || !store.accept(response)) {
			return;
		}

		const revision = store.revision!;
		gossip.announceRevision(revision);
		timeline.record('configuration', 'accepted', String(revision), `from ${source}`);
		logger.info(`revision ${revision} from ${source} is in force`);
	}

	#sampleHolder(): string | undefined {
		const ownRevision = this.options.store.revision ?? 0;
		const holders = [...this.#announcedRevisions].filter(([, revision]) => revision > ownRevision).map(([name]) => name);
		return this.options.random.sample(holders, 1)[0];
	}

	#handlePeerRequest(body: unknown): ConfigurationSinceResponse {
		const revision = typeof body === 'object' && body !== null && 'revision' in body ? body.revision : undefined;
		if (typeof revision !== 'number') {
			throw new BuckthornhitchError('malformedMessage', `${configurationFromPeerRequestName} needs a revision.`);
		}

		return this.#responseLimiter.respond(() => this.options.store.changesSince(revision), sizeOfResponse);
	}

	async #backOff(attempt: number): Promise<void> {
		const {clock, random} = this.options;
		const backoff = Math.min(maximumBackoff, minimumBackoff * (2 ** attempt));
		await new Promise<void>(resolve => {
			this.#endBackoff = resolve;
			clock.schedule((backoff / 2) + random.integerBelow(backoff / 2), resolve);
		});
	}
}

function checkResponse(response: unknown): ConfigurationSinceResponse {
	const candidate = response as Partial<ConfigurationSinceResponse> | null;
	const isDeltas = candidate?.kind === 'deltas' && Array.isArray(candidate.deltas);
	const isSnapshot = candidate?.kind === 'snapshot' && typeof candidate.configuration?.revision === 'number';
	if (!isDeltas && !isSnapshot) {
		throw new BuckthornhitchError('malformedMessage', `The answer to ${configurationFromPeerRequestName} has neither deltas nor a snapshot.`);
	}

	return response as ConfigurationSinceResponse;
}
