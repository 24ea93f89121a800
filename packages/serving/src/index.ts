export { createConfigurationIndex } from "./configuration-index";
export type { ConfigurationIndex } from "./configuration-index";
export type {
    CallerLimits,
    Organisation,
    Route,
    Service,
    ServingConfiguration,
    WeightedService,
} from "./serving-configuration";
export type { TargetRecord } from "./target-record";
