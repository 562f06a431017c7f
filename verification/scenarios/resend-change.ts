import {FaultInjectingRelay} from '../../stand-in/fault-injecting-relay.js';
import {type Scenario} from '../scenario.js';
import {
	acceptedRevision, applyChange, changeRequest, laggingProcesses,
} from './changes.js';

const laterChanges = 20;
const lostAnswerTime = 1500;

/** The answer to a change is lost; the operator resends it at once and again after other changes. */
export const resendScenario: Scenario = {
	name: 'resend-change',
	async run({fleet}) {
		const leader = await fleet.controlLeader();
		const relay = new FaultInjectingRelay({target: fleet.controlAddress(leader)});
		await relay.start();
		try {
			const revision = await acceptedRevision(fleet);
			const request = changeRequest('resent', revision);
			const client = fleet.newControlClient([relay.address]);
			// Opens the link, which the relay needs before it can lose the answer alone.
			await client.status();
			relay.dropTraffic('toClient');
			const lost = await client.apply(request, lostAnswerTime).then(() => ['the answer was not lost'], () => []);
			const first = await fleet.controlClient.apply(request);
			for (let change = 0; change < laterChanges; change++) {
				await applyChange(fleet, `later-${change}`);
			}

			const second = await fleet.controlClient.apply(request);
			const last = await acceptedRevision(fleet);
			const isOnce = first.code === 0 && first.revision === revision + 1 && second.code === 0 && second.revision === first.revision && last === first.revision + laterChanges;
			const answers = [first, second].map(({code, revision: answered}) => `BH${code} revision ${answered}`).join(' and ');
			return [
				...lost,
				...isOnce ? [] : [`expected revision ${revision + 1}; the answers were ${answers}, the last revision is ${last}`],
				...await laggingProcesses(fleet, last),
			];
		} finally {
			relay.close();
		}
	},
};
