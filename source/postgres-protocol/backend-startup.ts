import {type Buffer} from 'node:buffer';
import {serialize} from 'pg-protocol';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type BackendMessage} from './backend-message-splitter.js';
import {findBackendError} from './backend-rows.js';

/** Credentials with which the proxy connects to backend servers. */
export type BackendCredentials = {
	readonly user: string;
	/** Sent in clear text on request of the backend server. If null, a password request fails the connection. */
	readonly password: string | null;
};

/** Next step of the start-up exchange. */
export type StartupStep =
	| {readonly kind: 'wait'}
	| {readonly kind: 'send'; readonly bytes: Buffer}
	| {readonly kind: 'ready'};

const authenticationOk = 0;
const authenticationCleartextPassword = 3;

/** Builds the StartupMessage packet that opens a connection. */
export function buildStartupMessage(credentials: BackendCredentials, database: string, appName: string): Buffer {
	return serialize.startup({user: credentials.user, database, application_name: appName});
}

/** Returns the next step after a message received during start-up. Throws linkNotSent if the backend server rejects the connection or requests an unsupported authentication method. */
export function continueStartup(message: BackendMessage, credentials: BackendCredentials): StartupStep {
	switch (message.type) {
		case 'R': {
			return handleAuthenticationRequest(message.body.readInt32BE(0), credentials);
		}

		case 'E': {
			const error = findBackendError([message]);
			throw new BuckthornhitchError('linkNotSent', `The backend server rejected the connection with SQLSTATE ${error?.sqlState ?? 'XX000'}.`);
		}

		case 'Z': {
			return {kind: 'ready'};
		}

		default: {
			return {kind: 'wait'};
		}
	}
}

function handleAuthenticationRequest(method: number, credentials: BackendCredentials): StartupStep {
	if (method === authenticationOk) {
		return {kind: 'wait'};
	}

	if (method === authenticationCleartextPassword && credentials.password !== null) {
		return {kind: 'send', bytes: serialize.password(credentials.password)};
	}

	throw new BuckthornhitchError('linkNotSent', `The backend server requests authentication method ${method}, which is not supported or lacks a password.`);
}
