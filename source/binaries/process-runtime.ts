import process from 'node:process';
import {Registry} from 'prom-client';
import {type Clock, type Milliseconds} from '../clock/clock.js';
import {SystemClock} from '../clock/system-clock.js';
import {LinkServer} from '../links/link-server.js';
import {TcpLinkClient} from '../links/tcp-link-client.js';
import {createLogger, type Logger} from '../observability/logger.js';
import {MetricsServer} from '../observability/metrics-server.js';
import {SystemRandom, type Random} from '../random/random.js';
import {type CommonSettings} from '../settings/common-settings.js';
import {HybridClock} from '../timeline/hybrid-clock.js';
import {Timeline} from '../timeline/timeline.js';

/** Time for the answer to a drain request to leave before the links are closed. */
const drainAnswerTime: Milliseconds = 50;

type ShutdownStep = () => Promise<void> | void;

/** Services that every process of the fleet has. */
export class ProcessRuntime {
	readonly clock: Clock = new SystemClock();
	readonly random: Random = new SystemRandom();
	readonly hybridClock = new HybridClock(this.clock);
	readonly registry = new Registry();
	readonly timeline: Timeline;
	readonly linkServer = new LinkServer(this.clock, this.hybridClock);
	readonly linkClient = new TcpLinkClient(this.clock, this.hybridClock);
	readonly #metricsServer = new MetricsServer(this.registry);
	readonly #shutdownSteps: ShutdownStep[] = [];
	#shuttingDown: Promise<void> | undefined;

	constructor(readonly settings: CommonSettings) {
		this.timeline = new Timeline(settings.name, this.hybridClock);
		this.linkServer.handle('timeline', async () => this.timeline.events());
	}

	/** Returns the logger of a part, whose lines begin with its name. */
	logger(part: string): Logger {
		return createLogger(this.settings.name, part, this.settings.logLevel);
	}

	/** Opens the link and metrics addresses. Rejects when one is in use. */
	async listen(): Promise<void> {
		await this.linkServer.listen(this.settings.linkAddress);
		await this.#metricsServer.listen(this.settings.metricsAddress);
		this.timeline.record('process', 'started', this.settings.name);
	}

	/** Adds a step of the graceful shutdown; the steps run in the order in which they were added. */
	onShutdown(step: ShutdownStep): void {
		this.#shutdownSteps.push(step);
	}

	/** Shuts the process down on SIGTERM and SIGINT. */
	handleSignals(): void {
		for (const signal of ['SIGTERM', 'SIGINT'] as const) {
			process.on(signal, () => {
				void this.shutdown().then(() => {
					process.exit(0);
				});
			});
		}
	}

	/** Shuts the process down when an operator asks for it by the request `drain`. */
	handleDrainRequests(): void {
		this.linkServer.handle('drain', async () => {
			this.clock.schedule(drainAnswerTime, () => {
				void this.shutdown().then(() => {
					process.exit(0);
				});
			});
		});
	}

	/** Runs the shutdown steps once and closes the links. */
	async shutdown(): Promise<void> {
		this.#shuttingDown ??= this.#runShutdown();
		return this.#shuttingDown;
	}

	async #runShutdown(): Promise<void> {
		const logger = this.logger('process');
		logger.info('shutting down');
		this.timeline.record('process', 'draining', this.settings.name);
		for (const step of this.#shutdownSteps) {
			try {
				await step();
			} catch (error) {
				logger.error(`a shutdown step failed: ${String(error)}`);
			}
		}

		this.#metricsServer.close();
		await this.linkClient.close();
		await this.linkServer.close();
		logger.info('stopped');
	}
}
