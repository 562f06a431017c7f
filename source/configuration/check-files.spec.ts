import assert from 'node:assert/strict';
import {readdirSync, readFileSync} from 'node:fs';
import {test} from 'node:test';
import {assertFilesValid, checkFiles, deploymentConfiguration} from './check-files.js';
import {formatProblem} from './configuration-file.js';
import {type ConfigurationFiles} from './types.js';

const base = `deployment: waitaha
places:
  - name: chc-a
    region: canterbury
  - name: dun-a
    region: otago
services:
  - name: notice-core
    databases: 3
    members: 3
    slots: 3
    connections: 45
    connectTime: 12ms
`;

function formatProblems(files: ConfigurationFiles): readonly string[] {
	return checkFiles(files).map(problem => formatProblem(problem));
}

function exampleFiles(deployment: string): ConfigurationFiles {
	const folder = `examples/${deployment}`;
	return Object.fromEntries(readdirSync(folder).map(name => [name.replace('.yaml', ''), readFileSync(`${folder}/${name}`, 'utf8')]));
}

test('all problems of a file are reported at once, each with file, line, key, value and allowed values', () => {
	const faulty = base.replace('slots: 3', 'slots: many').replace('12ms', '12').replace('region: otago', 'regoin: otago');
	assert.deepEqual(formatProblems({base: faulty}), [
		'base.yaml:5: places[1].region: absent; allowed: lower-case letters, digits and hyphens, at most 48, beginning with a letter',
		'base.yaml:6: places[1].regoin: "otago"; allowed: unknown key; known here: name, region',
		'base.yaml:11: services[0].slots: "many"; allowed: whole number from 1 to 1000',
		'base.yaml:13: services[0].connectTime: 12; allowed: duration with a unit (ms, s, m or h) from 0ms to 10s',
	]);
});

test('an overlay with a site, service or key that the base file does not contain is rejected', () => {
	const overlay = 'site: dun-b\nservices:\n  - name: notice-cor\n    slots: 2\nlimits:\n  queueLenght: 5\n';
	assert.deepEqual(formatProblems({base, 'dun-b': overlay}), [
		'dun-b.yaml:6: limits.queueLenght: 5; allowed: unknown key; known here: queueLength, requestDeadline, statementTimeout, replicaWait, requestIdRetention, callersPerEntry, drainTime',
	]);
	assert.deepEqual(formatProblems({base, 'dun-b': overlay.replace('queueLenght', 'queueLength')}), [
		'dun-b.yaml:1: site: "dun-b"; allowed: a place of the base file: chc-a, dun-a',
		'dun-b.yaml:3: services[0].name: "notice-cor"; allowed: a service of the base file: notice-core',
	]);
});

test('an overlay that is valid alone is rejected when the merged settings contradict each other', () => {
	assert.deepEqual(formatProblems({base, 'dun-a': 'site: dun-a\ntimeouts:\n  heartbeat: 1s\nservices:\n  - name: notice-core\n    slots: 45\n'}), [
		'dun-a.yaml:2: timeouts.silence: absent; allowed: longer than timeouts.heartbeat, which is 1000ms; in force is 600ms',
		'dun-a.yaml:2: timeouts.lease: absent; allowed: longer than timeouts.heartbeat, which is 1000ms; in force is 1000ms',
		'dun-a.yaml:5: services[0].connections: absent; allowed: more than slots, which is 45: one connection more serves the monitor',
	]);
});

test('malformed YAML, duplicate keys and a missing base file are reported as problems with a line, not as parser exceptions', () => {
	assert.match(formatProblems({base: `${base}deployment: twice\n`})[0], /^base\.yaml:14: \(syntax\): /v);
	assert.deepEqual(formatProblems({}), ['base.yaml:1: (file): absent; allowed: a base file']);
	assert.match(formatProblems({base: ''})[0], /^base\.yaml:1: \(file\): absent; allowed: the keys deployment/v);
	assert.throws(() => {
		assertFilesValid({base, 'dun-a': 'site: chc-a\n'});
	}, /BH4001.*\ndun-a\.yaml:1: site: "chc-a"; allowed: "dun-a", the name of the file/v);
});

test('each database gets its data centre, settings and defaults, and an overlay affects only its own data centre', () => {
	const files = {base, 'dun-a': 'site: dun-a\nlimits:\n  queueLength: 50\nservices:\n  - name: notice-core\n    connections: 30\n'};
	const withoutOverlay = deploymentConfiguration(files, 'chc-a');
	assert.deepEqual(withoutOverlay.databases.map(({name, place, connections}) => [name, place, connections]), [
		['notice-core-1', 'chc-a', 45], ['notice-core-2', 'dun-a', 45], ['notice-core-3', 'chc-a', 45],
	]);
	assert.deepEqual(withoutOverlay.timeouts, {
		heartbeat: 200, silence: 600, freshConnection: 400, lease: 1000, promotionStagger: 500,
	});
	assert.deepEqual(withoutOverlay.limits, {
		queueLength: 1000, requestDeadline: 5000, statementTimeout: 30_000, replicaWait: 50, requestIdRetention: 86_400_000, callersPerEntry: 12_000, drainTime: 30_000,
	});
	const withOverlay = deploymentConfiguration(files, 'dun-a');
	assert.deepEqual([withOverlay.limits.queueLength, withOverlay.limits.drainTime, withOverlay.databases[0].connections, withOverlay.databases[0].slots], [50, 30_000, 30, 3]);
});

for (const [deployment, service, connections, places] of [['waitaha', 'notice-core', 45, ['chc-a', 'dun-a', 'hok-a']], ['tengiz', 'wreck-ledger', 100, ['atyrau', 'esil', 'aralsk']]] as const) {
	test(`the example files of ${deployment} are valid and describe the expected databases`, () => {
		const files = exampleFiles(deployment);
		assert.deepEqual(formatProblems(files), []);
		assert.deepEqual(Object.keys(files).sort(), ['base', ...places].sort());
		assert.deepEqual(deploymentConfiguration(files, places[0]).databases, places.map((place, index) => ({
			name: `${service}-${index + 1}`, service, place, memberCount: 3, slots: 3, connections, connectTime: 12,
		})));
	});
}
