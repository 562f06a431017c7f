/** Log line of a process, as a JSON object. */
export type LogLine = Readonly<Record<string, unknown>>;

/** Lines about one request, and the number of lines that could not be read. */
export type RequestLines = {
	readonly lines: readonly LogLine[];
	readonly unreadableCount: number;
};

/** Fields of a line that the timeline shows elsewhere or that do not concern the request. */
const hiddenFields: ReadonlySet<string> = new Set(['name', 'time', 'msg', 'level', 'pid', 'hostname', 'v', 'part', 'request', 'kind', 'explained', 'attempts', 'omitted']);

const explanationTexts: ReadonlyMap<string | undefined, string> = new Map([['refused', 'refused'], ['late', 'answered late'], ['repeated', 'answered in time by more than one attempt']]);

/** Maximum depth to which the values of a line are searched. */
const maximumDepth = 8;

/** Collects the log lines that contain the id of a request, from the logs of several processes. */
export class RequestLineCollector {
	readonly #lines: LogLine[] = [];
	readonly #escapedId: string;
	#unreadableCount = 0;

	constructor(private readonly id: string) {
		this.#escapedId = JSON.stringify(id).slice(1, -1);
	}

	/** Lines found so far, in order of time. Lines of the same time keep the order in which they were added. */
	get result(): RequestLines {
		return {lines: this.#lines.toSorted((first, second) => timeOf(first) - timeOf(second)), unreadableCount: this.#unreadableCount};
	}

	/** Adds a line of a log. Empty lines are ignored, and lines that are not JSON objects are counted as unreadable. */
	add(text: string): void {
		if (text.trim() === '') {
			return;
		}

		const line = parseLine(text);
		if (line === undefined) {
			this.#unreadableCount++;
		} else if (text.includes(this.#escapedId) && this.#contains(line, 0)) {
			this.#lines.push(line);
		}
	}

	/** Returns whether a string in the value is the id, or contains it as a word. An id that is only a part of a longer one does not count. */
	#contains(value: unknown, depth: number): boolean {
		if (typeof value === 'string') {
			return containsWord(value, this.id);
		}

		return depth < maximumDepth && typeof value === 'object' && value !== null && Object.values(value).some(item => this.#contains(item, depth + 1));
	}
}

/** Returns the timeline of a request as text: one line for each log line, the attempts of the line that explains the request, and the cause in words. */
export function formatRequestTimeline(id: string, {lines, unreadableCount}: RequestLines): string {
	const unreadable = unreadableCount === 0 ? [] : [`${unreadableCount} lines could not be read and were skipped.`];
	if (lines.length === 0) {
		return [...unreadable, `No line contains the request ${id}.`].join('\n');
	}

	const processWidth = Math.max(...lines.map(line => processOf(line).length));
	const entries = lines.flatMap(line => [
		`${textOf(line.time) ?? 'without a time'}  ${processOf(line).padEnd(processWidth)}  ${textOf(line.msg) ?? ''}${formatFields(line)}`,
		...attemptLines(line),
	]);
	return [...entries, ...unreadable, `Cause: ${causeInWords(lines)}.`].join('\n');
}

/** Returns the cause of the outcome in words: the one that an entry instance logged at the end of the request or, if its line is missing, what the last outcome shows. */
export function causeInWords(lines: readonly LogLine[]): string {
	const explained = lines.findLast(line => textOf(line.explained) !== undefined && textOf(line.cause) !== undefined);
	const gatewayReports = lines.filter(line => isGatewayLine(line)).map(line => `; ${describeGatewayLine(line)}`).join('');
	if (explained) {
		const {kind, explained: explanation, cause} = explained;
		return `the ${textOf(kind) ?? 'request'} was ${describeExplanation(textOf(explanation))} at ${processOf(explained)}: ${textOf(cause)}${gatewayReports}`;
	}

	const last = lines.findLast(line => textOf(line.outcome) !== undefined);
	if (!last) {
		return 'not known, since no line states an outcome';
	}

	const missingLine = 'not stated by any entry instance (its line may have been dropped, or the request was answered in time by its first attempt)';
	return `${missingLine}; the last outcome, at ${processOf(last)}, is "${[textOf(last.step), textOf(last.outcome)].filter(text => text !== undefined).join(' ')}"${gatewayReports}`;
}

function parseLine(text: string): LogLine | undefined {
	try {
		const value: unknown = JSON.parse(text);
		return typeof value === 'object' && value !== null && !Array.isArray(value) ? value as LogLine : undefined;
	} catch {
		return undefined;
	}
}

function containsWord(text: string, word: string): boolean {
	for (let index = text.indexOf(word); index !== -1; index = text.indexOf(word, index + 1)) {
		if (!isWordCharacter(text.charAt(index - 1)) && !isWordCharacter(text.charAt(index + word.length))) {
			return true;
		}
	}

	return false;
}

function isWordCharacter(character: string): boolean {
	return /[\p{L}\p{N}_\-]/v.test(character);
}

/** Returns the time of a line. Lines without one come first. */
function timeOf({time}: LogLine): number {
	const parsed = typeof time === 'string' ? Date.parse(time) : Number.NaN;
	return Number.isNaN(parsed) ? Number.NEGATIVE_INFINITY : parsed;
}

function processOf({name}: LogLine): string {
	return textOf(name) ?? '(unknown process)';
}

function textOf(value: unknown): string | undefined {
	return typeof value === 'string' ? value : undefined;
}

function formatFields(line: LogLine): string {
	const fields = Object.entries(line).filter(([key, value]) => !hiddenFields.has(key) && value !== null).map(([key, value]) => `${key}=${typeof value === 'string' ? value : JSON.stringify(value)}`);
	return fields.length === 0 ? '' : ` (${fields.join(', ')})`;
}

function attemptLines({attempts, omitted}: LogLine): readonly string[] {
	const listed = Array.isArray(attempts) ? attempts.filter((attempt): attempt is LogLine => typeof attempt === 'object' && attempt !== null) : [];
	const omittedCount = (omitted as LogLine | undefined)?.count;
	return [
		...listed.map((attempt, index) => `    attempt ${index + 1}: ${formatAttempt(attempt)}`),
		...(typeof omittedCount === 'number' ? [`    ${omittedCount} further attempts before the last one are not listed`] : []),
	];
}

function formatAttempt(attempt: LogLine): string {
	const {
		member, gateway, startedAfter, connectionWait, gatewayWait, memberTime, busyRetries, result,
	} = attempt;
	return [
		`${textOf(member) ?? '?'}${textOf(gateway) === undefined ? '' : ` through ${textOf(gateway)}`}`,
		...milliseconds('started after', startedAfter),
		...milliseconds('waited for a connection', connectionWait),
		...milliseconds('waited at the gateway', gatewayWait),
		...milliseconds('at the member', memberTime),
		...(typeof busyRetries === 'number' ? [`${busyRetries} statements sent again after BUSY`] : []),
		`result ${textOf(result) ?? 'not known'}`,
	].join(', ');
}

function milliseconds(label: string, value: unknown): readonly string[] {
	return typeof value === 'number' ? [`${label} ${value} ms`] : [];
}

function isGatewayLine(line: LogLine): boolean {
	return line.part === 'relay' && textOf(line.outcome) !== undefined;
}

function describeGatewayLine(line: LogLine): string {
	return `${processOf(line)} reported as the gateway to ${textOf(line.member) ?? 'a member'}: ${textOf(line.msg)?.replace(/^relay: /v, '') ?? ''}`;
}

function describeExplanation(explanation: string | undefined): string {
	return explanationTexts.get(explanation) ?? 'explained';
}
