import assert from 'node:assert/strict';
import {test} from 'node:test';
import {runScenario, type Scenario} from './scenario.js';
import {killSequence, plannedSequence} from './scenarios/sequences.js';
import {twoOperatorsScenario} from './scenarios/two-operators.js';

const seed = 1;
const cases: ReadonlyArray<readonly [title: string, scenario: Scenario]> = [
	['killing the primary, the owning pool and an entry loses or duplicates no write, gives no request the answer to a different request, and sessions still read their own writes', killSequence],
	// Guards against requests that fail because a process or a primary stops before its requests have ended.
	['planned stops and a planned promotion interrupt no request', plannedSequence],
	// Guards against concurrent changes of the configuration that overwrite each other.
	['of two changes with the same expected revision, exactly one is accepted, and it reaches every process', twoOperatorsScenario],
];

for (const [title, scenario] of cases) {
	test(title, async () => {
		const {problems} = await runScenario(scenario, seed);
		assert.deepEqual(problems, []);
	});
}
