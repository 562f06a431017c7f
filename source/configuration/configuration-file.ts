import {
	LineCounter, parseDocument, isMap, isNode, isScalar, type Document,
} from 'yaml';
import {z} from 'zod';

/** A fault in a configuration file. */
export type ConfigurationProblem = {
	/** File with its suffix, for example `base.yaml`. */
	readonly file: string;
	readonly line: number;
	/** Path of the key, for example `services[0].slots`. */
	readonly key: string;
	/** Value as found, or `absent`. */
	readonly value: string;
	readonly allowed: string;
};

/** Path of a key within a file. */
export type KeyPath = ReadonlyArray<string | number>;

const longestShownValue = 60;

/** One parsed file, with the lines of its keys. */
export class ConfigurationFile {
	readonly #lines = new LineCounter();
	readonly #document: Document.Parsed;

	/** The name is `base` or that of a site. */
	constructor(readonly name: string, text: string) {
		this.#document = parseDocument(text, {lineCounter: this.#lines, prettyErrors: false});
	}

	/** Returns the checked content, or undefined after adding all faults to the problems. */
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

		const description = z.toJSONSchema(schema, {io: 'input'});
		for (const issue of result.error.issues) {
			this.#addIssue(issue, description, problems);
		}

		return undefined;
	}

	/** Returns whether the file states the key. */
	has(path: KeyPath): boolean {
		return this.#document.hasIn(path);
	}

	/** Returns a problem at the key; when it is absent, at the nearest key above it. */
	problem(path: KeyPath, allowed: string): ConfigurationProblem {
		return {
			file: `${this.name}.yaml`,
			line: this.#lineOf(path),
			key: showPath(path),
			value: this.#valueOf(path),
			allowed,
		};
	}

	#addIssue(issue: z.core.$ZodIssue, description: z.core.JSONSchema.BaseSchema, problems: ConfigurationProblem[]): void {
		const path = issue.path as KeyPath;
		const allowed = allowedAt(description, path);
		if (issue.code !== 'unrecognized_keys') {
			problems.push(this.problem(path, allowed));
			return;
		}

		const known = Object.keys(schemaAt(description, path).properties ?? {});
		for (const key of issue.keys) {
			problems.push(this.problem([...path, key], `unknown key; known here: ${known.join(', ')}`));
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
		return text.length > longestShownValue ? `${text.slice(0, longestShownValue)}…` : text;
	}
}

/** Returns the text of a problem: file, line, key, value and what is allowed. */
export function showProblem(problem: ConfigurationProblem): string {
	return `${problem.file}:${problem.line}: ${problem.key}: ${problem.value}; allowed: ${problem.allowed}`;
}

function showPath(path: KeyPath): string {
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
