import {AnnouncementReceiver, type AnnouncementOutcome, type AnnouncementReceiverOptions} from '../backend-directory/announcement-receiver.js';
import {type BackendAnnouncement} from '../backend-directory/types.js';
import {type Milliseconds} from '../clock/clock.js';
import {type LinkClient, type RequestHandler} from '../links/link-client.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type ControlDirectory} from './control-directory.js';
import {type AnnouncementNotice} from './messages.js';

/** Dependencies of an exchange. */
export type AnnouncementExchangeOptions = AnnouncementReceiverOptions & {
	/** Name of this control instance. */
	readonly name: string;
	readonly linkClient: LinkClient;
	readonly linkServer: {handle(name: string, handler: RequestHandler): void};
	readonly controls: ControlDirectory;
};

/** Receives the announcements of backend servers at a control instance, and exchanges with the other ones what changed. */
export class AnnouncementExchange {
	readonly #receiver: AnnouncementReceiver;
	/** Backend servers that announced themselves to this instance since the last introduction. */
	readonly #announcedServers = new Set<string>();

	constructor(private readonly options: AnnouncementExchangeOptions) {
		this.#receiver = new AnnouncementReceiver(options);
	}

	/** Starts to handle notices of other control instances. */
	start(): void {
		const {linkServer, directory} = this.options;
		linkServer.handle('shareAnnouncements', async body => {
			directory.merge((body as AnnouncementNotice).servers);
		});
		linkServer.handle('weighAnnouncement', async body => {
			this.#receive(body as BackendAnnouncement);
		});
	}

	/** Applies an announcement of a backend server and passes a change on to the other control instances. Throws malformedMessage if the announcement cannot be true, and serverContested if another server, or another start of the same one, still announces itself and the announcement says that the server is leaving. */
	handleAnnouncement(announcement: BackendAnnouncement): void {
		const outcome = this.#receive(announcement);
		if (outcome === 'applied') {
			return;
		}

		// The server may send its next announcement to another instance, and each has to see that it goes on.
		this.#notifyOthers('weighAnnouncement', announcement);

		if (outcome === 'contested' && announcement.isLeaving) {
			throw new BuckthornhitchError('serverContested', announcement.id);
		}
	}

	/** Marks a backend server as gone and passes this on to the other control instances. */
	handleLeave(id: string): void {
		if (this.options.directory.markGone(id)) {
			this.options.logger.info(`backend server ${id} left`);
		}

		this.#broadcastServer(id);
	}

	/** Returns the servers that announced themselves to this instance since the last call, and how long ago they did. */
	takeAnnouncedServers(): ReadonlyArray<readonly [id: string, age: Milliseconds]> {
		const announcedServers = [...this.#announcedServers].map(id => [id, Math.round(this.options.directory.timeSinceLastAnnouncement(id))] as const);
		this.#announcedServers.clear();
		return announcedServers;
	}

	#receive(announcement: BackendAnnouncement): AnnouncementOutcome {
		const {directory, logger} = this.options;
		const before = directory.version;
		const outcome = this.#receiver.receive(announcement);
		if (outcome !== 'applied') {
			logger.debug(`ignored announcement ${announcement.sequence} of ${announcement.id}: ${outcome}`);
			return outcome;
		}

		if (directory.version !== before) {
			logger.info(`backend server ${announcement.id} is ${announcement.isLeaving ? 'leaving' : 'ready'} as ${announcement.role}`, {announcement});
			this.#broadcastServer(announcement.id);
		}

		this.#announcedServers.add(announcement.id);
		return outcome;
	}

	#broadcastServer(id: string): void {
		const server = this.options.directory.serverById(id);
		if (server) {
			this.#notifyOthers('shareAnnouncements', {servers: [server]} satisfies AnnouncementNotice);
		}
	}

	#notifyOthers(notice: string, body: unknown): void {
		for (const {name, address} of this.options.controls.records) {
			if (name !== this.options.name) {
				this.options.linkClient.notify(address, notice, body);
			}
		}
	}
}
