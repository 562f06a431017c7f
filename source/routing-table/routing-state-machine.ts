import {StateMachine} from '../control-log/storage.js';
import {type ControlLogEntry} from '../control-log/types.js';

/** The routing configuration with the highest accepted version; the document is stored as submitted. */
export type AcceptedRouting = {
	readonly version: number;
	readonly document: string;
};

/** Result of submitting a routing configuration. */
export type SubmitResult = {
	/** Version in force after the log entry was applied. */
	readonly version: number;
	/** Whether the submitted document took effect. */
	readonly replaced: boolean;
};

/** Replicated state machine that keeps the routing document with the highest version and issues fencing tokens; a token is the index of its log entry, so tokens increase. */
export class RoutingStateMachine extends StateMachine {
	#accepted: AcceptedRouting | undefined;

	/** The accepted routing configuration; undefined before the first one. */
	get accepted(): AcceptedRouting | undefined {
		return this.#accepted;
	}

	override apply({command, index}: ControlLogEntry): SubmitResult | number | undefined {
		switch (command.kind) {
			case 'replaceRouting': {
				const replaced = !this.#accepted || command.version > this.#accepted.version;
				if (replaced) {
					this.#accepted = {version: command.version, document: command.document};
				}

				return {version: this.#accepted!.version, replaced} satisfies SubmitResult;
			}

			case 'issueToken': {
				return index;
			}

			case 'opening':
			case 'changeVoters':
			case 'apply':
			case 'registerMember': {
				return undefined;
			}
		}
	}

	override snapshot(): AcceptedRouting | undefined {
		return this.#accepted;
	}

	override restore(image: unknown): void {
		this.#accepted = image as AcceptedRouting | undefined ?? undefined;
	}
}
