import {resultCodes} from '../../source/result-codes/result-codes.js';
import {type Scenario} from '../scenario.js';
import {
	acceptedBase, acceptedRevision, changeRequest, checkRevisionReached,
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
			const acceptedIndex = answers.findIndex(({code}) => code === 0);
			const otherAnswer = answers[1 - acceptedIndex];
			if (acceptedIndex === -1 || otherAnswer?.code !== resultCodes.revisionConflict.code || otherAnswer.revision !== answers[acceptedIndex].revision) {
				problems.push(`round ${round}: the answers were ${answers.map(({code, revision: answered}) => `BH${code} revision ${answered}`).join(' and ')}`);
			} else if (await acceptedBase(fleet) !== requests[acceptedIndex].files.base) {
				problems.push(`round ${round}: the accepted file is not the winner's`);
			}
		}

		return [...problems, ...await checkRevisionReached(fleet, await acceptedRevision(fleet))];
	},
};
