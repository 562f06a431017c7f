import {createHash} from 'node:crypto';
import {type Clock, type Milliseconds} from '../clock/clock.js';
import {ListenerSet} from '../blackboard/listener-set.js';
import {type BackendAnnouncement, type BackendServer} from './types.js';

/** A server that was not heard of for this long is no longer offered; about eight announcement periods of the platform. */
const silenceLimit: Milliseconds = 10_000;

/** A departed server is remembered this long, beyond any delay of its late announcements. */
const departureMemory: Milliseconds = 60_000;

type Entry = {
	server: BackendServer;
	heardAt: Milliseconds;
	/** Version of the directory at the last change that matters to readers. */
	version: number;
};

/** Backend servers by what they announced last. */
export class BackendDirectory {
	readonly #entries = new Map<string, Entry>();
	readonly #listeners = new ListenerSet<[server: BackendServer]>();
	#version = 0;

	constructor(private readonly clock: Clock) {}

	/** Version of the directory; it increases with each change of a server. */
	get version(): number {
		return this.#version;
	}

	/** Returns the servers that are present, leaving ones included. */
	get servers(): readonly BackendServer[] {
		const oldest = this.clock.now() - silenceLimit;
		return [...this.#entries.values()].filter(entry => !entry.server.isGone && entry.heardAt >= oldest).map(entry => entry.server);
	}

	/** Calls the listener after each change of a server. */
	onChange(listener: (server: BackendServer) => void): void {
		this.#listeners.add(listener);
	}

	/** Returns the present servers of a service. */
	serversOf(service: string): readonly BackendServer[] {
		return this.servers.filter(server => server.service === service);
	}

	/** Returns a server by its id, departed ones included. */
	serverById(id: string): BackendServer | undefined {
		return this.#entries.get(id)?.server;
	}

	/** Returns a digest of what matters to readers; the same on processes that know the same. */
	get digest(): string {
		const lines = [...this.#entries.values()].map(({server: {sequence, ...rest}}) => JSON.stringify(Object.entries(rest).toSorted(([first], [second]) => first.localeCompare(second))));
		return createHash('sha256').update(lines.toSorted((first, second) => first.localeCompare(second)).join('\n')).digest('base64').slice(0, 12);
	}

	/** Returns every known server, departed ones included. */
	get known(): readonly BackendServer[] {
		return this.changesSince(-1);
	}

	/** Returns milliseconds since the last announcement of a server. */
	timeSinceLastAnnouncement(id: string): Milliseconds {
		return this.clock.now() - (this.#entries.get(id)?.heardAt ?? Number.NEGATIVE_INFINITY);
	}

	/** Takes over an announcement unless it is older than what is known; returns whether it was news. */
	applyAnnouncement(announcement: BackendAnnouncement): boolean {
		const entry = this.#entries.get(announcement.id);
		if (entry && !isNewer(announcement, entry.server)) {
			return false;
		}

		const changed = !entry || hasChanged(entry.server, announcement);
		const isSameLife = entry?.server.startedAt === announcement.startedAt;
		const server: BackendServer = {...announcement, isGone: isSameLife && (entry?.server.isGone ?? false)};
		this.#entries.set(announcement.id, {server, heardAt: this.clock.now(), version: changed ? ++this.#version : entry.version});
		this.#dropPredecessors(server);
		if (changed) {
			this.#listeners.notify(server);
		}

		return true;
	}

	/** Marks a server as gone. */
	markGone(id: string): boolean {
		const entry = this.#entries.get(id);
		if (!entry || entry.server.isGone) {
			return false;
		}

		this.#markGone(entry);
		return true;
	}

	/** Returns the servers that changed after a version, departed ones included. */
	changesSince(version: number): readonly BackendServer[] {
		return [...this.#entries.values()].filter(entry => entry.version > version).map(entry => entry.server);
	}

	/** Takes over servers from another process's directory. */
	merge(servers: readonly BackendServer[]): void {
		for (const server of servers) {
			this.applyAnnouncement(server);
			if (server.isGone && this.#entries.get(server.id)?.server.startedAt === server.startedAt) {
				this.markGone(server.id);
			}
		}
	}

	/** Takes note that other processes have heard of these servers within the given times in milliseconds. */
	recordAnnouncementAges(ages: ReadonlyArray<readonly [id: string, age: Milliseconds]>): void {
		const now = this.clock.now();
		for (const [id, age] of ages) {
			const entry = this.#entries.get(id);
			if (entry) {
				entry.heardAt = Math.max(entry.heardAt, now - age);
			}
		}
	}

	/** Forgets servers that left or fell silent long ago. */
	prune(): void {
		const oldest = this.clock.now() - departureMemory;
		for (const [id, entry] of this.#entries) {
			if (entry.heardAt < oldest) {
				this.#entries.delete(id);
			}
		}
	}

	/** An address belongs to the server that started there last. */
	#dropPredecessors({address}: BackendServer): void {
		const present = [...this.#entries.values()].filter(({server}) => server.address === address && !server.isGone);
		const latest = Math.max(...present.map(({server}) => server.startedAt));
		for (const entry of present) {
			if (entry.server.startedAt < latest) {
				this.#markGone(entry);
			}
		}
	}

	#markGone(entry: Entry): void {
		entry.server = {...entry.server, isGone: true};
		entry.version = ++this.#version;
		this.#listeners.notify(entry.server);
	}
}

function isNewer(announcement: BackendAnnouncement, known: BackendAnnouncement): boolean {
	return announcement.startedAt === known.startedAt
		? announcement.sequence > known.sequence
		: announcement.startedAt > known.startedAt;
}

function hasChanged(known: BackendAnnouncement, announcement: BackendAnnouncement): boolean {
	return known.startedAt !== announcement.startedAt || known.address !== announcement.address
		|| known.isLeaving !== announcement.isLeaving || known.role !== announcement.role
		|| known.service !== announcement.service || known.slots !== announcement.slots;
}
