import { create } from "@bufbuild/protobuf";
import type { Clock } from "@trefoilladder/clock";
import { membershipFailure, shardOf } from "@trefoilladder/membership";
import type { Membership, ShardOwnership } from "@trefoilladder/membership";
import { MemberState, ReportEvidenceRequestSchema, ReportEvidenceResponseSchema } from "@trefoilladder/protocol";
import type { ReportEvidenceRequest, ReportEvidenceResponse } from "@trefoilladder/protocol";
import { createEjectionCoordinator, createRandomSource } from "@trefoilladder/routing";
import type { EjectionCoordinator, Router, RoutingPolicy } from "@trefoilladder/routing";
import type { Telemetry } from "@trefoilladder/telemetry";
import { randomInt } from "node:crypto";

/** Dependencies of the evidence exchange. */
export interface EvidenceExchangeParts {
    clock: Clock;
    telemetry: Telemetry;
    membership: Membership;
    ownership: ShardOwnership;
    router: Router;
    domain: string;
    policy: Partial<RoutingPolicy>;
}

/** Reports evidence on targets to the coordinator of each service, and coordinates the services owned here. */
export interface EvidenceExchange {
    /** Handles an evidence report from another instance. */
    handleReport(request: ReportEvidenceRequest): ReportEvidenceResponse;
    /** Sends reports until the signal aborts. */
    run(signal: AbortSignal): Promise<void>;
}

const reportIntervalMs = 500;
const reportTimeoutMs = 400;

function shardOfService(service: string): number {
    return shardOf(`service:${service}`);
}

/** Creates the evidence exchange of an instance. */
export function createEvidenceExchange(parts: EvidenceExchangeParts): EvidenceExchange {
    const { clock, telemetry, membership, ownership, router } = parts;
    const coordinators = new Map<string, EjectionCoordinator>();

    function coordinatorOf(service: string): EjectionCoordinator {
        let coordinator = coordinators.get(service);
        if (coordinator === undefined) {
            coordinator = createEjectionCoordinator({
                service,
                clock,
                telemetry,
                random: createRandomSource(randomInt(2 ** 31)),
                targets: () => router.targets(service),
                policy: parts.policy,
            });
            coordinators.set(service, coordinator);
        }
        return coordinator;
    }

    function handleReport(request: ReportEvidenceRequest): ReportEvidenceResponse {
        if (!ownership.owns(shardOfService(request.service)) || membership.isFenced(request.incarnation)) {
            // A later term as coordinator starts from the decisions in force, not from the state of this term.
            coordinators.delete(request.service);
            return create(ReportEvidenceResponseSchema, { isCoordinator: false });
        }
        return coordinatorOf(request.service).handleReport(request);
    }

    async function sendReport(request: ReportEvidenceRequest): Promise<ReportEvidenceResponse | undefined> {
        const coordinator = ownership.presumedOwner(shardOfService(request.service));
        if (coordinator === undefined || coordinator === membership.self()) {
            return handleReport(request);
        }
        try {
            return await membership.peer(coordinator)?.reportEvidence(request, { timeoutMs: reportTimeoutMs });
        }
        catch (thrown) {
            telemetry.count("evidence.report_failures", { code: membershipFailure(thrown, coordinator).code });
            return undefined;
        }
    }

    async function reportEvidence(service: string): Promise<void> {
        const evidence = router.collectEvidence(service);
        const response = await sendReport(create(ReportEvidenceRequestSchema, {
            incarnation: membership.self(),
            domain: parts.domain,
            service,
            ...evidence,
        }));
        if (response?.isCoordinator === true) {
            router.applyDecisions(service, response);
        }
    }

    return {
        handleReport,
        async run(signal) {
            while (!signal.aborted) {
                await clock.sleep(reportIntervalMs * (0.9 + 0.2 * Math.random()), signal);
                router.setProbingMembers(
                    membership.members()
                        .filter(({ fenced, state }) => !fenced && state === MemberState.LIVE)
                        .map(({ instanceId, domain }) => ({ id: instanceId, domain })),
                );
                await Promise.all(router.services().map(reportEvidence));
            }
        },
    };
}
