import {setTimeout as sleep} from 'node:timers/promises';
import {Operator} from './operator.mjs';
import {Platform} from './platform.mjs';
import {NotRunError} from './run-case.mjs';
import {Service} from './service.mjs';

const coreZones = ['atyrau', 'atyrau', 'esil', 'esil', 'aralsk'];
const frontZones = ['atyrau', 'esil', 'aralsk'];

/** Time until every entry knows the members, in milliseconds. */
const discoveryTime = 4000;

/** Starts five core and three front machines, a service of three members and the platform, and sends the first configuration. */
export async function startSmallDeployment({deployment, record, onEnd}, first, {service: serviceOptions = {}, lateness} = {}) {
	for (const zone of coreZones) {
		deployment.start(deployment.add({machineClass: 'core', zone, isFirst: true}));
	}

	const fronts = frontZones.map(zone => deployment.add({machineClass: 'front', zone, isFirst: true}));
	for (const front of fronts) {
		deployment.start(front);
	}

	const hosts = () => deployment.controlHosts;
	const operator = new Operator(record, hosts);
	if (!await operator.put(first, 15)) {
		throw new NotRunError('the first configuration was not acknowledged');
	}

	const service = new Service({
		record, name: first.Services[0].Name, network: deployment.network, hosts, ...serviceOptions,
	});
	const platform = new Platform({
		record, host: deployment.cloudHost, service, lateness,
	});
	onEnd(() => {
		service.stop();
		platform.stop();
	});
	await service.start();
	await platform.start();
	await sleep(discoveryTime);
	return {
		fronts, operator, service, platform,
	};
}
