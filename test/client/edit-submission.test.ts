import { createEdit, findChanges, readConfiguration, submitEdit } from "@trefoilladder/client";
import type { Lists } from "@trefoilladder/client";
import { createVirtualClock } from "@trefoilladder/clock";
import { planOf } from "../configuration/edits";
import { createMemoryLog } from "../configuration/memory-log";
import type { MemoryLog } from "../configuration/memory-log";

const lists: Lists = { plans: [planOf("standard")], organisations: [{ name: "laurel", plan: "standard" }] };

/** Applies lists as one run of the client does. */
async function apply(log: MemoryLog, wanted: Lists, options: { clock?: ReturnType<typeof createVirtualClock>; } = {}) {
    const configuration = (await readConfiguration(log))._unsafeUnwrap();
    const edit = createEdit(configuration, findChanges(configuration, wanted), "test");
    return { edit, submitted: submitEdit({ log, clock: options.clock ?? createVirtualClock() }, configuration, edit) };
}

describe("submission of an edit", () => {
    it("guards against a lost append response that is reported as a failure or appended as another edit", async () => {
        const log = createMemoryLog();
        log.loseResponses = 1;
        const { edit, submitted } = await apply(log, lists);
        expect((await submitted)._unsafeUnwrap()).toEqual({ id: edit.id, offset: 0 });
        expect(log.streams.get("configuration")).toHaveLength(1);
    });

    it("guards against a guess when the log goes away during the append", async () => {
        const log = createMemoryLog();
        const clock = createVirtualClock();
        const append = log.append;
        log.loseResponses = 1;
        log.append = async (stream, value) => {
            const lost = await append(stream, value);
            log.away = true;
            return lost;
        };
        const { submitted } = await apply(log, lists, { clock });
        await clock.advance(15_000);
        expect((await submitted)._unsafeUnwrapErr().code).toBe("outcomeUnknown");
        log.away = false;
        expect(findChanges((await readConfiguration(log))._unsafeUnwrap(), lists)).toEqual([]);
    });

    it("guards against two runs of a command on the same state that make two edits", async () => {
        const log = createMemoryLog();
        const runs = await Promise.all([apply(log, lists), apply(log, lists)]);
        expect(runs[0].edit.id).toBe(runs[1].edit.id);
        const outcomes = await Promise.all(runs.map(({ submitted }) => submitted));
        expect(outcomes.map(outcome => outcome.isOk())).toEqual([true, true]);
        expect((await readConfiguration(log))._unsafeUnwrap().plans.get("standard")?.revision).toBe(1);
    });

    it("guards against a racing edit that is overwritten", async () => {
        const log = createMemoryLog();
        await (await apply(log, lists)).submitted;
        const configuration = (await readConfiguration(log))._unsafeUnwrap();
        const slower = createEdit(
            configuration,
            findChanges(configuration, { ...lists, plans: [planOf("standard", { burst: 30 })] }),
            "slower",
        );
        await (await apply(log, { ...lists, plans: [planOf("standard", { burst: 40 })] })).submitted;
        const outcome = await submitEdit({ log, clock: createVirtualClock() }, configuration, slower);
        expect(outcome._unsafeUnwrapErr().code).toBe("conflict");
        expect((await readConfiguration(log))._unsafeUnwrap().plans.get("standard")?.value.burst).toBe(40);
    });

    it("guards against a deletion that the operator did not ask for", async () => {
        const log = createMemoryLog();
        await (await apply(log, lists)).submitted;
        const configuration = (await readConfiguration(log))._unsafeUnwrap();
        expect(findChanges(configuration, { plans: [], organisations: [] })).toEqual([]);
        expect(findChanges(configuration, { plans: [], organisations: [] }, { deleteMissing: true })).toEqual([
            { kind: "delete-organisation", revision: 1, name: "laurel" },
            { kind: "delete-plan", revision: 1, name: "standard" },
        ]);
    });
});
