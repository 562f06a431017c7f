import {resultCodes} from '../../source/result-codes/result-codes.js';
import {type Scenario} from '../scenario.js';
import {
	acceptedBase, acceptedRevision, changeRequest, laggingProcesses,
} from './configuration-changes.js';

const roundCount = 10;

/** Two operators submit different files with the same expected revision at the same time. Exactly one change must be accepted. */
export const twoOperatorsScenario: Scenario = {
	name: 'two-operators',
	async run({fleet}) {
		const problems: string[] = [];
		for (let round = 0; round < roundCount; round++) {
			const revision = await acceptedRevision(fleet);
			const requests = ['first', 'second'].map(operator => changeRequest(`${round}-${operator}`, revision));
			const answers = await Promise.all(requests.map(async request => fleet.newControlClient().apply(request)));
			const winner = answers.findIndex(({code}) => code === 0);
			const loser = answers[1 - winner];
			if (winner === -1 || loser?.code !== resultCodes.revisionConflict.code || loser.revision !== answers[winner].revision) {
				problems.push(`round ${round}: the answers were ${answers.map(({code, revision: answered}) => `BH${code} revision ${answered}`).join(' and ')}`);
			} else if (await acceptedBase(fleet) !== requests[winner].files.base) {
				problems.push(`round ${round}: the accepted file is not the winner's`);
			}
		}

		return [...problems, ...await laggingProcesses(fleet, await acceptedRevision(fleet))];
	},
};
