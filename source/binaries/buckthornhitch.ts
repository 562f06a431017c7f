#!/usr/bin/env node
import process from 'node:process';
import {run, subcommands} from 'cmd-ts';
import {checkCommand} from '../command-line/check-command.js';
import {
	applyCommand, bootstrapCommand, fetchCommand,
} from '../command-line/configuration-commands.js';
import {explainCommand} from '../command-line/explain-command.js';
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
	},
});

await run(program, process.argv.slice(2));
