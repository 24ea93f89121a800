/**
 * The configuration that the request path serves: routes, services, organisations and limits of callers.
 */

/** A service that receives a share of a route's requests, in proportion to its weight. */
export interface WeightedService {
    service: string;
    weight: number;
}

/** Handling of the requests for one host under one path prefix. */
export interface Route {
    name: string;
    host: string;
    /** Begins and ends with a slash. */
    pathPrefix: string;
    /** Whether a request may run more than once. */
    idempotent: boolean;
    /** Whether responses are large. */
    largeResponses: boolean;
    /** Maximum time in milliseconds until the caller receives the final response. */
    timeoutMs: number;
    /** Latency objective in milliseconds. */
    latencyObjectiveMs: number;
    /** Priority of the requests; 0 is the highest. */
    priority: number;
    services: readonly WeightedService[];
    /** Maximum number of targets that one request may be sent to. */
    maxAttempts: number;
    /** Whether the route accepts callers without a key. */
    allowsAnonymous: boolean;
    /** Regions whose targets the requests may reach; undefined without a restriction. */
    allowedRegions?: readonly string[] | undefined;
}

/** A service behind routes. */
export interface Service {
    name: string;
    maxConnections: number;
    /** Time in milliseconds for which a target is assumed to be cold after its failure domain was evacuated; 0 when absent. */
    coldStartMs?: number | undefined;
    /** Requests per second that a cold target can handle; undefined without a bound. */
    coldPerSecond?: number | undefined;
}

/** An organisation with its API keys and rate limit. */
export interface Organisation {
    name: string;
    keys: readonly string[];
    /** Overrides the priority of a route. */
    priority: number | undefined;
    /** Fleet-wide limit in requests per second; 0 means no limit. */
    ratePerSecond: number;
    burst: number;
    /** Regions whose targets the requests may reach; undefined without a restriction. */
    allowedRegions?: readonly string[] | undefined;
}

/** Size limits and timeouts of callers' requests. */
export interface CallerLimits {
    maxHeaderBytes: number;
    maxBodyBytes: number;
    headerTimeoutMs: number;
    idleTimeoutMs: number;
}

/** One version of the whole configuration. */
export interface ServingConfiguration {
    version: number;
    routes: readonly Route[];
    services: readonly Service[];
    organisations: readonly Organisation[];
    limits: CallerLimits;
}
