import {createHash} from 'node:crypto';
import {type AcceptedConfiguration, type ConfigurationFiles} from '../configuration/types.js';
import {type ApplyResponse, type ConfigurationDelta, type ConfigurationSinceResponse} from '../control/messages.js';
import {resultCodes, type ResultCodeName} from '../result-codes/result-codes.js';
import {changeOutcome} from './change-rules.js';
import {StateMachine} from './storage.js';
import {type ApplyCommand, type ControlLogEntry, type RegisterMemberCommand} from './types.js';

/** Answers of changes that are kept; a change may be resent until this many others came after it. */
export const keptAnswers = 2000;

/** Revisions whose differences are kept; processes further behind receive everything. */
export const keptDeltas = 1000;

/** Characters of differences that are kept, so that a response fits into one frame. */
export const keptDeltaCharacters = 4 * 1024 * 1024;

/** A change that was carried out or refused, with the digest of its content. */
type KnownChange = {
	readonly digest: string;
	readonly answer: ApplyResponse;
};

type Image = AcceptedConfiguration & {
	readonly filesRevision: number;
	readonly changes: ReadonlyArray<readonly [string, KnownChange]>;
};

const emptyConfiguration: AcceptedConfiguration = {revision: 0, files: {}, memberSets: {}};

/** Accepted configuration, member sets and the answers of recent changes. */
export class ConfigurationStateMachine extends StateMachine {
	#accepted = emptyConfiguration;
	/** Revision at which the files last changed; registered members raise only the revision. */
	#filesRevision = 0;
	#changes = new Map<string, KnownChange>();
	#deltas: ConfigurationDelta[] = [];
	#deltaCharacters = 0;

	/** The accepted configuration. */
	get accepted(): AcceptedConfiguration {
		return this.#accepted;
	}

	override apply(entry: ControlLogEntry): ApplyResponse | undefined {
		const {command} = entry;
		switch (command.kind) {
			case 'apply': {
				return this.#applyChange(command);
			}

			case 'registerMember': {
				return this.#registerMember(command);
			}

			case 'opening':
			case 'changeVoters':
			case 'replaceRouting':
			case 'issueToken': {
				return undefined;
			}
		}
	}

	override snapshot(): Image {
		return {...this.#accepted, filesRevision: this.#filesRevision, changes: [...this.#changes]};
	}

	override restore(image: unknown): void {
		const {filesRevision, changes, ...accepted} = (image ?? {...emptyConfiguration, filesRevision: 0, changes: []}) as Image;
		this.#accepted = accepted;
		this.#filesRevision = filesRevision;
		this.#changes = new Map(changes);
		this.#deltas = [];
		this.#deltaCharacters = 0;
	}

	/** Returns the changes after a revision, or everything when they are no longer kept or the asking process holds nothing yet. */
	since(revision: number): ConfigurationSinceResponse {
		const missing = this.#accepted.revision - revision;
		if (missing <= 0) {
			return {kind: 'deltas', deltas: []};
		}

		return revision > 0 && missing <= this.#deltas.length
			? {kind: 'deltas', deltas: this.#deltas.slice(-missing)}
			: {kind: 'snapshot', configuration: this.#accepted};
	}

	/** Returns the answer given to a change, or undefined for one that was not carried out under this id. */
	recall(command: ApplyCommand): ApplyResponse | undefined {
		const known = this.#changes.get(command.changeId);
		return known?.digest === digestOf(command) ? known.answer : undefined;
	}

	#applyChange(command: ApplyCommand): ApplyResponse {
		const digest = digestOf(command);
		const known = this.#changes.get(command.changeId);
		const {revision, files} = this.#accepted;
		const outcome = changeOutcome({
			knownDigest: known?.digest, digest, expectedRevision: command.expectedRevision, filesRevision: this.#filesRevision, revision,
		});
		switch (outcome) {
			case 'known': {
				return known!.answer;
			}

			case 'changeIdReused': {
				return this.#answer('changeIdReused', `"${command.changeId}"`);
			}

			case 'revisionConflict': {
				const detail = `Revision ${command.expectedRevision} was expected, the current one is ${revision}.`;
				return this.#remember(command.changeId, {digest, answer: this.#answer('revisionConflict', detail)});
			}

			case 'accepted': {
				this.#advance({files: differences(files, command.files), memberSets: {}}, command.files);
				this.#filesRevision = this.#accepted.revision;
				return this.#remember(command.changeId, {digest, answer: this.#answer('done', '')});
			}
		}
	}

	#registerMember({database, member, memberCount}: RegisterMemberCommand): ApplyResponse {
		const members = membersOf(this.#accepted, database);
		if (members.includes(member)) {
			return this.#answer('done', '');
		}

		if (members.length >= memberCount) {
			return this.#answer('memberSetFull', `Database "${database}" has ${members.length} of ${memberCount} members.`);
		}

		this.#advance({files: {}, memberSets: {[database]: [...members, member]}}, this.#accepted.files);
		return this.#answer('done', '');
	}

	#answer(name: ResultCodeName, detail: string): ApplyResponse {
		return {code: resultCodes[name].code, revision: this.#accepted.revision, detail};
	}

	#advance(change: Omit<ConfigurationDelta, 'revision'>, files: ConfigurationFiles): void {
		const revision = this.#accepted.revision + 1;
		this.#accepted = {revision, files, memberSets: {...this.#accepted.memberSets, ...change.memberSets}};
		const delta = {revision, ...change};
		this.#deltas.push(delta);
		this.#deltaCharacters += characters(delta);
		while (this.#deltas.length > keptDeltas || this.#deltaCharacters > keptDeltaCharacters) {
			this.#deltaCharacters -= characters(this.#deltas.shift()!);
		}
	}

	#remember(changeId: string, change: KnownChange): ApplyResponse {
		this.#changes.set(changeId, change);
		if (this.#changes.size > keptAnswers) {
			const [oldest] = this.#changes.keys();
			this.#changes.delete(oldest);
		}

		return change.answer;
	}
}

/** Returns the agreed members of a database group. */
export function membersOf({memberSets}: AcceptedConfiguration, database: string): readonly string[] {
	return Object.hasOwn(memberSets, database) ? memberSets[database] : [];
}

function digestOf({expectedRevision, files}: ApplyCommand): string {
	const names = Object.keys(files).sort();
	const content = JSON.stringify([expectedRevision, names.map(name => [name, files[name]])]);
	return createHash('sha256').update(content).digest('hex');
}

function differences(before: ConfigurationFiles, after: ConfigurationFiles): Readonly<Record<string, string | null>> {
	const changed: Record<string, string | null> = {};
	for (const name of new Set([...Object.keys(before), ...Object.keys(after)])) {
		const text = Object.hasOwn(after, name) ? after[name] : null;
		if (!Object.hasOwn(before, name) || before[name] !== text) {
			changed[name] = text;
		}
	}

	return changed;
}

function characters(delta: ConfigurationDelta): number {
	let count = 0;
	for (const text of Object.values(delta.files)) {
		count += text?.length ?? 0;
	}

	for (const members of Object.values(delta.memberSets)) {
		count += members.join('').length;
	}

	return count;
}
