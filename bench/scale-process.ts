import {fork, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';
import {ListenerSet} from '../source/blackboard/listener-set.js';
import {type NodeCommand, type NodeReport, type ResourceUsage} from './scale-messages.js';

/** A child process of the benchmark. */
export class ScaleProcess {
	readonly #child: ChildProcess;
	readonly #listeners = new ListenerSet<[report: NodeReport]>();

	constructor(module: string, readonly name: string) {
		this.#child = fork(fileURLToPath(new URL(module, import.meta.url)), {stdio: ['ignore', 'ignore', 'inherit', 'ipc']});
		this.#child.on('message', (report: NodeReport) => {
			this.#listeners.notify(report);
		});
	}

	/** Calls the listener for each report; returns a function that removes the listener. */
	watch(listener: (report: NodeReport) => void): () => void {
		return this.#listeners.add(listener);
	}

	/** Sends a command, or the settings of the responder. */
	send(command: NodeCommand | Readonly<Record<string, unknown>>): void {
		this.#child.send(command);
	}

	/** Resolves with the next report of a kind. Rejects when the process exits first. */
	async next<Kind extends NodeReport['kind']>(kind: Kind): Promise<NodeReport & {readonly kind: Kind}> {
		return new Promise((resolve, reject) => {
			const rejectOnExit = (): void => {
				reject(new Error(`${this.name} exited before it reported ${kind}`));
			};

			const removeListener = this.watch(report => {
				if (report.kind === kind) {
					removeListener();
					this.#child.off('exit', rejectOnExit);
					resolve(report as NodeReport & {readonly kind: Kind});
				}
			});
			this.#child.once('exit', rejectOnExit);
		});
	}

	/** Requests and returns the resource usage of the process. */
	async usage(): Promise<ResourceUsage> {
		const usage = this.next('usage');
		this.send({kind: 'usage'});
		return usage;
	}

	/** Kills the process and waits until it has exited. */
	async kill(): Promise<void> {
		if (this.#child.exitCode === null && this.#child.signalCode === null) {
			const ended = once(this.#child, 'exit');
			this.#child.kill('SIGKILL');
			await ended;
		}
	}
}
