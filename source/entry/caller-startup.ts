import {Buffer} from 'node:buffer';
import {type Socket} from 'node:net';
import {PostgresConnection} from 'pg-gateway';
import {buildBackendKeyData, buildNumberedErrorResponse} from '../postgres-protocol/backend-messages.js';
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

/** What the start-up of callers depends on. */
export type StartupPolicy = {
	/** Undefined when every caller is trusted. */
	readonly passwords: PasswordList | undefined;
	/** Checks the start-up parameters. Throws a numbered error to refuse the caller. */
	readonly accept: (parameters: Readonly<Record<string, string>>) => AcceptedCaller;
};

/** Version of the server protocol features that callers may expect. */
export const reportedServerVersion = '16.0';

// Name of the encoding as the server reports it.
const reportedEncoding = 'utf8'.toUpperCase();

const fixedParameters: ReadonlyArray<readonly [string, string]> = [
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
const largestNegotiations = 2;
const encryptionRefused = Buffer.from('N');

/** Result of received bytes: more are needed, the connection was closed, or the start-up is done. */
export type StartupProgress =
	| {readonly kind: 'incomplete' | 'closed'}
	| {readonly kind: 'done'; readonly caller: AcceptedCaller; readonly rest: Buffer};

/** Start-up of one caller; `pg-gateway` reads its packets once their length and form are checked. */
export class CallerStartup {
	#bytes = Buffer.alloc(0);
	#negotiations = 0;
	#closed = false;
	#accepted: AcceptedCaller | undefined;
	readonly #connection: StartupConnection;

	constructor(private readonly output: CallerOutput, private readonly policy: StartupPolicy, callerNumber: number) {
		this.#connection = new StartupConnection(this.#gatewaySocket(), {
			authMode: policy.passwords ? 'cleartextPassword' : 'none',
			onStartup: ({clientInfo}) => this.#accept(clientInfo?.parameters ?? {}),
			validateCredentials: credentials => credentials.authMode === 'cleartextPassword' && (policy.passwords?.matches(credentials.user, credentials.password) ?? false),
		}, callerNumber);
	}

	/** Takes received bytes; must not be called again before the promise resolves. */
	async receive(chunk: Buffer): Promise<StartupProgress> {
		this.#bytes = Buffer.concat([this.#bytes, chunk]);
		try {
			while (!this.#closed && !this.#connection.isAuthenticated) {
				const packet = this.#connection.hasStarted ? firstPasswordMessage(this.#bytes) : firstStartupPacket(this.#bytes);
				if (!packet) {
					return {kind: 'incomplete'};
				}

				this.#bytes = this.#bytes.subarray(packet.length);
				await this.#take(packet);
			}
		} catch (error) {
			this.#refuse(toBuckthornhitchError(error));
		}

		return this.#closed || !this.#accepted ? {kind: 'closed'} : {kind: 'done', caller: this.#accepted, rest: this.#bytes};
	}

	async #take(packet: Buffer): Promise<void> {
		const kind = this.#connection.hasStarted ? 'startup' : startupPacketKind(packet);
		if (kind === 'cancel') {
			// The entry gives out no keys for cancelling; as in the protocol, the request gets no answer.
			this.#end();
			return;
		}

		if (kind !== 'startup' && this.#negotiations++ >= largestNegotiations) {
			throw new BuckthornhitchError('malformedMessage', 'Encryption was asked for too often.');
		}

		if (kind === 'securityContext') {
			void this.output.send(encryptionRefused);
			return;
		}

		await this.#connection.handleData(packet);
	}

	#accept(parameters: Readonly<Record<string, string>>): boolean {
		try {
			this.#accepted = this.policy.accept(parameters);
			return false;
		} catch (error) {
			this.#refuse(toBuckthornhitchError(error));
			return true;
		}
	}

	#refuse(error: BuckthornhitchError): void {
		this.#end(buildNumberedErrorResponse(error, 'FATAL'));
	}

	#end(bytes?: Buffer): void {
		if (!this.#closed) {
			this.#closed = true;
			this.output.end(bytes);
		}
	}

	// `pg-gateway` expects the socket itself; it gets only what it uses, so that every byte passes the length checks first.
	#gatewaySocket(): Socket {
		const ignore = (): void => undefined;
		const socket = {
			on: ignore,
			off: ignore,
			pause: ignore,
			resume: ignore,
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

/** Connection of `pg-gateway` that reports the parameters which drivers expect. */
class StartupConnection extends PostgresConnection {
	constructor(socket: Socket, options: ConstructorParameters<typeof PostgresConnection>[1], private readonly callerNumber: number) {
		super(socket, options);
	}

	override async completeAuthentication(): Promise<void> {
		this.isAuthenticated = true;
		this.sendAuthenticationOk();
		for (const [name, value] of fixedParameters) {
			this.sendParameterStatus(name, value);
		}

		this.sendParameterStatus('session_authorization', this.clientInfo?.parameters.user ?? '');
		this.sendData(buildBackendKeyData(this.callerNumber, 0));
		this.sendReadyForQuery('idle');
	}
}
