import {type Milliseconds} from '../clock/clock.js';
import {type LogPosition} from '../database-group/types.js';
import {type Route} from '../routing-table/types.js';
import {type ConnectionStatement, type PreparedStatementDefinition, type SessionStatement} from '../statement/types.js';
import {type CallerSessionState} from './caller-session-state.js';
import {type CallerOperation} from './caller-operation.js';
import {type ServiceClient} from './service-client.js';

/** Statement that reads or writes data. */
export type DataStatement = Extract<SessionStatement, {readonly kind: 'read' | 'write' | 'execute'}>;

/** Data statement of a caller, in the form in which a session executes it on a member. */
export type DataRequest = {
	readonly id: string;
	readonly access: 'read' | 'write';
	/** Prepared statement to execute, if it is one. */
	readonly preparedStatement: PreparedStatementDefinition | undefined;
	/** Returns the statement to send; the member must have applied its log up to `after`. */
	readonly createStatement: (after?: LogPosition) => ConnectionStatement;
};

/** Data request with its route and deadline. */
export type RoutedDataRequest = {
	readonly request: DataRequest;
	readonly operation: CallerOperation;
	readonly route: Route;
	readonly client: ServiceClient;
	readonly arrivedAt: Milliseconds;
	readonly deadline: Milliseconds;
};

/** Returns the data request for a statement, or undefined if it names an unknown prepared statement. */
export function dataRequest(statement: DataStatement, {preparedStatements}: CallerSessionState): DataRequest | undefined {
	const {id} = statement;
	switch (statement.kind) {
		case 'read': {
			return {
				id, access: 'read', preparedStatement: undefined, createStatement: after => ({
					kind: 'read', id, text: statement.text, after,
				}),
			};
		}

		case 'write': {
			return {
				id, access: 'write', preparedStatement: undefined, createStatement: () => ({kind: 'write', id, text: statement.text}),
			};
		}

		case 'execute': {
			const preparedStatement = preparedStatements.get(statement.name);
			return preparedStatement && {
				id,
				access: preparedStatement.access,
				preparedStatement,
				createStatement: after => ({
					kind: 'execute', id, definition: preparedStatement, parameters: statement.parameters, after: preparedStatement.access === 'read' ? after : undefined,
				}),
			};
		}
	}
}
