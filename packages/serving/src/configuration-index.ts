import type { Organisation, Route, Service, ServingConfiguration } from "./serving-configuration";

/** Lookups in one version of the configuration. */
export interface ConfigurationIndex {
    configuration: ServingConfiguration;
    /** Returns the route of a host with the longest path prefix that matches. */
    findRoute(host: string, path: string): Route | undefined;
    /** Returns the organisation that owns a key. */
    findOrganisation(key: string): Organisation | undefined;
    /** Organisations by name. */
    organisations: ReadonlyMap<string, Organisation>;
    /** Services by name. */
    services: ReadonlyMap<string, Service>;
    /** Names of all services, those that only a route names included. */
    serviceNames: ReadonlySet<string>;
}

/** Returns every prefix of a path that ends with a slash, longest first. */
function* prefixesOf(path: string): Generator<string> {
    for (let end = path.lastIndexOf("/"); end >= 0; end = path.lastIndexOf("/", end - 1)) {
        yield path.slice(0, end + 1);
        if (end === 0) {
            return;
        }
    }
}

function indexRoutes(routes: readonly Route[]): Map<string, Map<string, Route>> {
    const hosts = new Map<string, Map<string, Route>>();
    for (const route of routes) {
        const host = route.host.toLowerCase();
        const byPrefix = hosts.get(host) ?? new Map<string, Route>();
        byPrefix.set(route.pathPrefix, route);
        hosts.set(host, byPrefix);
    }
    return hosts;
}

/** Indexes a configuration. A route lookup takes at most one map access for each slash of the path. */
export function createConfigurationIndex(configuration: ServingConfiguration): ConfigurationIndex {
    const hosts = indexRoutes(configuration.routes);
    const byKey = new Map<string, Organisation>();
    for (const organisation of configuration.organisations) {
        organisation.keys.forEach(key => byKey.set(key, organisation));
    }
    return {
        configuration,
        findRoute(host, path) {
            const byPrefix = hosts.get(host.toLowerCase());
            if (byPrefix === undefined) {
                return undefined;
            }
            for (const prefix of prefixesOf(path)) {
                const route = byPrefix.get(prefix);
                if (route !== undefined) {
                    return route;
                }
            }
            return undefined;
        },
        findOrganisation: key => byKey.get(key),
        organisations: new Map(configuration.organisations.map(organisation => [organisation.name, organisation])),
        services: new Map(configuration.services.map(service => [service.name, service])),
        serviceNames: new Set([
            ...configuration.services.map(({ name }) => name),
            ...configuration.routes.flatMap(({ services }) => services.map(({ service }) => service)),
        ]),
    };
}
