import type { ConnectRouter } from "@connectrpc/connect";
import type { ConfigurationFollower } from "@trefoilladder/configuration";
import type { MembershipService, ShardOwnershipService } from "@trefoilladder/membership";
import { FleetService } from "@trefoilladder/protocol";
import type { AcquireRpc } from "./acquire-rpc";
import type { EvidenceExchange } from "./evidence-exchange";

/** Parts that handle the calls from other entry instances. */
export interface FleetServiceParts {
    membership: MembershipService;
    ownership: ShardOwnershipService;
    acquireRpc: AcquireRpc;
    evidence: EvidenceExchange;
    follower: ConfigurationFollower;
    /** Renders the status document. */
    renderStatus(): string;
}

/** Returns the routes of the inner protocol. */
export function fleetRoutes(parts: FleetServiceParts): (router: ConnectRouter) => void {
    const { membership, ownership, acquireRpc, evidence, follower } = parts;
    return router => {
        router.service(FleetService, {
            pullRows: request => membership.handlePullRows(request),
            acquire: request => acquireRpc.handleAcquire(request),
            handover: (request, context) => ownership.handleHandover(request, context),
            reportEvidence: request => evidence.handleReport(request),
            fetchConfiguration(request) {
                const page = follower.recordsFrom(Number(request.fromOffset), request.limit);
                return {
                    records: page.records.map(({ offset, value }) => ({
                        offset: BigInt(offset),
                        valueJson: JSON.stringify(value),
                    })),
                    appliedOffset: BigInt(page.appliedOffset),
                    firstOffset: BigInt(page.firstOffset),
                };
            },
            async fetchSnapshot() {
                const { appliedOffset, text } = await follower.snapshot();
                return { appliedOffset: BigInt(appliedOffset), snapshotJson: text };
            },
            status: () => ({ statusJson: parts.renderStatus() }),
        });
    };
}
