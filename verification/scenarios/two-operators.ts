import {resultCodes} from '../../source/result-codes/result-codes.js';
import {type Scenario} from '../scenario.js';
import {
	acceptedBase, acceptedRevision, changeRequest, laggingProcesses,
} from './changes.js';

const rounds = 10;

/** Two operators submit different files with the same expected revision at the same time. */
export const twoOperatorsScenario: Scenario = {
	name: 'two-operators',
	async run({fleet}) {
		const faults: string[] = [];
		for (let round = 0; round < rounds; round++) {
			const revision = await acceptedRevision(fleet);
			const requests = ['first', 'second'].map(operator => changeRequest(`${round}-${operator}`, revision));
			const answers = await Promise.all(requests.map(async request => fleet.newControlClient().apply(request)));
			const winner = answers.findIndex(({code}) => code === 0);
			const loser = answers[1 - winner];
			if (winner === -1 || loser?.code !== resultCodes.revisionConflict.code || loser.revision !== answers[winner].revision) {
				faults.push(`round ${round}: the answers were ${answers.map(({code, revision: answered}) => `BH${code} revision ${answered}`).join(' and ')}`);
			} else if (await acceptedBase(fleet) !== requests[winner].files.base) {
				faults.push(`round ${round}: the accepted file is not the winner's`);
			}
		}

		return [...faults, ...await laggingProcesses(fleet, await acceptedRevision(fleet))];
	},
};
