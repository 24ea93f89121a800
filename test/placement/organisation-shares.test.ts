import { createOrganisationShares } from "@trefoilladder/placement";

// Guards against one organisation whose surge is refused from the requests of all others as well.
describe("the fair share of an organisation", () => {
    /** Records requests of ten organisations at 0.5 per second each; the first one sends `factor` times as many from 120 s on. */
    function sharesAfterSurge(factor: number) {
        const shares = createOrganisationShares(0);
        for (let now = 0; now < 126_000; now += 100) {
            const isSurge = now >= 120_000;
            const round = now / 100;
            for (let organisation = 0; organisation < 10; organisation++) {
                const interval = Math.max(1, Math.round(20 / (organisation === 0 && isSurge ? factor : 1)));
                if ((round + organisation) % interval === 0) {
                    shares.record(String(organisation), now);
                }
            }
        }
        return shares;
    }

    test("thins out an organisation that sends many times its usual load, and no other", () => {
        const shares = sharesAfterSurge(6.8);
        expect(shares.fairShare("0", 126_000)).toBeLessThan(0.7);
        for (let organisation = 1; organisation < 10; organisation++) {
            expect(shares.fairShare(String(organisation), 126_000)).toBe(1);
        }
    });

    test("is whole at the usual load", () => {
        expect(sharesAfterSurge(1).fairShare("0", 126_000)).toBe(1);
    });
});
