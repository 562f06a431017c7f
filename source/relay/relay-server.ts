import {Controller} from '../blackboard/blackboard.js';
import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {type LinkPeer, type RequestHandler} from '../links/link-client.js';
import {type Logger} from '../observability/logger.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type MemberPool} from '../session-proxy/member-pool.js';
import {boundText} from '../session-proxy/request-trace.js';
import {
	gatewayProbeName, type CloseRelayNotice, type OpenRelayRequest, type OpenRelayResponse, type RelayStatementResponse, type RelayStatementRequest,
} from './messages.js';
import {RelaySession} from './relay-session.js';

/** A relay without a statement for this long is closed; longer than a transaction may be idle. */
const idleTimeout: Milliseconds = 30_000;

const idleCheckPeriod: Milliseconds = 5000;

/** Dependencies of the relay server. */
export type RelayServerOptions = {
	readonly clock: Clock;
	readonly logger: Logger;
	readonly linkServer: {
		handle(name: string, handler: RequestHandler): void;
		onLinkClosed(listener: (peer: LinkPeer) => void): void;
		watchPeer(linkId: number, isNeeded: boolean): void;
	};
	/** Returns whether this instance is a gateway to the member; by default it is one to every member. */
	readonly isGateway?: (service: string, member: string) => boolean;
	/** Returns this instance's pool of direct connections to a member, if it reaches the member directly. */
	readonly poolOf: (service: string, member: string) => MemberPool | undefined;
};

type Relay = {
	readonly linkId: number;
	readonly session: RelaySession;
	usedAt: Milliseconds;
};

/** Gateway: executes statements on members for other entries, which are instances that accept callers. */
export class RelayServer extends Controller {
	readonly #relays = new Map<string, Relay>();
	/** Relays with an open transaction, by the link on which they were opened. */
	readonly #openTransactions = new Map<number, Set<RelaySession>>();
	#isDraining = false;
	#cancelIdleCheck: Cancel | undefined;

	constructor(private readonly options: RelayServerOptions) {
		super();
	}

	/** Number of relays with a pending statement or an open transaction. */
	get activeRelayCount(): number {
		return [...this.#relays.values()].filter(({session}) => session.isActive).length;
	}

	override start(): void {
		const {clock, linkServer} = this.options;
		linkServer.handle('openRelay', async (body, peer) => this.#open(body as OpenRelayRequest, peer));
		linkServer.handle('relayStatement', async (body, peer) => this.#execute(body as RelayStatementRequest, peer));
		linkServer.handle('closeRelay', async (body, peer) => {
			this.#close(relayKey((body as CloseRelayNotice).relay, peer));
		});
		linkServer.handle(gatewayProbeName, async () => null);
		linkServer.onLinkClosed(peer => {
			this.#closeWhere(({linkId}) => linkId === peer.linkId);
		});
		this.#cancelIdleCheck = clock.repeat(idleCheckPeriod, () => {
			const cutoff = clock.now() - idleTimeout;
			this.#closeWhere(({usedAt}) => usedAt < cutoff);
		});
	}

	override stop(): void {
		this.#cancelIdleCheck?.();
		this.#closeWhere(() => true);
	}

	/** Refuses new relays and statements; open transactions may continue. */
	drain(): void {
		this.#isDraining = true;
	}

	/** Rolls back every open transaction. */
	abortTransactions(): void {
		this.#closeWhere(({session}) => session.isInTransaction);
	}

	async #open({relay, service, member, customer}: OpenRelayRequest, peer: LinkPeer): Promise<OpenRelayResponse> {
		const usablePool = (): MemberPool | undefined => {
			const pool = this.options.poolOf(service, member);
			return pool && !pool.isFailing && !pool.server.isLeaving ? pool : undefined;
		};

		if (this.options.isGateway?.(service, member) === false) {
			// Not a sign that the member has failed; lists of entries differ for a moment after a change.
			throw new BuckthornhitchError('notGateway', member);
		}

		const pool = usablePool();
		if (this.#isDraining || !pool) {
			throw new BuckthornhitchError('memberUnreachable', this.#isDraining ? 'the gateway is stopping' : `${member} is not reached from here`);
		}

		this.#relays.set(relayKey(relay, peer), {
			linkId: peer.linkId, session: new RelaySession(member, this.options.clock, usablePool, customer), usedAt: this.options.clock.now(),
		});
		return {...(pool.hasGatewaysNearMember && {supportsPrimaryReads: true}), usesSentNames: true};
	}

	async #execute(request: RelayStatementRequest, peer: LinkPeer): Promise<RelayStatementResponse> {
		const relay = this.#relays.get(relayKey(request.relay, peer));
		// The begin of the transaction may not be answered yet.
		const isContinued = request.isInTransaction ? relay?.session.isActive : relay?.session.isInTransaction;
		if (!relay || (this.#isDraining && !isContinued)) {
			return {
				kind: 'notRun', reason: 'busy', detail: relay ? 'the gateway is stopping' : 'the relay is not known', isLost: true,
			};
		}

		relay.usedAt = this.options.clock.now();
		const response = await relay.session.execute(request);
		this.#watchPeer(relay);
		if (response.kind !== 'answered') {
			const {statement} = request;
			this.options.logger.info(`relayed statement ${response.kind}: ${boundText(response.detail)}`, {
				request: 'id' in statement ? boundText(statement.id) : '-', statement: statement.kind, member: relay.session.member, timeout: Math.max(0, Math.round(request.timeout)), outcome: response.kind,
			});
		}

		return response;
	}

	#closeWhere(predicate: (relay: Relay) => boolean): void {
		for (const [key, relay] of this.#relays) {
			if (predicate(relay)) {
				this.#close(key);
			}
		}
	}

	#close(key: string): void {
		const relay = this.#relays.get(key);
		this.#relays.delete(key);
		if (relay) {
			relay.session.close();
			this.#watchPeer(relay);
		}
	}

	/** Watches the requesting entry while a transaction is open, which must be rolled back when the entry is gone. */
	#watchPeer({linkId, session}: Relay): void {
		const wasOpen = this.#openTransactions.get(linkId)?.has(session) ?? false;
		if (session.isInTransaction === wasOpen) {
			return;
		}

		const open = this.#openTransactions.get(linkId) ?? new Set();
		if (session.isInTransaction) {
			open.add(session);
			this.#openTransactions.set(linkId, open);
		} else {
			open.delete(session);
			if (open.size === 0) {
				this.#openTransactions.delete(linkId);
			}
		}

		this.options.linkServer.watchPeer(linkId, open.size > 0);
	}
}

function relayKey(relay: number, {linkId}: LinkPeer): string {
	return `${linkId}/${relay}`;
}
