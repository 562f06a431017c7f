import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../clock/manual-clock.js';
import {LinkClient} from '../links/link-client.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type ResultCodeName} from '../result-codes/result-codes.js';
import {ControlClient} from './control-client.js';

/** Reaction of each address: an error code, a response, or a refusal that names a leader. */
type ScriptedReactions = Readonly<Record<string, ResultCodeName | 'answer' | {readonly leader: string}>>;

/** Answers each request with the scripted reaction of its address and records the addresses. */
class ScriptedLinkClient extends LinkClient {
	readonly requestedAddresses: string[] = [];

	constructor(public reactions: ScriptedReactions) {
		super();
	}

	override async request(address: string): Promise<unknown> {
		this.requestedAddresses.push(address);
		const reaction = this.reactions[address];
		if (reaction === 'answer') {
			return {code: 0, revision: 1, detail: ''};
		}

		throw typeof reaction === 'string' ? new BuckthornhitchError(reaction, '') : new BuckthornhitchError('notLeader', reaction.leader);
	}

	override notify(): void {
		throw new Error('The client sends no notices.');
	}
}

/** Applies a change with scripted reactions; returns the revision or error code, and the addresses that were asked in order. */
async function applyWith(reactions: ScriptedReactions): Promise<{readonly outcome: unknown; readonly asked: readonly string[]}> {
	const clock = new ManualClock();
	const linkClient = new ScriptedLinkClient(reactions);
	const client = new ControlClient(linkClient, clock, ['one', 'two', 'three']);
	const response = client.apply({
		changeId: 'a', expectedRevision: 0, files: {}, operator: 'ann',
	}, 1000);
	const outcome = response.then(({revision}) => revision, (error: unknown) => (error as BuckthornhitchError).codeName);
	await clock.advanceInSteps(1200, 100);
	return {outcome: await outcome, asked: linkClient.requestedAddresses};
}

test('the leader that a voter names is asked next', async () => {
	const {outcome, asked} = await applyWith({one: {leader: 'three'}, two: 'linkNotSent', three: 'answer'});
	assert.equal(outcome, 1);
	assert.deepEqual(asked, ['one', 'three']);
});

test('the client finds the actual leader although two other voters name each other as leader', async () => {
	const {outcome} = await applyWith({one: {leader: 'two'}, two: {leader: 'one'}, three: 'answer'});
	assert.equal(outcome, 1);
});

test('a change that may have been accepted is reported as notConfirmed, whatever the last refusal is', async () => {
	for (const unknown of ['linkOutcomeUnknown', 'notConfirmed', 'storageFailed'] as const) {
		const {outcome} = await applyWith({one: unknown, two: 'linkNotSent', three: {leader: ''}});
		assert.equal(outcome, 'notConfirmed');
	}
});

test('a change that cannot have been accepted is reported with its error, and one that was refused is not sent to other processes', async () => {
	const unsent = await applyWith({one: 'linkNotSent', two: 'linkNotSent', three: 'linkNotSent'});
	assert.equal(unsent.outcome, 'linkNotSent');
	const refused = await applyWith({one: 'configurationInvalid', two: 'answer', three: 'answer'});
	assert.deepEqual(refused, {outcome: 'configurationInvalid', asked: ['one']});
});
