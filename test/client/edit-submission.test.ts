import { createEdit, findChanges, readConfiguration, submitEdit } from "@trefoilladder/client";
import type { Lists } from "@trefoilladder/client";
import { createVirtualClock } from "@trefoilladder/clock";
import { createPlan } from "../configuration/edits";
import { createMemoryLog } from "../configuration/memory-log";
import type { MemoryLog } from "../configuration/memory-log";

const lists: Lists = { plans: [createPlan("standard")], organisations: [{ name: "laurel", plan: "standard" }] };

/** Starts one run of `apply` as the client does. */
async function startApply(
    log: MemoryLog,
    wanted: Lists,
    options: { clock?: ReturnType<typeof createVirtualClock>; } = {},
) {
    const configuration = (await readConfiguration(log))._unsafeUnwrap();
    const edit = createEdit(configuration, findChanges(configuration, wanted), "test");
    return { edit, submitted: submitEdit({ log, clock: options.clock ?? createVirtualClock() }, configuration, edit) };
}

describe("submission of an edit", () => {
    it("accepts an edit once when its append response is lost", async () => {
        const log = createMemoryLog();
        log.lostResponseCount = 1;
        const { edit, submitted } = await startApply(log, lists);
        expect((await submitted)._unsafeUnwrap()).toEqual({ id: edit.id, offset: 0 });
        expect(log.streams.get("configuration")).toHaveLength(1);
    });

    it("reports an unknown outcome when the log becomes unavailable during the append", async () => {
        const log = createMemoryLog();
        const clock = createVirtualClock();
        const append = log.append;
        log.lostResponseCount = 1;
        log.append = async (stream, value) => {
            const lost = await append(stream, value);
            log.unavailable = true;
            return lost;
        };
        const { submitted } = await startApply(log, lists, { clock });
        await clock.advance(15_000);
        expect((await submitted)._unsafeUnwrapErr().code).toBe("outcomeUnknown");
        log.unavailable = false;
        expect(findChanges((await readConfiguration(log))._unsafeUnwrap(), lists)).toEqual([]);
    });

    it("creates the same edit for two runs of a command on the same state", async () => {
        const log = createMemoryLog();
        const runs = await Promise.all([startApply(log, lists), startApply(log, lists)]);
        expect(runs[0].edit.id).toBe(runs[1].edit.id);
        const outcomes = await Promise.all(runs.map(({ submitted }) => submitted));
        expect(outcomes.map(outcome => outcome.isOk())).toEqual([true, true]);
        expect((await readConfiguration(log))._unsafeUnwrap().plans.get("standard")?.revision).toBe(1);
    });

    it("rejects an edit that would overwrite a concurrent edit", async () => {
        const log = createMemoryLog();
        await (await startApply(log, lists)).submitted;
        const configuration = (await readConfiguration(log))._unsafeUnwrap();
        const slower = createEdit(
            configuration,
            findChanges(configuration, { ...lists, plans: [createPlan("standard", { burst: 30 })] }),
            "slower",
        );
        await (await startApply(log, { ...lists, plans: [createPlan("standard", { burst: 40 })] })).submitted;
        const outcome = await submitEdit({ log, clock: createVirtualClock() }, configuration, slower);
        expect(outcome._unsafeUnwrapErr().code).toBe("conflict");
        expect((await readConfiguration(log))._unsafeUnwrap().plans.get("standard")?.value.burst).toBe(40);
    });

    it("deletes missing entities only when the operator asks for it", async () => {
        const log = createMemoryLog();
        await (await startApply(log, lists)).submitted;
        const configuration = (await readConfiguration(log))._unsafeUnwrap();
        expect(findChanges(configuration, { plans: [], organisations: [] })).toEqual([]);
        expect(findChanges(configuration, { plans: [], organisations: [] }, { deleteMissing: true })).toEqual([
            { kind: "delete-organisation", revision: 1, name: "laurel" },
            { kind: "delete-plan", revision: 1, name: "standard" },
        ]);
    });
});
