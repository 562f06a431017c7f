import {type ConfigurationFiles} from '../configuration/types.js';

/** Validates configuration files before they are proposed to the control log. */
export abstract class ConfigurationValidator {
	/** Throws configurationInvalid with the file, line and key of the first error. */
	abstract validate(files: ConfigurationFiles): void;

	/** Returns the configured number of members of a database group, or undefined for an unknown database. */
	abstract memberCount(files: ConfigurationFiles, database: string): number | undefined;
}
