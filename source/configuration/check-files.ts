import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {mergeConfiguration} from './merge-configuration.js';
import {ConfigurationFile, formatProblem, type ConfigurationProblem} from './configuration-file.js';
import {
	baseSchema, overlaySchema, type BaseFile, type OverlayFile,
} from './configuration-schema.js';
import {type ConfigurationFiles, type DeploymentConfiguration} from './types.js';

/** Name under which the base file is stored among the configuration files. */
export const baseFileName = 'base';

/** Returns all problems of a set of files: the base file and every overlay, checked alone and merged. */
export function checkFiles(files: ConfigurationFiles): readonly ConfigurationProblem[] {
	const problems: ConfigurationProblem[] = [];
	const base = parseBase(files, problems);
	for (const dataCentre of Object.keys(files).filter(name => name !== baseFileName)) {
		checkOverlay(new ConfigurationFile(dataCentre, files[dataCentre]), base, problems);
	}

	return problems;
}

/** Throws configurationInvalid, with one line per problem, when the set of files has problems. */
export function assertFilesValid(files: ConfigurationFiles): void {
	throwIfInvalid(checkFiles(files));
}

/** Returns the configuration of a data centre; without an overlay, it has the settings of the base file. Throws configurationInvalid. */
export function deploymentConfiguration(files: ConfigurationFiles, dataCentre: string): DeploymentConfiguration {
	const problems: ConfigurationProblem[] = [];
	const base = parseBase(files, problems);
	const overlay = dataCentre === baseFileName || files[dataCentre] === undefined ? undefined : checkOverlay(new ConfigurationFile(dataCentre, files[dataCentre]), base, problems);
	throwIfInvalid(problems);
	return mergeConfiguration(base!.content!, overlay);
}

type ParsedBase = {
	readonly file: ConfigurationFile;
	readonly content: BaseFile | undefined;
};

function throwIfInvalid(problems: readonly ConfigurationProblem[]): void {
	if (problems.length > 0) {
		throw new BuckthornhitchError('configurationInvalid', `\n${problems.map(problem => formatProblem(problem)).join('\n')}`);
	}
}

function parseBase(files: ConfigurationFiles, problems: ConfigurationProblem[]): ParsedBase | undefined {
	const text = files[baseFileName];
	if (text === undefined) {
		problems.push({
			file: 'base.yaml', line: 1, key: '(file)', value: 'absent', allowed: 'a base file',
		});
		return undefined;
	}

	const file = new ConfigurationFile(baseFileName, text);
	const content = file.parse(baseSchema, problems);
	if (content) {
		checkNames(file, content, problems);
		checkCrossSettingConstraints(file, content, undefined, problems);
	}

	return {file, content};
}

function checkNames(file: ConfigurationFile, base: BaseFile, problems: ConfigurationProblem[]): void {
	checkUnique(file, 'places', base.places, problems);
	checkUnique(file, 'services', base.services, problems);
	const places = base.places.map(place => place.name);
	for (const [index, service] of base.services.entries()) {
		for (const [position, place] of (service.places ?? []).entries()) {
			if (!places.includes(place)) {
				problems.push(file.createProblem(['services', index, 'places', position], `a name under places: ${places.join(', ')}`));
			}
		}
	}

	if (places.includes(baseFileName)) {
		problems.push(file.createProblem(['places', places.indexOf(baseFileName), 'name'], 'a name other than "base", which is that of the base file'));
	}
}

function checkUnique(file: ConfigurationFile, list: string, items: ReadonlyArray<{readonly name: string}>, problems: ConfigurationProblem[]): void {
	for (const [index, {name}] of items.entries()) {
		if (items.findIndex(item => item.name === name) < index) {
			problems.push(file.createProblem([list, index, 'name'], `a name that occurs once under ${list}`));
		}
	}
}

function checkOverlay(file: ConfigurationFile, base: ParsedBase | undefined, problems: ConfigurationProblem[]): OverlayFile | undefined {
	const overlay = file.parse(overlaySchema, problems);
	if (!overlay) {
		return undefined;
	}

	if (overlay.site !== file.name) {
		problems.push(file.createProblem(['site'], `"${file.name}", the name of the file`));
	}

	if (base?.content) {
		checkOverlayNames(file, overlay, base.content, problems);
		checkCrossSettingConstraints(file, base.content, overlay, problems);
	}

	return overlay;
}

function checkOverlayNames(file: ConfigurationFile, overlay: OverlayFile, base: BaseFile, problems: ConfigurationProblem[]): void {
	const places = base.places.map(place => place.name);
	if (!places.includes(overlay.site)) {
		problems.push(file.createProblem(['site'], `a place of the base file: ${places.join(', ')}`));
	}

	const services = base.services.map(service => service.name);
	checkUnique(file, 'services', overlay.services ?? [], problems);
	for (const [index, {name}] of (overlay.services ?? []).entries()) {
		if (!services.includes(name)) {
			problems.push(file.createProblem(['services', index, 'name'], `a service of the base file: ${services.join(', ')}`));
		}
	}
}

function checkCrossSettingConstraints(file: ConfigurationFile, base: BaseFile, overlay: OverlayFile | undefined, problems: ConfigurationProblem[]): void {
	const {timeouts, databases} = mergeConfiguration(base, overlay);
	for (const key of ['silence', 'lease'] as const) {
		if (timeouts[key] <= timeouts.heartbeat && (!overlay || file.hasKey(['timeouts', key]) || file.hasKey(['timeouts', 'heartbeat']))) {
			problems.push(file.createProblem(['timeouts', key], `longer than timeouts.heartbeat, which is ${timeouts.heartbeat}ms; in force is ${timeouts[key]}ms`));
		}
	}

	for (const [index, {name}] of (overlay ?? base).services?.entries() ?? []) {
		const database = databases.find(item => item.service === name);
		if (database && database.connections <= database.slots) {
			problems.push(file.createProblem(['services', index, 'connections'], `more than slots, which is ${database.slots}: one connection more serves the monitor`));
		}
	}
}
