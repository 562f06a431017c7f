import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import {configuration} from '../stand-ins-2/configuration.mjs';
import {isCalm, NotRunError, runCase} from '../stand-ins-2/run-case.mjs';
import {startSmallDeployment} from '../stand-ins-2/small-deployment.mjs';
import {runTraffic} from '../stand-ins-2/traffic.mjs';

// In milliseconds.
const recovery = 12_000;
const trafficTime = 12_000;
const longestSilence = 3000;
const longestWaitForCall = 2500;

/** Share of the requests that counts as served before and after the final fault. */
const countedShare = 0.25;

await runCase(path.dirname(fileURLToPath(import.meta.url)), async ({deployment, record, onEnd}) => {
	let isPlatformDown = false;
	const {fronts, service, platform} = await startSmallDeployment({deployment, record, onEnd}, configuration(3, {synchronousReplicas: 1}), {
		service: {synchronousReplicas: 1}, lateness: () => isPlatformDown ? Number.POSITIVE_INFINITY : undefined,
	});
	const before = await runTraffic(record, fronts, trafficTime);
	if (before.served < countedShare * before.all) {
		throw new NotRunError('too few requests were served before the final fault');
	}

	let endSilence;
	const {primary} = service;
	let silence;
	if (!isCalm) {
		isPlatformDown = true;
		record.add(`the platform answers nothing; the primary ${primary.id} goes dark`);
		silence = service.silence(primary, Promise.race([new Promise(resolve => {
			endSilence = resolve;
		}), sleep(longestSilence)]));
		await Promise.race([platform.firstCall, sleep(longestWaitForCall)]);
		if (platform.calls.length === 0) {
			throw new NotRunError('no promotion was asked for');
		}
	}

	record.add('final fault: all processes of the system are killed');
	const start = deployment.killAll();
	endSilence?.();
	await silence;
	record.add(`the primary ${primary.id} is reachable`);
	await start;
	isPlatformDown = false;
	record.add('all processes are started again, and the platform answers');
	await sleep(recovery);
	const after = await runTraffic(record, fronts, trafficTime);
	const shares = [before, after].map(({served, all}) => (served / all).toFixed(3));
	record.add(`share of the requests that was served: ${shares[0]} before the final fault, ${shares[1]} later than ${recovery} ms after the machines were back`);
	for (const {id, isPrimary, isPaused, position} of service.members) {
		record.add(`${id} is ${isPrimary ? 'primary' : 'replica'} at position ${position}${isPaused ? ', paused' : ''}`);
	}

	return after.served >= countedShare * after.all;
});
