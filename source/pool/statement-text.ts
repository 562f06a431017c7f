import {type Buffer} from 'node:buffer';
import {splitBackendMessages} from '../postgres-protocol/backend-message-splitter.js';

const quotedOrComment = /'(?:[^']|'')*'|"[^"]*"|\$(?<tag>\w*)\$[\s\S]*?\$\k<tag>\$|--[^\n]*|\/\*[\s\S]*?\*\//gv;
const opensTransactionPattern = /(?:^|;)\s*(?:begin|start\s+transaction)\b/iv;
const endsTransactionPattern = /(?:^|;)\s*(?:commit|end|prepare\s+transaction)\b/iv;

/** Returns the statement texts in the frontend messages of a request. */
export function rawStatementTexts(bytes: Buffer): readonly string[] {
	const texts: string[] = [];
	for (const {type, body} of splitBackendMessages(bytes)) {
		if (type === 'Q') {
			texts.push(readText(body, 0));
		} else if (type === 'P') {
			texts.push(readText(body, body.indexOf(0) + 1));
		}
	}

	return texts;
}

/** Returns the parameters of the Bind messages of a request as sent, without the names of portal and statement. */
export function parametersOf(bytes: Buffer): readonly Buffer[] {
	const binds = splitBackendMessages(bytes).filter(({type}) => type === 'B');
	return binds.map(({body}) => body.subarray(body.indexOf(0, body.indexOf(0) + 1) + 1));
}

/** Returns whether the request contains a statement that opens a transaction block. */
export function opensTransaction(bytes: Buffer): boolean {
	return bareStatementTexts(bytes).some(text => opensTransactionPattern.test(text));
}

/** Returns whether the request contains a statement that may commit a transaction block. */
export function mayCommit(bytes: Buffer): boolean {
	return bareStatementTexts(bytes).some(text => endsTransactionPattern.test(text));
}

function bareStatementTexts(bytes: Buffer): readonly string[] {
	return rawStatementTexts(bytes).map(text => text.replaceAll(quotedOrComment, ' '));
}

function readText(body: Buffer, start: number): string {
	const end = body.indexOf(0, start);
	return body.toString('utf8', start, end === -1 ? body.length : end);
}
