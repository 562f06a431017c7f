import process from 'node:process';
import {writeFile} from 'node:fs/promises';
import {
	command, option, optional, positional, string,
} from 'cmd-ts';
import {type DatabaseReport, type PoolStatusResponse} from '../pool/messages.js';
import {BuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {controlsOption} from '../settings/common-settings.js';
import {timelinePage} from '../timeline/timeline-page.js';
import {timelineText} from '../timeline/timeline-text.js';
import {mergeEvents, type TimelineEvent} from '../timeline/timeline.js';
import {requestFromAll} from './request-from-all.js';
import {
	commandTimeout, fetchProcessRecords, findProcessRecord, runWithSession, type OperatorSession,
} from './operator-session.js';

/** Timeout of a planned switchover, in milliseconds. */
const promoteTimeout = 10_000;

/** `drain`: shuts a process down gracefully. */
export const drainCommand = command({
	name: 'drain',
	description: 'shut one process down gracefully; requests in progress are completed first',
	args: {process: positional({type: string, displayName: 'process'}), controls: controlsOption},
	async handler({process: name, controls}) {
		await runWithSession(controls, async session => {
			const record = await findProcessRecord(session, name);
			await session.linkClient.request(record.linkAddress, 'drain', null, commandTimeout);
			console.log(`${name} is shutting down gracefully.`);
		});
	},
});

/** `promote`: makes a member the primary of its database group. */
export const promoteCommand = command({
	name: 'promote',
	description: 'make a member the primary of its database group',
	args: {
		database: positional({type: string, displayName: 'database'}),
		member: positional({type: string, displayName: 'member'}),
		controls: controlsOption,
	},
	async handler({database, member, controls}) {
		await runWithSession(controls, async session => {
			const holderAddress = await findLeaseHolder(session, database);
			await session.linkClient.request(holderAddress, 'promote', {database, member}, promoteTimeout);
			console.log(`${member} is the primary of ${database}.`);
		});
	},
});

/** `timeline`: shows the timeline events of all processes, merged in causal order. */
export const timelineCommand = command({
	name: 'timeline',
	description: 'show the events of all processes in causal order',
	args: {
		controls: controlsOption,
		html: option({type: optional(string), long: 'html', description: 'write a self-contained HTML page to this file'}),
		about: option({type: optional(string), long: 'about', description: 'only events whose subject or detail contains this text'}),
	},
	async handler({controls, html, about}) {
		await runWithSession(controls, async session => {
			const records = await fetchProcessRecords(session);
			const reachable = records.filter(record => record.state !== 'failed' && record.state !== 'left');
			const results = await requestFromAll(reachable, async record => await session.linkClient.request(record.linkAddress, 'timeline', null, commandTimeout) as readonly TimelineEvent[]);
			const events = mergeEvents(results.responses).filter(event => about === undefined || event.subject.includes(about) || event.detail.includes(about));
			if (html === undefined) {
				process.stdout.write(timelineText(events));
			} else {
				await writeFile(html, timelinePage(events));
				console.log(`${events.length} events were written to ${html}.`);
			}

			for (const {item, error} of results.failures) {
				console.error(`No events from ${item.name}: ${error.message}`);
			}
		});
	},
});

// Returns the link address of the pool that holds a lease on a member of the database.
async function findLeaseHolder(session: OperatorSession, database: string): Promise<string> {
	const records = await fetchProcessRecords(session);
	const pools = records.filter(record => record.role === 'pool');
	const {responses} = await requestFromAll(pools, async record => ({
		address: record.linkAddress,
		status: await session.linkClient.request(record.linkAddress, 'poolStatus', null, commandTimeout) as PoolStatusResponse,
	}));
	const holder = responses.find(({status}) => status.databases.some((report: DatabaseReport) => report.database === database && report.leaseHeld));
	if (!holder) {
		throw new BuckthornhitchError('noPool', `No pool owns "${database}".`);
	}

	return holder.address;
}
