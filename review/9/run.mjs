import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {configuration} from '../stand-ins-2/configuration.mjs';
import {isCalm, NotRunError, runCase} from '../stand-ins-2/run-case.mjs';
import {startSmallDeployment} from '../stand-ins-2/small-deployment.mjs';
import {runTraffic} from '../stand-ins-2/traffic.mjs';

// In milliseconds.
const thirtyDays = 30 * 24 * 60 * 60 * 1000;
const otherTimeout = 900;
const recovery = 12_000;
const trafficTime = 12_000;

/** Share of the requests that counts as served before and after the final fault. */
const countedShare = 0.25;

await runCase(path.dirname(fileURLToPath(import.meta.url)), async ({deployment, record, onEnd}) => {
	const {fronts, operator, service} = await startSmallDeployment({deployment, record, onEnd}, configuration(3));
	const before = await runTraffic(record, fronts, trafficTime);
	const change = configuration(8);
	for (const route of change.Routes) {
		route.TimeoutMs = isCalm ? otherTimeout : thirtyDays;
	}

	record.add(`the operator sets TimeoutMs of each route to ${change.Routes[0].TimeoutMs}`);
	if (before.served < countedShare * before.all || !await operator.put(change, 6)) {
		throw new NotRunError('too few requests were served, or the change was not acknowledged');
	}

	record.add('final fault: all processes of the system are killed');
	await deployment.killAll();
	record.add('all processes are started again');
	await sleep(recovery);
	const committedBefore = service.primary.log.length;
	const after = await runTraffic(record, fronts, trafficTime);
	record.add(`meanwhile the members committed ${service.primary.log.length - committedBefore} transactions`);
	const shares = [before, after].map(({served, all}) => (served / all).toFixed(3));
	record.add(`share of the requests that was served: ${shares[0]} before the final fault, ${shares[1]} later than ${recovery} ms after the machines were back`);
	return after.served >= countedShare * after.all;
});
