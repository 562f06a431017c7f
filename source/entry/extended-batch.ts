import {Buffer} from 'node:buffer';
import {messageRanges} from '../postgres-protocol/backend-messages.js';
import {
	buildCloseStatement, readBind, readExecute, readParse, readDescribeOrClose, type FrontendMessage,
} from '../postgres-protocol/frontend-messages.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {classifyStatements, type ClassifiedStatement} from '../routing/statement-classification.js';
import {leadingComment} from '../session/session-settings.js';
import {sessionStatementLimit} from '../statement/statement-limits.js';

/** Prepared statement of a caller. It can be prepared again on any connection. */
export type PreparedStatement = {
	readonly name: string;
	/** The Parse message as received. */
	readonly parseMessage: Buffer;
	readonly statements: readonly ClassifiedStatement[];
	/** Body of the leading comment with proxy settings, if any. */
	readonly comment: string | undefined;
};

/** Change to the prepared statements that a completed Parse or Close message makes. */
export type PreparedStatementChange =
	| {readonly kind: 'parsed'; readonly statement: PreparedStatement}
	/** The entry prepared the statement again on the connection; the caller's prepared statements are unchanged. */
	| {readonly kind: 'restored'; readonly name: string}
	| {readonly kind: 'closed'; readonly name: string}
	| {readonly kind: 'none'};

/** One message of a batch that the entry runs itself. */
export type LocalStep =
	| {readonly kind: 'parse'; readonly statement: PreparedStatement}
	| {readonly kind: 'bind'}
	| {readonly kind: 'describe'; readonly target: 'statement' | 'portal'; readonly statement: PreparedStatement}
	| {readonly kind: 'execute'; readonly statement: PreparedStatement}
	| {readonly kind: 'close'; readonly name: string};

/** Plan for a batch that is forwarded to a pool. */
export type ForwardPlan = {
	readonly kind: 'forward';
	readonly bytes: Buffer;
	/** Number of messages added in front of the batch; their responses are removed. */
	readonly prependedCount: number;
	/** One change for each Parse and Close message, those of the prepended messages first. */
	readonly changes: readonly PreparedStatementChange[];
	/** Statements that the batch may run. */
	readonly statements: readonly ClassifiedStatement[];
	readonly comments: readonly string[];
};

/** Plan for a batch: forward it, or run it in the entry. */
export type BatchPlan = ForwardPlan | {readonly kind: 'local'; readonly steps: readonly LocalStep[]};

/** Session state that the plan of a batch depends on. */
export type BatchContext = {
	/** Prepared statements of the caller by name. */
	readonly preparedStatements: ReadonlyMap<string, PreparedStatement>;
	/** Names of the statements that are prepared on the connection of the open transaction. */
	readonly preparedOnConnection: ReadonlySet<string>;
	readonly isLocal: (statement: ClassifiedStatement) => boolean;
};

/** Plans one batch of extended-query messages. Throws malformedMessage, or unsupportedFeature for statements that must not be forwarded. */
export function planBatch(messages: readonly FrontendMessage[], sync: FrontendMessage, context: BatchContext): BatchPlan {
	const planner = new BatchPlanner(context);
	for (const message of messages) {
		planner.add(message);
	}

	return planner.plan(messages, sync);
}

class BatchPlanner {
	readonly #statementsByName = new Map<string, PreparedStatement | undefined>();
	readonly #statementsByPortal = new Map<string, PreparedStatement | undefined>();
	readonly #prependedMessages: Buffer[] = [];
	readonly #prependedChanges: PreparedStatementChange[] = [];
	readonly #changes: PreparedStatementChange[] = [];
	readonly #localSteps: LocalStep[] = [];
	readonly #executedStatements: ClassifiedStatement[] = [];
	readonly #comments: string[] = [];
	#localCount = 0;
	#forwardedCount = 0;

	constructor(private readonly context: BatchContext) {}

	add(message: FrontendMessage): void {
		switch (message.type) {
			case 'P': {
				this.#parse(message);
				break;
			}

			case 'B': {
				this.#bind(message);
				break;
			}

			case 'D': {
				this.#describe(message);
				break;
			}

			case 'E': {
				this.#execute(message);
				break;
			}

			default: {
				this.#close(message);
			}
		}
	}

	plan(messages: readonly FrontendMessage[], sync: FrontendMessage): BatchPlan {
		if (this.#forwardedCount === 0) {
			return {kind: 'local', steps: this.#localSteps};
		}

		if (this.#localCount > 0) {
			throw new BuckthornhitchError('unsupportedFeature', 'Session settings and other statements must not share a batch.');
		}

		return {
			kind: 'forward',
			bytes: Buffer.concat([...this.#prependedMessages, ...messages.map(({bytes}) => bytes), sync.bytes]),
			prependedCount: this.#prependedMessages.length,
			changes: [...this.#prependedChanges, ...this.#changes],
			statements: this.#executedStatements,
			comments: this.#comments,
		};
	}

	#parse(message: FrontendMessage): void {
		const {statementName: name, text} = readParse(message);
		const statements = classifyStatements(text);
		assertSupported(statements);
		if (this.context.preparedStatements.size >= sessionStatementLimit.count && !this.context.preparedStatements.has(name)) {
			throw new BuckthornhitchError('unsupportedFeature', `A session has at most ${sessionStatementLimit.count} prepared statements.`);
		}

		const statement: PreparedStatement = {
			name, parseMessage: message.bytes, statements, comment: leadingComment(text),
		};
		if (name !== '' && !this.#statementsByName.has(name) && !this.context.preparedOnConnection.has(name)) {
			// A statement of another session may be prepared under this name on the connection.
			this.#prepend(buildCloseStatement(name), {kind: 'none'});
		}

		this.#statementsByName.set(name, statement);
		this.#changes.push({kind: 'parsed', statement});
		this.#localSteps.push({kind: 'parse', statement});
		this.#countMessage(statement);
	}

	#bind(message: FrontendMessage): void {
		const {portalName, statementName: name} = readBind(message);
		const statement = this.#resolveStatement(name);
		this.#statementsByPortal.set(portalName, statement);
		this.#countMessage(statement);
		this.#localSteps.push({kind: 'bind'});
		this.#executedStatements.push(...statement?.statements ?? []);
		if (statement?.comment !== undefined) {
			this.#comments.push(statement.comment);
		}
	}

	#describe(message: FrontendMessage): void {
		const {kind, name} = readDescribeOrClose(message);
		const statement = kind === 'statement' ? this.#resolveStatement(name) : this.#statementsByPortal.get(name);
		this.#countMessage(statement);
		if (statement) {
			this.#localSteps.push({kind: 'describe', target: kind, statement});
		}
	}

	#execute(message: FrontendMessage): void {
		const portal = readExecute(message);
		const statement = this.#statementsByPortal.get(portal);
		this.#countMessage(statement);
		if (statement) {
			this.#localSteps.push({kind: 'execute', statement});
		} else if (!this.#statementsByPortal.has(portal)) {
			// The portal was bound in an earlier batch of the open transaction, so its statement is not known here. The access that the statement needs was already taken into account when that batch was routed. The portal therefore counts as a read here.
			this.#executedStatements.push({kind: 'read'});
		}
	}

	#close(message: FrontendMessage): void {
		const {kind, name} = readDescribeOrClose(message);
		if (kind === 'portal') {
			this.#forwardedCount++;
			this.#statementsByPortal.delete(name);
			this.#changes.push({kind: 'none'});
			return;
		}

		if (this.context.preparedOnConnection.has(name) || this.#statementsByName.get(name)) {
			const statement = this.#statementsByName.get(name);
			this.#forwardedCount += statement && this.#isLocal(statement) ? 0 : 1;
		}

		this.#statementsByName.set(name, undefined);
		this.#changes.push({kind: 'closed', name});
		this.#localSteps.push({kind: 'close', name});
	}

	// Returns the named statement and, if it may be missing on the connection, prepends the messages that prepare it there.
	#resolveStatement(name: string): PreparedStatement | undefined {
		if (this.#statementsByName.has(name)) {
			return this.#statementsByName.get(name);
		}

		const statement = this.context.preparedStatements.get(name);
		this.#statementsByName.set(name, statement);
		if (!this.context.preparedOnConnection.has(name) && !(statement && this.#isLocal(statement))) {
			// The Close removes a statement of another session with this name. If the caller has no such statement, the server then reports that it does not exist.
			this.#prepend(buildCloseStatement(name), {kind: 'none'});
			if (statement) {
				this.#prepend(statement.parseMessage, {kind: 'restored', name});
			}
		}

		return statement;
	}

	#prepend(bytes: Buffer, change: PreparedStatementChange): void {
		this.#prependedMessages.push(bytes);
		this.#prependedChanges.push(change);
	}

	#countMessage(statement: PreparedStatement | undefined): void {
		if (statement && this.#isLocal(statement)) {
			this.#localCount++;
		} else {
			this.#forwardedCount++;
		}
	}

	#isLocal(statement: PreparedStatement): boolean {
		return statement.statements.every(part => this.context.isLocal(part));
	}
}

/** Throws unsupportedFeature if one of the statements must not be forwarded. */
export function assertSupported(statements: readonly ClassifiedStatement[]): void {
	for (const statement of statements) {
		if (statement.kind === 'unsupported') {
			throw new BuckthornhitchError('unsupportedFeature', `${statement.feature} is not supported.`);
		}
	}
}

/** Response to a batch without the responses to the prepended messages, and the changes that were made. */
export type BatchResponse = {
	readonly bytes: Buffer;
	readonly changes: readonly PreparedStatementChange[];
};

/** Removes the responses to the prepended messages and determines which Parse and Close messages were completed. */
export function parseBatchResponse(bytes: Buffer, plan: Pick<ForwardPlan, 'prependedCount' | 'changes'>): BatchResponse {
	const keptParts: Buffer[] = [];
	let completedCount = 0;
	let keptStart = 0;
	for (const range of messageRanges(bytes)) {
		if (completedCount === plan.changes.length) {
			break;
		}

		if (range.type === '1' || range.type === '3') {
			if (completedCount < plan.prependedCount) {
				keptParts.push(bytes.subarray(keptStart, range.start));
				keptStart = range.end;
			}

			completedCount++;
		}
	}

	keptParts.push(bytes.subarray(keptStart));
	return {bytes: keptParts.length === 1 ? bytes : Buffer.concat(keptParts), changes: plan.changes.slice(0, completedCount)};
}
