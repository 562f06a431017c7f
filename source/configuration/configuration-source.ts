import {ListenerSet} from '../blackboard/listener-set.js';
import {type StopWatching} from '../membership/process-directory.js';
import {type AcceptedConfiguration, type DeploymentConfiguration} from './types.js';

/** The accepted configuration as this process holds it; its revision only rises. */
export abstract class ConfigurationSource {
	/** Returns the accepted configuration, or undefined before the first one arrived. */
	abstract accepted(): AcceptedConfiguration | undefined;

	/** Returns the configuration of this process's data centre, or undefined before the first one arrived. */
	abstract deployment(): DeploymentConfiguration | undefined;

	/** Calls the listener after each new revision. */
	abstract watch(listener: () => void): StopWatching;
}

/** Source with a fixed configuration, for tests and the demonstration. */
export class StaticConfigurationSource extends ConfigurationSource {
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
