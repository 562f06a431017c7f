import {type BackendServer} from '../backend-directory/types.js';
import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {type Logger} from '../observability/logger.js';
import {type BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {
	MemberRefusedError, type ConnectionPath, type MemberConnection, type MemberConnector,
} from '../statement/member-connection.js';
import {ConnectionLimit} from './connection-limit.js';
import {type ConnectionPlacement} from './connection-placement.js';
import {type ConnectionRequest, type ConnectionRequests} from './connection-requests.js';

/** Timeout for opening a connection. It covers a round trip between regions, the wait for a slot and the time that members take to accept a connection. */
const connectTimeout: Milliseconds = 700;

/** Maximum number of connections of customers that are opened at the same time. Opening one occupies a slot of the member for 12 ms. */
const maximumOpeningsOfCustomers = 2;

/** Customer and path of a connection. */
export type ConnectionOwner = Pick<ConnectionRequest, 'customer' | 'path'>;

/** Connection that was opened, and to whom it belongs. */
export type OpenedConnection = ConnectionOwner & {
	readonly memberConnection: MemberConnection;
};

/** Dependencies and callbacks of an opener. */
export type ConnectionOpenerOptions = {
	readonly server: BackendServer;
	readonly clock: Clock;
	readonly connector: MemberConnector;
	readonly logger: Logger;
	readonly placement: ConnectionPlacement;
	readonly waiting: ConnectionRequests;
	/** Returns whether a free connection may be given to the request now. */
	readonly isServable: (request: ConnectionRequest) => boolean;
	/** Returns the number of open connections on a path. */
	readonly countOn: (path: ConnectionPath | undefined) => number;
	/** Returns whether there is an idle connection on the path. */
	readonly hasIdle: (path: ConnectionPath | undefined) => boolean;
	/** Closes an idle connection on the path, which no waiting request may use. Returns false if there is none. */
	readonly makeRoom: (path: ConnectionPath | undefined) => boolean;
	readonly onOpened: (opened: OpenedConnection) => void;
	/** Called when a connection may be opened again, after a delay or after another one was opened. */
	readonly onMayOpen: () => void;
	/** Called when the member could not be reached by an attempt that began at `startedAt`. */
	readonly onMemberFailure: (startedAt: Milliseconds) => void;
};

/** Opens connections to a member for waiting requests, within the limits of the placement and of the member. */
export class ConnectionOpener {
	readonly #limits = new Map<ConnectionPath | undefined, ConnectionLimit>();
	/** Customers and paths of the connections that are being opened. */
	readonly #openings: ConnectionOwner[] = [];
	#cancelRetry: Cancel | undefined;
	#isFailureLogged = false;
	#isClosed = false;

	constructor(private readonly options: ConnectionOpenerOptions) {}

	/** Opens no more connections. */
	close(): void {
		this.#isClosed = true;
		this.#cancelRetry?.();
	}

	/** Opens a connection for the first waiting request for which none is being opened, if the limits permit it. At the limit, an idle connection of another customer is closed first. */
	openIfNeeded(): void {
		if (this.#isClosed) {
			return;
		}

		const isOpening = this.createOpeningCheck();
		const fullPaths = new Set<ConnectionPath | undefined>();
		const next = this.options.waiting.findFirst({
			isPassedOver: isOpening,
			canServe: request => {
				if (fullPaths.has(request.path) || !this.options.isServable(request)) {
					return false;
				}

				const isBelowLimit = this.#isBelowLimit(request);
				if (this.mayOpen(request) && (isBelowLimit || this.#makeRoom(request))) {
					return true;
				}

				fullPaths.add(request.path);
				return false;
			},
		});
		if (next) {
			void this.#open(next);
		}
	}

	/** Opens no connection on the path for a while, in which other instances can. */
	pauseFor(path: ConnectionPath | undefined, duration: Milliseconds): void {
		this.#limitOf(path).pauseFor(duration);
	}

	/** Returns the number of connections on the path that are being opened. */
	openingCountOn(path: ConnectionPath | undefined): number {
		return this.#openings.filter(opening => opening.path === path).length;
	}

	/** Returns whether a connection for the request can be opened now, if need be in the place of an idle one. */
	canOpen(request: ConnectionOwner): boolean {
		const isBelowLimit = this.#isBelowLimit(request);
		return !this.#isClosed && this.mayOpen(request) && (isBelowLimit || this.options.hasIdle(request.path));
	}

	/** Opens a connection for the waiting request. At the limit, the least recently used idle connection is closed first. */
	openFor(request: ConnectionOwner): void {
		if (this.#isBelowLimit(request) || this.#makeRoom(request)) {
			void this.#open(request);
		}
	}

	/** Opens a connection for the waiting request in the place of one that was closed for it. */
	replaceFor(request: ConnectionOwner): void {
		this.#limitOf(request.path).vacatePlace();
		void this.#open(request);
	}

	/** Returns whether a connection for the request may be opened now, apart from the limit on their number. If not, another attempt is scheduled where no released connection would serve the request. */
	mayOpen(request: ConnectionOwner): boolean {
		const {customer, path} = request;
		if (customer !== undefined && this.openingCountOn(path) >= maximumOpeningsOfCustomers) {
			return false;
		}

		const {delay} = this.#limitOf(path);
		if (delay > 0) {
			if (this.#hasConnectionsOfItsOwn(request) || this.#connectionCountOn(path) === 0) {
				this.#scheduleRetry(delay);
			}

			return false;
		}

		return true;
	}

	/** Returns a function that must be called for waiting requests in order and returns whether a connection for the request is being opened. */
	createOpeningCheck(): (request: ConnectionOwner) => boolean {
		const remaining = [...this.#openings];
		return ({customer, path}) => {
			const index = remaining.findIndex(opening => opening.customer === customer && opening.path === path);
			if (index === -1) {
				return false;
			}

			remaining.splice(index, 1);
			return true;
		};
	}

	async #open({customer, path}: ConnectionOwner): Promise<void> {
		const {clock, connector, server, onOpened} = this.options;
		const startedAt = clock.now();
		const owner: ConnectionOwner = {customer, path};
		this.#openings.push(owner);
		const finish = (): void => {
			this.#openings.splice(this.#openings.indexOf(owner), 1);
		};

		try {
			const {id, service, address} = server;
			const memberConnection = await connector.connect({
				id, service, address, ...(customer !== undefined && {customer}), ...(path !== undefined && {path}),
			}, connectTimeout);
			finish();
			this.#isFailureLogged = false;
			this.#limitOf(path).recordOpened();
			onOpened({...owner, memberConnection});
			if (this.#hasConnectionsOfItsOwn(owner)) {
				this.options.onMayOpen();
			}
		} catch (error) {
			finish();
			this.#handleFailure(toBuckthornhitchError(error), startedAt, owner);
		}
	}

	#handleFailure(error: BuckthornhitchError, startedAt: Milliseconds, owner: ConnectionOwner): void {
		const {server, logger, countOn, waiting, onMemberFailure} = this.options;
		if (!this.#isFailureLogged) {
			this.#isFailureLogged = true;
			logger.warn(`cannot connect to ${server.id} of ${server.service} at ${server.address}: ${error.message}`);
		}

		const {path} = owner;
		const limit = this.#limitOf(path);
		limit.recordFailure();
		if (error instanceof MemberRefusedError && error.reason !== 'connectionLimit') {
			waiting.rejectWhere(request => request.customer === owner.customer && request.path === path, error);
			return;
		}

		if (error instanceof MemberRefusedError) {
			limit.recordRefusal(countOn(path));
		} else {
			onMemberFailure(startedAt);
		}

		// Other instances hold the remaining connections; waiting requests share those of this instance.
		if (countOn(path) === 0) {
			waiting.rejectWhere(request => request.path === path, error);
		} else if (this.#hasConnectionsOfItsOwn(owner)) {
			this.#scheduleRetry(limit.delay);
		}
	}

	/** Returns whether the connections of the owner are not shared with all other requests, so that a released connection may not serve its requests. */
	#hasConnectionsOfItsOwn({customer}: ConnectionOwner): boolean {
		return customer !== undefined || this.options.placement.isByCustomer;
	}

	/** Closes an idle connection of another customer in whose place one for the request may be opened. Returns false if there is none. */
	#makeRoom({path}: ConnectionOwner): boolean {
		const isClosed = this.options.makeRoom(path);
		if (isClosed) {
			this.#limitOf(path).vacatePlace();
		}

		return isClosed;
	}

	#isBelowLimit({path}: ConnectionOwner): boolean {
		const count = this.#connectionCountOn(path);
		return count < this.#limitOf(path).update(count);
	}

	#connectionCountOn(path: ConnectionPath | undefined): number {
		return this.options.countOn(path) + this.openingCountOn(path);
	}

	#limitOf(path: ConnectionPath | undefined): ConnectionLimit {
		let limit = this.#limits.get(path);
		if (!limit) {
			const {clock, placement} = this.options;
			limit = new ConnectionLimit(clock, () => placement.maximumConnections(path), () => placement.isExact);
			this.#limits.set(path, limit);
		}

		return limit;
	}

	#scheduleRetry(delay: Milliseconds): void {
		this.#cancelRetry?.();
		this.#cancelRetry = this.options.clock.schedule(delay, () => {
			this.options.onMayOpen();
		});
	}
}
