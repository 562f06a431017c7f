import assert from 'node:assert/strict';
import {test} from 'node:test';
import {assignProbe} from '../promotion/probe-assignment.js';
import {allocateConnections} from '../relay/connection-allocation.js';
import {createLogger} from '../observability/logger.js';
import {LimitWarnings} from '../registry/limit-warnings.js';
import {divideConnections, leastAmpleLimit} from './connection-budget.js';

function instances(count: number): ReadonlyArray<{readonly name: string; readonly dataCentre: string}> {
	return Array.from({length: count}, (_, index) => ({name: `control-${index}`, dataCentre: 'here'}));
}

/** Number of connections that entries open together at most. */
function entryConnections(connectionLimit: number, controlCount: number, entryCount: number): number {
	const {connectionsPerEntry, gatewaysNearMember, gatewaysPerDataCentre} = allocateConnections({
		connectionLimit, controlCount, entryCount, dataCentreCount: 1,
	});
	return connectionsPerEntry * (gatewaysNearMember ?? gatewaysPerDataCentre ?? entryCount);
}

// The control instances held all connections of a member, and no request was served.
test('control instances and entries fit into each limit together, and entries always have a connection', () => {
	for (let connectionLimit = 1; connectionLimit <= 60; connectionLimit++) {
		for (const controlCount of [1, 3, 5, 9]) {
			const budget = divideConnections({connectionLimit, controlCount});
			const label = JSON.stringify({connectionLimit, controlCount, ...budget});
			assert.ok(budget.controlConnections + budget.replacementConnections + budget.entryConnections <= connectionLimit, label);
			assert.ok(budget.entryConnections >= 1, label);
			if (budget.isScarce) {
				for (const entryCount of [1, 3, 20, 145]) {
					const opened = entryConnections(connectionLimit, controlCount, entryCount);
					assert.ok(opened >= 1 && opened <= budget.entryConnections, `${label}: ${entryCount} entries open ${opened}`);
				}
			}
		}
	}
});

// Instances that counted one more or one less of each other exceeded the limit while an instance was added or replaced.
test('entries and control instances stay within each limit although their counts of the control instances differ by one', () => {
	for (let connectionLimit = 2; connectionLimit <= 60; connectionLimit++) {
		for (const controlCount of [3, 5, 9]) {
			const earlier = divideConnections({connectionLimit, controlCount});
			const later = divideConnections({connectionLimit, controlCount: controlCount + 1});
			assert.ok(later.controlConnections + earlier.entryConnections <= connectionLimit, `${connectionLimit} ${controlCount}`);
		}
	}
});

test('with five control instances, limits from 20 on are divided as before', () => {
	for (const connectionLimit of [20, 45, 46, 102, 106, 289]) {
		assert.deepEqual(divideConnections({connectionLimit, controlCount: 5}), {
			controlConnections: 5, replacementConnections: 1, entryConnections: connectionLimit - 6, isScarce: false,
		});
	}
});

test('the least ample limit is one with which no instance goes without a connection', () => {
	for (const [controlCount, entryCount] of [[3, 3], [5, 3], [5, 20], [9, 1]]) {
		const limit = leastAmpleLimit(controlCount, entryCount);
		assert.equal(divideConnections({connectionLimit: limit, controlCount}).isScarce, false);
		assert.equal(allocateConnections({
			connectionLimit: limit, controlCount, entryCount, dataCentreCount: 1,
		}).gatewaysNearMember, undefined);
	}
});

// A leader without a connection could not pause the replicas of a service in time.
test('where connections are scarce, the leader keeps one, and as many others as the budget allows', () => {
	for (const controlCount of [3, 5, 9]) {
		const controls = instances(controlCount);
		for (let connectionLimit = 1; connectionLimit <= 60; connectionLimit++) {
			for (const leader of [undefined, 'control-1']) {
				const modes = controls.map(({name}) => assignProbe({
					member: 'a', connectionLimit, controls, name, leader,
				}));
				assert.equal(modes.filter(mode => mode === 'kept').length, divideConnections({connectionLimit, controlCount}).controlConnections);
				if (leader !== undefined) {
					assert.equal(modes[1], connectionLimit === 1 ? 'brief' : 'kept');
				}
			}
		}
	}
});

test('the warning names each scarce limit once, with the least ample one', () => {
	const lines: string[] = [];
	const warnings = new LimitWarnings(createLogger('control', 'registry', 'info', {
		write(line: string) {
			lines.push(line);
		},
	}));
	const table = {
		version: 3, routes: [], idleTransactionLimit: 0, services: [{name: 'scarce', connectionLimit: 5, synchronousReplicas: 0}, {name: 'ample', connectionLimit: 20, synchronousReplicas: 0}],
	};
	warnings.check(table, 5, 3);
	warnings.check(table, 5, 3);
	assert.equal(lines.length, 1);
	assert.match(lines[0], /members of scarce accept 5 connections; from 20 on/v);
});
