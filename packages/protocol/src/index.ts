export * from "./generated/trefoilladder/v1/fleet_pb";
