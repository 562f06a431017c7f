import {z} from 'zod';
import {baseSchema, overlaySchema} from './configuration-schema.js';

type Node = z.core.JSONSchema.BaseSchema;

const introduction = [
	'# Configuration',
	'This page is generated from the schema in `source/configuration/configuration-schema.ts` by `npm run --silent pages`.',
	[
		'A deployment has one base file, `base.yaml`, and one overlay for each site with the settings that differ there, named after the site.',
		'Check a set of files with `buckthornhitch check` and submit it with `buckthornhitch apply`.',
		'Unknown keys, wrong units and names that the base file does not contain are rejected with file, line and key.',
		'Durations have a unit: `200ms`, `5s`, `2m`, `24h`.',
		'The folders `examples/waitaha` and `examples/tengiz` hold complete sets.',
	].join(' '),
].join('\n\n');

/** Returns the generated content of docs/configuration.md. */
export function configurationPage(): string {
	return `${[
		introduction,
		'## Base file',
		table(z.toJSONSchema(baseSchema, {io: 'input'})),
		'## Overlay',
		'An overlay states the site and only what differs there. What must be equal at all sites (places, number of databases and members, preferred places) stands in the base file alone.',
		table(z.toJSONSchema(overlaySchema, {io: 'input'})),
	].join('\n\n')}\n`;
}

function table(schema: Node): string {
	const rows = rowsOf(schema, '');
	return ['| key | meaning | allowed | default |', '| --- | --- | --- | --- |', ...rows].join('\n');
}

function rowsOf(schema: Node, prefix: string): readonly string[] {
	const required = new Set(schema.required);
	return Object.entries(schema.properties ?? {}).flatMap(([key, value]) => {
		const node = value as Node;
		const path = `${prefix}${key}`;
		return [rowOf(path, node, required.has(key)), ...nestedRows(node, path)];
	});
}

function rowOf(path: string, node: Node, required: boolean): string {
	const withoutDefault = required ? 'required' : 'none';
	const defaultValue = typeof node.default === 'string' || typeof node.default === 'number' ? `\`${node.default}\`` : withoutDefault;
	const allowed = typeof node.allowed === 'string' ? node.allowed : '';
	return `| \`${path}\` | ${node.description ?? ''} | ${allowed} | ${defaultValue} |`;
}

function nestedRows(node: Node, path: string): readonly string[] {
	if (node.type === 'array') {
		return rowsOf(node.items as Node, `${path}[].`);
	}

	return rowsOf(node, `${path}.`);
}
