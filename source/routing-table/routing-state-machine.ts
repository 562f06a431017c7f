import {StateMachine} from '../control-log/storage.js';
import {type ControlLogEntry, type IssueTokenCommand} from '../control-log/types.js';
import {addPromotion, settlePromotions, type PendingPromotion} from '../promotion/pending-promotions.js';

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

/** Last request to promote a member of a service. */
export type PromotionRecord = {
	readonly token: number;
	/** Id of the member; undefined in entries of earlier versions. */
	readonly member: string | undefined;
	/** Requests that may still be carried out, among them this one until it is settled. */
	readonly pending: readonly PendingPromotion[];
};

/** Image of the last request; earlier versions did not write the pending ones. */
type PromotionImage = Omit<PromotionRecord, 'pending'> & Partial<Pick<PromotionRecord, 'pending'>>;

/** Image of the state machine. Earlier versions wrote only the routing configuration. */
type RoutingImage = AcceptedRouting & {
	readonly promotions?: ReadonlyArray<readonly [service: string, record: PromotionImage]>;
};

/** Replicated state machine that keeps the routing document with the highest version and issues fencing tokens; a token is the index of its log entry, so tokens increase. The requests of each service that may still be carried out are kept, so that a new leader knows those of its predecessors. */
export class RoutingStateMachine extends StateMachine {
	#accepted: AcceptedRouting | undefined;
	readonly #promotions = new Map<string, PromotionRecord>();

	/** The accepted routing configuration; undefined before the first one. */
	get accepted(): AcceptedRouting | undefined {
		return this.#accepted;
	}

	/** Returns the last request to promote a member of the service. */
	lastPromotion(service: string): PromotionRecord | undefined {
		return this.#promotions.get(service);
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
				this.#recordPromotion(command, index);
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

	override snapshot(): RoutingImage | undefined {
		return this.#accepted && {...this.#accepted, promotions: [...this.#promotions]};
	}

	override restore(image: unknown): void {
		const restored = image as RoutingImage | null | undefined;
		this.#accepted = restored ? {version: restored.version, document: restored.document} : undefined;
		this.#promotions.clear();
		for (const [service, {token, member, pending}] of restored?.promotions ?? []) {
			this.#promotions.set(service, {token, member, pending: pending ?? addPromotion([], member, token)});
		}
	}

	#recordPromotion({subject, member, settledToken}: IssueTokenCommand, index: number): void {
		const pending = this.#promotions.get(subject)?.pending ?? [];
		this.#promotions.set(subject, {
			token: index,
			member,
			pending: settledToken === undefined ? addPromotion(pending, member, index) : settlePromotions(pending, settledToken),
		});
	}
}
