/** Data centres, databases and connection limits of the two example deployments. */
export const deployments = {
	waitaha: {
		dataCentres: [{name: 'chc-a', region: 'canterbury'}, {name: 'dun-a', region: 'otago'}, {name: 'hok-a', region: 'westland'}],
		databases: ['notice-core-1', 'notice-core-2', 'notice-core-3'],
		connections: 45,
	},
	tengiz: {
		dataCentres: [{name: 'atyrau', region: 'caspian-w'}, {name: 'esil', region: 'astana'}, {name: 'aralsk', region: 'aral-n'}],
		databases: ['wreck-ledger-1', 'wreck-ledger-2', 'wreck-ledger-3'],
		connections: 100,
	},
} as const;

/** Name of an example deployment. */
export type DeploymentName = keyof typeof deployments;
