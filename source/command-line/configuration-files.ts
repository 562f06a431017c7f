import {createHash} from 'node:crypto';
import {
	readdir, readFile, writeFile, mkdir,
} from 'node:fs/promises';
import {basename, extname, join} from 'node:path';
import {parseWholeNumber} from '../bounds/external-numbers.js';
import {type ConfigurationFiles} from '../configuration/types.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';

const fileExtension = '.yaml';
const revisionFileName = '.revision';

/** Reads `base.yaml` and the overlay file of each site from a folder. Rejects with invalidSetting if the folder or `base.yaml` cannot be read. */
export async function readConfigurationFolder(folder: string): Promise<ConfigurationFiles> {
	const names = await readdir(folder).catch((error: unknown) => {
		throw new BuckthornhitchError('invalidSetting', `The folder "${folder}" cannot be read.`, {cause: error});
	});
	const files: Record<string, string> = {};
	for (const name of names.filter(candidate => extname(candidate) === fileExtension)) {
		files[basename(name, fileExtension)] = await readFile(join(folder, name), 'utf8');
	}

	if (files.base === undefined) {
		throw new BuckthornhitchError('invalidSetting', `The folder "${folder}" has no base.yaml.`);
	}

	return files;
}

/** Writes the files of an accepted revision into a folder and records the revision there. */
export async function writeConfigurationFolder(folder: string, files: ConfigurationFiles, revision: number): Promise<void> {
	await mkdir(folder, {recursive: true});
	for (const [name, content] of Object.entries(files)) {
		await writeFile(join(folder, `${name}${fileExtension}`), content);
	}

	await writeRevision(folder, revision);
}

/** Returns the revision recorded in the folder, or undefined if there is none. */
export async function readRevision(folder: string): Promise<number | undefined> {
	const text = await readFile(join(folder, revisionFileName), 'utf8').catch(() => undefined);
	return parseWholeNumber(text?.trim());
}

/** Records which revision the files in the folder are based on. */
export async function writeRevision(folder: string, revision: number): Promise<void> {
	await writeFile(join(folder, revisionFileName), `${revision}\n`);
}

/**
Derives a change id from the files and the expected revision.

If the response is lost and the operator submits the same files again, the id is the same, so the change is applied only once.
*/
export function deriveChangeId(files: ConfigurationFiles, expectedRevision: number): string {
	const hash = createHash('sha256').update(String(expectedRevision));
	for (const name of Object.keys(files).sort()) {
		hash.update(`\n${name}\n${files[name].length}\n${files[name]}`);
	}

	return hash.digest('hex').slice(0, 32);
}
