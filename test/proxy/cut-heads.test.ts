import { rawResponse, startProxy, useRawTargets } from "./fixtures";

describe("a target that closes in its answer", () => {
    const { open, target } = useRawTargets();

    // Guards against a success with an empty or short body that is framed as whole.
    it("is never handed on as a whole success, wherever it stops", async () => {
        const whole = rawResponse("whole answer");
        let length = 0;
        const back = await target(socket => void socket.end(whole.slice(0, length), "latin1"));
        const fixture = await startProxy([back.origin]);
        open.push(fixture);
        for (length = 1; length < whole.length; length++) {
            const response = await fetch(`${fixture.url}/orders`, {
                method: "POST",
                body: "x",
                headers: { authorization: `Bearer ${fixture.key}` },
            });
            const body = await response.text().catch(() => "broken off");
            const isWholeSuccess = response.status < 300 && body !== "broken off";
            expect({ length, isWholeSuccess }).toEqual({ length, isWholeSuccess: false });
        }
    }, 30_000);
});
