import {type Buffer} from 'node:buffer';
import {subscribe} from 'node:diagnostics_channel';
import {type Socket} from 'node:net';
import process from 'node:process';
import {SystemClock} from '../source/clock/system-clock.js';
import {ConfigurationController} from '../source/configuration/configuration-controller.js';
import {ConfigurationOrigin} from '../source/configuration/configuration-origin.js';
import {ConfigurationStore} from '../source/configuration/configuration-store.js';
import {type ConfigurationSinceResponse} from '../source/control/messages.js';
import {type LinkClient} from '../source/links/link-client.js';
import {LinkServer} from '../source/links/link-server.js';
import {TcpLinkClient} from '../source/links/tcp-link-client.js';
import {DatagramTransport, type DatagramListener} from '../source/membership/datagram-transport.js';
import {MembershipController} from '../source/membership/membership-controller.js';
import {UdpTransport} from '../source/membership/udp-transport.js';
import {silentLogger} from '../source/observability/logger.js';
import {SeededRandom} from '../source/random/random.js';
import {HybridClock} from '../source/timeline/hybrid-clock.js';
import {Timeline, type TimelineEvent} from '../source/timeline/timeline.js';
import {
	epochTime, type NodeCommand, type NodeReport, type NodeSettings,
} from './scale-messages.js';
import {createLargeConfiguration} from './scale-configuration.js';

const linkSockets = new Set<Socket>();
let closedLinkBytes = 0;

/** Tracks the socket of a link (a TCP connection between processes). The bytes that it sent still count after it is closed. */
function trackLinkSocket(message: unknown): void {
	const {socket} = message as {readonly socket: Socket};
	linkSockets.add(socket);
	socket.once('close', () => {
		linkSockets.delete(socket);
		closedLinkBytes += socket.bytesWritten;
	});
}

subscribe('net.client.socket', trackLinkSocket);
subscribe('net.server.socket', trackLinkSocket);

/** Drops a fraction of the sent datagrams. At a loss rate of 1, it also drops all received datagrams. */
class LossyTransport extends DatagramTransport {
	lossRate = 0;

	constructor(readonly udpTransport: UdpTransport, private readonly random: SeededRandom) {
		super();
	}

	override async open(listener: DatagramListener): Promise<void> {
		await this.udpTransport.open((bytes, sender) => {
			if (this.lossRate < 1) {
				listener(bytes, sender);
			}
		});
	}

	override send(address: string, bytes: Buffer): void {
		if (this.random.fraction() >= this.lossRate) {
			this.udpTransport.send(address, bytes);
		}
	}

	override close(): void {
		this.udpTransport.close();
	}
}

/** Fetches the configuration over a link from the stand-in for control. */
class RemoteConfigurationOrigin extends ConfigurationOrigin {
	constructor(private readonly linkClient: LinkClient, private readonly address: string) {
		super();
	}

	override async changesSince(revision: number): Promise<ConfigurationSinceResponse> {
		return await this.linkClient.request(this.address, 'configurationSince', {revision}, 2000) as ConfigurationSinceResponse;
	}
}

/** Reports changes of membership to the benchmark. */
class ReportingTimeline extends Timeline {
	override record(part: string, kind: string, subject: string, detail?: string): TimelineEvent {
		if (part === 'membership') {
			report({
				kind: 'state', name: subject, state: kind, time: epochTime(),
			});
		}

		return super.record(part, kind, subject, detail);
	}
}

function report(message: NodeReport): void {
	process.send?.(message);
}

/** Membership and configuration of one process, without the other parts of an entry. */
class ScaleNode {
	readonly #transport: LossyTransport;
	readonly #membership: MembershipController;
	readonly #store: ConfigurationStore;
	readonly #configuration: ConfigurationController;
	readonly #linkServer: LinkServer;

	constructor(private readonly settings: NodeSettings) {
		const clock = new SystemClock();
		const random = new SeededRandom(settings.seed);
		const hybridClock = new HybridClock(clock);
		const timeline = new ReportingTimeline(settings.name, hybridClock);
		const linkClient = new TcpLinkClient(clock, hybridClock);
		const handlers = new LinkServer(clock, hybridClock);
		const transport = new LossyTransport(new UdpTransport(settings.address), random);
		const dependencies = {
			clock, random, linkClient, handlers, logger: silentLogger, timeline,
		};
		this.#linkServer = handlers;
		this.#transport = transport;
		this.#membership = new MembershipController({
			self: {
				name: settings.name, role: 'entry', instance: settings.name, dataCentre: 'place-1', region: 'region-1', linkAddress: settings.address, gossipAddress: settings.address,
			},
			seeds: settings.seeds, transport, ...dependencies,
		});
		this.#store = new ConfigurationStore('place-1', silentLogger);
		this.#configuration = new ConfigurationController({
			store: this.#store, origin: new RemoteConfigurationOrigin(linkClient, settings.controlAddress), gossip: this.#membership, ...dependencies,
		});
	}

	async start(): Promise<void> {
		await this.#linkServer.listen(this.settings.address);
		await this.#membership.open();
		this.#store.watch(() => {
			report({kind: 'revision', revision: this.#store.revision ?? 0, time: epochTime()});
		});
		if (this.settings.largeConfiguration) {
			this.#store.accept({kind: 'snapshot', configuration: createLargeConfiguration()});
		}

		this.#membership.start();
		this.#configuration.start();
		report({kind: 'ready'});
	}

	refresh(): void {
		this.#configuration.refresh();
	}

	setLossRate(lossRate: number): void {
		this.#transport.lossRate = lossRate;
	}

	reportUsage(): void {
		const {user, system} = process.cpuUsage();
		report({
			kind: 'usage',
			processorMicroseconds: user + system,
			residentBytes: process.memoryUsage.rss(),
			sentLinkBytes: [...linkSockets].reduce((sum, socket) => sum + socket.bytesWritten, closedLinkBytes),
			liveRecords: this.#membership.records().filter(record => record.state === 'alive').length,
			revision: this.#store.revision ?? 0,
			...this.#transport.udpTransport.counts(),
		});
	}
}

let node: ScaleNode | undefined;
process.on('message', (command: NodeCommand) => {
	switch (command.kind) {
		case 'start': {
			node = new ScaleNode(command.settings);
			void node.start();
			break;
		}

		case 'usage': {
			node?.reportUsage();
			break;
		}

		case 'refresh': {
			node?.refresh();
			break;
		}

		case 'loss': {
			node?.setLossRate(command.rate);
			break;
		}
	}
});
process.on('disconnect', () => {
	process.exit(0);
});
