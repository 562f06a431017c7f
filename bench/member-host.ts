import process from 'node:process';
import {StandInMember} from '../stand-in/member.js';

/** Command to a process that hosts stand-in members. */
export type HostCommand =
	| {readonly kind: 'start'; readonly names: readonly string[]}
	| {readonly kind: 'stop'; readonly names: readonly string[]};

/** Response to a command: the addresses of the started members by name. */
export type HostResponse = {
	readonly addresses: Readonly<Record<string, string>>;
};

const members = new Map<string, StandInMember>();

async function runCommand(command: HostCommand): Promise<HostResponse> {
	const addresses: Record<string, string> = {};
	for (const name of command.names) {
		const member = members.get(name) ?? new StandInMember({name, connectDelay: 0});
		members.set(name, member);
		if (command.kind === 'start') {
			await member.start();
			addresses[name] = member.address;
		} else {
			await member.stop();
		}
	}

	return {addresses};
}

process.on('message', (command: HostCommand) => {
	void runCommand(command).then(response => process.send?.(response));
});
