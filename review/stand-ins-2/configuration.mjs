/** Returns a configuration with three routes to one service, one of each kind. */
export function configuration(version, {service = 'huvo11a', timeout = 800, maximumConnections = 102, synchronousReplicas = 0, idleTransaction = 3000} = {}) {
	const common = {
		PathPrefix: '/', Backend: service, Attempts: 2,
	};
	return {
		Version: version,
		Routes: [
			{
				...common, Name: 'r-own', Database: 'fiti832', RouteType: 'read_your_writes', TimeoutMs: timeout, TargetLatencyMs: 800, Priority: 2, MaxStalenessMs: 2500,
			},
			{
				...common, Name: 'r-primary', Database: 'lepu270', RouteType: 'primary', TimeoutMs: timeout, TargetLatencyMs: 400, Priority: 1,
			},
			{
				...common, Name: 'r-bounded', Database: 'xapu221', RouteType: 'bounded_staleness', TimeoutMs: 2000, TargetLatencyMs: 800, Priority: 2, MaxStalenessMs: 1500,
			},
		],
		Services: [{
			Name: service, HealthCheck: '/health', MaxConnections: maximumConnections, Protocol: 'h1', Tls: false, SyncReplicas: synchronousReplicas,
		}],
		Limits: {
			MaxHeaderBytes: 16_384, MaxBodyBytes: 262_144, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15_000, IdleTxMs: idleTransaction,
		},
	};
}
