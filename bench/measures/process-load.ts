import {mkdtempSync, readFileSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import pg from 'pg';
import {type Address, parseAddress} from '../../source/links/address.js';
import {deployments, type DeploymentName} from '../../stand-in/deployments.js';
import {ProcessFleet} from '../../stand-in/process-fleet.js';
import {pause} from './pause.js';

const connectAttempts = 20;

/** A started fleet of processes for one database and what removes it. */
export type StartedFleet = {
	readonly fleet: ProcessFleet;
	readonly database: string;
	readonly stop: () => Promise<void>;
};

/** Numbers of processes. */
export type FleetSizes = {readonly pools: number; readonly entries: number};

/** Starts the processes of one database of a deployment. */
export async function startProcesses(deployment: DeploymentName, sizes: FleetSizes, memberFlags: readonly string[]): Promise<StartedFleet> {
	const folder = mkdtempSync(join(tmpdir(), 'buckthornhitch-bench-'));
	const {dataCentres, databases} = deployments[deployment];
	const fleet = new ProcessFleet({
		...sizes, controls: 1, configurationFolder: `examples/${deployment}`, folder, dataCentres, databases: databases.slice(0, 1), memberFlags,
	});
	const killAll = (): void => {
		for (const {child} of fleet.processes.values()) {
			child.kill('SIGKILL');
		}
	};

	// The processes must not outlive an interrupted run.
	process.once('exit', killAll);
	const stop = async (): Promise<void> => {
		process.off('exit', killAll);
		await fleet.stop();
		rmSync(folder, {recursive: true, force: true});
	};

	try {
		await fleet.start();
		const client = await connectWhenReady([...fleet.callerAddresses.values()][0], databases[0]);
		await client.end();
	} catch (error) {
		await stop();
		throw error;
	}

	return {fleet, database: databases[0], stop};
}

/** Opens a connection; later failures show in its queries. */
export async function connect(address: Address, database: string, statedAge = ''): Promise<pg.Client> {
	const client = new pg.Client({
		...parseAddress(address), user: 'bench', database, options: statedAge === '' ? undefined : `-c buckthornhitch.max_age=${statedAge}`,
	});
	client.on('error', () => {
		// The next query on the connection fails.
	});
	await client.connect();
	return client;
}

/** Returns the name of the member that is primary, asked directly, or undefined. */
export async function primaryName({fleet, database}: StartedFleet): Promise<string | undefined> {
	const states = await Promise.all([...fleet.memberAddresses.values()].map(async address => memberState(address, database)));
	const primaries = states.filter(state => state?.accepting_writes && state.role === 'primary');
	return primaries.toSorted((first, second) => Number(second!.primary_term) - Number(first!.primary_term))[0]?.member;
}

/** Resident memory of a process in bytes. */
export function residentBytes(processId: number): number {
	return Number(/^VmRSS:\s+(?<size>\d+) kB/mv.exec(readFileSync(`/proc/${processId}/status`, 'utf8'))?.groups?.size) * 1024;
}

/** Processor time that a process has used, in seconds; the kernel counts in hundredths. */
export function processorSeconds(processId: number): number {
	const fields = readFileSync(`/proc/${processId}/stat`, 'utf8').split(') ')[1].split(' ');
	return (Number(fields[11]) + Number(fields[12])) / 100;
}

type MemberState = {readonly member: string; readonly role: string; readonly accepting_writes: boolean; readonly primary_term: string};

async function memberState(address: Address, database: string): Promise<MemberState | undefined> {
	try {
		const client = await connect(address, database);
		const {rows} = await client.query<MemberState>('SELECT * FROM group_status()');
		await client.end();
		return rows[0];
	} catch {
		return undefined;
	}
}

async function connectWhenReady(address: Address, database: string): Promise<pg.Client> {
	for (let attempt = 0; ; attempt++) {
		try {
			const client = await connect(address, database);
			await client.query('CREATE TABLE IF NOT EXISTS bench (id int PRIMARY KEY, name text)');
			return client;
		} catch (error) {
			if (attempt >= connectAttempts) {
				throw error;
			}

			await pause(200);
		}
	}
}
