import {type TimelineEvent} from './timeline.js';

/** Returns one line for each event: time, process, part, kind, subject and detail. */
export function timelineText(events: readonly TimelineEvent[]): string {
	return events.map(event => `${lineOf(event)}\n`).join('');
}

function lineOf(event: TimelineEvent): string {
	const time = new Date(event.time.milliseconds).toISOString();
	const detail = event.detail === '' ? '' : `: ${event.detail}`;
	return `${time} ${event.process} ${event.part} ${event.kind} ${event.subject}${detail}`;
}
