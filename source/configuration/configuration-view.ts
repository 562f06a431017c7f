import {ListenerSet} from '../blackboard/listener-set.js';
import {type StopWatching} from '../membership/process-directory.js';
import {type AcceptedConfiguration, type DeploymentConfiguration} from './types.js';

/** Read access to the accepted configuration that this process holds; its revision only increases. */
export abstract class ConfigurationView {
	/** Returns the accepted configuration, or undefined before the first one is received. */
	abstract accepted(): AcceptedConfiguration | undefined;

	/** Returns the configuration of this process's data centre, or undefined before the first one is received. */
	abstract deployment(): DeploymentConfiguration | undefined;

	/** Calls the listener after each new revision. */
	abstract watch(listener: () => void): StopWatching;
}

/** View whose configuration is set directly, for tests, benchmarks and the demonstration, which runs entries and pools in one Node.js process. */
export class StaticConfigurationView extends ConfigurationView {
	readonly #listeners = new ListenerSet();
	#accepted: AcceptedConfiguration;
	#deployment: DeploymentConfiguration;

	constructor(accepted: AcceptedConfiguration, deployment: DeploymentConfiguration) {
		super();
		this.#accepted = accepted;
		this.#deployment = deployment;
	}

	override accepted(): AcceptedConfiguration {
		return this.#accepted;
	}

	override deployment(): DeploymentConfiguration {
		return this.#deployment;
	}

	/** Replaces the configuration and notifies the listeners. */
	replace(accepted: AcceptedConfiguration, deployment: DeploymentConfiguration): void {
		this.#accepted = accepted;
		this.#deployment = deployment;
		this.#listeners.notify();
	}

	override watch(listener: () => void): StopWatching {
		return this.#listeners.add(listener);
	}
}
