import assert from 'node:assert/strict';
import {test} from 'node:test';
import {runScenario, type Scenario} from './scenario.js';
import {killSequence, plannedSequence} from './scenarios/sequences.js';
import {twoOperatorsScenario} from './scenarios/two-operators.js';

const seed = 1;
const cases: ReadonlyArray<readonly [guard: string, scenario: Scenario]> = [
	['kills of primary, pool and entry lose, double or mix up no write and hide none from its session', killSequence],
	['planned stops and a planned promotion interrupt no request', plannedSequence],
	['of two changes with the same expected revision one is accepted and reaches every process', twoOperatorsScenario],
];

for (const [guard, scenario] of cases) {
	test(guard, async () => {
		const {faults} = await runScenario(scenario, seed);
		assert.deepEqual(faults, []);
	});
}
