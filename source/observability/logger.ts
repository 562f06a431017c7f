import bunyan from 'bunyan';

/** Logger of one component of a process. */
export type Logger = {
	info(text: string, fields?: LogFields): void;
	warn(text: string, fields?: LogFields): void;
	error(text: string, fields?: LogFields): void;
	debug(text: string, fields?: LogFields): void;
};

/** Structured fields of a log line. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Receives complete log lines. */
export type LogOutput = {
	write(line: string): void;
};

/** Log levels that can be configured. */
export const logLevels = ['debug', 'info', 'warn', 'error'] as const;

/** Minimum level of the lines that are logged. */
export type LogLevel = (typeof logLevels)[number];

/** Returns a logger whose messages begin with the name of the component, for example `entry:`. Writes to standard output unless an output is given. */
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

const discard = (): void => undefined;

/** Logger that discards everything, for tests. */
export const silentLogger: Logger = {
	info: discard, warn: discard, error: discard, debug: discard,
};
