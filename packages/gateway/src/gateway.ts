/**
 * Composition root of a gateway process.
 */

import { createMonotonicClock } from "@trefoilladder/clock";
import { createColdShares, createLimitGroup } from "@trefoilladder/limits";
import { createMesh, splitAddress } from "@trefoilladder/mesh";
import type { Digest, Peer } from "@trefoilladder/mesh";
import { maxUnrankedTargets } from "@trefoilladder/placement";
import { createSettledStore, createTargetDirectory } from "@trefoilladder/replication";
import { createDecisionLog } from "@trefoilladder/telemetry";
import { createConnectionPool } from "@trefoilladder/upstream";
import type { Result } from "neverthrow";
import { randomBytes } from "node:crypto";
import { setMaxListeners } from "node:events";
import type { Server as Listener } from "node:net";
import { createBoundedServer } from "./bounded-server";
import { createCallerConnections } from "./caller-connections";
import { createCallerServer, firstCallerLimits } from "./caller-server";
import { createChunkPacer } from "./chunk-pacing";
import { createConfigurationState } from "./configuration-state";
import { copyTimeoutMs, createCopyListener } from "./copy-server";
import { defaultMaxDescriptors, divideDescriptors } from "./descriptor-shares";
import { createEvacuations } from "./evacuations";
import { createFieldPacer } from "./field-pacing";
import { createIdleLimits } from "./idle-limits";
import { createLimitDecisions } from "./limit-decisions";
import { createLimitSummary, limitSummaryIntervalMs } from "./limit-summary";
import { listen } from "./listen";
import { budgetBytes, createMemoryBudget, defaultMemoryMb, memoryUse } from "./memory-budget";
import { createMetrics } from "./metrics";
import type { PlatformPort } from "./platform-port";
import { createRateLimits } from "./rate-limits";
import { registerInstance } from "./registration";
import { createRequestFlow } from "./request-flow";
import { createRequestWorks } from "./request-works";
import { createRouteProfiles } from "./route-profile";
import { createServiceStates } from "./service-states";
import type { GatewaySettings, InvalidSettings } from "./settings";
import { compareSettings } from "./settings-file";
import { createStartupWait } from "./startup-wait";
import { createStateSummary, stateSummaryIntervalMs } from "./state-summary";
import { planStop, stopServing } from "./stop";
import type { StopTimes } from "./stop";
import { createStoreStreams } from "./store-streams";
import { createEligibility } from "./target-eligibility";
import { createTargetSets } from "./target-sets";
import { createTargetTracker } from "./target-tracker";
import { createWorkAdmissions } from "./work-admission";

/** A running gateway process. */
export interface Gateway {
    /** Puts newer settings in force as far as a running process can, and logs which ones are applied or need a restart. */
    reload(settings: Result<GatewaySettings, InvalidSettings>): void;
    /** Stops the gateway; further calls return the same promise. */
    stop(): Promise<void>;
}

const connectTimeoutMs = 300;
const connectionCheckIntervalMs = 2_000;
/** Interval in milliseconds of the check for callers that do not take their responses. */
const stalledCheckIntervalMs = 1_000;
/** Minimum change of a total of retries that is reported to other instances; each request adds a fraction of a retry. */
const minRetryTotalChange = 0.5;
/** Time in milliseconds in which the last lines of the log are written at the end of a stop; less than the margin before the kill. */
const maxFlushMs = 200;
/** Tokens by which another instance's total falls before a line is written; requests that have not run put single ones back. */
const minLoggedFall = 3;

/**
 * Starts a gateway process; the promise rejects when a listener cannot be opened. `callersListener` is a listener that is already
 * open at the address for callers.
 */
export async function startGateway(
    settings: GatewaySettings,
    platform: PlatformPort,
    callersListener?: Listener,
): Promise<Gateway> {
    const stopping = new AbortController();
    setMaxListeners(0, stopping.signal);
    const clock = createMonotonicClock();
    const now = () => clock.now();
    const random = Math.random;
    const incarnation = randomBytes(6).toString("hex");
    const log = createDecisionLog({ instance: settings.instance, level: settings.logLevel });
    let inForce = settings;
    let stopTimes: StopTimes | undefined;
    const store = createSettledStore(platform.store);
    const budget = createMemoryBudget(budgetBytes(settings.memoryMb ?? defaultMemoryMb));
    const descriptors = divideDescriptors(settings.maxDescriptors ?? defaultMaxDescriptors);
    const connections = createCallerConnections({
        budget,
        fieldPacer: createFieldPacer(now),
        maxConnections: descriptors.callers,
        now,
        log,
    });

    const pool = createConnectionPool({
        now,
        connectTimeoutMs,
        requestIdHeader: platform.headers.requestId,
        maxConnections: descriptors.targets,
        keepsConnections: id => directory.isActive(id),
    });
    const directory = createTargetDirectory({
        clock,
        log,
        expiryGraceUntil: () => streams.expiryGraceUntil(),
        isKnownService: service => configuration.current()?.serviceNames.has(service) ?? true,
        removed(id) {
            pool.closeIdleConnections(id);
            targetTracker.remove(id);
        },
        leaving: id => pool.closeIdleConnections(id),
    });
    const idleLimits = createIdleLimits({
        now,
        log,
        hasManyTargets: service => directory.serving(service).length > maxUnrankedTargets,
        runningSince: () => limitDecisions.runningSince(),
        peersRunningSince: () => mesh.peers().map(({ runningSince }) => runningSince),
    });
    const requestWorks = settings.expectedWork === true ? createRequestWorks() : undefined;
    const targetTracker = createTargetTracker({
        directory,
        domain: settings.domain,
        now,
        log,
        targetSets: createTargetSets({
            self: () => ({ id: mesh.self, domain: settings.domain }),
            peers: () => mesh.peers().map(({ address, domain }) => ({ id: address, domain })),
            hasIdleConnection: pool.hasIdle,
            now,
        }),
        idleLimits,
        learnsPaces: requestWorks !== undefined,
        onUrgentChange: () => mesh.requestDigest(),
    });
    const limitGroup = createLimitGroup({
        now,
        minChange: 1,
        totalFell(organisation, sender, tokens) {
            log.count("peer_totals_fell");
            if (tokens >= minLoggedFall) {
                log.stateChange("peer_total_fell", { organisation, sender, tokens });
            }
        },
    });
    const retryBuckets = createLimitGroup({ now, minChange: minRetryTotalChange });
    const rateLimits = createRateLimits(limitGroup, now, log);
    const limitDecisions = createLimitDecisions({ group: limitGroup, mesh: () => mesh, now, incarnation, log });
    const profiles = createRouteProfiles();
    const metrics = createMetrics(log, limitGroup, now, {
        configuration_version: () => configuration.version(),
        targets: () => directory.size,
        cold_targets: () => directory.coldCount(),
        evacuated_domains: () => evacuations.inForce().size,
        contact_share: () => mesh.contactShare(),
        expected_work_error: () => requestWorks?.meanError() ?? 0,
        connections_opened: () => pool.openedCount,
        requests_running: () => connections.pendingCount,
        store_era: () => streams.era.current,
        caller_connections: () => connections.openCount,
        target_connections: () => pool.openCount,
        memory_budget_bytes: () => budget.totalBytes,
        ...Object.fromEntries(
            Object.values(memoryUse).map(use => [`memory_${use}_bytes`, () => budget.usedBytes(use)]),
        ),
        store_answer_age_seconds: () => (now() - streams.lastResponseAt()) / 1_000,
    });
    const configuration = createConfigurationState({
        decode: platform.decodeConfiguration,
        log,
        changed({ configuration: { organisations, limits: callerLimits, routes } }) {
            rateLimits.configure(organisations);
            callers.configure(callerLimits);
            profiles.retain(routes);
            directory.handleServicesChange();
        },
    });
    const coldStartMsOf = (service: string) => configuration.current()?.services.get(service)?.coldStartMs ?? 0;
    const evacuations = createEvacuations({
        keyPrefix: platform.evacuationKeyPrefix,
        log,
        began: domain => directory.beginEvacuation(domain),
        ended: domain => directory.endEvacuation(domain, coldStartMsOf),
    });
    const streams = createStoreStreams({
        platform: { ...platform, store },
        settings,
        clock,
        log,
        random,
        configuration,
        evacuations,
        directory,
        mesh: () => mesh,
    });

    function receiveDigest(digest: Digest, peer: Peer): void {
        digest.targets.forEach(targetTracker.applyPeerDigest);
        limitGroup.applyPeerTotals(digest.sender, digest.admitted);
        retryBuckets.applyPeerTotals(digest.sender, digest.retries);
        streams.applyDigest(digest, peer);
    }

    const mesh = createMesh({
        address: settings.address,
        port: settings.meshPort,
        incarnation,
        domain: settings.domain,
        linkMbps: settings.linkMbps,
        clock,
        log,
        random,
        collectDigestContent: () => ({
            configurationVersion: configuration.version(),
            ...streams.progress(),
            targets: targetTracker.collectObservations(),
            admitted: limitGroup.collectChangedTotals(),
            retries: retryBuckets.collectChangedTotals(),
        }),
        receive: receiveDigest,
        receiveRecords: streams.applyPushed,
        runningSince: limitDecisions.runningSince,
        answerTokenRequest: limitDecisions.answer,
        receiveTokenResponse: limitDecisions.receive,
        updateContactShare(share) {
            for (const group of [limitGroup, retryBuckets]) {
                group.tick();
                group.setContactShare(share);
            }
            limitDecisions.updateContact(share);
        },
    });
    const canServe = () => configuration.current() !== undefined && directory.size > 0;
    const eligibilityOf = createEligibility({
        regions: settings.regions ?? {},
        coldShares: createColdShares({
            self: () => mesh.self,
            now,
            runningSince: limitDecisions.runningSince,
            candidates: limitDecisions.candidates,
            hasOthers: () => hasSeeds(),
            contactShare: () => mesh.contactShare(),
        }),
        service: name => configuration.current()?.services.get(name),
        now,
        log,
    });
    const flow = createRequestFlow({
        connections,
        budget,
        pacer: createChunkPacer(now),
        maxRunning: descriptors.running,
        pool,
        targetTracker,
        idleLimits,
        directory,
        eligibilityOf,
        headerNames: platform.headers,
        now,
        log,
        random,
        configuration: () => configuration.current(),
        startupWait: createStartupWait({ now, canServe, sleep: ms => clock.sleep(ms), count: log.count }),
        rateLimits,
        limitDecisions,
        profiles,
        requestWorks,
        workAdmissions: requestWorks === undefined ? undefined : createWorkAdmissions({ now, random }),
        serviceState: createServiceStates(settings.budget, retryBuckets, now),
        metrics,
        stopTimes: () => stopTimes,
    });
    const callers = createCallerServer({
        connections,
        now,
        handle: flow,
        ignored(incoming) {
            log.request(String(incoming.headers[platform.headers.requestId]), "ignored_behind_close", {});
        },
        headTooLong: () => log.request("", "head_too_long", {}),
    });
    const isReady = () => stopTimes === undefined && canServe();
    const otherListener = {
        maxConnections: descriptors.otherListener,
        dropped: () => log.request("", "other_listener_at_limit", {}),
    };
    const readiness = createBoundedServer((incoming, outgoing) => {
        outgoing.writeHead(incoming.url === platform.readinessPath && isReady() ? 200 : 503).end();
    }, otherListener);
    const peerServer = createBoundedServer(createCopyListener(streams.copies), {
        ...otherListener,
        readsBodies: true,
        requestTimeoutMs: copyTimeoutMs,
    });
    const metricsServer = createBoundedServer((incoming, outgoing) => {
        if (incoming.url !== settings.metrics.path) {
            outgoing.writeHead(404).end();
            return;
        }
        void metrics.render().then(text => outgoing.writeHead(200, { "content-type": "text/plain" }).end(text));
    }, otherListener);

    const seedHosts = () => inForce.seeds.map(seed => splitAddress(seed).host);
    const hasSeeds = () => seedHosts().some(host => host !== settings.address);
    const addSeeds = () => seedHosts().forEach(mesh.addPeer);

    function reload(read: Result<GatewaySettings, InvalidSettings>): void {
        if (read.isErr()) {
            log.fault("reload_refused", { message: read.error.message });
            return;
        }
        const { settings: next, applied, needRestart } = compareSettings(inForce, read.value);
        inForce = next;
        log.setLevel(inForce.logLevel);
        addSeeds();
        log.lifecycle("reloaded", { applied: applied.join(","), needRestart: needRestart.join(",") });
    }

    log.lifecycle("starting", { incarnation, domain: settings.domain });
    // First, and without a wait before it: connections that wait at an early listener must be accepted by this server. Until the
    // streams run, which is after the start of the mesh, requests are refused for lack of a configuration.
    await listen(callers.server, settings.callers, callersListener);
    await mesh.start();
    addSeeds();
    await listen(readiness, settings.readiness);
    await listen(peerServer, settings.peers);
    await listen(metricsServer, `${settings.address}:${settings.metrics.port}`);
    const connectionCheck = setInterval(() => pool.closeExpiredConnections(), connectionCheckIntervalMs);
    const stalledCheck = setInterval(() => {
        const { idleTimeoutMs } = configuration.current()?.configuration.limits ?? firstCallerLimits;
        connections.closeStalled(now(), idleTimeoutMs);
    }, stalledCheckIntervalMs);
    const summarizeState = createStateSummary({
        log,
        targetTracker,
        services: () => configuration.current()?.configuration.services.map(({ name }) => name) ?? [],
    });
    const summaryTimer = setInterval(summarizeState, stateSummaryIntervalMs);
    const limitSummaryTimer = setInterval(
        createLimitSummary({ log, limits: limitGroup, now }),
        limitSummaryIntervalMs,
    );
    const tasks = [
        streams.run(stopping.signal),
        registerInstance({
            store,
            clock,
            log,
            random,
            era: streams.era,
            instance: settings.instance,
            address: settings.address,
            hasSeeds: hasSeeds(),
            isDue: streams.isReader,
            addPeer: mesh.addPeer,
        }, stopping.signal),
    ];
    log.lifecycle("started", { callers: settings.callers });

    async function stop(): Promise<void> {
        log.lifecycle("stopping", { running: connections.pendingCount });
        const times = planStop(now(), inForce.stopSeconds * 1_000);
        stopTimes = times;
        await stopServing({ server: callers.server, connections, clock, log, times });
        stopping.abort();
        clearInterval(connectionCheck);
        clearInterval(stalledCheck);
        clearInterval(summaryTimer);
        clearInterval(limitSummaryTimer);
        await Promise.all(tasks);
        await mesh.stop();
        connections.breakOff();
        for (const server of [readiness, peerServer, metricsServer, callers.server]) {
            server.close();
            server.closeAllConnections();
        }
        pool.close();
        store.close();
        await Promise.race([log.flush(), clock.sleep(maxFlushMs)]);
    }

    let stopped: Promise<void> | undefined;
    return {
        reload,
        stop: () => stopped ??= stop(),
    };
}
