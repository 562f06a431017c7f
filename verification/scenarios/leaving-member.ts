import {type Milliseconds} from '../../source/clock/clock.js';
import {interruptedRequests, type Scenario, type ScenarioContext} from '../scenario.js';
import {delay} from '../tested-fleet.js';

/** Longest time that a member may still get statements after it announces that it leaves (invariant 7 in docs/design.md). */
const leaveTimeLimit: Milliseconds = 3000;
const observationTime: Milliseconds = 3000;

async function runLeave({fleet, history}: ScenarioContext, isPrimary: boolean): Promise<readonly string[]> {
	const primary = await fleet.primary();
	const member = fleet.members.find(({name}) => (name === primary) === isPrimary)!;
	await member.leave();
	await delay(leaveTimeLimit);
	const receivedBefore = member.statementsReceived;
	await delay(observationTime);
	const receivedLate = member.statementsReceived - receivedBefore;
	return [...receivedLate === 0 ? [] : [`${member.name} received ${receivedLate} statements later than ${leaveTimeLimit} ms after it announced that it leaves`], ...interruptedRequests(history)];
}

/** A member that announces that it leaves gets no more statements after 3 s, although it would still serve them. */
export const leavingScenarios: readonly Scenario[] = [
	{name: 'leaving-replica', membersInProcess: true, run: async context => runLeave(context, false)},
	{name: 'leaving-primary', membersInProcess: true, run: async context => runLeave(context, true)},
];
