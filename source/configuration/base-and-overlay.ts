import {type BaseFile, type OverlayFile} from './configuration-schema.js';
import {type DatabaseConfiguration, type DeploymentConfiguration} from './types.js';

/** Returns the configuration of one site: the base with that site's overlay. */
export function mergeConfiguration(base: BaseFile, overlay: OverlayFile | undefined): DeploymentConfiguration {
	return {
		deployment: base.deployment,
		places: base.places,
		databases: base.services.flatMap(service => expandService(service, base, overlay)),
		limits: {...base.limits, ...overlay?.limits},
		timeouts: {...base.timeouts, ...overlay?.timeouts},
	};
}

function expandService(stated: BaseFile['services'][number], base: BaseFile, overlay: OverlayFile | undefined): readonly DatabaseConfiguration[] {
	const differences = overlay?.services?.find(service => service.name === stated.name);
	const service = {...stated, ...differences};
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
