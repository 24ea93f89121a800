/** State that a target last published about itself. */
export interface TargetRecord {
    id: string;
    service: string;
    address: string;
    port: number;
    domain: string;
    /** Number of requests that the target processes concurrently. */
    slots: number;
    draining: boolean;
    /** Remaining warm-up time in milliseconds, during which the target is slow after its start. */
    coldMs: number;
    /** Wall-clock start time of the target in milliseconds; orders its incarnations. */
    startedAt: number;
    /** Increases with each record of one incarnation. */
    sequence: number;
}
