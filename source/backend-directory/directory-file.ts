import {open, readFile, rename} from 'node:fs/promises';
import {Controller} from '../blackboard/blackboard.js';
import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {type Logger} from '../observability/logger.js';
import {type BackendDirectory} from './backend-directory.js';
import {type BackendServer} from './types.js';

/** Delay before a write, which combines changes that come in quick succession. */
const writeDelay: Milliseconds = 300;

/**
Persists the directory in a file, so that a restarted instance knows the servers before they announce themselves again.

The file may be lost or outdated. The request that opens a connection contains the server's id, so another server at an outdated address refuses it. New announcements replace the loaded records.
*/
export class DirectoryFile extends Controller {
	#cancelWrite: Cancel | undefined;
	#isWriting = false;
	#needsRewrite = false;

	constructor(private readonly path: string, private readonly directory: BackendDirectory, private readonly clock: Clock, private readonly logger: Logger) {
		super();
	}

	/** Loads the file into the directory; a file that is missing or invalid is ignored. */
	async load(): Promise<void> {
		try {
			const servers = JSON.parse(await readFile(this.path, 'utf8')) as readonly BackendServer[];
			this.directory.merge(servers);
			this.logger.info(`loaded ${servers.length} backend servers from the last run`);
		} catch (error) {
			this.logger.info(`no backend servers loaded from the last run: ${(error as Error).message}`);
		}
	}

	override start(): void {
		this.directory.onChange(() => {
			this.#cancelWrite?.();
			this.#cancelWrite = this.clock.schedule(writeDelay, () => {
				void this.#write();
			});
		});
	}

	override stop(): void {
		this.#cancelWrite?.();
	}

	async #write(): Promise<void> {
		if (this.#isWriting) {
			this.#needsRewrite = true;
			return;
		}

		this.#isWriting = true;
		this.#needsRewrite = false;
		try {
			const temporaryPath = `${this.path}.new`;
			const handle = await open(temporaryPath, 'w');
			try {
				await handle.writeFile(JSON.stringify(this.directory.servers));
				await handle.sync();
			} finally {
				await handle.close();
			}

			await rename(temporaryPath, this.path);
		} catch (error) {
			this.logger.warn(`failed to write the file of backend servers: ${(error as Error).message}`);
		} finally {
			this.#isWriting = false;
		}

		if (this.#needsRewrite) {
			await this.#write();
		}
	}
}
