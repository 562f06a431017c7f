import {type ConfigurationFiles} from '../configuration/types.js';

/** Judges configuration files before they enter the control log. */
export abstract class ConfigurationValidator {
	/** Throws configurationInvalid with file, line and key. */
	abstract validate(files: ConfigurationFiles): void;

	/** Returns how many members the files give a database group, or undefined for an unknown database. */
	abstract memberCount(files: ConfigurationFiles, database: string): number | undefined;
}
