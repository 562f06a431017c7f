import assert from 'node:assert/strict';
import {test} from 'node:test';
import {type Milliseconds} from '../clock/clock.js';
import {
	deploymentA, deploymentB, GatewayLoad, promptShare, type Deployment, type LoadOptions, type LoadResult,
} from './gateway-load-fixture.js';

const eventStart: Milliseconds = 2000;
const eventEnd: Milliseconds = 8000;
const isDuringEvent = (now: Milliseconds): boolean => now >= eventStart && now < eventEnd;

/** Returns the factor on the rates in a burst of the lowest priority. */
function burstOf({requestClasses}: Deployment): LoadOptions['rateFactor'] {
	return (priority, now) => priority === requestClasses.at(-1)!.priority && isDuringEvent(now) ? 2.6 : 1;
}

/** Runs the load with several seeds, since the highest priority of deployment A has only 66 requests in the event. */
async function runLoads(deployment: Deployment, options: LoadOptions): Promise<readonly GatewayLoad[]> {
	return Promise.all([1, 2, 3].map(async seed => {
		const load = new GatewayLoad(deployment, {...options, seed});
		await load.run(eventEnd);
		return load;
	}));
}

function resultsDuringEvent(loads: readonly GatewayLoad[], condition: (result: LoadResult) => boolean): readonly LoadResult[] {
	return loads.flatMap(load => load.resultsOf(eventStart, eventEnd, condition));
}

function assertFewRefusals(loads: readonly GatewayLoad[]): void {
	for (const {member} of loads) {
		assert.ok(member.refused < member.arrivals.size * 0.02, `the member refused ${member.refused} of ${member.arrivals.size} arrivals`);
	}
}

function assertPromptHighestPriority(loads: readonly GatewayLoad[], {requestClasses}: Deployment): void {
	const share = promptShare(resultsDuringEvent(loads, ({requestClass}) => requestClass === requestClasses[0]));
	assert.ok(share >= 0.98, `${share} of the highest priority were answered within the target`);
}

function assertLowestPriorityServedEverySecond(loads: readonly GatewayLoad[], {requestClasses}: Deployment): void {
	for (const load of loads) {
		for (let second = 0; second < eventEnd; second += 1000) {
			const served = load.results.filter(({requestClass, isAnswered, endedAt}) => requestClass === requestClasses.at(-1) && isAnswered && endedAt >= second && endedAt < second + 1000);
			assert.ok(served.length > 0, `no request of the lowest priority was answered from ${second} ms on`);
		}
	}
}

// Four gateways with 26 connections each sent a member with 4 slots and a queue of 32 up to 104 statements, of which it refused the excess, whatever its priority.
test('in a burst of the lowest priority at four gateways with customers the member refuses little and the highest priority is answered in time', async () => {
	const loads = await runLoads(deploymentA, {rateFactor: burstOf(deploymentA)});
	assertFewRefusals(loads);
	assertPromptHighestPriority(loads, deploymentA);
	assertLowestPriorityServedEverySecond(loads, deploymentA);
});

// Without customers, connections are shared, and entry instances move between gateways.
test('in a burst of the lowest priority at four gateways without customers the member refuses little and the highest priority is answered in time', async () => {
	const loads = await runLoads(deploymentB, {rateFactor: burstOf(deploymentB)});
	assertFewRefusals(loads);
	assertPromptHighestPriority(loads, deploymentB);
	assertLowestPriorityServedEverySecond(loads, deploymentB);
});

// All requests of a customer for a member wait at one gateway, which other customers use as well. The usual load is served in time, so the share of the others may fall to 0.98.
test('a customer that sends eight times its usual rate does not delay the requests of other customers', async () => {
	const loads = await runLoads(deploymentA, {customerFactor: now => isDuringEvent(now) ? 8 : 1});
	assertFewRefusals(loads);
	const share = promptShare(resultsDuringEvent(loads, ({customer}) => customer !== 'customer-0'));
	assert.ok(share >= 0.98, `${share} of the requests of other customers were answered within their target`);
});
