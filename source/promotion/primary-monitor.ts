import {type BackendDirectory} from '../backend-directory/backend-directory.js';
import {type BackendServer} from '../backend-directory/types.js';
import {Controller} from '../blackboard/blackboard.js';
import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {compareLogPoints} from '../database-group/log-point-rules.js';
import {type MemberContact, type PrimaryReport} from '../registry/messages.js';
import {type MemberConnector} from '../statement/member-link.js';
import {MemberWatch} from './member-watch.js';

/** Pace of the questions; a primary that answers none shows within three of them. */
const watchPeriod: Milliseconds = 200;

/** Keeps a watch on every present backend server. */
export class PrimaryMonitor extends Controller {
	readonly #watches = new Map<string, MemberWatch>();
	#cancel: Cancel | undefined;

	constructor(private readonly clock: Clock, private readonly directory: BackendDirectory, private readonly connector: MemberConnector) {
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
	contacts(): readonly MemberContact[] {
		return [...this.#watches.values()].map(watch => watch.contact);
	}

	/** Returns the watch of a server. */
	watchOf(id: string): MemberWatch | undefined {
		return this.#watches.get(id);
	}

	/** Returns the newest confirmed primary of each service; nothing that was confirmed before a suspected suspension of this instance. */
	reports(): readonly PrimaryReport[] {
		const now = this.clock.now();
		const trustedSince = this.clock.suspectedUntil();
		const newest = new Map<string, PrimaryReport>();
		for (const {server, primary} of this.#watches.values()) {
			if (!primary || primary.askedAt <= trustedSince) {
				continue;
			}

			const other = newest.get(server.service);
			if (!other || compareLogPoints(primary.point, other.point) > 0) {
				newest.set(server.service, {
					service: server.service, primary: server.id, point: primary.point, age: now - primary.askedAt,
				});
			}
		}

		return [...newest.values()];
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
				this.#watches.set(id, new MemberWatch(server, this.connector, this.clock, watchPeriod));
			}
		}
	}
}

function isSame(watched: BackendServer, present: BackendServer | undefined): boolean {
	return present?.address === watched.address && present.startedAt === watched.startedAt && present.service === watched.service;
}
