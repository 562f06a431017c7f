import {type Buffer} from 'node:buffer';
import {splitBackendMessages} from '../postgres-protocol/backend-message-splitter.js';

const quotedOrCommentPattern = /'(?:[^']|'')*'|"[^"]*"|\$(?<tag>\w*)\$[\s\S]*?\$\k<tag>\$|--[^\n]*|\/\*[\s\S]*?\*\//gv;
const opensTransactionPattern = /(?:^|;)\s*(?:begin|start\s+transaction)\b/iv;
const commitPattern = /(?:^|;)\s*(?:commit|end|prepare\s+transaction)\b/iv;

/** Returns the statement texts of the Query and Parse messages in a request. */
export function statementTexts(bytes: Buffer): readonly string[] {
	const texts: string[] = [];
	for (const {type, body} of splitBackendMessages(bytes)) {
		if (type === 'Q') {
			texts.push(readCString(body, 0));
		} else if (type === 'P') {
			texts.push(readCString(body, body.indexOf(0) + 1));
		}
	}

	return texts;
}

/** Returns the encoded parameters of the Bind messages in a request, without the names of portal and statement. */
export function bindParameters(bytes: Buffer): readonly Buffer[] {
	const binds = splitBackendMessages(bytes).filter(({type}) => type === 'B');
	return binds.map(({body}) => body.subarray(body.indexOf(0, body.indexOf(0) + 1) + 1));
}

/** Returns whether a request contains a statement that opens a transaction block. */
export function opensTransaction(bytes: Buffer): boolean {
	return unquotedStatementTexts(bytes).some(text => opensTransactionPattern.test(text));
}

/** Returns whether a request contains a statement that may commit a transaction block. */
export function mayCommit(bytes: Buffer): boolean {
	return unquotedStatementTexts(bytes).some(text => commitPattern.test(text));
}

function unquotedStatementTexts(bytes: Buffer): readonly string[] {
	return statementTexts(bytes).map(text => text.replaceAll(quotedOrCommentPattern, ' '));
}

function readCString(body: Buffer, start: number): string {
	const end = body.indexOf(0, start);
	return body.toString('utf8', start, end === -1 ? body.length : end);
}
