import process from 'node:process';

// An idle Node.js process as the baseline for resident memory.
process.on('message', () => {
	const {user, system} = process.cpuUsage();
	process.send?.({kind: 'usage', processorMicroseconds: user + system, residentBytes: process.memoryUsage.rss()});
});
process.on('disconnect', () => {
	process.exit(0);
});
process.send?.({kind: 'ready'});
