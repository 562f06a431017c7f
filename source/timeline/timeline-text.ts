import {type TimelineEvent} from './timeline.js';

/** Formats each event as one line: time, process, part, kind, subject and detail. */
export function timelineText(events: readonly TimelineEvent[]): string {
	return events.map(event => `${formatLine(event)}\n`).join('');
}

function formatLine(event: TimelineEvent): string {
	const time = new Date(event.time.milliseconds).toISOString();
	const detail = event.detail === '' ? '' : `: ${event.detail}`;
	return `${time} ${event.process} ${event.part} ${event.kind} ${event.subject}${detail}`;
}
