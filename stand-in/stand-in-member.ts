#!/usr/bin/env node
import process from 'node:process';
import {
	command, number, option, optional, run, string,
} from 'cmd-ts';
import {SystemClock} from '../source/clock/system-clock.js';
import {createLogger} from '../source/observability/logger.js';
import {addressListType, addressType} from '../source/settings/common-settings.js';
import {StandInMember} from './member.js';

/** Time in milliseconds between the announcement that the member is leaving and its stop. At the end of this time no new work is sent to the member any more (invariant 7 in docs/design.md). */
const leaveTime = 3000;

const numberOption = (long: string, description: string, value: number) => option({
	type: number, long, description, defaultValue: () => value, defaultValueIsSerializable: true,
});

const memberCommand = command({
	name: 'stand-in-member',
	description: 'Simulated backend server of a database group for tests, measurements and the demonstration.',
	args: {
		name: option({type: string, long: 'name', description: 'name of the member'}),
		address: option({type: addressType, long: 'address', description: 'address to listen on'}),
		slots: numberOption('slots', 'maximum number of concurrent statements', 3),
		connectionLimit: numberOption('connection-limit', 'maximum number of open connections', 45),
		connectDelay: numberOption('connect-delay', 'delay of a new connection in milliseconds', 12),
		serviceTime: numberOption('service-time', 'execution time of a statement in milliseconds', 0),
		receiveDelay: numberOption('receive-delay', 'delay in milliseconds until a replica receives an entry', 0),
		applyDelay: numberOption('apply-delay', 'delay in milliseconds until a replica applies an entry', 0),
		dataFolder: option({type: optional(string), long: 'data-folder', description: 'folder of the log and the durable state; in memory only if absent'}),
		entries: option({
			type: addressListType, long: 'entries', description: 'HTTP addresses of the entries that receive announcements', defaultValue: () => [], defaultValueIsSerializable: true,
		}),
		database: option({
			type: string, long: 'database', description: 'database to announce', defaultValue: () => '',
		}),
		dataCentre: option({
			type: string, long: 'data-centre', description: 'data centre to announce', defaultValue: () => '',
		}),
		announcedAddress: option({type: optional(addressType), long: 'announced-address', description: 'address to announce instead of the listening address'}),
	},
	async handler({entries, database, dataCentre, announcedAddress, ...options}) {
		const logger = createLogger(options.name, 'stand-in', 'info');
		const member = new StandInMember({
			...options,
			onMisplacedStatement(description) {
				logger.error(description);
			},
			announcement: {
				entries, database, dataCentre, address: announcedAddress,
			},
		});
		await member.start();
		logger.info(`listening on ${member.address}`);
		const leave = async (): Promise<void> => {
			logger.info('leaving');
			await member.leave();
			await new SystemClock().sleep(leaveTime);
			await member.stop();
			process.exit(0);
		};

		process.once('SIGTERM', leave);
		process.once('SIGINT', leave);
	},
});

await run(memberCommand, process.argv.slice(2));
