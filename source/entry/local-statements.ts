import {Buffer} from 'node:buffer';
import {
	bindComplete, closeComplete, buildCommandComplete, emptyQueryResponse, noData, emptyParameterDescription, parseComplete, buildTextDataRow, buildTextRowDescription,
} from '../postgres-protocol/backend-messages.js';
import {type ClassifiedStatement} from '../routing/statement-classification.js';
import {formatSessionToken} from '../session/session-token.js';
import {
	changeProxySetting, checkIgnoredSetting, isProxySetting, formatProxySetting, type SessionSettings,
} from '../session/session-settings.js';
import {type LocalStep, type PreparedStatement} from './extended-batch.js';

/** Session state that local statements read and change. */
export type LocalContext = {
	readonly database: string;
	readonly transactionLost: boolean;
	readonly settings: SessionSettings;
	readonly preparedStatements: ReadonlyMap<string, PreparedStatement>;
};

/** Response to a local statement, and the session state after it. */
export type LocalResult = LocalContext & {
	readonly bytes: Buffer;
	/** Column name if the response is a row; in a simple query, a RowDescription precedes it. */
	readonly column: string | undefined;
};

const kindsAllowedAfterLoss: ReadonlySet<ClassifiedStatement['kind']> = new Set(['empty', 'commit', 'rollback']);
const localKinds: ReadonlySet<ClassifiedStatement['kind']> = new Set(['empty', 'set', 'deallocate', 'discardAll']);

/** Returns whether the entry runs the statement itself. After a transaction was lost, the entry runs only empty statements and those that end the transaction. */
export function isLocalStatement(statement: ClassifiedStatement, transactionLost: boolean): boolean {
	if (transactionLost) {
		return kindsAllowedAfterLoss.has(statement.kind);
	}

	return localKinds.has(statement.kind) || (statement.kind === 'show' && isProxySetting(statement.name));
}

/** Runs a statement in the entry, without a pool. Throws unsupportedFeature, invalidSetting or tokenForOtherDatabase. */
export function runLocalStatement(statement: ClassifiedStatement, context: LocalContext): LocalResult {
	const completed = (tag: string, change: Partial<LocalContext> = {}): LocalResult => ({
		...context, ...change, bytes: buildCommandComplete(tag), column: undefined,
	});
	if (statement.kind === 'set') {
		return completed(statement.value === null ? 'RESET' : 'SET', {settings: changeSetting(context, statement.name, statement.value)});
	}

	if (statement.kind === 'show') {
		const value = formatProxySetting(context.settings, statement.name, formatSessionToken);
		return {...context, bytes: Buffer.concat([buildTextDataRow(value), buildCommandComplete('SHOW')]), column: statement.name};
	}

	if (statement.kind === 'deallocate') {
		return completed(statement.name === null ? 'DEALLOCATE ALL' : 'DEALLOCATE', {preparedStatements: removeStatement(context.preparedStatements, statement.name)});
	}

	if (statement.kind === 'discardAll') {
		// The token is kept, because the session must still see its own writes.
		return completed('DISCARD ALL', {preparedStatements: new Map(), settings: {...context.settings, maximumAge: null, requestId: null}});
	}

	return statement.kind === 'empty' ? {...context, bytes: emptyQueryResponse, column: undefined} : completed('ROLLBACK', {transactionLost: false});
}

function changeSetting(context: LocalContext, name: string | null, value: string | null): SessionSettings {
	const {settings, database} = context;
	if (name === null) {
		return {...settings, maximumAge: null, requestId: null};
	}

	if (isProxySetting(name)) {
		return changeProxySetting(settings, database, name, value);
	}

	checkIgnoredSetting(name, value);
	return settings;
}

/** Returns the prepared statements with one statement added or replaced. */
export function addStatement(preparedStatements: ReadonlyMap<string, PreparedStatement>, statement: PreparedStatement): ReadonlyMap<string, PreparedStatement> {
	return new Map(preparedStatements).set(statement.name, statement);
}

/** Returns the prepared statements without the named one; none if the name is null. */
export function removeStatement(preparedStatements: ReadonlyMap<string, PreparedStatement>, name: string | null): ReadonlyMap<string, PreparedStatement> {
	return new Map([...preparedStatements].filter(([known]) => name !== null && known !== name));
}

/** Runs one message of a local batch. Throws the same errors as {@link runLocalStatement}. */
export function runLocalStep(step: LocalStep, context: LocalContext): LocalResult {
	switch (step.kind) {
		case 'parse': {
			const {statement} = step;
			const preparedStatements = addStatement(context.preparedStatements, {...statement, parseMessage: Buffer.from(statement.parseMessage)});
			return {
				...context, preparedStatements, bytes: parseComplete, column: undefined,
			};
		}

		case 'bind': {
			return {...context, bytes: bindComplete, column: undefined};
		}

		case 'describe': {
			const description = describeLocal(step.statement);
			return {...context, bytes: step.target === 'statement' ? Buffer.concat([emptyParameterDescription, description]) : description, column: undefined};
		}

		case 'execute': {
			const [statement] = step.statement.statements;
			return runLocalStatement(statement, context);
		}

		case 'close': {
			return {
				...context, preparedStatements: removeStatement(context.preparedStatements, step.name), bytes: closeComplete, column: undefined,
			};
		}
	}
}

function describeLocal(statement: PreparedStatement): Buffer {
	const [first] = statement.statements;
	return first.kind === 'show' ? buildTextRowDescription(first.name) : noData;
}
