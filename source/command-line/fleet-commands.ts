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
import {collect} from './collect.js';
import {
	commandTimeout, fetchInstances, findInstance, runWithSession, type OperatorSession,
} from './operator-session.js';

/** Time for a planned change of primary, in milliseconds. */
const promoteTimeout = 10_000;

/** `drain`: shuts one process down gracefully. */
export const drainCommand = command({
	name: 'drain',
	description: 'shut one process down gracefully; no request in progress is cut',
	args: {process: positional({type: string, displayName: 'process'}), controls: controlsOption},
	async handler({process: name, controls}) {
		await runWithSession(controls, async session => {
			const record = await findInstance(session, name);
			await session.linkClient.request(record.linkAddress, 'drain', null, commandTimeout);
			console.log(`${name} is shutting down gracefully.`);
		});
	},
});

/** `promote`: makes a member the primary of its group. */
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
			const owner = await findOwner(session, database);
			await session.linkClient.request(owner, 'promote', {database, member}, promoteTimeout);
			console.log(`${member} is the primary of ${database}.`);
		});
	},
});

/** `timeline`: merges the events of all processes. */
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
			const instances = await fetchInstances(session);
			const reachable = instances.filter(record => record.state !== 'failed' && record.state !== 'left');
			const collection = await collect(reachable, async record => await session.linkClient.request(record.linkAddress, 'timeline', null, commandTimeout) as readonly TimelineEvent[]);
			const events = mergeEvents(collection.values).filter(event => about === undefined || event.subject.includes(about) || event.detail.includes(about));
			if (html === undefined) {
				process.stdout.write(timelineText(events));
			} else {
				await writeFile(html, timelinePage(events));
				console.log(`${events.length} events were written to ${html}.`);
			}

			for (const {item, error} of collection.failures) {
				console.error(`No events from ${item.name}: ${error.message}`);
			}
		});
	},
});

async function findOwner(session: OperatorSession, database: string): Promise<string> {
	const instances = await fetchInstances(session);
	const pools = instances.filter(record => record.role === 'pool');
	const {values} = await collect(pools, async record => ({
		address: record.linkAddress,
		status: await session.linkClient.request(record.linkAddress, 'poolStatus', null, commandTimeout) as PoolStatusResponse,
	}));
	const owner = values.find(({status}) => status.databases.some((report: DatabaseReport) => report.database === database && report.leaseHeld));
	if (!owner) {
		throw new BuckthornhitchError('noPool', `No pool owns "${database}".`);
	}

	return owner.address;
}
