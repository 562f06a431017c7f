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

/** Delay between a drain request and the shutdown that it starts, so that the response is sent before the links close. */
const drainShutdownDelay: Milliseconds = 50;

type ShutdownStep = () => Promise<void> | void;

/** Services and lifecycle common to all processes: clocks, links, metrics, timeline, logging and graceful shutdown. */
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
	#shutdownPromise: Promise<void> | undefined;

	constructor(readonly settings: CommonSettings) {
		this.timeline = new Timeline(settings.name, this.hybridClock);
		this.linkServer.handle('timeline', async () => this.timeline.events());
	}

	/** Returns the logger of a component; its log lines start with the component's name. */
	logger(component: string): Logger {
		return createLogger(this.settings.name, component, this.settings.logLevel);
	}

	/** Opens the link and metrics addresses. Rejects if one is in use. */
	async listen(): Promise<void> {
		await this.linkServer.listen(this.settings.linkAddress);
		await this.#metricsServer.listen(this.settings.metricsAddress);
		this.timeline.record('process', 'started', this.settings.name);
	}

	/** Adds a step to the graceful shutdown. Steps run one after another, in the order in which they were added. */
	onShutdown(step: ShutdownStep): void {
		this.#shutdownSteps.push(step);
	}

	/** Shuts the process down gracefully on SIGTERM and SIGINT. */
	handleSignals(): void {
		for (const signal of ['SIGTERM', 'SIGINT'] as const) {
			process.on(signal, () => {
				void this.shutdown().then(() => {
					process.exit(0);
				});
			});
		}
	}

	/** Shuts the process down gracefully when an operator sends the request `drain`. */
	handleDrainRequests(): void {
		this.linkServer.handle('drain', async () => {
			this.clock.schedule(drainShutdownDelay, () => {
				void this.shutdown().then(() => {
					process.exit(0);
				});
			});
		});
	}

	/** Runs the shutdown steps and closes the links and the metrics server. Further calls wait for the same shutdown. */
	async shutdown(): Promise<void> {
		this.#shutdownPromise ??= this.#runShutdown();
		return this.#shutdownPromise;
	}

	async #runShutdown(): Promise<void> {
		const logger = this.logger('process');
		logger.info('shutting down');
		this.timeline.record('process', 'draining', this.settings.name);
		for (const step of this.#shutdownSteps) {
			try {
				await step();
			} catch (error) {
				logger.error(`shutdown step failed: ${String(error)}`);
			}
		}

		this.#metricsServer.close();
		await this.linkClient.close();
		await this.linkServer.close();
		logger.info('stopped');
	}
}
