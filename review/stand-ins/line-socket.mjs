/* eslint no-await-in-loop: off, no-void: off -- Statements and attempts run one after the other, and some work runs beside the caller. */
const encoding = 'latin1';

/** Calls the function with each line that arrives on the socket, without its end. Bytes are mapped to characters one to one. */
export function readLines(socket, onLine) {
	let rest = '';
	socket.setEncoding(encoding);
	socket.setNoDelay(true);
	socket.on('data', chunk => {
		const lines = (rest + chunk).split('\r\n');
		rest = lines.pop();
		for (const line of lines) {
			onLine(line);
		}
	});
}

/** Writes a line to the socket unless it is closed. */
export function writeLine(socket, line) {
	if (!socket.destroyed && socket.writable) {
		socket.write(`${line}\r\n`, encoding);
	}
}
