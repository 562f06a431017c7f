import assert from 'node:assert/strict';
import {test} from 'node:test';
import {checkConfiguration, exitStatusOf} from './configuration-check.js';
import {describeDifferences} from './configuration-differences.js';
import {formatFinding} from './configuration-finding.js';
import {
	drainTimeRule, leaseRule, replicaWaitRule, requestIdRetentionRule, type LimitRule,
} from './limit-rules.js';
import {type ConfigurationFiles, type Limits, type Timeouts} from './types.js';

const base = `deployment: waitaha
places:
  - {name: chc-a, region: canterbury}
  - {name: dun-a, region: otago}
services:
  - {name: notice-core, databases: 3, members: 3, slots: 3, connections: 45, connectTime: 12ms}
`;

const limits: Limits = {
	queueLength: 1000, requestDeadline: 5000, statementTimeout: 30_000, replicaWait: 50, requestIdRetention: 86_400_000, callersPerEntry: 12_000, drainTime: 30_000,
};
const timeouts: Timeouts = {
	heartbeat: 200, silence: 600, freshConnection: 400, lease: 1000, promotionStagger: 500,
};

function formatFindings(files: ConfigurationFiles): readonly string[] {
	return checkConfiguration(files).findings.map(finding => formatFinding(finding));
}

// Each case is the first value at which the rule must give a warning, and the last at which it must not. The defaults give none.
const limitCases: ReadonlyArray<readonly [title: string, rule: LimitRule, contradicting: Partial<Limits & Timeouts>, consistent: Partial<Limits & Timeouts>]> = [
	['a wait for a replica that takes the whole deadline', replicaWaitRule, {replicaWait: 5000}, {replicaWait: 4999}],
	['a drain time shorter than a statement may take', drainTimeRule, {drainTime: 29_999}, {drainTime: 30_000}],
	['outcomes that are forgotten while the request may still be in progress', requestIdRetentionRule, {requestIdRetention: 34_999}, {requestIdRetention: 35_000}],
	['a lease that ends while a silent member is being checked', leaseRule, {lease: 999}, {lease: 1000}],
];

for (const [title, rule, contradicting, consistent] of limitCases) {
	test(`limits contradict each other: ${title}`, () => {
		const apply = (changes: Partial<Limits & Timeouts>) => rule({limits: {...limits, ...changes}, timeouts: {...timeouts, ...changes}});
		assert.equal(apply({}), undefined);
		assert.equal(apply(consistent), undefined);
		assert.notEqual(apply(contradicting), undefined);
	});
}

test('files without findings give exit status 0, warnings 1 and errors 2', () => {
	assert.equal(exitStatusOf(checkConfiguration({base})), 0);
	assert.equal(exitStatusOf(checkConfiguration({base: `${base}limits: {drainTime: 1s}\n`})), 1);
	assert.equal(exitStatusOf(checkConfiguration({base: base.replace('slots: 3', 'slots: many')})), 2);
});

test('an error names the file, the line and the field', () => {
	assert.deepEqual(formatFindings({base: base.replace('slots: 3', 'slots: many')}), [
		'error: base.yaml:6: services[0].slots: "many"; allowed: whole number from 1 to 1000',
	]);
});

// Guards against the same warning for every overlay, when only the base file sets the limits.
test('a contradiction is reported in the file that sets one of the limits', () => {
	const contradiction = 'limits.drainTime is shorter than limits.statementTimeout, which is 60000ms: a planned stop interrupts statements that take longer';
	assert.deepEqual(formatFindings({base, 'dun-a': 'site: dun-a\nlimits:\n  statementTimeout: 60s\n'}), [`warning: dun-a.yaml:3: limits.statementTimeout: "60s"; ${contradiction}`]);
	assert.deepEqual(formatFindings({base: `${base}limits: {statementTimeout: 60s}\n`, 'dun-a': 'site: dun-a\nlimits: {queueLength: 5}\n'}), [
		`warning: base.yaml:7: limits.statementTimeout: "60s"; ${contradiction}`,
	]);
});

test('connections that do not suffice for the slots beside the monitors are reported', () => {
	assert.deepEqual(formatFindings({base: base.replace('connections: 45', 'connections: 6')}), [
		'warning: base.yaml:6: services[0].connections: 6; 4 connections are kept for monitors, so that only 2 of 3 slots can be used; all can with 7',
	]);
	assert.deepEqual(formatFindings({base: base.replace('connections: 45', 'connections: 7')}), []);
});

test('a preferred place that no database gets is reported', () => {
	assert.deepEqual(formatFindings({base: base.replace('databases: 3', 'databases: 1, places: [chc-a, dun-a]')}), [
		'warning: base.yaml:6: services[0].places[1]: "dun-a"; no database gets dun-a: the service has only 1',
	]);
});

test('settings of an overlay without effect are reported', () => {
	assert.deepEqual(formatFindings({base, 'dun-a': 'site: dun-a\nlimits:\n  queueLength: 1000\nservices:\n  - name: notice-core\n    slots: 3\n    connections: 30\n'}), [
		'warning: dun-a.yaml:3: limits.queueLength: 1000; no effect: the base file has the same value',
		'warning: dun-a.yaml:6: services[0].slots: 3; no effect: the base file has the same value',
	]);
	// A file for each site is the usual layout, also where a site sets nothing.
	assert.deepEqual(formatFindings({base, 'dun-a': 'site: dun-a\n'}), []);
});

// Guards against an inserted list item that makes all later items appear changed.
test('differences from the accepted files are described in words, and list items are identified by their names', () => {
	const proposed = base.replace('slots: 3', 'slots: 4').replace('  - {name: dun-a', '  - {name: hok-a, region: westland}\n  - {name: dun-a');
	const accepted = {base: `${base}limits: {queueLength: 5}\n`, 'chc-a': 'site: chc-a\n'};
	assert.deepEqual(describeDifferences(accepted, {base: proposed, 'dun-a': 'site: dun-a\n'}), [
		'base.yaml: services[notice-core].slots changes from 3 to 4',
		'base.yaml: limits.queueLength is no longer set; it was 5',
		'base.yaml: places[hok-a].name is set to "hok-a"',
		'base.yaml: places[hok-a].region is set to "westland"',
		'chc-a.yaml is removed',
		'dun-a.yaml is added',
	]);
	assert.deepEqual(describeDifferences({base}, {base: `# comment\n${base}`}), []);
});

test('a check without the accepted configuration states no revision, and one with it lists the differences', () => {
	assert.equal(checkConfiguration({base}).revision, undefined);
	assert.deepEqual(checkConfiguration({base}, {files: {base: base.replace('slots: 3', 'slots: 2')}, revision: 7}), {
		findings: [], revision: 7, differences: ['base.yaml: services[notice-core].slots changes from 2 to 3'],
	});
});
