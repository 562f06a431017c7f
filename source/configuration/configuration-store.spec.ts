import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {type ConfigurationDelta, type ConfigurationSinceResponse} from '../control/messages.js';
import {silentLogger} from '../observability/logger.js';
import {applyDelta, ConfigurationStore} from './configuration-store.js';
import {type AcceptedConfiguration} from './types.js';

// A history of 40 revisions that add, change and remove files and set the members of databases.
const deltas: readonly ConfigurationDelta[] = Array.from({length: 40}, (_, index) => ({
	revision: index + 1,
	files: index % 3 === 0 ? {[`site-${index % 4}`]: index % 5 === 4 ? null : `text ${index}`} : {},
	memberSets: index % 2 === 0 ? {[`db-${index % 7}`]: [`member-${index}`]} : {},
}));

const configurations: readonly AcceptedConfiguration[] = [{revision: 0, files: {}, memberSets: {}}];
for (const delta of deltas) {
	(configurations as AcceptedConfiguration[]).push(applyDelta(configurations.at(-1)!, delta));
}

const arbitraryResponse: fc.Arbitrary<ConfigurationSinceResponse> = fc.oneof(
	fc.integer({min: 0, max: 40}).map(revision => ({kind: 'snapshot' as const, configuration: configurations[revision]})),
	fc.tuple(fc.integer({min: 0, max: 40}), fc.integer({min: 0, max: 40})).map(([from, count]) => ({kind: 'deltas' as const, deltas: deltas.slice(from, from + count)})),
);

test('the revision never decreases and its content always matches the history, with stale, repeated and incomplete responses', () => {
	fc.assert(fc.property(fc.array(arbitraryResponse, {maxLength: 30}), responses => {
		const store = new ConfigurationStore('site-1', silentLogger);
		for (const response of responses) {
			const before = store.revision ?? -1;
			const increased = store.accept(response);
			assert.equal((store.revision ?? -1) > before, increased);
			assert.ok((store.revision ?? -1) >= before);
			assert.deepEqual(store.accepted(), store.revision === undefined ? undefined : configurations[store.revision]);
		}
	}), {seed: 21});
});

test('a response to a process that is behind always brings it up to date, whichever revision it holds', () => {
	fc.assert(fc.property(fc.array(arbitraryResponse, {minLength: 1, maxLength: 10}), fc.integer({min: 0, max: 40}), (responses, revision) => {
		const store = new ConfigurationStore('site-1', silentLogger);
		for (const response of responses) {
			store.accept(response);
		}

		if (store.revision === undefined) {
			assert.throws(() => store.changesSince(revision), /BH5002/v);
			return;
		}

		const outdated = new ConfigurationStore('site-1', silentLogger);
		outdated.accept({kind: 'snapshot', configuration: configurations[revision]});
		outdated.accept(store.changesSince(revision));
		assert.equal(outdated.revision, Math.max(revision, store.revision));
	}), {seed: 22});
});

// Guards against the loss of all settings when the control instances run a newer version whose files this version rejects.
test('the previous settings stay in force when this version cannot read a new revision', () => {
	const base = 'deployment: d\nplaces: [{name: a, region: r}]\nservices: [{name: s, databases: 1, members: 3, slots: 3, connections: 45, connectTime: 12ms}]\n';
	const store = new ConfigurationStore('a', silentLogger);
	store.accept({kind: 'snapshot', configuration: {revision: 1, files: {base}, memberSets: {}}});
	store.accept({kind: 'deltas', deltas: [{revision: 2, files: {base: `${base}future: 1\n`}, memberSets: {}}]});
	assert.equal(store.revision, 2);
	assert.equal(store.deployment()?.databases[0].name, 's-1');
});
