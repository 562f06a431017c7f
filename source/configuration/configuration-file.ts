import {
	LineCounter, parseDocument, isMap, isNode, isScalar, type Document,
} from 'yaml';
import {z} from 'zod';

/** A problem in a configuration file. */
export type ConfigurationProblem = {
	/** File name with suffix, for example `base.yaml`. */
	readonly file: string;
	readonly line: number;
	/** Path of the key, for example `services[0].slots`. */
	readonly key: string;
	/** Value found in the file, or `absent`. */
	readonly value: string;
	readonly allowed: string;
};

/** Path of a key within a file. */
export type KeyPath = ReadonlyArray<string | number>;

const maximumShownLength = 60;

/** A parsed configuration file that knows the line number of each key. */
export class ConfigurationFile {
	readonly #lines = new LineCounter();
	readonly #document: Document.Parsed;

	/** The name is `base` or that of a data centre, without suffix. */
	constructor(readonly name: string, text: string) {
		this.#document = parseDocument(text, {lineCounter: this.#lines, prettyErrors: false});
	}

	/** Returns the content validated against the schema, or undefined after adding all problems found to `problems`. */
	parse<Schema extends z.ZodType>(schema: Schema, problems: ConfigurationProblem[]): z.output<Schema> | undefined {
		for (const error of this.#document.errors) {
			problems.push({
				file: `${this.name}.yaml`, line: this.#lines.linePos(error.pos[0]).line, key: '(syntax)', value: error.message, allowed: 'well-formed YAML without repeated keys',
			});
		}

		if (this.#document.errors.length > 0) {
			return undefined;
		}

		const result = schema.safeParse(this.#document.toJS());
		if (result.success) {
			return result.data;
		}

		const jsonSchema = z.toJSONSchema(schema, {io: 'input'});
		for (const issue of result.error.issues) {
			this.#addIssue(issue, jsonSchema, problems);
		}

		return undefined;
	}

	/** Returns whether the file contains the key. */
	hasKey(path: KeyPath): boolean {
		return this.#document.hasIn(path);
	}

	/** Returns a problem located at the key, or at its nearest present ancestor when the key is absent. */
	createProblem(path: KeyPath, allowed: string): ConfigurationProblem {
		return {
			file: `${this.name}.yaml`,
			line: this.#lineOf(path),
			key: formatPath(path),
			value: this.#valueOf(path),
			allowed,
		};
	}

	#addIssue(issue: z.core.$ZodIssue, jsonSchema: z.core.JSONSchema.BaseSchema, problems: ConfigurationProblem[]): void {
		const path = issue.path as KeyPath;
		const allowed = allowedAt(jsonSchema, path);
		if (issue.code !== 'unrecognized_keys') {
			problems.push(this.createProblem(path, allowed));
			return;
		}

		const knownKeys = Object.keys(schemaAt(jsonSchema, path).properties ?? {});
		for (const key of issue.keys) {
			problems.push(this.createProblem([...path, key], `unknown key; known here: ${knownKeys.join(', ')}`));
		}
	}

	#lineOf(path: KeyPath): number {
		for (let {length} = path; length > 0; length--) {
			const offset = this.#offsetOf(path.slice(0, length));
			if (offset !== undefined) {
				return this.#lines.linePos(offset).line;
			}
		}

		return 1;
	}

	#offsetOf(path: KeyPath): number | undefined {
		const parent: unknown = path.length === 1 ? this.#document.contents : this.#document.getIn(path.slice(0, -1), true);
		const last = path.at(-1);
		if (isMap(parent)) {
			const key = parent.items.map(pair => pair.key).find(item => isScalar(item) && item.value === last);
			return isScalar(key) ? key.range?.[0] : undefined;
		}

		const node = this.#document.getIn(path, true);
		return isNode(node) ? node.range?.[0] : undefined;
	}

	#valueOf(path: KeyPath): string {
		const node: unknown = path.length === 0 ? this.#document.contents : this.#document.getIn(path, true);
		if (node === undefined || node === null) {
			return 'absent';
		}

		const value = isNode(node) ? node.toJS(this.#document) as unknown : node;
		const text = JSON.stringify(value) ?? 'absent';
		return text.length > maximumShownLength ? `${text.slice(0, maximumShownLength)}…` : text;
	}
}

/** Formats a problem as one line with file, line number, key, value and allowed values. */
export function formatProblem(problem: ConfigurationProblem): string {
	return `${problem.file}:${problem.line}: ${problem.key}: ${problem.value}; allowed: ${problem.allowed}`;
}

function formatPath(path: KeyPath): string {
	return path.length === 0 ? '(file)' : path.map((part, index) => typeof part === 'number' ? `[${part}]` : (index === 0 ? part : `.${part}`)).join('');
}

function schemaAt(schema: z.core.JSONSchema.BaseSchema, path: KeyPath): z.core.JSONSchema.BaseSchema {
	let found = schema;
	for (const part of path) {
		const next = typeof part === 'number' ? found.items : found.properties?.[part];
		if (typeof next !== 'object' || Array.isArray(next)) {
			return found;
		}

		found = next;
	}

	return found;
}

function allowedAt(schema: z.core.JSONSchema.BaseSchema, path: KeyPath): string {
	const {allowed} = schemaAt(schema, path);
	return typeof allowed === 'string' ? allowed : 'see docs/configuration.md';
}
