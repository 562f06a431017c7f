import process from 'node:process';
import {StandInMember} from '../stand-in/member.js';

/** Request to a process that hosts stand-in members. */
export type HostCommand =
	| {readonly kind: 'start'; readonly names: readonly string[]}
	| {readonly kind: 'stop'; readonly names: readonly string[]};

/** Answer of such a process: the addresses of started members by name. */
export type HostAnswer = {
	readonly addresses: Readonly<Record<string, string>>;
};

const members = new Map<string, StandInMember>();

async function carryOut(command: HostCommand): Promise<HostAnswer> {
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
	void carryOut(command).then(answer => process.send?.(answer));
});
