import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../clock/manual-clock.js';
import {LinkClient} from '../links/link-client.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type ResultCodeName} from '../result-codes/result-codes.js';
import {ControlClient} from './control-client.js';

type Script = Readonly<Record<string, ResultCodeName | 'answer' | {readonly leader: string}>>;

/** Answers each address as the script says and records who was asked. */
class ScriptedLinkClient extends LinkClient {
	readonly asked: string[] = [];

	constructor(public script: Script) {
		super();
	}

	override async request(address: string): Promise<unknown> {
		this.asked.push(address);
		const reaction = this.script[address];
		if (reaction === 'answer') {
			return {code: 0, revision: 1, detail: ''};
		}

		throw typeof reaction === 'string' ? new BuckthornhitchError(reaction, '') : new BuckthornhitchError('notLeader', reaction.leader);
	}

	override notify(): void {
		throw new Error('The client sends no notices.');
	}
}

async function apply(script: Script): Promise<{readonly outcome: unknown; readonly asked: readonly string[]}> {
	const clock = new ManualClock();
	const linkClient = new ScriptedLinkClient(script);
	const client = new ControlClient(linkClient, clock, ['one', 'two', 'three']);
	const answer = client.apply({
		changeId: 'a', expectedRevision: 0, files: {}, operator: 'ann',
	}, 1000);
	const outcome = answer.then(({revision}) => revision, (error: unknown) => (error as BuckthornhitchError).codeName);
	await clock.advanceInSteps(1200, 100);
	return {outcome: await outcome, asked: linkClient.asked};
}

test('the leader that a voter names is not asked next', async () => {
	const {outcome, asked} = await apply({one: {leader: 'three'}, two: 'linkNotSent', three: 'answer'});
	assert.equal(outcome, 1);
	assert.deepEqual(asked, ['one', 'three']);
});

test('two voters that name each other keep the client from the leader', async () => {
	const {outcome} = await apply({one: {leader: 'two'}, two: {leader: 'one'}, three: 'answer'});
	assert.equal(outcome, 1);
});

test('a change that may have been accepted is reported as not run', async () => {
	for (const unknown of ['linkOutcomeUnknown', 'notConfirmed', 'storageFailed'] as const) {
		const {outcome} = await apply({one: unknown, two: 'linkNotSent', three: {leader: ''}});
		assert.equal(outcome, 'notConfirmed');
	}
});

test('a change that cannot have been accepted is reported as unknown, or sent again after a refusal', async () => {
	const unsent = await apply({one: 'linkNotSent', two: 'linkNotSent', three: 'linkNotSent'});
	assert.equal(unsent.outcome, 'linkNotSent');
	const refused = await apply({one: 'configurationInvalid', two: 'answer', three: 'answer'});
	assert.deepEqual(refused, {outcome: 'configurationInvalid', asked: ['one']});
});
