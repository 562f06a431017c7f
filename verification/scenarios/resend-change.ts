import {FaultInjectingRelay} from '../../stand-in/fault-injecting-relay.js';
import {type Scenario} from '../scenario.js';
import {
	acceptedRevision, applyChange, changeRequest, checkRevisionReached,
} from './configuration-changes.js';

const laterChangeCount = 20;
const lostAnswerTimeout = 1500;

/** The answer to a change is lost. The operator resends the change at once and again after other changes; it must be applied once and get the same answer. */
export const resendScenario: Scenario = {
	name: 'resend-change',
	async run({fleet}) {
		const leader = await fleet.controlLeader();
		const relay = new FaultInjectingRelay({target: fleet.linkAddress(leader)});
		await relay.start();
		try {
			const revision = await acceptedRevision(fleet);
			const request = changeRequest('resent', revision);
			const client = fleet.newControlClient([relay.address]);
			// Opens the link, so that the relay then drops only the answer.
			await client.status();
			relay.dropTraffic('toClient');
			const lostAnswerProblems = await client.apply(request, lostAnswerTimeout).then(() => ['the answer was not lost'], () => []);
			const firstAnswer = await fleet.controlClient.apply(request);
			for (let change = 0; change < laterChangeCount; change++) {
				await applyChange(fleet, `later-${change}`);
			}

			const secondAnswer = await fleet.controlClient.apply(request);
			const lastRevision = await acceptedRevision(fleet);
			const isAppliedOnce = firstAnswer.code === 0 && firstAnswer.revision === revision + 1
				&& secondAnswer.code === 0 && secondAnswer.revision === firstAnswer.revision && lastRevision === firstAnswer.revision + laterChangeCount;
			const answers = [firstAnswer, secondAnswer].map(({code, revision: answered}) => `BH${code} revision ${answered}`).join(' and ');
			return [
				...lostAnswerProblems,
				...isAppliedOnce ? [] : [`expected revision ${revision + 1}; the answers were ${answers}, the last revision is ${lastRevision}`],
				...await checkRevisionReached(fleet, lastRevision),
			];
		} finally {
			relay.close();
		}
	},
};
