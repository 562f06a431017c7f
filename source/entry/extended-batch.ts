import {Buffer} from 'node:buffer';
import {messageRanges} from '../postgres-protocol/backend-messages.js';
import {
	buildCloseStatement, readBind, readExecute, readParse, readDescribeOrClose, type FrontendMessage,
} from '../postgres-protocol/frontend-messages.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {classifyStatements, type ClassifiedStatement} from '../routing/statement-classification.js';
import {leadingComment} from '../session/session-settings.js';

/** Prepared statements that a session may have; they are kept in memory while it is idle. */
export const largestStatementCount = 1000;

/** A prepared statement of a caller: what is sent to prepare it on any connection, and what it does. */
export type PreparedStatement = {
	readonly name: string;
	/** The Parse message as received. */
	readonly parse: Buffer;
	readonly statements: readonly ClassifiedStatement[];
	/** Body of the leading buckthornhitch comment. */
	readonly comment: string | undefined;
};

/** What an answered Parse or Close message changes. */
export type StoreChange =
	| {readonly kind: 'parsed'; readonly statement: PreparedStatement}
	/** Prepared again for the entry's own needs, the caller's store is unchanged. */
	| {readonly kind: 'restored'; readonly name: string}
	| {readonly kind: 'closed'; readonly name: string}
	| {readonly kind: 'none'};

/** One message of a batch that the entry answers itself. */
export type LocalStep =
	| {readonly kind: 'parse'; readonly statement: PreparedStatement}
	| {readonly kind: 'bind'}
	| {readonly kind: 'describe'; readonly target: 'statement' | 'portal'; readonly statement: PreparedStatement}
	| {readonly kind: 'execute'; readonly statement: PreparedStatement}
	| {readonly kind: 'close'; readonly name: string};

/** Batch to be forwarded. */
export type ForwardPlan = {
	readonly kind: 'forward';
	readonly bytes: Buffer;
	/** Number of prepended messages whose responses are removed. */
	readonly added: number;
	/** One change for each Parse and Close message, the prepended ones first. */
	readonly changes: readonly StoreChange[];
	/** Statements that the batch may execute. */
	readonly statements: readonly ClassifiedStatement[];
	readonly comments: readonly string[];
};

/** What is done with a batch. */
export type BatchPlan = ForwardPlan | {readonly kind: 'local'; readonly steps: readonly LocalStep[]};

/** What the planning of a batch depends on. */
export type BatchContext = {
	/** Statements that the caller prepared. */
	readonly known: ReadonlyMap<string, PreparedStatement>;
	/** Names prepared on the connection of the open transaction. */
	readonly held: ReadonlySet<string>;
	readonly isLocal: (statement: ClassifiedStatement) => boolean;
};

/** Plans one extended batch. Throws malformedMessage, or unsupportedFeature for what must not be forwarded. */
export function planBatch(messages: readonly FrontendMessage[], sync: FrontendMessage, context: BatchContext): BatchPlan {
	const planner = new BatchPlanner(context);
	for (const message of messages) {
		planner.add(message);
	}

	return planner.plan(messages, sync);
}

class BatchPlanner {
	readonly #current = new Map<string, PreparedStatement | undefined>();
	readonly #portals = new Map<string, PreparedStatement | undefined>();
	readonly #prefix: Buffer[] = [];
	readonly #prefixChanges: StoreChange[] = [];
	readonly #changes: StoreChange[] = [];
	readonly #steps: LocalStep[] = [];
	readonly #executed: ClassifiedStatement[] = [];
	readonly #comments: string[] = [];
	#local = 0;
	#forwarded = 0;

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
		if (this.#forwarded === 0) {
			return {kind: 'local', steps: this.#steps};
		}

		if (this.#local > 0) {
			throw new BuckthornhitchError('unsupportedFeature', 'Session settings and other statements must not share a batch.');
		}

		return {
			kind: 'forward',
			bytes: Buffer.concat([...this.#prefix, ...messages.map(({bytes}) => bytes), sync.bytes]),
			added: this.#prefix.length,
			changes: [...this.#prefixChanges, ...this.#changes],
			statements: this.#executed,
			comments: this.#comments,
		};
	}

	#parse(message: FrontendMessage): void {
		const {statement: name, text} = readParse(message);
		const statements = classifyStatements(text);
		refuseUnsupported(statements);
		if (this.context.known.size >= largestStatementCount && !this.context.known.has(name)) {
			throw new BuckthornhitchError('unsupportedFeature', `A session has at most ${largestStatementCount} prepared statements.`);
		}

		const statement: PreparedStatement = {
			name, parse: message.bytes, statements, comment: leadingComment(text),
		};
		if (name !== '' && !this.#current.has(name) && !this.context.held.has(name)) {
			// The connection may hold a statement of another session under this name.
			this.#prepend(buildCloseStatement(name), {kind: 'none'});
		}

		this.#current.set(name, statement);
		this.#changes.push({kind: 'parsed', statement});
		this.#steps.push({kind: 'parse', statement});
		this.#count(statement);
	}

	#bind(message: FrontendMessage): void {
		const {portal, statement: name} = readBind(message);
		const statement = this.#use(name);
		this.#portals.set(portal, statement);
		this.#count(statement);
		this.#steps.push({kind: 'bind'});
		this.#executed.push(...statement?.statements ?? []);
		if (statement?.comment !== undefined) {
			this.#comments.push(statement.comment);
		}
	}

	#describe(message: FrontendMessage): void {
		const {kind, name} = readDescribeOrClose(message);
		const statement = kind === 'statement' ? this.#use(name) : this.#portals.get(name);
		this.#count(statement);
		if (statement) {
			this.#steps.push({kind: 'describe', target: kind, statement});
		}
	}

	#execute(message: FrontendMessage): void {
		const portal = readExecute(message);
		const statement = this.#portals.get(portal);
		this.#count(statement);
		if (statement) {
			this.#steps.push({kind: 'execute', statement});
		} else if (!this.#portals.has(portal)) {
			// A portal of an earlier batch; only the open transaction knows what it does.
			this.#executed.push({kind: 'read'});
		}
	}

	#close(message: FrontendMessage): void {
		const {kind, name} = readDescribeOrClose(message);
		if (kind === 'portal') {
			this.#forwarded++;
			this.#portals.delete(name);
			this.#changes.push({kind: 'none'});
			return;
		}

		if (this.context.held.has(name) || this.#current.get(name)) {
			const statement = this.#current.get(name);
			this.#forwarded += statement && this.#isLocal(statement) ? 0 : 1;
		}

		this.#current.set(name, undefined);
		this.#changes.push({kind: 'closed', name});
		this.#steps.push({kind: 'close', name});
	}

	// Returns the statement of the name and prepares it on the connection when that may lack it.
	#use(name: string): PreparedStatement | undefined {
		if (this.#current.has(name)) {
			return this.#current.get(name);
		}

		const statement = this.context.known.get(name);
		this.#current.set(name, statement);
		if (!this.context.held.has(name) && !(statement && this.#isLocal(statement))) {
			// Without a Parse this makes the server report the missing statement.
			this.#prepend(buildCloseStatement(name), {kind: 'none'});
			if (statement) {
				this.#prepend(statement.parse, {kind: 'restored', name});
			}
		}

		return statement;
	}

	#prepend(bytes: Buffer, change: StoreChange): void {
		this.#prefix.push(bytes);
		this.#prefixChanges.push(change);
	}

	#count(statement: PreparedStatement | undefined): void {
		if (statement && this.#isLocal(statement)) {
			this.#local++;
		} else {
			this.#forwarded++;
		}
	}

	#isLocal(statement: PreparedStatement): boolean {
		return statement.statements.every(part => this.context.isLocal(part));
	}
}

/** Throws unsupportedFeature when one of the statements must not be forwarded. */
export function refuseUnsupported(statements: readonly ClassifiedStatement[]): void {
	for (const statement of statements) {
		if (statement.kind === 'unsupported') {
			throw new BuckthornhitchError('unsupportedFeature', `${statement.feature} is not supported.`);
		}
	}
}

/** Answer to a batch without the responses to prepended messages, and the changes that took place. */
export type BatchAnswer = {
	readonly bytes: Buffer;
	readonly changes: readonly StoreChange[];
};

/** Removes the responses to prepended messages and finds out which Parse and Close messages were carried out. */
export function readBatchAnswer(bytes: Buffer, plan: Pick<ForwardPlan, 'added' | 'changes'>): BatchAnswer {
	const kept: Buffer[] = [];
	let done = 0;
	let keptFrom = 0;
	for (const part of messageRanges(bytes)) {
		if (done === plan.changes.length) {
			break;
		}

		if (part.type === '1' || part.type === '3') {
			if (done < plan.added) {
				kept.push(bytes.subarray(keptFrom, part.start));
				keptFrom = part.end;
			}

			done++;
		}
	}

	kept.push(bytes.subarray(keptFrom));
	return {bytes: kept.length === 1 ? bytes : Buffer.concat(kept), changes: plan.changes.slice(0, done)};
}
