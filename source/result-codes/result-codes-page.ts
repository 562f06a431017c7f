import {resultCodes, type Execution, type ResultCodeEntry} from './result-codes.js';

const executionLabels: Readonly<Record<Execution, string>> = {
	ran: 'ran',
	notRun: 'did not run',
	unknown: 'may have run',
	notApplicable: 'no request',
};

const codeDigits = 4;

const introduction = [
	'# Result codes',
	'This page is generated from `source/result-codes/result-codes.ts` by `npm run --silent pages`.',
	[
		'Callers see the number in the message, for example `BH2003`, together with the SQLSTATE; operators can look one up with `buckthornhitch explain 2003`.',
		'Ranges: 0 success; 1xxx bad input or settings; 2xxx not run; 3xxx outcome unknown or transaction lost; 4xxx configuration; 5xxx control and storage; 6xxx links.',
	].join(' '),
].join('\n\n');

/** Returns the Markdown text of docs/result-codes.md. */
export function resultCodesPage(): string {
	const entries: ReadonlyArray<readonly [string, ResultCodeEntry]> = Object.entries(resultCodes);
	const rows = entries.toSorted(([, first], [, second]) => first.code - second.code).map(([name, entry]) => renderRow(name, entry));
	return `${introduction}\n\n${['| code | name | SQLSTATE | the request | text | what to do |', '| --- | --- | --- | --- | --- | --- |', ...rows].join('\n')}\n`;
}

function renderRow(name: string, entry: ResultCodeEntry): string {
	return `| BH${String(entry.code).padStart(codeDigits, '0')} | \`${name}\` | ${entry.sqlState} | ${executionLabels[entry.execution]} | ${entry.text} | ${entry.action} |`;
}
