import bunyan from 'bunyan';

/** Logger of one part of a process. */
export type Logger = {
	info(text: string, fields?: LogFields): void;
	warn(text: string, fields?: LogFields): void;
	error(text: string, fields?: LogFields): void;
	debug(text: string, fields?: LogFields): void;
};

/** Named values of a log line. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Takes complete log lines. */
export type LogOutput = {
	write(line: string): void;
};

/** Levels that may be set. */
export const logLevels = ['debug', 'info', 'warn', 'error'] as const;

/** Level of detail of the logs. */
export type LogLevel = (typeof logLevels)[number];

/** Returns a logger whose lines begin with the part's prefix, for example `entry:`; without an output they go to standard output. */
export function createLogger(process: string, part: string, level: LogLevel, output?: LogOutput): Logger {
	const logger = bunyan.createLogger({
		name: process, level, part, ...(output && {stream: output as NodeJS.WritableStream}),
	});
	const prefix = `${part}: `;
	return {
		info(text, fields = {}) {
			logger.info(fields, prefix + text);
		},
		warn(text, fields = {}) {
			logger.warn(fields, prefix + text);
		},
		error(text, fields = {}) {
			logger.error(fields, prefix + text);
		},
		debug(text, fields = {}) {
			logger.debug(fields, prefix + text);
		},
	};
}

const drop = (): void => undefined;

/** Logger that drops everything, for tests. */
export const silentLogger: Logger = {
	info: drop, warn: drop, error: drop, debug: drop,
};
