import {type BackendDirectory} from '../backend-directory/backend-directory.js';
import {type BackendServer} from '../backend-directory/types.js';
import {Controller} from '../blackboard/blackboard.js';
import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {type BackendReachability, type PrimaryReport} from '../registry/messages.js';
import {type MemberConnector} from '../statement/member-connection.js';
import {BackendServerProber, type PrimaryConfirmation} from './backend-server-prober.js';
import {type ProbeMode} from './probe-assignment.js';
import {ReplicaProtection} from './replica-protection.js';

/** Period at which the leader of the control log probes a primary; one that does not answer is detected within three probes. */
const leaderProbePeriod: Milliseconds = 200;

/** Period at which the other instances probe a primary; well below the maximum staleness of reads. */
const nonLeaderProbePeriod: Milliseconds = 400;

/** Period at which replicas are probed. */
const replicaProbePeriod: Milliseconds = 1000;

/** Dependencies of the monitor. */
export type BackendServerMonitorOptions = {
	readonly clock: Clock;
	readonly directory: BackendDirectory;
	readonly connector: MemberConnector;
	/** Returns whether this instance leads the control log. */
	readonly isLeader: () => boolean;
	/** Returns how this instance probes a server; on a connection that it keeps, if absent. */
	readonly probeMode?: (server: BackendServer) => ProbeMode;
};

/** Probes the backend servers in the directory. */
export class BackendServerMonitor extends Controller {
	readonly #probers = new Map<string, BackendServerProber>();
	/** Reports of the leader, by service. */
	readonly #adopted = new Map<string, AdoptedReport>();
	#protection = new ReplicaProtection();
	#cancelRefresh: Cancel | undefined;

	constructor(private readonly options: BackendServerMonitorOptions) {
		super();
	}

	override start(): void {
		this.options.directory.onChange(() => {
			this.#updateProbers();
		});
		this.#cancelRefresh = this.options.clock.repeat(1000, () => {
			this.#updateProbers();
		});
	}

	override stop(): void {
		this.#cancelRefresh?.();
		for (const prober of this.#probers.values()) {
			prober.stop();
		}

		this.#probers.clear();
	}

	/** Returns, for each server, how long ago it answered this instance and for how long it has been failing. */
	reachabilities(): readonly BackendReachability[] {
		return [...this.#probers.values()].map(prober => prober.reachability);
	}

	/** Returns the prober of a server, by the server's id. */
	proberOf(id: string): BackendServerProber | undefined {
		return this.#probers.get(id);
	}

	/** Sets which members get a command first on each new connection, while this instance leads. */
	useProtection(protection: ReplicaProtection): void {
		this.#protection = protection;
	}

	/** Whether this instance does not probe all servers, so that it needs the reports of the leader. */
	get needsReports(): boolean {
		return !this.options.isLeader() && this.options.directory.servers.some(server => this.#probeMode(server) === 'none');
	}

	/** Takes over the reports of the leader about primaries that this instance does not probe. `askedAt` is the time at which they were requested. */
	adoptReports(reports: readonly PrimaryReport[], askedAt: Milliseconds): void {
		this.#adopted.clear();
		for (const {age, ...report} of reports) {
			this.#adopted.set(report.service, {...report, sentAt: askedAt - age});
		}
	}

	/** Returns the most recently confirmed primary of each service whose log position is known, by the probes of this instance or, where it has none, of the leader. */
	primaryReports(): readonly PrimaryReport[] {
		const now = this.options.clock.now();
		const own = [...this.#confirmedPrimaries()].flatMap(([service, {server, confirmation}]) => confirmation.logPosition
			? [{
				service, primary: server.id, point: confirmation.logPosition, age: now - confirmation.sentAt,
			}]
			: []);
		const services = new Set(own.map(({service}) => service));
		const suspendedUntil = this.options.clock.lastSuspectedSuspension();
		const adopted = [...this.#adopted.values()].filter(({service, sentAt}) => !services.has(service) && sentAt > suspendedUntil);
		return [...own, ...adopted.map(({sentAt, ...report}) => ({...report, age: now - sentAt}))];
	}

	/** Returns the id of the most recently confirmed primary of a service. */
	confirmedPrimaryOf(service: string): string | undefined {
		return this.#confirmedPrimaries().get(service)?.server.id;
	}

	/** Returns the most recently confirmed primary of each service. Confirmations from before a suspected suspension of this instance are left out, since their age is not known. */
	#confirmedPrimaries(): ReadonlyMap<string, ConfirmedPrimary> {
		const suspendedUntil = this.options.clock.lastSuspectedSuspension();
		const newest = new Map<string, ConfirmedPrimary>();
		for (const {server, primaryConfirmation: confirmation} of this.#probers.values()) {
			if (confirmation && confirmation.sentAt > suspendedUntil && confirmation.sentAt > (newest.get(server.service)?.confirmation.sentAt ?? Number.NEGATIVE_INFINITY)) {
				newest.set(server.service, {server, confirmation});
			}
		}

		return newest;
	}

	#probeMode(server: BackendServer): ProbeMode {
		return this.options.probeMode?.(server) ?? 'kept';
	}

	#probePeriod(server: BackendServer, isPrimary: boolean): Milliseconds {
		if (!isPrimary && !this.#protection.isReceiver(server)) {
			return replicaProbePeriod;
		}

		return this.options.isLeader() ? leaderProbePeriod : nonLeaderProbePeriod;
	}

	#updateProbers(): void {
		const present = new Map(this.options.directory.servers.map(server => [server.id, server]));
		for (const [id, prober] of this.#probers) {
			if (!isSameServer(prober.server, present.get(id))) {
				prober.stop();
				this.#probers.delete(id);
			}
		}

		for (const [id, server] of present) {
			if (!this.#probers.has(id)) {
				this.#probers.set(id, new BackendServerProber(server, {
					connector: this.options.connector,
					clock: this.options.clock,
					mode: () => this.#probeMode(server),
					probePeriod: isPrimary => this.#probePeriod(server, isPrimary),
					openingStatement: () => this.options.isLeader() ? this.#protection.openingStatement(server) : undefined,
				}));
			}
		}
	}
}

type AdoptedReport = Omit<PrimaryReport, 'age'> & {
	/** Latest time at which the probe was sent. */
	readonly sentAt: Milliseconds;
};

type ConfirmedPrimary = {
	readonly server: BackendServer;
	readonly confirmation: PrimaryConfirmation;
};

function isSameServer(probed: BackendServer, present: BackendServer | undefined): boolean {
	return present?.address === probed.address && present.startedAt === probed.startedAt && present.service === probed.service;
}
