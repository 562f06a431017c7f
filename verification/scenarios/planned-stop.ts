import {type Milliseconds} from '../../source/clock/clock.js';
import {interruptedRequests, type Scenario} from '../scenario.js';
import {waitForValue, delay, type TestedFleet} from '../tested-fleet.js';
import {failureTargets, type FailureTarget} from './kill-process.js';

/** Wait after a stop or promotion for the answers to the requests that are still in progress. */
const answerWaitTime: Milliseconds = 800;

/** Returns the name of a replica. */
async function replica(fleet: TestedFleet): Promise<string> {
	const primary = await fleet.primary();
	return [...fleet.processes.memberAddresses.keys()].find(name => name !== primary)!;
}

const stopTargets: Readonly<Record<string, FailureTarget>> = {
	entry: failureTargets.entry, pool: failureTargets.pool, replica, primary: failureTargets.primary,
};

/** One process is stopped with SIGTERM. The graceful shutdown must interrupt no request. */
export const plannedStopScenarios: readonly Scenario[] = Object.entries(stopTargets).map(([name, target]) => ({
	name: `stop-${name}`,
	async run({fleet, history}) {
		await fleet.sendSignal(await target(fleet), 'SIGTERM');
		await delay(answerWaitTime);
		return interruptedRequests(history);
	},
}));

/** An operator promotes each of the other members in turn. This must interrupt no request. */
export const plannedPromotionScenario: Scenario = {
	name: 'planned-promotion',
	async run({fleet, history}) {
		const members = [...fleet.processes.memberAddresses.keys()];
		const first = await fleet.primary();
		for (const member of members.filter(name => name !== first)) {
			await fleet.processes.runOperatorCommand(['promote', 'ledger-1', member]);
			await waitForValue(`${member} as the primary`, async () => await fleet.primary() === member ? true : undefined);
		}

		await delay(answerWaitTime);
		return interruptedRequests(history);
	},
};
