import bunyan from 'bunyan';

/** Logger of one part of a process. */
export type Logger = {
	info(text: string): void;
	warn(text: string): void;
	error(text: string): void;
	debug(text: string): void;
};

/** Levels that may be set. */
export const logLevels = ['debug', 'info', 'warn', 'error'] as const;

/** Level of detail of the logs. */
export type LogLevel = (typeof logLevels)[number];

/** Returns a logger whose lines begin with the part's prefix, for example `entry:`. */
export function createLogger(process: string, part: string, level: LogLevel): Logger {
	const logger = bunyan.createLogger({name: process, level, part});
	const prefix = `${part}: `;
	return {
		info(text) {
			logger.info(prefix + text);
		},
		warn(text) {
			logger.warn(prefix + text);
		},
		error(text) {
			logger.error(prefix + text);
		},
		debug(text) {
			logger.debug(prefix + text);
		},
	};
}

const drop = (): void => undefined;

/** Logger that drops everything, for tests. */
export const silentLogger: Logger = {
	info: drop, warn: drop, error: drop, debug: drop,
};
