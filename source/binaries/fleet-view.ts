import {type Milliseconds} from '../clock/clock.js';
import {ConfigurationController} from '../configuration/configuration-controller.js';
import {ConfigurationOrigin} from '../configuration/configuration-origin.js';
import {ConfigurationStore} from '../configuration/configuration-store.js';
import {ControlClient} from '../control/control-client.js';
import {type ConfigurationSinceResponse} from '../control/messages.js';
import {type Address} from '../links/address.js';
import {type ProcessRole} from '../membership/process-record.js';
import {MembershipController} from '../membership/membership-controller.js';
import {UdpTransport} from '../membership/udp-transport.js';
import {type ProcessRuntime} from './process-runtime.js';

/** Fetches configuration changes from the control processes. */
class ControlConfigurationOrigin extends ConfigurationOrigin {
	constructor(private readonly client: ControlClient) {
		super();
	}

	override async changesSince(revision: number): Promise<ConfigurationSinceResponse> {
		return this.client.configurationSince({revision});
	}
}

/** Period at which a control process polls the leader for changes. Only control processes poll: they obtain a new revision first and announce it to the others by gossip. */
const controlPollPeriod: Milliseconds = 2000;

/** One process's view of the deployment: the other processes, known by gossip, and the accepted configuration. */
export class FleetView {
	readonly directory: MembershipController;
	readonly configuration: ConfigurationStore;
	readonly controlClient: ControlClient;
	readonly #controller: ConfigurationController;

	constructor(private readonly runtime: ProcessRuntime, role: ProcessRole, controls: readonly Address[]) {
		const {
			clock, random, linkClient, linkServer, settings, timeline,
		} = runtime;
		this.directory = new MembershipController({
			self: {
				name: settings.name,
				role,
				instance: settings.instance,
				dataCentre: settings.dataCentre,
				region: settings.region,
				linkAddress: settings.linkAddress,
				gossipAddress: settings.gossipAddress,
			},
			seeds: settings.seeds,
			clock,
			random,
			transport: new UdpTransport(settings.gossipAddress),
			linkClient,
			handlers: linkServer,
			logger: runtime.logger('membership'),
			timeline,
		});
		this.configuration = new ConfigurationStore(settings.dataCentre, runtime.logger('configuration'));
		this.controlClient = new ControlClient(linkClient, clock, controls);
		this.#controller = new ConfigurationController({
			clock,
			random,
			store: this.configuration,
			origin: new ControlConfigurationOrigin(this.controlClient),
			gossip: this.directory,
			linkClient,
			handlers: linkServer,
			logger: runtime.logger('configuration'),
			timeline,
			originPollPeriod: role === 'control' ? controlPollPeriod : undefined,
		});
	}

	/** Opens the gossip address, joins the gossip membership and starts to fetch the configuration. Rejects if the address is in use. */
	async start(): Promise<void> {
		this.runtime.linkServer.handle('instances', async () => this.directory.records());
		await this.directory.open();
		this.directory.start();
		this.#controller.start();
	}

	/** Fetches configuration changes at once, without waiting for the next poll. */
	refresh(): void {
		this.#controller.refresh();
	}

	/** Stops fetching the configuration and announces that this process leaves. */
	stop(): void {
		this.#controller.stop();
		this.directory.stop();
	}
}
