import { createLatencyProfile } from "@trefoilladder/placement";
import type { LatencyProfile } from "@trefoilladder/placement";
import type { Route } from "@trefoilladder/serving";

/** Latency and response size that this instance observed for a route. */
export interface RouteProfile {
    latency: LatencyProfile;
    /** Typical size of responses in kilobytes. */
    responseKb(): number;
    recordSize(bytes: number): void;
}

/** Response sizes assumed until some are observed, in kilobytes: for routes with large responses and for others. */
const defaultLargeResponseKb = 64;
const defaultResponseKb = 1;
/** Weight of the newest size in the moving average. */
const newestSizeWeight = 0.1;

/** Creates the profiles of routes; they are kept across configuration changes. */
export function createRouteProfiles(): { of(route: Route): RouteProfile; retain(routes: readonly Route[]): void; } {
    const profiles = new Map<string, RouteProfile>();

    function create(route: Route): RouteProfile {
        let responseKb = route.largeResponses ? defaultLargeResponseKb : defaultResponseKb;
        return {
            latency: createLatencyProfile(),
            responseKb: () => responseKb,
            recordSize(bytes) {
                responseKb += newestSizeWeight * (bytes / 1_024 - responseKb);
            },
        };
    }

    return {
        of(route) {
            let profile = profiles.get(route.name);
            if (profile === undefined) {
                profile = create(route);
                profiles.set(route.name, profile);
            }
            return profile;
        },
        retain(routes) {
            const names = new Set(routes.map(({ name }) => name));
            [...profiles.keys()].filter(name => !names.has(name)).forEach(name => profiles.delete(name));
        },
    };
}
