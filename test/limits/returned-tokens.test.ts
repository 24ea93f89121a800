/**
 * Load pattern: one organisation sends several times its rate, and its owner grants each token once. Some requests do not run,
 * because their targets are unreachable. Guards against tokens that are lost to the organisation in this way.
 */

import { createLimitGroup, createSharedLimit } from "@trefoilladder/limits";

const ratePerSecond = 100;
const burst = 100;

function instanceAt(now: () => number) {
    const group = createLimitGroup({ now, minChange: 1 });
    group.add(
        "laurel",
        createSharedLimit({ ratePerSecond, burst, now: now(), contactShare: 1, creditsFirstRefund: true }),
    );
    return { group, limit: group.get("laurel")! };
}

test("the owner can grant a token again that another instance returns before it has admitted anything itself", () => {
    const now = () => 0;
    const owner = instanceAt(now);
    const other = instanceAt(now);
    expect(owner.limit.take(now())).toBeGreaterThan(0);
    other.limit.refund(now());
    owner.group.applyPeerTotals("10.0.0.2:1/a", other.group.collectChangedTotals());
    expect(owner.limit.take(now())).toBe(0);
    // The total is sent twice, since datagrams may be lost; the token counts once.
    owner.group.applyPeerTotals("10.0.0.2:1/a", other.group.collectChangedTotals());
    expect(owner.limit.take(now())).toBeGreaterThan(0);
});
