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

class ControlOrigin extends ConfigurationOrigin {
	constructor(private readonly client: ControlClient) {
		super();
	}

	override async changesSince(revision: number): Promise<ConfigurationSinceResponse> {
		return this.client.configurationSince({revision});
	}
}

/** Period in which a control process asks the leader for changes, since it is the first to hold a new revision. */
const controlOriginPeriod: Milliseconds = 2000;

/** Membership and accepted configuration of one process. */
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
			origin: new ControlOrigin(this.controlClient),
			gossip: this.directory,
			linkClient,
			handlers: linkServer,
			logger: runtime.logger('configuration'),
			timeline,
			originPollPeriod: role === 'control' ? controlOriginPeriod : undefined,
		});
	}

	/** Opens the gossip address, joins the fleet and fetches the configuration. Rejects when the address is in use. */
	async start(): Promise<void> {
		this.runtime.linkServer.handle('instances', async () => this.directory.records());
		await this.directory.open();
		this.directory.start();
		this.#controller.start();
	}

	/** Fetches changes from the control processes at once. */
	refresh(): void {
		this.#controller.refresh();
	}

	/** Announces that this process left. */
	stop(): void {
		this.#controller.stop();
		this.directory.stop();
	}
}
