import path from 'node:path';
import {fileURLToPath} from 'node:url';
import {configuration} from '../stand-ins-2/configuration.mjs';
import {isCalm, runCase} from '../stand-ins-2/run-case.mjs';
import {startSmallDeployment} from '../stand-ins-2/small-deployment.mjs';
import {runTraffic} from '../stand-ins-2/traffic.mjs';

/** In milliseconds. */
const trafficTime = 30_000;

await runCase(path.dirname(fileURLToPath(import.meta.url)), async ({deployment, record, onEnd}) => {
	const isEmpty = !isCalm;
	const {fronts, service} = await startSmallDeployment({deployment, record, onEnd}, configuration(3), {service: {isEmpty}});
	for (const {id, position, isPrimary} of service.members) {
		record.add(`${id} is ${isPrimary ? 'primary' : 'replica'} at position ${position}`);
	}

	const {served} = await runTraffic(record, fronts, trafficTime);
	record.add(`the members committed ${service.primary.log.length} transactions`);
	return served > 0;
});
