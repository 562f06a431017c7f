import {Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import {PostgresConnection} from 'pg-gateway';
import {buildBackendKeyData, buildProxyErrorResponse} from '../postgres-protocol/backend-messages.js';
import {firstPasswordMessage, firstStartupPacket, startupPacketKind} from '../postgres-protocol/frontend-startup.js';
import {BuckthornhitchError, toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type SessionSettings} from '../session/session-settings.js';
import {type CallerOutput} from './entry-session.js';
import {type PasswordList} from './password-list.js';

/** A caller whose start-up parameters were accepted. */
export type AcceptedCaller = {
	readonly database: string;
	readonly settings: SessionSettings;
};

/** Decides which callers are accepted. */
export type StartupPolicy = {
	/** Passwords of the callers; undefined if callers are accepted without a password. */
	readonly passwords: PasswordList | undefined;
	/** Validates the start-up parameters. Throws a BuckthornhitchError to refuse the caller. */
	readonly accept: (parameters: Readonly<Record<string, string>>) => AcceptedCaller;
};

/** Server version reported to callers. Drivers decide by this version which features they use. */
export const reportedServerVersion = '16.0';

// Encoding name as a PostgreSQL server reports it.
const reportedEncoding = 'utf8'.toUpperCase();

const reportedParameters: ReadonlyArray<readonly [string, string]> = [
	['server_version', reportedServerVersion],
	['server_encoding', reportedEncoding],
	['client_encoding', reportedEncoding],
	['DateStyle', 'ISO, MDY'],
	['TimeZone', 'UTC'],
	['IntervalStyle', 'postgres'],
	['integer_datetimes', 'on'],
	['standard_conforming_strings', 'on'],
	['is_superuser', 'off'],
];
// A caller may request GSSAPI and TLS encryption, each once, before it continues without encryption.
const maximumEncryptionRequests = 2;
const encryptionRefusedResponse = Buffer.from('N');

/** State of the start-up after received bytes: more bytes are needed, the connection was closed, or the start-up is complete. */
export type StartupProgress =
	| {readonly kind: 'incomplete' | 'closed'}
	| {readonly kind: 'done'; readonly caller: AcceptedCaller; readonly remainingBytes: Buffer};

/** Start-up of one caller. Packets are passed to `pg-gateway` only after their length and format have been checked. */
export class CallerStartup {
	#receivedBytes = Buffer.alloc(0);
	#encryptionRequestCount = 0;
	#isClosed = false;
	#acceptedCaller: AcceptedCaller | undefined;
	readonly #connection: StartupConnection;

	constructor(private readonly output: CallerOutput, private readonly policy: StartupPolicy, callerNumber: number) {
		this.#connection = new StartupConnection(this.#createGatewaySocket(), {
			authMode: policy.passwords ? 'cleartextPassword' : 'none',
			onStartup: ({clientInfo}) => this.#refuseUnlessAccepted(clientInfo?.parameters ?? {}),
			validateCredentials: credentials => credentials.authMode === 'cleartextPassword' && (policy.passwords?.matches(credentials.user, credentials.password) ?? false),
		}, callerNumber);
	}

	/** Processes received bytes. Must not be called again before the promise resolves. */
	async receive(chunk: Buffer): Promise<StartupProgress> {
		this.#receivedBytes = Buffer.concat([this.#receivedBytes, chunk]);
		try {
			while (!this.#isClosed && !this.#connection.isAuthenticated) {
				const packet = this.#connection.hasStarted ? firstPasswordMessage(this.#receivedBytes) : firstStartupPacket(this.#receivedBytes);
				if (!packet) {
					return {kind: 'incomplete'};
				}

				this.#receivedBytes = this.#receivedBytes.subarray(packet.length);
				await this.#handlePacket(packet);
			}
		} catch (error) {
			this.#refuse(toBuckthornhitchError(error));
		}

		return this.#isClosed || !this.#acceptedCaller ? {kind: 'closed'} : {kind: 'done', caller: this.#acceptedCaller, remainingBytes: this.#receivedBytes};
	}

	async #handlePacket(packet: Buffer): Promise<void> {
		const kind = this.#connection.hasStarted ? 'startup' : startupPacketKind(packet);
		if (kind === 'cancel') {
			// Cancellation is not supported: the key data sent to callers is not a valid cancel key. As the protocol requires, the request gets no response.
			this.#end();
			return;
		}

		if (kind !== 'startup' && this.#encryptionRequestCount++ >= maximumEncryptionRequests) {
			throw new BuckthornhitchError('malformedMessage', 'Encryption was asked for too often.');
		}

		if (kind === 'securityContext') {
			void this.output.send(encryptionRefusedResponse);
			return;
		}

		await this.#connection.handleData(packet);
	}

	/** Validates the start-up parameters. Returns true if the caller was refused; `pg-gateway` then stops processing the start-up. */
	#refuseUnlessAccepted(parameters: Readonly<Record<string, string>>): boolean {
		try {
			this.#acceptedCaller = this.policy.accept(parameters);
			return false;
		} catch (error) {
			this.#refuse(toBuckthornhitchError(error));
			return true;
		}
	}

	#refuse(error: BuckthornhitchError): void {
		this.#end(buildProxyErrorResponse(error, 'FATAL'));
	}

	#end(bytes?: Buffer): void {
		if (!this.#isClosed) {
			this.#isClosed = true;
			this.output.end(bytes);
		}
	}

	// `pg-gateway` expects a socket and would read from it directly. This object has only the members that `pg-gateway` uses and delivers no data, so that every byte passes the length checks first.
	#createGatewaySocket(): Socket {
		const doNothing = (): void => undefined;
		const socket = {
			on: doNothing,
			off: doNothing,
			pause: doNothing,
			resume: doNothing,
			write: (bytes: Buffer): void => {
				void this.output.send(bytes);
			},
			end: (): void => {
				this.#end();
			},
		};
		return socket as unknown as Socket;
	}
}

/** `pg-gateway` connection that reports the parameters that drivers expect after authentication. */
class StartupConnection extends PostgresConnection {
	constructor(socket: Socket, options: ConstructorParameters<typeof PostgresConnection>[1], private readonly callerNumber: number) {
		super(socket, options);
	}

	override async completeAuthentication(): Promise<void> {
		this.isAuthenticated = true;
		this.sendAuthenticationOk();
		for (const [name, value] of reportedParameters) {
			this.sendParameterStatus(name, value);
		}

		this.sendParameterStatus('session_authorization', this.clientInfo?.parameters.user ?? '');
		this.sendData(buildBackendKeyData(this.callerNumber, 0));
		this.sendReadyForQuery('idle');
	}
}
