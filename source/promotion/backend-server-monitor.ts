import {type BackendDirectory} from '../backend-directory/backend-directory.js';
import {type BackendServer} from '../backend-directory/types.js';
import {Controller} from '../blackboard/blackboard.js';
import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {type BackendReachability, type PrimaryReport} from '../registry/messages.js';
import {type MemberConnector} from '../statement/member-connection.js';
import {MemberWatch} from './member-watch.js';

/** Pace of the leader's questions to a primary; one that answers none shows within three of them. */
const leaderPeriod: Milliseconds = 200;

/** Pace of the other instances' questions to a primary; a fraction of the age that reads may have. */
const observerPeriod: Milliseconds = 400;

/** Pace of questions to replicas. */
const replicaPeriod: Milliseconds = 1000;

/** Keeps a watch on every present backend server. */
export class BackendServerMonitor extends Controller {
	readonly #watches = new Map<string, MemberWatch>();
	#cancel: Cancel | undefined;

	constructor(private readonly clock: Clock, private readonly directory: BackendDirectory, private readonly connector: MemberConnector, private readonly isLeader: () => boolean) {
		super();
	}

	override start(): void {
		this.directory.onChange(() => {
			this.#refresh();
		});
		this.#cancel = this.clock.repeat(1000, () => {
			this.#refresh();
		});
	}

	override stop(): void {
		this.#cancel?.();
		for (const watch of this.#watches.values()) {
			watch.stop();
		}

		this.#watches.clear();
	}

	/** Returns how this instance fares with each server. */
	contacts(): readonly BackendReachability[] {
		return [...this.#watches.values()].map(watch => watch.contact);
	}

	/** Returns the watch of a server. */
	watchOf(id: string): MemberWatch | undefined {
		return this.#watches.get(id);
	}

	/** Returns the primary of each service that was confirmed last; nothing that was confirmed before a suspected suspension of this instance. */
	primaryReports(): readonly PrimaryReport[] {
		const now = this.clock.now();
		const trustedSince = this.clock.lastSuspectedSuspension();
		const newest = new Map<string, PrimaryReport>();
		for (const {server, primary} of this.#watches.values()) {
			if (!primary || primary.askedAt <= trustedSince) {
				continue;
			}

			const age = now - primary.askedAt;
			if (age < (newest.get(server.service)?.age ?? Number.POSITIVE_INFINITY)) {
				newest.set(server.service, {
					service: server.service, primary: server.id, point: primary.point, age,
				});
			}
		}

		return [...newest.values()];
	}

	#period(isPrimary: boolean): Milliseconds {
		if (!isPrimary) {
			return replicaPeriod;
		}

		return this.isLeader() ? leaderPeriod : observerPeriod;
	}

	#refresh(): void {
		const present = new Map(this.directory.servers.map(server => [server.id, server]));
		for (const [id, watch] of this.#watches) {
			if (!isSame(watch.server, present.get(id))) {
				watch.stop();
				this.#watches.delete(id);
			}
		}

		for (const [id, server] of present) {
			if (!this.#watches.has(id)) {
				this.#watches.set(id, new MemberWatch(server, this.connector, this.clock, isPrimary => this.#period(isPrimary)));
			}
		}
	}
}

function isSame(watched: BackendServer, present: BackendServer | undefined): boolean {
	return present?.address === watched.address && present.startedAt === watched.startedAt && present.service === watched.service;
}
