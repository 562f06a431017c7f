/** Returns the value of a dotted path in the settings of a process, such as `InternalPorts.1`. */
function valueOf(settings, path) {
	let value = settings;
	for (const key of path.split('.')) {
		value = value?.[key];
	}

	return value;
}

/** Fills in a settings template as the platform does: sections that depend on a value, values, and values as JSON. Sections for lists are not needed here. */
export function render(template, settings) {
	const withSections = template
		.replaceAll(/\{\{#(?<path>[\w.]+)\}\}(?<content>.*?)\{\{\/\k<path>\}\}/gsv, (_text, path, content) => {
			const value = valueOf(settings, path);
			return value === undefined || value === false ? '' : content;
		})
		.replaceAll(/\{\{\^(?<path>[\w.]+)\}\}(?<content>.*?)\{\{\/\k<path>\}\}/gsv, (_text, path, content) => {
			const value = valueOf(settings, path);
			return value === undefined || value === false ? content : '';
		});
	return withSections.replaceAll(/\{\{(?<path>[\w.]+)(?<json>\|json)?\}\}/gv, (_text, path, json) => {
		const value = valueOf(settings, path);
		if (json) {
			return JSON.stringify(value);
		}

		if (value === undefined) {
			return '';
		}

		return Array.isArray(value) ? value.join(',') : String(value);
	});
}
