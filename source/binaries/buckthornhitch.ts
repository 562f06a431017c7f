#!/usr/bin/env node
import process from 'node:process';
import {runSafely, subcommands} from 'cmd-ts';
import {checkCommand} from '../command-line/check-command.js';
import {
	applyCommand, bootstrapCommand, fetchCommand,
} from '../command-line/configuration-commands.js';
import {explainCommand} from '../command-line/explain-command.js';
import {explainRequestCommand, explainRequestExitStatuses, explainRequestName} from '../command-line/explain-request-command.js';
import {drainCommand, promoteCommand, timelineCommand} from '../command-line/fleet-commands.js';
import {statusCommand} from '../command-line/status-command.js';

const program = subcommands({
	name: 'buckthornhitch',
	description: 'operates a buckthornhitch deployment',
	cmds: {
		check: checkCommand,
		fetch: fetchCommand,
		apply: applyCommand,
		bootstrap: bootstrapCommand,
		status: statusCommand,
		drain: drainCommand,
		promote: promoteCommand,
		timeline: timelineCommand,
		explain: explainCommand,
		[explainRequestName]: explainRequestCommand,
	},
});

const commandArguments = process.argv.slice(2);
const result = await runSafely(program, commandArguments);
if (result._tag === 'error') {
	const {config} = result.error;
	// The command-line parser has a single exit status, 1, for arguments that it rejects. Scripts use it here for "not found".
	if (commandArguments.at(0) === explainRequestName && config.exitCode !== 0) {
		console.error(config.message);
		process.exit(explainRequestExitStatuses.invalidArguments);
	}

	result.error.run();
}
