const rules = {
	// Wire names of other protocols and database columns are not camel case.
	'@typescript-eslint/naming-convention': 'off',
	// The session protocol and the link protocol use null for "absent" on the wire.
	'@typescript-eslint/no-restricted-types': 'off',
	// Promise chains express work that runs beside the caller's own.
	'promise/prefer-await-to-then': 'off',
	// Its automatic fix turns then(a, b) into catch(b).then(a), which also runs a after a failure.
	'promise/prefer-catch': 'off',
	// Requests of one connection are handled strictly in order.
	'no-await-in-loop': 'off',
	// The bundle of the platform's processes is CommonJS, which has no top-level await.
	'unicorn/prefer-top-level-await': 'off',
	'unicorn/no-null': 'off',
	'unicorn/no-process-exit': 'off',
	'n/prefer-global/process': 'off',
	// Read-only types say this at compile time already.
	'@typescript-eslint/prefer-readonly-parameter-types': 'off',
	// The test runner itself awaits the promises that its functions return.
	'@typescript-eslint/no-floating-promises': ['error', {allowForKnownSafeCalls: [{from: 'package', package: 'node:test', name: ['test', 'describe', 'it', 'suite']}]}],
};

export default [
	{ignores: ['dist/**', 'docs/**', 'examples/**']},

	{files: '**/*.ts', rules},
];
