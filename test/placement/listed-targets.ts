import type { ListedTarget } from "@trefoilladder/replication";

/** Returns warm targets that are divided evenly among failure domains; the ids begin with `idPrefix`. */
export function listTargets(
    { service, idPrefix, targets, slots, domains }: {
        service: string;
        idPrefix: string;
        targets: number;
        slots: number;
        domains: number;
    },
): ListedTarget[] {
    return Array.from({ length: targets }, (_, index) => ({
        id: `${idPrefix}${index}`,
        service,
        address: "127.0.0.1",
        port: index + 1,
        domain: String(index % domains),
        slots,
        draining: false,
        coldMs: 0,
        coldUntil: 0,
        startedAt: 0,
        sequence: 1,
    }));
}
