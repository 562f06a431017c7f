import {type ConfigurationFile, type KeyPath} from './configuration-file.js';
import {createWarning, type ConfigurationFinding} from './configuration-finding.js';
import {type DeploymentConfiguration} from './types.js';

/** Connections of a member that pools keep for monitors. */
const monitorConnections = 4;

/** Limits that contradict each other: the settings that take part, the one to which the warning is attached first, and the explanation. */
export type LimitContradiction = {
	readonly keys: readonly KeyPath[];
	readonly text: string;
};

/** A rule on the settings in force at one data centre. */
export type LimitRule = (configuration: Pick<DeploymentConfiguration, 'limits' | 'timeouts'>) => LimitContradiction | undefined;

/** A read that waits for a replica until its deadline never reaches the primary. */
export const replicaWaitRule: LimitRule = ({limits: {replicaWait, requestDeadline}}) => replicaWait >= requestDeadline
	? {
		keys: [['limits', 'replicaWait'], ['limits', 'requestDeadline']],
		text: `not shorter than limits.requestDeadline, which is ${requestDeadline}ms: a read without a fresh replica never goes to the primary`,
	}
	: undefined;

/** A statement that may run longer than the drain time is interrupted by a planned stop. */
export const drainTimeRule: LimitRule = ({limits: {drainTime, statementTimeout}}) => drainTime < statementTimeout
	? {
		keys: [['limits', 'drainTime'], ['limits', 'statementTimeout']],
		text: `shorter than limits.statementTimeout, which is ${statementTimeout}ms: a planned stop interrupts statements that take longer`,
	}
	: undefined;

/** The outcome of a request must be kept for as long as the request can be in progress. */
export const requestIdRetentionRule: LimitRule = ({limits: {requestIdRetention, requestDeadline, statementTimeout}}) => requestIdRetention < requestDeadline + statementTimeout
	? {
		keys: [['limits', 'requestIdRetention'], ['limits', 'requestDeadline'], ['limits', 'statementTimeout']],
		text: `shorter than limits.requestDeadline and limits.statementTimeout together, ${requestDeadline + statementTimeout}ms: the outcome of a request may be forgotten before it is repeated`,
	}
	: undefined;

/** A lease must not end while a member that has sent nothing is still being checked over a fresh connection. */
export const leaseRule: LimitRule = ({timeouts: {lease, silence, freshConnection}}) => lease < silence + freshConnection
	? {
		keys: [['timeouts', 'lease'], ['timeouts', 'silence'], ['timeouts', 'freshConnection']],
		text: `shorter than timeouts.silence and timeouts.freshConnection together, ${silence + freshConnection}ms: a broken monitor connection costs the lease`,
	}
	: undefined;

const limitRules: readonly LimitRule[] = [replicaWaitRule, drainTimeRule, requestIdRetentionRule, leaseRule];

/** Returns a warning for each contradiction between limits, located at the settings that the file contains. An overlay is only warned about what it sets itself. */
export function findLimitContradictions(file: ConfigurationFile, configuration: DeploymentConfiguration): readonly ConfigurationFinding[] {
	return limitRules.flatMap(rule => {
		const contradiction = rule(configuration);
		const path = contradiction?.keys.find(key => file.hasKey(key));
		return contradiction && path ? [createWarning(file, path, `${formatKey(contradiction.keys[0])} is ${contradiction.text}`)] : [];
	});
}

/** Returns a warning for each service whose members cannot run as many statements at a time as they have slots, because too few connections remain beside those of the monitors. */
export function findConnectionShortages(file: ConfigurationFile, services: ReadonlyArray<{readonly name: string}>, {databases}: DeploymentConfiguration): readonly ConfigurationFinding[] {
	return services.flatMap(({name}, index) => {
		const database = databases.find(({service}) => service === name);
		const usable = (database?.connections ?? 0) - monitorConnections;
		if (!database || usable >= database.slots) {
			return [];
		}

		const text = `${monitorConnections} connections are kept for monitors, so that only ${Math.max(1, usable)} of ${database.slots} slots can be used; all can with ${monitorConnections + database.slots}`;
		return [createWarning(file, ['services', index, 'connections'], text)];
	});
}

function formatKey(path: KeyPath): string {
	return path.join('.');
}
