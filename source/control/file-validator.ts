import {assertFilesValid, baseFileName, deploymentConfiguration} from '../configuration/check-files.js';
import {type ConfigurationFiles} from '../configuration/types.js';
import {ConfigurationValidator} from './configuration-validator.js';

/** Validates configuration files against the configuration schema. */
export class FileValidator extends ConfigurationValidator {
	override validate(files: ConfigurationFiles): void {
		assertFilesValid(files);
	}

	override memberCount(files: ConfigurationFiles, database: string): number | undefined {
		if (files[baseFileName] === undefined) {
			return undefined;
		}

		return deploymentConfiguration(files, baseFileName).databases.find(({name}) => name === database)?.memberCount;
	}
}
