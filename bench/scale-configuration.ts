import {type AcceptedConfiguration} from '../source/configuration/types.js';

const placeCount = 16;
const databaseCount = 8200;

/** Returns a configuration of the design scale: 8,200 databases with three members each and 16 overlays. */
export function largeConfiguration(): AcceptedConfiguration {
	const places = Array.from({length: placeCount}, (_, index) => `place-${index + 1}`);
	const base = `deployment: scale
places:
${places.map((name, index) => `  - {name: ${name}, region: region-${(index % 5) + 1}}`).join('\n')}
services:
  - {name: ledger, databases: ${databaseCount}, members: 3, slots: 3, connections: 100, connectTime: 12ms}
`;
	const overlays = places.map(name => [name, `site: ${name}\nlimits:\n  replicaWait: 80ms\n`]);
	const memberSets = Array.from({length: databaseCount}, (_, index) => [`ledger-${index + 1}`, ['a', 'b', 'c'].map(letter => `ledger-${index + 1}-${letter}`)]);
	return {revision: 1, files: {base, ...Object.fromEntries(overlays) as Record<string, string>}, memberSets: Object.fromEntries(memberSets) as Record<string, readonly string[]>};
}
