import {ListenerSet} from '../blackboard/listener-set.js';
import {type ConfigurationDelta, type ConfigurationSinceResponse} from '../control/messages.js';
import {type StopWatching} from '../membership/process-directory.js';
import {type Logger} from '../observability/logger.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {baseFileName, deploymentConfiguration} from './check-files.js';
import {ConfigurationView} from './configuration-view.js';
import {type AcceptedConfiguration, type DeploymentConfiguration} from './types.js';

// A peer that missed more changes than this receives a snapshot.
const maximumHistoryLength = 1000;

const emptyConfiguration: AcceptedConfiguration = {revision: 0, files: {}, memberSets: {}};

/**
Holds the accepted configuration of one process. Its revision only increases: older deltas and snapshots are ignored.

A process fetches its first configuration from the control instances, confirmed by a quorum, and passes on only what it holds. All configuration received from a peer therefore originates from a confirmed revision.
*/
export class ConfigurationStore extends ConfigurationView {
	readonly #listeners = new ListenerSet();
	#accepted: AcceptedConfiguration | undefined;
	#deployment: DeploymentConfiguration | undefined;
	#history: readonly ConfigurationDelta[] = [];

	/** Creates a store without a configuration; `dataCentre` selects the overlay to apply. */
	constructor(private readonly dataCentre: string, private readonly logger: Logger) {
		super();
	}

	/** Revision that this process holds; undefined before the first one is received. */
	get revision(): number | undefined {
		return this.#accepted?.revision;
	}

	override accepted(): AcceptedConfiguration | undefined {
		return this.#accepted;
	}

	override deployment(): DeploymentConfiguration | undefined {
		return this.#deployment;
	}

	override watch(listener: () => void): StopWatching {
		return this.#listeners.add(listener);
	}

	/** Applies newer changes; returns whether the revision increased. */
	accept(response: ConfigurationSinceResponse): boolean {
		const before = this.#accepted;
		if (response.kind === 'snapshot') {
			this.#acceptSnapshot(response.configuration);
		} else {
			// A process without a configuration requests the changes after revision 0, so no deltas mean that no change was accepted yet.
			this.#accepted ??= emptyConfiguration;
			for (const delta of response.deltas) {
				this.#acceptDelta(delta);
			}
		}

		if (this.#accepted === before) {
			return false;
		}

		if (!before || before.files !== this.#accepted?.files) {
			this.#updateDeployment();
		}

		this.#listeners.notify();

		return true;
	}

	/** Returns the changes after a revision: deltas when all are known and no larger than a snapshot, otherwise a snapshot. Throws notConfirmed before the first configuration is received. */
	changesSince(revision: number): ConfigurationSinceResponse {
		const configuration = this.#accepted;
		if (!configuration) {
			throw new BuckthornhitchError('notConfirmed', 'This process has no confirmed configuration yet.');
		}

		const deltas = this.#history.filter(delta => delta.revision > revision);
		const complete = deltas.length === configuration.revision - revision;
		if (revision >= configuration.revision || (complete && sizeOfDeltas(deltas) <= sizeOfConfiguration(configuration))) {
			return {kind: 'deltas', deltas};
		}

		return {kind: 'snapshot', configuration};
	}

	#acceptSnapshot(configuration: AcceptedConfiguration): void {
		if (!this.#accepted || configuration.revision > this.#accepted.revision) {
			this.#accepted = configuration;
			this.#history = [];
		}
	}

	#acceptDelta(delta: ConfigurationDelta): void {
		if (!this.#accepted || delta.revision !== this.#accepted.revision + 1) {
			return;
		}

		this.#accepted = applyDelta(this.#accepted, delta);
		this.#history = [...this.#history, delta].slice(-maximumHistoryLength);
	}

	#updateDeployment(): void {
		const {files, revision} = this.#accepted!;
		if (files[baseFileName] === undefined) {
			return;
		}

		try {
			this.#deployment = deploymentConfiguration(files, this.dataCentre);
		} catch (error) {
			// The control instances validate files before accepting them, so this occurs only when they run another software version.
			this.logger.error(`this software version cannot read revision ${revision}; the previous settings stay in force: ${String(error)}`);
		}
	}
}

/** Returns the configuration with one change applied. */
export function applyDelta(configuration: AcceptedConfiguration, delta: ConfigurationDelta): AcceptedConfiguration {
	return {
		revision: delta.revision,
		files: Object.keys(delta.files).length === 0 ? configuration.files : mergeFiles(configuration.files, delta.files),
		memberSets: Object.keys(delta.memberSets).length === 0 ? configuration.memberSets : {...configuration.memberSets, ...delta.memberSets},
	};
}

/** Returns the approximate size of a response on a link in bytes. */
export function sizeOfResponse(response: ConfigurationSinceResponse): number {
	return response.kind === 'deltas' ? sizeOfDeltas(response.deltas) : sizeOfConfiguration(response.configuration);
}

function mergeFiles(files: Readonly<Record<string, string>>, changes: ConfigurationDelta['files']): Readonly<Record<string, string>> {
	const merged = Object.entries({...files, ...changes}).filter((entry): entry is [string, string] => entry[1] !== null);
	return Object.fromEntries(merged);
}

function sizeOfDeltas(deltas: readonly ConfigurationDelta[]): number {
	return deltas.reduce((sum, delta) => sum + sizeOfTexts(delta.files) + sizeOfMembers(delta.memberSets), 0);
}

function sizeOfConfiguration(configuration: AcceptedConfiguration): number {
	return sizeOfTexts(configuration.files) + sizeOfMembers(configuration.memberSets);
}

function sizeOfTexts(files: ConfigurationDelta['files']): number {
	return Object.entries(files).reduce((sum, [name, text]) => sum + name.length + (text?.length ?? 0), 0);
}

function sizeOfMembers(memberSets: ConfigurationDelta['memberSets']): number {
	return Object.entries(memberSets).reduce((sum, [name, members]) => sum + name.length + members.join(',').length, 0);
}
