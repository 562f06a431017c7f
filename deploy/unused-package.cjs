// Stands in for optional packages of the logger and the serializer that the bundled processes do not use; their callers go on without them.
throw new Error('This optional package is left out of the bundle.');
