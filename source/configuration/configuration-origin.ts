import {type ConfigurationSinceResponse} from '../control/messages.js';

/** Authoritative source of confirmed configuration: the control instances. */
export abstract class ConfigurationOrigin {
	/** Returns the changes after a revision, confirmed by a quorum of control. Rejects with notConfirmed, or with the code of a link error when no control instance can be reached. */
	abstract changesSince(revision: number): Promise<ConfigurationSinceResponse>;
}
