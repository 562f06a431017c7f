import {type AcceptedConfiguration} from '../source/configuration/types.js';

const dataCentreCount = 16;
const databaseCount = 8200;

/** Returns a configuration of the size the proxy is designed for: 8,200 databases with three members each, and 16 data centres with one overlay each (a file of settings for that data centre only). */
export function createLargeConfiguration(): AcceptedConfiguration {
	const dataCentreNames = Array.from({length: dataCentreCount}, (_, index) => `place-${index + 1}`);
	const base = `deployment: scale
places:
${dataCentreNames.map((name, index) => `  - {name: ${name}, region: region-${(index % 5) + 1}}`).join('\n')}
services:
  - {name: ledger, databases: ${databaseCount}, members: 3, slots: 3, connections: 100, connectTime: 12ms}
`;
	const overlays = dataCentreNames.map(name => [name, `site: ${name}\nlimits:\n  replicaWait: 80ms\n`]);
	const memberSets = Array.from({length: databaseCount}, (_, index) => [`ledger-${index + 1}`, ['a', 'b', 'c'].map(letter => `ledger-${index + 1}-${letter}`)]);
	return {revision: 1, files: {base, ...Object.fromEntries(overlays) as Record<string, string>}, memberSets: Object.fromEntries(memberSets) as Record<string, readonly string[]>};
}
