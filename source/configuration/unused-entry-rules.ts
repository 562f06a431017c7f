import {type ConfigurationFile, type KeyPath} from './configuration-file.js';
import {type BaseFile, type OverlayFile} from './configuration-schema.js';
import {createWarning, type ConfigurationFinding} from './configuration-finding.js';

/** Returns a warning for each preferred place that no database gets, because the service has fewer databases than places. */
export function findUnusedPlaces(file: ConfigurationFile, base: BaseFile): readonly ConfigurationFinding[] {
	return base.services.flatMap(({databases, places = []}, index) => places.slice(databases).map((place, offset) =>
		createWarning(file, ['services', index, 'places', databases + offset], `no database gets ${place}: the service has only ${databases}`)));
}

/** Returns a warning for each setting of an overlay that has no effect, because the base file has the same value. */
export function findRepeatedSettings(file: ConfigurationFile, base: BaseFile, overlay: OverlayFile): readonly ConfigurationFinding[] {
	const repeated: KeyPath[] = [];
	for (const section of ['limits', 'timeouts'] as const) {
		repeated.push(...equalKeys(overlay[section], base[section]).map(key => [section, key]));
	}

	for (const [index, service] of (overlay.services ?? []).entries()) {
		const {name: _, ...settings} = service;
		repeated.push(...equalKeys(settings, base.services.find(({name}) => name === service.name)).map(key => ['services', index, key]));
	}

	return repeated.map(path => createWarning(file, path, 'no effect: the base file has the same value'));
}

function equalKeys(settings: Readonly<Record<string, unknown>> | undefined, others: Readonly<Record<string, unknown>> | undefined): readonly string[] {
	return Object.entries(settings ?? {}).filter(([key, value]) => value !== undefined && others?.[key] === value).map(([key]) => key);
}
