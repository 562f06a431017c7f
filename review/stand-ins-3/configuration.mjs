/** Bound of the site within which an acknowledged configuration is in force, in milliseconds. */
export const configApply = 3000;

/** Name of the service whose members hold the databases. */
export const service = 'huvo11a';

/** Returns a configuration as the platform sends it, with one route for each database; `names` replaces the names of routes by their databases. */
export function createConfiguration(version, databases, {names = {}, maximumConnections = 45} = {}) {
	return {
		Version: version,
		Routes: databases.map((database, index) => ({
			Name: names[database] ?? `r-${index + 1}`, Database: database, PathPrefix: '/', RouteType: 'primary', TimeoutMs: 800, TargetLatencyMs: 400, Priority: 1, Backend: service, Attempts: 2,
		})),
		Services: [{
			Name: service, HealthCheck: '/health', MaxConnections: maximumConnections, Protocol: 'h1', Tls: false, SyncReplicas: 0,
		}],
		Limits: {
			MaxHeaderBytes: 16_384, MaxBodyBytes: 262_144, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000, IdleTxMs: 3000,
		},
	};
}
