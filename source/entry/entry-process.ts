import {readFile} from 'node:fs/promises';
import {type Registry} from 'prom-client';
import {AnnouncementForwarder} from '../announcement/announcement-forwarder.js';
import {AnnouncementServer} from '../announcement/announcement-server.js';
import {type Clock, type Milliseconds} from '../clock/clock.js';
import {type ConfigurationView} from '../configuration/configuration-view.js';
import {type Address} from '../links/address.js';
import {type LinkClient} from '../links/link-client.js';
import {type ProcessDirectory} from '../membership/process-directory.js';
import {type Logger} from '../observability/logger.js';
import {uniqueId, type Random} from '../random/random.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {settingsFromStartup} from '../session/startup-settings.js';
import {type EntrySettings} from '../settings/entry-settings.js';
import {type Timeline} from '../timeline/timeline.js';
import {CallerServer} from './caller-server.js';
import {type AcceptedCaller} from './caller-startup.js';
import {EntryAdmission} from './entry-admission.js';
import {EntryMetrics} from './entry-metrics.js';
import {FailureEventRecorder} from './failure-event-recorder.js';
import {PasswordList} from './password-list.js';
import {PoolRouter} from './pool-router.js';
import {RetryBudget} from './retry-budget.js';
import {SessionExecutor, type SessionServices} from './session-executor.js';

/** Services that an entry shares with other components of its operating-system process. ProcessRuntime provides them. */
export type EntryServices = {
	readonly clock: Clock;
	readonly random: Random;
	readonly registry: Registry;
	readonly timeline: Timeline;
	readonly linkClient: LinkClient;
	logger(component: string): Logger;
};

/** Dependencies and settings of an {@link EntryProcess}. */
export type EntryProcessOptions = {
	readonly services: EntryServices;
	readonly directory: ProcessDirectory;
	readonly configuration: ConfigurationView;
	readonly settings: Pick<EntrySettings, 'name' | 'callerAddress' | 'announcementAddress' | 'controls' | 'passwordFile'>;
};

const drainPollPeriod: Milliseconds = 50;

/** The entry process: accepts callers and forwards their requests to pools. */
export class EntryProcess {
	readonly #router: PoolRouter;
	readonly #metrics: EntryMetrics;
	readonly #logger: Logger;
	readonly #sessionServices: SessionServices;
	readonly #announcementServer: AnnouncementServer;
	#callerServer: CallerServer | undefined;
	#announcementAddress: Address | undefined;
	#callerAddress: Address | undefined;
	#isDraining = false;

	constructor(private readonly options: EntryProcessOptions) {
		const {services, directory, configuration} = options;
		const {clock, random, linkClient, timeline} = services;
		this.#logger = services.logger('entry');
		this.#metrics = new EntryMetrics(services.registry);
		this.#router = new PoolRouter({
			clock, random, linkClient, directory, configuration, retryBudget: new RetryBudget(clock), onRetry: () => {
				this.#metrics.retries.inc();
			},
		});
		this.#sessionServices = {
			clock, configuration, router: this.#router, admission: new EntryAdmission(), metrics: this.#metrics, failureEventRecorder: new FailureEventRecorder(clock, timeline),
		};
		const forwarder = new AnnouncementForwarder({
			linkClient,
			configuration,
			controls: options.settings.controls,
			pools: database => this.#router.candidatePools(database).map(({linkAddress}) => linkAddress),
			onRegistered({database, member}) {
				timeline.record('entry', 'memberProposed', `${database}/${member}`);
			},
		});
		this.#announcementServer = new AnnouncementServer({
			onAnnouncement: async announcement => forwarder.forward(announcement),
			isHealthy: () => !this.#isDraining && configuration.deployment() !== undefined,
		});
	}

	/** Address for announcements and the health check. Once the entry has started, its port is the one that was bound. */
	get announcementAddress(): Address {
		return this.#announcementAddress ?? this.options.settings.announcementAddress;
	}

	/** Address for callers. Once the entry has started, its port is the one that was bound. */
	get callerAddress(): Address {
		return this.#callerAddress ?? this.options.settings.callerAddress;
	}

	/** Starts to accept callers. Rejects if an address is in use or the password file cannot be read. */
	async start(): Promise<void> {
		const {settings, services} = this.options;
		const passwords = settings.passwordFile === undefined ? undefined : new PasswordList(await readFile(settings.passwordFile, 'utf8'));
		this.#callerServer = new CallerServer({
			clock: services.clock,
			policy: {passwords, accept: parameters => this.#acceptCaller(parameters)},
			createExecutor: ({database, settings}) => new SessionExecutor(this.#sessionServices, uniqueId(), database, settings),
			callerLimit: () => this.#callerLimit(),
			onCallerCount: count => {
				this.#metrics.callers.set(count);
			},
		});
		try {
			this.#callerAddress = await this.#callerServer.listen(settings.callerAddress);
			this.#announcementAddress = await this.#announcementServer.listen(settings.announcementAddress);
		} catch (error) {
			await this.stop();
			throw error;
		}

		services.timeline.record('entry', 'started', settings.name);
		this.#logger.info(`accepting callers on ${this.#callerAddress}`);
	}

	/** Stops accepting callers and resolves when the last caller has left or the drain time has elapsed. */
	async drain(): Promise<void> {
		const {services, settings, directory, configuration} = this.options;
		this.#isDraining = true;
		directory.markDraining();
		services.timeline.record('entry', 'draining', settings.name);
		this.#callerServer?.drain();
		const drainDeadline = services.clock.now() + (configuration.deployment()?.limits.drainTime ?? 0);
		while ((this.#callerServer?.callerCount ?? 0) > 0 && services.clock.now() < drainDeadline) {
			await services.clock.sleep(drainPollPeriod);
		}

		services.timeline.record('entry', 'drained', settings.name, `${this.#callerServer?.callerCount ?? 0} callers left`);
	}

	/** Closes all connections. Pools are notified to roll back the open transactions. */
	async stop(): Promise<void> {
		await this.#callerServer?.close();
		await this.#announcementServer.close();
		this.#router.stop();
	}

	#callerLimit(): number {
		return this.options.configuration.deployment()?.limits.callersPerEntry ?? 0;
	}

	#acceptCaller(parameters: Readonly<Record<string, string>>): AcceptedCaller {
		try {
			return this.#validateStartup(parameters);
		} catch (error) {
			if (error instanceof BuckthornhitchError) {
				this.#metrics.countRefusal(error.code);
			}

			throw error;
		}
	}

	#validateStartup(parameters: Readonly<Record<string, string>>): AcceptedCaller {
		if (this.#isDraining) {
			throw new BuckthornhitchError('draining', '');
		}

		const deployment = this.options.configuration.deployment();
		if (!deployment) {
			throw new BuckthornhitchError('noPool', 'No configuration has arrived yet.');
		}

		if ((this.#callerServer?.callerCount ?? 0) >= deployment.limits.callersPerEntry) {
			throw new BuckthornhitchError('queueFull', `This entry has its ${deployment.limits.callersPerEntry} callers.`);
		}

		const database = parameters.database ?? parameters.user;
		if (!deployment.databases.some(({name}) => name === database)) {
			throw new BuckthornhitchError('unknownDatabase', '');
		}

		return {database, settings: settingsFromStartup(parameters, database)};
	}
}
