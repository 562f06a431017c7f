import {type Milliseconds} from '../clock/clock.js';
import {type LogPoint} from '../database-group/types.js';
import {type Route} from '../routing-table/types.js';
import {type MemberStatement, type PreparedShape, type Statement} from '../statement/types.js';
import {sharedName, type CallerSessionState} from './caller-session-state.js';
import {type ServiceClient} from './service-client.js';

/** A statement that reads or writes data. */
export type DataStatement = Extract<Statement, {readonly kind: 'read' | 'write' | 'execute'}>;

/** A statement to send to a member. */
export type DataRequest = {
	readonly id: string;
	readonly access: 'read' | 'write';
	/** The prepared statement that it runs. */
	readonly shape: PreparedShape | undefined;
	/** Returns the statement for a member whose log must contain a point. */
	readonly statement: (after?: LogPoint) => MemberStatement;
};

/** A request with where it goes and until when it must be answered. */
export type RoutedRequest = {
	readonly request: DataRequest;
	readonly route: Route;
	readonly client: ServiceClient;
	readonly arrivedAt: Milliseconds;
	readonly deadline: Milliseconds;
};

/** Returns the request of a statement, or undefined when it names an unknown prepared statement. */
export function dataRequest(statement: DataStatement, {prepared}: CallerSessionState): DataRequest | undefined {
	const {id} = statement;
	switch (statement.kind) {
		case 'read': {
			return {
				id, access: 'read', shape: undefined, statement: after => ({
					kind: 'read', id, text: statement.text, after,
				}),
			};
		}

		case 'write': {
			return {
				id, access: 'write', shape: undefined, statement: () => ({kind: 'write', id, text: statement.text}),
			};
		}

		case 'execute': {
			const shape = prepared.get(statement.name);
			return shape && {
				id,
				access: shape.access,
				shape,
				statement: after => ({
					kind: 'execute', id, name: sharedName(shape), parameters: statement.parameters, after: shape.access === 'read' ? after : undefined,
				}),
			};
		}
	}
}
