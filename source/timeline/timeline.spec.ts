import assert from 'node:assert/strict';
import {test} from 'node:test';
import {ManualClock} from '../clock/manual-clock.js';
import {HybridClock} from './hybrid-clock.js';
import {timelinePage} from './timeline-page.js';
import {mergeEvents, Timeline} from './timeline.js';

test('an effect is listed after its cause even when the receiver\'s clock is behind', () => {
	const ahead = new ManualClock();
	ahead.advance(5000);
	const sender = new Timeline('sender', new HybridClock(ahead));
	const receiver = new Timeline('receiver', new HybridClock(new ManualClock()));
	const cause = sender.record('group', 'promise sent', 'term 2');
	receiver.hybridClock.observe(cause.time);
	receiver.record('group', 'promise received', 'term 2');
	assert.deepEqual(mergeEvents([receiver.events(), sender.events()]).map(event => event.process), ['sender', 'receiver']);
});

// The memory use of a long-running process must not grow with the number of its events.
test('a time line keeps only the latest events up to its capacity', () => {
	const timeline = new Timeline('process', new HybridClock(new ManualClock()), 3);
	for (let number = 0; number < 10; number++) {
		timeline.record('part', 'event', String(number));
	}

	assert.deepEqual(timeline.events().map(event => event.subject), ['7', '8', '9']);
});

test('markup in the text of an event is escaped on the page', () => {
	const timeline = new Timeline('process', new HybridClock(new ManualClock()));
	timeline.record('part', 'event', '<script>alert(1)</script>');
	assert.ok(timelinePage(timeline.events()).includes('&lt;script&gt;alert(1)'));
});
