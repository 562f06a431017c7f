import {type ConfigurationSinceResponse} from '../control/messages.js';

/** Where confirmed configuration comes from: control, by its client. */
export abstract class ConfigurationOrigin {
	/** Returns the changes after a revision, confirmed by a quorum of control. Rejects with notConfirmed, or with a link's code when no control instance can be reached. */
	abstract changesSince(revision: number): Promise<ConfigurationSinceResponse>;
}
