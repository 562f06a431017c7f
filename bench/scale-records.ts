import {type GossipRecord} from '../source/membership/membership-rules.js';

/** Returns the gossip record of a simulated process. The responder at the given address answers the pings to it. */
export function createSyntheticRecord(index: number, address: string, incarnation: number): GossipRecord {
	return {
		name: `entry-${index}`,
		role: 'entry',
		instance: `instance-${index}`,
		dataCentre: `place-${index % 16}`,
		region: `region-${index % 5}`,
		linkAddress: address,
		gossipAddress: address, incarnation,
		health: 'alive',
		draining: false,
		state: 'alive',
		configurationRevision: 1,
	};
}
