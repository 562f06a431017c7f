import {createHash} from 'node:crypto';
import {type Clock, type Milliseconds} from '../clock/clock.js';
import {ListenerSet} from '../blackboard/listener-set.js';
import {type BackendAnnouncement, type BackendServer} from './types.js';

/** A server without an announcement for this long is no longer present. This is about eight times the period at which the announcements of a server are sent. */
const announcementExpiry: Milliseconds = 10_000;

/** How long a server is kept after its last announcement, whether or not it has left. Longer than any announcement may be delayed, so that a late announcement does not bring back a server that left. */
const entryRetention: Milliseconds = 60_000;

type DirectoryEntry = {
	server: BackendServer;
	lastAnnouncedAt: Milliseconds;
	/** Time at which the number of the last announcement became known here. Another instance may have received later ones. */
	sequenceKnownAt: Milliseconds;
	/** Version of the directory when the server last changed (see `hasChanged`) or left. */
	version: number;
};

/** Directory of the backend servers, as they last announced themselves. */
export class BackendDirectory {
	readonly #entries = new Map<string, DirectoryEntry>();
	readonly #listeners = new ListenerSet<[server: BackendServer]>();
	#version = 0;

	constructor(private readonly clock: Clock) {}

	/** Version of the directory; it increases each time a server changes (see `hasChanged`) or leaves. */
	get version(): number {
		return this.#version;
	}

	/** The present servers: those that have not left and were announced within `announcementExpiry`, including those that are leaving. */
	get servers(): readonly BackendServer[] {
		const oldest = this.clock.now() - announcementExpiry;
		return [...this.#entries.values()].filter(entry => !entry.server.isGone && entry.lastAnnouncedAt >= oldest).map(entry => entry.server);
	}

	/** Calls the listener each time a server has changed (see `hasChanged`) or left. */
	onChange(listener: (server: BackendServer) => void): void {
		this.#listeners.add(listener);
	}

	/** Returns the present servers of a service. */
	serversOf(service: string): readonly BackendServer[] {
		return this.servers.filter(server => server.service === service);
	}

	/** Returns the servers of a service that have left or no longer announce themselves, unless another one of the service has started at the address, which has taken over the data. */
	formerServersOf(service: string): readonly BackendServer[] {
		const present = this.serversOf(service);
		return this.known.filter(server => server.service === service && !present.some(({id, address}) => id === server.id || address === server.address));
	}

	/** Returns a server by its id, also after it left. */
	serverById(id: string): BackendServer | undefined {
		return this.#entries.get(id)?.server;
	}

	/** Digest of the directory without the sequence numbers of announcements; processes that know the same servers have the same digest. */
	get digest(): string {
		const lines = [...this.#entries.values()].map(({server: {sequence, ...rest}}) => JSON.stringify(Object.entries(rest).toSorted(([first], [second]) => first.localeCompare(second))));
		return createHash('sha256').update(lines.toSorted((first, second) => first.localeCompare(second)).join('\n')).digest('base64').slice(0, 12);
	}

	/** Every known server, including those that left. */
	get known(): readonly BackendServer[] {
		return this.changesSince(-1);
	}

	/** Returns the time since the last announcement of a server; infinite for an unknown one. */
	timeSinceLastAnnouncement(id: string): Milliseconds {
		return this.clock.now() - (this.#entries.get(id)?.lastAnnouncedAt ?? Number.NEGATIVE_INFINITY);
	}

	/** Returns the time since the number of the last announcement of a server became known here; infinite for an unknown one. */
	timeSinceSequenceKnown(id: string): Milliseconds {
		return this.clock.now() - (this.#entries.get(id)?.sequenceKnownAt ?? Number.NEGATIVE_INFINITY);
	}

	/** Applies an announcement unless it is older than the known one; returns whether it was applied. See `BackendServer.generation`. */
	applyAnnouncement(announcement: BackendAnnouncement, generation = 0): boolean {
		const entry = this.#entries.get(announcement.id);
		const announced: BackendServer = {...announcement, isGone: false, ...(generation > 0 && {generation})};
		if (entry && !isNewer(announced, entry.server)) {
			return false;
		}

		const changed = !entry || hasChanged(entry.server, announced);
		const server: BackendServer = {...announced, isGone: entry !== undefined && compareStarts(announced, entry.server) === 0 && entry.server.isGone};
		const now = this.clock.now();
		this.#entries.set(announcement.id, {
			server, lastAnnouncedAt: now, sequenceKnownAt: now, version: changed ? ++this.#version : entry.version,
		});
		this.#markPredecessorsGone(server);
		if (changed) {
			this.#listeners.notify(server);
		}

		return true;
	}

	/** Marks a server as gone, which means that it has left; returns whether it was present before. */
	markGone(id: string): boolean {
		const entry = this.#entries.get(id);
		if (!entry || entry.server.isGone) {
			return false;
		}

		this.#setGone(entry);
		return true;
	}

	/** Returns the servers that changed after a version of the directory, including those that left. */
	changesSince(version: number): readonly BackendServer[] {
		return [...this.#entries.values()].filter(entry => entry.version > version).map(entry => entry.server);
	}

	/** Merges servers from another process's directory. */
	merge(servers: readonly BackendServer[]): void {
		for (const server of servers) {
			this.applyAnnouncement(server, server.generation);
			const known = this.#entries.get(server.id)?.server;
			if (server.isGone && known && compareStarts(known, server) === 0) {
				this.markGone(server.id);
			}
		}
	}

	/** Records how long ago other processes received announcements of these servers, in milliseconds. */
	recordAnnouncementAges(ages: ReadonlyArray<readonly [id: string, age: Milliseconds]>): void {
		const now = this.clock.now();
		for (const [id, age] of ages) {
			const entry = this.#entries.get(id);
			if (entry) {
				entry.lastAnnouncedAt = Math.max(entry.lastAnnouncedAt, now - age);
			}
		}
	}

	/** Removes servers without an announcement for `entryRetention`. */
	prune(): void {
		const oldest = this.clock.now() - entryRetention;
		for (const [id, entry] of this.#entries) {
			if (entry.lastAnnouncedAt < oldest) {
				this.#entries.delete(id);
			}
		}
	}

	/** Marks earlier servers at the same address as gone: an address belongs to the server that started there last. */
	#markPredecessorsGone({address}: BackendServer): void {
		const present = [...this.#entries.values()].filter(({server}) => server.address === address && !server.isGone);
		for (const entry of present) {
			if (present.some(({server}) => compareStarts(server, entry.server) > 0)) {
				this.#setGone(entry);
			}
		}
	}

	#setGone(entry: DirectoryEntry): void {
		entry.server = {...entry.server, isGone: true};
		entry.version = ++this.#version;
		this.#listeners.notify(entry.server);
	}
}

/** Compares when two servers, or the same one twice, started. */
function compareStarts(first: BackendServer, second: BackendServer): number {
	return (first.generation ?? 0) - (second.generation ?? 0) || first.startedAt - second.startedAt;
}

function isNewer(announced: BackendServer, known: BackendServer): boolean {
	const order = compareStarts(announced, known);
	return order === 0 ? announced.sequence > known.sequence : order > 0;
}

/** Returns whether an announcement changes a server. The sequence number, which increases with each announcement, and the data centre are not compared. */
function hasChanged(known: BackendServer, announcement: BackendServer): boolean {
	return compareStarts(known, announcement) !== 0 || known.address !== announcement.address
		|| known.isLeaving !== announcement.isLeaving || known.role !== announcement.role
		|| known.service !== announcement.service || known.slots !== announcement.slots;
}
