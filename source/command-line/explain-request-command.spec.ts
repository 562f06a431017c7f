import assert from 'node:assert/strict';
import {execFile} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {test} from 'node:test';
import {fileURLToPath} from 'node:url';

const program = fileURLToPath(new URL('../binaries/buckthornhitch.js', import.meta.url));

/** Runs the program and resolves with its exit status and output. */
async function run(...values: readonly string[]): Promise<{readonly status: number; readonly output: string}> {
	return new Promise(resolve => {
		const child = execFile(process.execPath, [program, ...values], (_error, output) => {
			resolve({status: child.exitCode!, output});
		});
	});
}

// Scripts tell "no such request" from "no such file" by the exit status; the command-line parser uses 1 for every fault.
test('explain-request ends with 0 if it found the request, 1 if not and 2 for invalid arguments', async () => {
	const folder = await mkdtemp(join(tmpdir(), 'explain-request-'));
	try {
		const [first, second] = [join(folder, 'first.log'), join(folder, 'second.log')];
		await writeFile(first, '{"name":"entry-1","request":"r1","outcome":"done","time":"2026-12-05T02:00:01.000Z","msg":"second"}\n{"cut off');
		await writeFile(second, '{"name":"entry-2","request":"r1","outcome":"done","time":"2026-12-05T02:00:00.000Z","msg":"first"}\n');
		const found = await run('explain-request', 'r1', first, second);
		assert.equal(found.status, 0);
		assert.match(found.output, /entry-2 {2}first.*\n.*entry-1 {2}second.*\n1 lines could not be read and were skipped\.\nCause: /v);
		const results = await Promise.all([
			run('explain-request', 'r2', first, second),
			run('explain-request', 'r1'),
			run('explain-request', ''),
			run('explain-request', 'r1', join(folder, 'missing.log')),
			run('explain-request', 'r1', folder),
			run('explain-request', '--unknown', 'r1', first),
			run('explain-request'),
			run('no-such-command'),
		]);
		assert.deepEqual(results.map(({status}) => status), [1, 2, 2, 2, 2, 2, 2, 1]);
	} finally {
		await rm(folder, {recursive: true});
	}
});
