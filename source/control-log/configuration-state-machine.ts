import {createHash} from 'node:crypto';
import {type AcceptedConfiguration, type ConfigurationFiles} from '../configuration/types.js';
import {type ApplyResponse, type ConfigurationDelta, type ConfigurationSinceResponse} from '../control/messages.js';
import {resultCodes, type ResultCodeName} from '../result-codes/result-codes.js';
import {changeOutcome} from './change-rules.js';
import {StateMachine} from './storage.js';
import {type ApplyCommand, type ControlLogEntry, type RegisterMemberCommand} from './types.js';

/** Number of changes whose responses are kept. A change is recognized as a resend until this many others came after it. */
export const maximumRecordedChanges = 2000;

/** Number of deltas kept. Processes further behind receive the whole configuration. */
export const maximumDeltas = 1000;

/** Limit on the characters of the kept deltas, so that a response fits into one frame. */
export const maximumDeltaCharacters = 4 * 1024 * 1024;

/** Response to an accepted or refused change, with the digest of the change's content. */
type RecordedChange = {
	readonly digest: string;
	readonly answer: ApplyResponse;
};

/** State of the state machine as stored in snapshots. */
type ConfigurationState = AcceptedConfiguration & {
	readonly filesRevision: number;
	readonly changes: ReadonlyArray<readonly [string, RecordedChange]>;
};

const emptyConfiguration: AcceptedConfiguration = {revision: 0, files: {}, memberSets: {}};

/** State machine of the configuration: accepted files, member sets and the responses to recent changes. */
export class ConfigurationStateMachine extends StateMachine {
	#accepted = emptyConfiguration;
	/** Revision of the last change of the files. Registering a member raises only the revision of the configuration. */
	#filesRevision = 0;
	#recordedChanges = new Map<string, RecordedChange>();
	#deltas: ConfigurationDelta[] = [];
	#deltaCharacters = 0;

	/** Configuration after the last applied entry. */
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

	override snapshot(): ConfigurationState {
		return {...this.#accepted, filesRevision: this.#filesRevision, changes: [...this.#recordedChanges]};
	}

	override restore(state: unknown): void {
		const {filesRevision, changes, ...accepted} = (state ?? {...emptyConfiguration, filesRevision: 0, changes: []}) as ConfigurationState;
		this.#accepted = accepted;
		this.#filesRevision = filesRevision;
		this.#recordedChanges = new Map(changes);
		this.#deltas = [];
		this.#deltaCharacters = 0;
	}

	/** Returns the deltas after a revision, or the whole configuration if some of them are no longer kept. A revision of 0 or less means that the requesting process has no configuration yet. */
	changesSince(revision: number): ConfigurationSinceResponse {
		const missingRevisions = this.#accepted.revision - revision;
		if (missingRevisions <= 0) {
			return {kind: 'deltas', deltas: []};
		}

		return revision > 0 && missingRevisions <= this.#deltas.length
			? {kind: 'deltas', deltas: this.#deltas.slice(-missingRevisions)}
			: {kind: 'snapshot', configuration: this.#accepted};
	}

	/** Returns the recorded response if the same change was already applied under its change id. */
	recordedResponse(command: ApplyCommand): ApplyResponse | undefined {
		const recorded = this.#recordedChanges.get(command.changeId);
		return recorded?.digest === changeDigest(command) ? recorded.answer : undefined;
	}

	#applyChange(command: ApplyCommand): ApplyResponse {
		const digest = changeDigest(command);
		const recorded = this.#recordedChanges.get(command.changeId);
		const {revision, files} = this.#accepted;
		const outcome = changeOutcome({
			knownDigest: recorded?.digest, digest, expectedRevision: command.expectedRevision, filesRevision: this.#filesRevision, revision,
		});
		switch (outcome) {
			case 'known': {
				return recorded!.answer;
			}

			case 'changeIdReused': {
				return this.#response('changeIdReused', `"${command.changeId}"`);
			}

			case 'revisionConflict': {
				const detail = `Revision ${command.expectedRevision} was expected, the current one is ${revision}.`;
				return this.#recordChange(command.changeId, {digest, answer: this.#response('revisionConflict', detail)});
			}

			case 'accepted': {
				this.#acceptDelta({files: changedFiles(files, command.files), memberSets: {}}, command.files);
				this.#filesRevision = this.#accepted.revision;
				return this.#recordChange(command.changeId, {digest, answer: this.#response('done', '')});
			}
		}
	}

	#registerMember({database, member, memberCount}: RegisterMemberCommand): ApplyResponse {
		const members = databaseMembers(this.#accepted, database);
		if (members.includes(member)) {
			return this.#response('done', '');
		}

		if (members.length >= memberCount) {
			return this.#response('memberSetFull', `Database "${database}" has ${members.length} of ${memberCount} members.`);
		}

		this.#acceptDelta({files: {}, memberSets: {[database]: [...members, member]}}, this.#accepted.files);
		return this.#response('done', '');
	}

	#response(name: ResultCodeName, detail: string): ApplyResponse {
		return {code: resultCodes[name].code, revision: this.#accepted.revision, detail};
	}

	/** Applies a change as the next revision and keeps its delta for processes that lag behind. */
	#acceptDelta(change: Omit<ConfigurationDelta, 'revision'>, files: ConfigurationFiles): void {
		const revision = this.#accepted.revision + 1;
		this.#accepted = {revision, files, memberSets: {...this.#accepted.memberSets, ...change.memberSets}};
		const delta = {revision, ...change};
		this.#deltas.push(delta);
		this.#deltaCharacters += characterCount(delta);
		while (this.#deltas.length > maximumDeltas || this.#deltaCharacters > maximumDeltaCharacters) {
			this.#deltaCharacters -= characterCount(this.#deltas.shift()!);
		}
	}

	#recordChange(changeId: string, change: RecordedChange): ApplyResponse {
		this.#recordedChanges.set(changeId, change);
		if (this.#recordedChanges.size > maximumRecordedChanges) {
			const [oldest] = this.#recordedChanges.keys();
			this.#recordedChanges.delete(oldest);
		}

		return change.answer;
	}
}

/** Returns the registered members of a database group. */
export function databaseMembers({memberSets}: AcceptedConfiguration, database: string): readonly string[] {
	return Object.hasOwn(memberSets, database) ? memberSets[database] : [];
}

function changeDigest({expectedRevision, files}: ApplyCommand): string {
	const names = Object.keys(files).sort();
	const content = JSON.stringify([expectedRevision, names.map(name => [name, files[name]])]);
	return createHash('sha256').update(content).digest('hex');
}

function changedFiles(before: ConfigurationFiles, after: ConfigurationFiles): Readonly<Record<string, string | null>> {
	const changed: Record<string, string | null> = {};
	for (const name of new Set([...Object.keys(before), ...Object.keys(after)])) {
		const text = Object.hasOwn(after, name) ? after[name] : null;
		if (!Object.hasOwn(before, name) || before[name] !== text) {
			changed[name] = text;
		}
	}

	return changed;
}

function characterCount(delta: ConfigurationDelta): number {
	let count = 0;
	for (const text of Object.values(delta.files)) {
		count += text?.length ?? 0;
	}

	for (const members of Object.values(delta.memberSets)) {
		count += members.join('').length;
	}

	return count;
}
