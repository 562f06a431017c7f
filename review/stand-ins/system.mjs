import {Deployment} from './deployment.mjs';
import {Service} from './service.mjs';

const configurationTimeout = 20_000;
const serviceName = 'ledger';

/** Returns a route to the service with the values of a small deployment, apart from those that are given. */
export function routeTo(database, values) {
	return {
		Name: `r-${database}`, Database: database, PathPrefix: '/', RouteType: 'primary', TimeoutMs: 800, TargetLatencyMs: 400, Priority: 1, Backend: serviceName, Attempts: 2, ...values,
	};
}

function createConfiguration(routes, syncReplicas, maxConnections) {
	return {
		Version: 1,
		Routes: routes,
		Services: [{
			Name: serviceName, HealthCheck: '/health', MaxConnections: maxConnections, Protocol: 'h1', Tls: false, SyncReplicas: syncReplicas,
		}],
		Limits: {
			MaxHeaderBytes: 16_384, MaxBodyBytes: 262_144, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000, IdleTxMs: 3000,
		},
	};
}

/** Starts a service of three members, three control instances and the entries, and sends the configuration. Resolves once it was acknowledged and the members send heartbeats. */
export async function startSystem({record, onEnd, routes, members, syncReplicas = 0, maxConnections = 102, promoteTime = 600, entries = 3, zones}) {
	const service = new Service({
		name: serviceName, syncReplicas, promoteTime, record, members,
	});
	onEnd(() => {
		service.stop();
	});
	const deployment = new Deployment({
		controls: 3, entries, tolerated: 1, zones,
	});
	onEnd(async () => deployment.stop());
	await deployment.start(await service.start(deployment.serviceHost));
	if (!await deployment.putConfiguration(createConfiguration(routes, syncReplicas, maxConnections), configurationTimeout)) {
		throw new Error('the configuration was not acknowledged');
	}

	service.startHeartbeats(() => deployment.controlAddresses);
	return {service, deployment};
}
