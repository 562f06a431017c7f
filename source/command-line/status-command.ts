import {command, flag} from 'cmd-ts';
import {type ControlStatusResult} from '../control/control-client.js';
import {type ProcessRecord, takesNewWork} from '../membership/process-record.js';
import {type DatabaseReport, type PoolStatusResponse} from '../pool/messages.js';
import {controlsOption} from '../settings/common-settings.js';
import {requestFromAll} from './request-from-all.js';
import {
	commandTimeout, fetchProcessRecords, runWithSession,
} from './operator-session.js';

/** `status`: shows control processes, all processes and databases. */
export const statusCommand = command({
	name: 'status',
	description: 'show control instances, processes and databases',
	args: {controls: controlsOption, json: flag({long: 'json', description: 'print one JSON object'})},
	async handler({controls, json}) {
		await runWithSession(controls, async session => {
			const controlResults = await session.controlClient.status(commandTimeout);
			const instances = await fetchProcessRecords(session);
			const poolRecords = instances.filter(record => record.role === 'pool' && takesNewWork(record));
			const pools = await requestFromAll(poolRecords, async record => await session.linkClient.request(record.linkAddress, 'poolStatus', null, commandTimeout) as PoolStatusResponse);
			if (json) {
				console.log(JSON.stringify({controls: controlResults.map(result => result.status ?? {address: result.address, error: result.error?.message}), instances, pools: pools.responses}));
				return;
			}

			console.log([
				...controlLines(controlResults),
				...processLines(instances),
				...databaseLines(pools.responses),
				...pools.failures.map(failure => `No answer from ${failure.item.name}: ${failure.error.message}`),
			].join('\n'));
		});
	},
});

function controlLines(results: readonly ControlStatusResult[]): readonly string[] {
	return ['Control instances', ...results.map(({address, status, error}) => status
		? `  ${status.name} ${status.role}, term ${status.term}, revision ${status.revision}${status.leaseLive ? ', confirmed by a quorum' : ''}`
		: `  ${address} does not answer: ${error?.message ?? ''}`)];
}

function processLines(records: readonly ProcessRecord[]): readonly string[] {
	const sorted = records.toSorted((first, second) => first.role.localeCompare(second.role) || first.name.localeCompare(second.name));
	return ['Processes', ...sorted.map(record => `  ${record.name} ${record.role} in ${record.dataCentre}: ${record.state}, configuration revision ${record.configurationRevision}`)];
}

function databaseLines(pools: readonly PoolStatusResponse[]): readonly string[] {
	const reports = pools.flatMap(pool => pool.databases.map(report => ({pool: pool.name, report})));
	const leaseHolderReports = reports.filter(({report}) => report.leaseHeld).toSorted((first, second) => first.report.database.localeCompare(second.report.database));
	return ['Databases', ...leaseHolderReports.flatMap(({pool, report}) => [
		`  ${report.database}: primary ${report.primary ?? 'none'}, term ${report.term}, owned by ${pool}, waiting ${report.waitingReads} reads and ${report.waitingWrites} writes`,
		...memberLines(report),
	])];
}

function memberLines(report: DatabaseReport): readonly string[] {
	return report.members.map(member => [
		`    ${member.member} ${member.role}`,
		...(member.reachable ? [] : ['not reachable']),
		...(member.leaving ? ['leaving'] : []),
		`received ${member.receivedPosition}, applied ${member.appliedPosition}`,
		`slots ${member.slotsInUse}, connections ${member.connections}`,
	].join(', '));
}
