import {parse} from 'yaml';
import {type ConfigurationFiles} from './types.js';

/** Describes in words what differs between the files in force and the proposed ones, one line for each file or setting. The texts must be well-formed YAML. */
export function describeDifferences(accepted: ConfigurationFiles, proposed: ConfigurationFiles): readonly string[] {
	return [...new Set([...Object.keys(accepted), ...Object.keys(proposed)])].sort().flatMap(name => {
		if (proposed[name] === undefined) {
			return [`${name}.yaml is removed`];
		}

		return accepted[name] === undefined ? [`${name}.yaml is added`] : describeFile(`${name}.yaml`, parse(accepted[name]), parse(proposed[name]));
	});
}

function describeFile(file: string, accepted: unknown, proposed: unknown): readonly string[] {
	const before = flatten(accepted);
	const after = flatten(proposed);
	return [...new Set([...before.keys(), ...after.keys()])].flatMap(key => {
		const [old, updated] = [before.get(key), after.get(key)];
		if (old === updated) {
			return [];
		}

		if (old === undefined) {
			return [`${file}: ${key} is set to ${updated}`];
		}

		return [updated === undefined ? `${file}: ${key} is no longer set; it was ${old}` : `${file}: ${key} changes from ${old} to ${updated}`];
	});
}

/** Returns the settings by their paths. Items of a list are identified by their names, so that an inserted item does not change the paths of the others. */
function flatten(value: unknown, path = ''): ReadonlyMap<string, string> {
	if (Array.isArray(value) && value.every(item => nameOf(item) !== undefined)) {
		return mergeEntries(value.map(item => [`${path}[${nameOf(item)}]`, item] as const));
	}

	if (typeof value !== 'object' || value === null || Array.isArray(value)) {
		return new Map([[path, JSON.stringify(value)]]);
	}

	return mergeEntries(Object.entries(value).map(([key, item]) => [path === '' ? key : `${path}.${key}`, item as unknown] as const));
}

function mergeEntries(entries: ReadonlyArray<readonly [path: string, value: unknown]>): ReadonlyMap<string, string> {
	return new Map(entries.flatMap(([path, value]) => [...flatten(value, path)]));
}

function nameOf(item: unknown): string | undefined {
	const name = typeof item === 'object' && item !== null && 'name' in item ? item.name : undefined;
	return typeof name === 'string' ? name : undefined;
}
