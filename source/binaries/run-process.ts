import process from 'node:process';
import {toBuckthornhitchError} from '../result-codes/buckthornhitch-error.js';
import {type CommonSettings} from '../settings/common-settings.js';
import {ProcessRuntime} from './process-runtime.js';

/** Starts a process. If it cannot start, logs the error with its result code and exits with status 1. */
export async function runProcess(settings: CommonSettings, start: (runtime: ProcessRuntime) => Promise<void>): Promise<void> {
	const runtime = new ProcessRuntime(settings);
	const logger = runtime.logger('process');
	try {
		await runtime.listen();
		await start(runtime);
	} catch (error) {
		logger.error(`cannot start: ${toBuckthornhitchError(error).message}`);
		process.exit(1);
	}

	runtime.handleSignals();
	runtime.handleDrainRequests();
	logger.info(`${settings.name} is running`);
}
