import {type Buffer} from 'node:buffer';
import {serialize} from 'pg-protocol';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type BackendMessage} from './backend-message-splitter.js';
import {findBackendError} from './backend-rows.js';

/** Identity under which the proxy connects to backend servers. */
export type BackendCredentials = {
	readonly user: string;
	/** Sent in clear text when the backend server asks for it; null when it must not ask. */
	readonly password: string | null;
};

/** Next step of a start-up. */
export type StartupStep =
	| {readonly kind: 'wait'}
	| {readonly kind: 'send'; readonly bytes: Buffer}
	| {readonly kind: 'ready'};

const authenticationDone = 0;
const authenticationCleartextPassword = 3;

/** Returns the start-up message of a connection. */
export function buildStartup(credentials: BackendCredentials, database: string, appName: string): Buffer {
	return serialize.startup({user: credentials.user, database, application_name: appName});
}

/** Decides on a message received during start-up. Throws linkNotSent when the backend server rejects the connection or asks for an unsupported authentication. */
export function continueStartup(message: BackendMessage, credentials: BackendCredentials): StartupStep {
	switch (message.type) {
		case 'R': {
			return answerAuthentication(message.body.readInt32BE(0), credentials);
		}

		case 'E': {
			const reported = findBackendError([message]);
			throw new BuckthornhitchError('linkNotSent', `The backend server rejected the connection with SQLSTATE ${reported?.sqlState ?? 'XX000'}.`);
		}

		case 'Z': {
			return {kind: 'ready'};
		}

		default: {
			return {kind: 'wait'};
		}
	}
}

function answerAuthentication(method: number, credentials: BackendCredentials): StartupStep {
	if (method === authenticationDone) {
		return {kind: 'wait'};
	}

	if (method === authenticationCleartextPassword && credentials.password !== null) {
		return {kind: 'send', bytes: serialize.password(credentials.password)};
	}

	throw new BuckthornhitchError('linkNotSent', `The backend server asks for authentication method ${method}, which is not supported.`);
}
