import {command, positional, string} from 'cmd-ts';
import {parseWholeNumber} from '../bounds/external-numbers.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {resultCodeName, resultCodes} from '../result-codes/result-codes.js';
import {reportFailure} from './operator-session.js';

const executionDescriptions = {
	ran: 'The request was executed.',
	notRun: 'The request was not executed; it may be sent again.',
	unknown: 'It is not known whether the request was executed.',
	notApplicable: 'The code does not refer to a request.',
} as const;

/** `explain`: describes a result code. */
export const explainCommand = command({
	name: 'explain',
	description: 'describe a numbered result code, for example BH2003',
	args: {code: positional({type: string, displayName: 'code'})},
	handler({code}) {
		const number = parseWholeNumber(code.replace(/^BH/iv, ''));
		const name = number === undefined ? undefined : resultCodeName(number);
		if (!name) {
			reportFailure(new BuckthornhitchError('invalidSetting', `There is no result code "${code}".`));
			return;
		}

		const resultCode = resultCodes[name];
		console.log(`BH${String(resultCode.code).padStart(4, '0')} ${name} (SQLSTATE ${resultCode.sqlState})`);
		console.log(resultCode.text);
		console.log(executionDescriptions[resultCode.execution]);
		console.log(`What to do: ${resultCode.action}`);
	},
});
