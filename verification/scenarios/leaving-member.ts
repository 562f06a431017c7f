import {type Milliseconds} from '../../source/clock/clock.js';
import {interruptedRequests, type Scenario, type ScenarioContext} from '../scenario.js';
import {delay} from '../verified-fleet.js';

/** Time within which new work for a leaving member ends (invariant 7). */
const leaveTime: Milliseconds = 3000;
const watchTime: Milliseconds = 3000;

async function leave({fleet, history}: ScenarioContext, isPrimary: boolean): Promise<readonly string[]> {
	const primary = await fleet.primary();
	const member = fleet.members.find(({name}) => (name === primary) === isPrimary)!;
	await member.leave();
	await delay(leaveTime);
	const before = member.statementsReceived;
	await delay(watchTime);
	const received = member.statementsReceived - before;
	return [...received === 0 ? [] : [`${member.name} received ${received} statements later than ${leaveTime} ms after it announced that it leaves`], ...interruptedRequests(history)];
}

/** A member that announces that it leaves gets no new work after 3 s, although it still serves. */
export const leavingScenarios: readonly Scenario[] = [
	{name: 'leaving-replica', membersHere: true, run: async context => leave(context, false)},
	{name: 'leaving-primary', membersHere: true, run: async context => leave(context, true)},
];
