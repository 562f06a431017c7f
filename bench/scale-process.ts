import {fork, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {fileURLToPath} from 'node:url';
import {ListenerSet} from '../source/blackboard/listener-set.js';
import {type NodeOrder, type NodeReport, type Usage} from './scale-messages.js';

/** One process of the benchmark. */
export class ScaleProcess {
	readonly #child: ChildProcess;
	readonly #listeners = new ListenerSet<[report: NodeReport]>();

	constructor(module: string, readonly name: string) {
		this.#child = fork(fileURLToPath(new URL(module, import.meta.url)), {stdio: ['ignore', 'ignore', 'inherit', 'ipc']});
		this.#child.on('message', (report: NodeReport) => {
			this.#listeners.notify(report);
		});
	}

	/** Calls the listener for each report; returns a function that ends this. */
	watch(listener: (report: NodeReport) => void): () => void {
		return this.#listeners.add(listener);
	}

	/** Sends an order or settings. */
	send(order: NodeOrder | Readonly<Record<string, unknown>>): void {
		this.#child.send(order);
	}

	/** Resolves with the next report of a kind. Rejects when the process ends first. */
	async next<Kind extends NodeReport['kind']>(kind: Kind): Promise<NodeReport & {readonly kind: Kind}> {
		return new Promise((resolve, reject) => {
			const fail = (): void => {
				reject(new Error(`${this.name} ended before it reported ${kind}`));
			};

			const stop = this.watch(report => {
				if (report.kind === kind) {
					stop();
					this.#child.off('exit', fail);
					resolve(report as NodeReport & {readonly kind: Kind});
				}
			});
			this.#child.once('exit', fail);
		});
	}

	/** Returns the resources that the process used. */
	async usage(): Promise<Usage> {
		const usage = this.next('usage');
		this.send({kind: 'usage'});
		return usage;
	}

	/** Kills the process and waits for its end. */
	async kill(): Promise<void> {
		if (this.#child.exitCode === null && this.#child.signalCode === null) {
			const ended = once(this.#child, 'exit');
			this.#child.kill('SIGKILL');
			await ended;
		}
	}
}
