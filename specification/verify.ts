import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {controlLogCases} from './control-log-cases.js';
import {databaseGroupCases} from './database-group-cases.js';
import {type VerificationCase} from './verification-case.js';
import {limitCases} from './rate-limit-cases.js';
import {requestIdCases} from './request-id.js';

const cases: readonly VerificationCase[] = [...requestIdCases, ...databaseGroupCases, ...controlLogCases, ...limitCases];

/** Runs one case, prints its result, and returns whether the result is as expected: a violation for a mutation and for a known fault, none otherwise for the protocol as implemented. */
function runCase(verificationCase: VerificationCase): boolean {
	const start = performance.now();
	const result = verificationCase.run();
	const seconds = ((performance.now() - start) / 1000).toFixed(1);
	const isViolationExpected = verificationCase.mutation !== null || verificationCase.isKnownFault === true;
	const isExpected = Boolean(result.violation) === isViolationExpected;
	const kind = verificationCase.mutation === null ? (verificationCase.isKnownFault ? 'known fault, see KNOWN-RED.txt' : 'protocol') : `mutation: ${verificationCase.mutation}`;
	console.log(`${isExpected ? 'ok' : 'FAILED'}  ${verificationCase.name}, ${kind}`);
	console.log(`    ${result.states} states, ${result.transitions} transitions, ${seconds} s; ${result.violation ? `violation: ${result.violation}` : 'no violation'}`);
	if (result.counterexample.length > 0) {
		console.log(`    ${result.counterexample.length} steps: ${result.counterexample.join(' ')}`);
	}

	return isExpected;
}

const outcomes = cases.map(verificationCase => runCase(verificationCase));
const passed = outcomes.filter(Boolean).length;
console.log(`${passed} passed, ${outcomes.length - passed} failed`);
process.exitCode = passed === outcomes.length ? 0 : 1;
