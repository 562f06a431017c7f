import {type TimelineEvent} from './timeline.js';

const style = `
body { font-family: sans-serif; margin: 1.5rem; }
table { border-collapse: collapse; font-size: 0.9rem; }
th, td { text-align: left; padding: 0.2rem 0.6rem; border-bottom: 1px solid #ccc; vertical-align: top; }
td.time { font-family: monospace; white-space: nowrap; }
input { font-size: 1rem; width: 24rem; margin-bottom: 1rem; }
`;

const script = `
const filter = document.querySelector('input');
filter.addEventListener('input', () => {
	const words = filter.value.toLowerCase().split(' ').filter(Boolean);
	for (const row of document.querySelectorAll('tbody tr')) {
		const text = row.textContent.toLowerCase();
		row.hidden = !words.every(word => text.includes(word));
	}
});
`;

/** Renders the events as a self-contained HTML page with a table and a text filter. */
export function timelinePage(events: readonly TimelineEvent[]): string {
	return `<!doctype html>
<html lang="en">
<meta charset="utf-8">
<title>buckthornhitch time line</title>
<style>${style}</style>
<h1>Time line</h1>
<p>${events.length} events in causal order. Times are those of each process's own clock.</p>
<input type="search" aria-label="filter" placeholder="filter by words">
<table>
<thead><tr><th>Time</th><th>Process</th><th>Part</th><th>Event</th><th>Subject</th><th>Detail</th></tr></thead>
<tbody>
${events.map(event => renderRow(event)).join('\n')}
</tbody>
</table>
<script>${script}</script>
</html>
`;
}

function renderRow(event: TimelineEvent): string {
	const time = new Date(event.time.milliseconds).toISOString();
	const cells = [event.process, event.part, event.kind, event.subject, event.detail];
	return `<tr><td class="time">${time}</td>${cells.map(cell => `<td>${escapeHtml(cell)}</td>`).join('')}</tr>`;
}

function escapeHtml(text: string): string {
	return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;').replaceAll('"', '&quot;');
}
