import { createReturnTimes } from "@trefoilladder/placement";
import { createRandomSource } from "../../packages/routing/src/random-source";

function createTimes() {
    const source = createRandomSource(5);
    return createReturnTimes(() => source.next());
}

describe("the Retry-After of refused requests", () => {
    // Guards against a second surge: all requests that were refused in one second return together.
    test("spreads the returns of a surge", () => {
        const times = createTimes();
        const returnsAt: number[] = [];
        for (let now = 0; now < 1_000; now += 20) {
            times.admitted(now);
            returnsAt.push(
                now + 1_000 * times.retryAfterSeconds({ backlogMs: 300, remainingMs: 9_000, objectiveSlackMs: 0 }, now),
            );
        }
        const counts = new Map<number, number>();
        returnsAt.forEach(at => counts.set(Math.floor(at / 500), (counts.get(Math.floor(at / 500)) ?? 0) + 1));
        expect(Math.max(...counts.values())).toBeLessThan(returnsAt.length / 3);
    });

    // Guards against callers that give up since they wait at most a third of their time.
    test("is at most a third of the remaining time while the backlog is done by then", () => {
        const times = createTimes();
        for (let count = 0; count < 200; count++) {
            const seconds = times.retryAfterSeconds({ backlogMs: 500, remainingMs: 3_000, objectiveSlackMs: 0 }, 0);
            expect(seconds).toBeGreaterThanOrEqual(0.1);
            expect(seconds).toBeLessThanOrEqual(1);
        }
    });

    test("is not before the backlog is done when that takes longer", () => {
        expect(createTimes().retryAfterSeconds({ backlogMs: 1_500, remainingMs: 3_000, objectiveSlackMs: 0 }, 0))
            .toBeGreaterThanOrEqual(1.5);
    });

    test("lets requests that can still be in time return within their slack", () => {
        const times = createTimes();
        for (let count = 0; count < 50; count++) {
            times.retryAfterSeconds({ backlogMs: 0, remainingMs: 9_000, objectiveSlackMs: 0 }, 0);
        }
        expect(times.retryAfterSeconds({ backlogMs: 50, remainingMs: 9_000, objectiveSlackMs: 400 }, 0))
            .toBeLessThanOrEqual(0.4);
    });
});
