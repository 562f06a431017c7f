import {StateMachine} from '../control-log/storage.js';
import {type ControlLogEntry} from '../control-log/types.js';

/** The highest accepted version and its document as it was submitted. */
export type AcceptedRouting = {
	readonly version: number;
	readonly document: string;
};

/** Answer to a submitted configuration. */
export type SubmitResult = {
	/** Version in force after the entry. */
	readonly version: number;
	/** Whether the submitted document took effect. */
	readonly replaced: boolean;
};

/** Keeps the document with the highest version, and gives each fencing token the index of its entry. */
export class RoutingStateMachine extends StateMachine {
	#accepted: AcceptedRouting | undefined;

	/** The accepted configuration, if there is one yet. */
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
