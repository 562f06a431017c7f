import {type ConfigurationSinceResponse} from '../control/messages.js';

/** The control instances, from which confirmed configuration originates. */
export abstract class ConfigurationOrigin {
	/** Returns the changes after a revision, confirmed by a quorum of the control instances. Rejects with notConfirmed, or with the code of a link error when no control instance can be reached. */
	abstract changesSince(revision: number): Promise<ConfigurationSinceResponse>;
}
