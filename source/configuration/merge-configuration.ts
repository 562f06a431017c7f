import {type BaseFile, type OverlayFile} from './configuration-schema.js';
import {type DatabaseConfiguration, type DeploymentConfiguration} from './types.js';

/** Returns the configuration of one data centre: the base file with that data centre's overlay applied. */
export function mergeConfiguration(base: BaseFile, overlay: OverlayFile | undefined): DeploymentConfiguration {
	return {
		deployment: base.deployment,
		places: base.places,
		databases: base.services.flatMap(service => expandDatabases(service, base, overlay)),
		limits: {...base.limits, ...overlay?.limits},
		timeouts: {...base.timeouts, ...overlay?.timeouts},
	};
}

function expandDatabases(baseService: BaseFile['services'][number], base: BaseFile, overlay: OverlayFile | undefined): readonly DatabaseConfiguration[] {
	const override = overlay?.services?.find(service => service.name === baseService.name);
	const service = {...baseService, ...override};
	const places = service.places ?? base.places.map(place => place.name);
	return Array.from({length: service.databases}, (_, index) => ({
		name: `${service.name}-${index + 1}`,
		service: service.name,
		place: places[index % places.length],
		memberCount: service.members,
		slots: service.slots,
		connections: service.connections,
		connectTime: service.connectTime,
	}));
}
