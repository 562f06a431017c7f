import {Registry} from 'prom-client';
import {type Clock} from '../source/clock/clock.js';
import {SystemClock} from '../source/clock/system-clock.js';
import {type Address} from '../source/links/address.js';
import {LinkServer} from '../source/links/link-server.js';
import {TcpLinkClient} from '../source/links/tcp-link-client.js';
import {
	createLogger, silentLogger, type Logger, type LogLevel,
} from '../source/observability/logger.js';
import {SeededRandom, type Random} from '../source/random/random.js';
import {HybridClock} from '../source/timeline/hybrid-clock.js';
import {Timeline} from '../source/timeline/timeline.js';

/** Services of one process in a local fleet: clock, links, timeline, metrics and logger. */
export class LocalServices {
	readonly clock: Clock = new SystemClock();
	readonly random: Random;
	readonly registry = new Registry();
	readonly hybridClock = new HybridClock(this.clock);
	readonly timeline: Timeline;
	readonly linkServer = new LinkServer(this.clock, this.hybridClock);
	readonly linkClient = new TcpLinkClient(this.clock, this.hybridClock);
	readonly settings: {readonly name: string; readonly dataCentre: string};

	constructor(name: string, dataCentre: string, seed: number, private readonly logLevel: LogLevel | undefined) {
		this.settings = {name, dataCentre};
		this.timeline = new Timeline(name, this.hybridClock);
		this.random = new SeededRandom(seed);
	}

	/** Returns the logger of a component. */
	logger(component: string): Logger {
		return this.logLevel === undefined ? silentLogger : createLogger(this.settings.name, component, this.logLevel);
	}

	/** Starts the link server on a free loopback port and returns its address. */
	async listen(): Promise<Address> {
		return this.linkServer.listen('127.0.0.1:0');
	}

	/** Closes the link client and the link server. */
	async close(): Promise<void> {
		await this.linkClient.close();
		await this.linkServer.close();
	}
}
