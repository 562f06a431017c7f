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

/** What local statements read and change. */
export type LocalContext = {
	readonly database: string;
	readonly transactionLost: boolean;
	readonly settings: SessionSettings;
	readonly prepared: ReadonlyMap<string, PreparedStatement>;
};

/** Answer of a local statement and what it leaves. */
export type LocalResult = LocalContext & {
	readonly bytes: Buffer;
	/** Whether the answer is a row; its description precedes it in a simple query. */
	readonly column: string | undefined;
};

const kindsAfterLoss: ReadonlySet<ClassifiedStatement['kind']> = new Set(['empty', 'commit', 'rollback']);
const localKinds: ReadonlySet<ClassifiedStatement['kind']> = new Set(['empty', 'set', 'deallocate', 'discardAll']);

/** Returns whether the entry answers the statement itself. After its transaction was lost, only statements that end it or do nothing. */
export function isLocalStatement(statement: ClassifiedStatement, transactionLost: boolean): boolean {
	if (transactionLost) {
		return kindsAfterLoss.has(statement.kind);
	}

	return localKinds.has(statement.kind) || (statement.kind === 'show' && isProxySetting(statement.name));
}

/** Runs a local statement. Throws unsupportedFeature, invalidSetting or tokenForOtherDatabase. */
export function runLocalStatement(statement: ClassifiedStatement, context: LocalContext): LocalResult {
	const done = (tag: string, change: Partial<LocalContext> = {}): LocalResult => ({
		...context, ...change, bytes: buildCommandComplete(tag), column: undefined,
	});
	if (statement.kind === 'set') {
		return done(statement.value === null ? 'RESET' : 'SET', {settings: changeSetting(context, statement.name, statement.value)});
	}

	if (statement.kind === 'show') {
		const value = formatProxySetting(context.settings, statement.name, formatSessionToken);
		return {...context, bytes: Buffer.concat([buildTextDataRow(value), buildCommandComplete('SHOW')]), column: statement.name};
	}

	if (statement.kind === 'deallocate') {
		return done(statement.name === null ? 'DEALLOCATE ALL' : 'DEALLOCATE', {prepared: withoutStatement(context.prepared, statement.name)});
	}

	if (statement.kind === 'discardAll') {
		// The token stays, since the session's own writes must stay visible.
		return done('DISCARD ALL', {prepared: new Map(), settings: {...context.settings, maximumAge: null, requestId: null}});
	}

	return statement.kind === 'empty' ? {...context, bytes: emptyQueryResponse, column: undefined} : done('ROLLBACK', {transactionLost: false});
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

/** Returns the prepared statements with one added or replaced. */
export function withStatement(prepared: ReadonlyMap<string, PreparedStatement>, statement: PreparedStatement): ReadonlyMap<string, PreparedStatement> {
	return new Map(prepared).set(statement.name, statement);
}

/** Returns the prepared statements without one, or without any for null. */
export function withoutStatement(prepared: ReadonlyMap<string, PreparedStatement>, name: string | null): ReadonlyMap<string, PreparedStatement> {
	return new Map([...prepared].filter(([known]) => name !== null && known !== name));
}

/** Runs one message of a local batch; the bytes are its answer. Throws as runLocalStatement does. */
export function runLocalStep(step: LocalStep, context: LocalContext): LocalResult {
	switch (step.kind) {
		case 'parse': {
			const {statement} = step;
			const prepared = withStatement(context.prepared, {...statement, parse: Buffer.from(statement.parse)});
			return {
				...context, prepared, bytes: parseComplete, column: undefined,
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
				...context, prepared: withoutStatement(context.prepared, step.name), bytes: closeComplete, column: undefined,
			};
		}
	}
}

function describeLocal(statement: PreparedStatement): Buffer {
	const [first] = statement.statements;
	return first.kind === 'show' ? buildTextRowDescription(first.name) : noData;
}
