import {open, readFile, rename} from 'node:fs/promises';
import {Controller} from '../blackboard/blackboard.js';
import {type Cancel, type Clock, type Milliseconds} from '../clock/clock.js';
import {type Logger} from '../observability/logger.js';
import {type BackendDirectory} from './backend-directory.js';
import {type BackendServer} from './types.js';

/** Changes that come together are written together. */
const writeDelay: Milliseconds = 300;

/**
Keeps the directory in a file, so that a restarted instance knows the servers before they announce themselves again.

The file may be lost or outdated: every server is addressed by its id, and announcements replace what the file says.
*/
export class DirectoryFile extends Controller {
	#cancel: Cancel | undefined;
	#isWriting = false;
	#isOutdated = false;

	constructor(private readonly path: string, private readonly directory: BackendDirectory, private readonly clock: Clock, private readonly logger: Logger) {
		super();
	}

	/** Reads the file into the directory; a file that cannot be read is left out. */
	async load(): Promise<void> {
		try {
			const servers = JSON.parse(await readFile(this.path, 'utf8')) as readonly BackendServer[];
			this.directory.merge(servers);
			this.logger.info(`read ${servers.length} backend servers from the last run`);
		} catch (error) {
			this.logger.info(`no backend servers are known from the last run: ${(error as Error).message}`);
		}
	}

	override start(): void {
		this.directory.onChange(() => {
			this.#cancel?.();
			this.#cancel = this.clock.schedule(writeDelay, () => {
				void this.#write();
			});
		});
	}

	override stop(): void {
		this.#cancel?.();
	}

	async #write(): Promise<void> {
		if (this.#isWriting) {
			this.#isOutdated = true;
			return;
		}

		this.#isWriting = true;
		this.#isOutdated = false;
		try {
			const temporary = `${this.path}.new`;
			const handle = await open(temporary, 'w');
			try {
				await handle.writeFile(JSON.stringify(this.directory.servers));
				await handle.sync();
			} finally {
				await handle.close();
			}

			await rename(temporary, this.path);
		} catch (error) {
			this.logger.warn(`the backend servers could not be written: ${(error as Error).message}`);
		} finally {
			this.#isWriting = false;
		}

		if (this.#isOutdated) {
			await this.#write();
		}
	}
}
