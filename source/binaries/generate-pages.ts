// Writes the generated documentation pages; with --check it only reports pages that are out of date and sets exit status 1.
import {readFileSync, writeFileSync} from 'node:fs';
import process from 'node:process';
import {configurationPage} from '../configuration/configuration-page.js';
import {resultCodesPage} from '../result-codes/result-codes-page.js';

const pages: ReadonlyMap<string, () => string> = new Map([
	['docs/configuration.md', configurationPage],
	['docs/result-codes.md', resultCodesPage],
]);

function readTextIfPresent(path: string): string {
	try {
		return readFileSync(path, 'utf8');
	} catch {
		return '';
	}
}

const checkOnly = process.argv.includes('--check');
for (const [path, generate] of pages) {
	const text = generate();
	if (!checkOnly) {
		writeFileSync(path, text);
	} else if (readTextIfPresent(path) !== text) {
		process.stderr.write(`pages: ${path} is out of date; run "npm run --silent pages"\n`);
		process.exitCode = 1;
	}
}
