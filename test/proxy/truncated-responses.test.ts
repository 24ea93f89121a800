import { rawResponse, startProxy, useRawTargets } from "./fixtures";

describe("a target that closes the connection during its response", () => {
    const { open, target } = useRawTargets();

    // Guards against a success response whose empty or truncated body is framed as complete.
    it("never results in a complete success response, wherever it is truncated", async () => {
        const fullResponse = rawResponse("whole answer");
        let length = 0;
        const targetServer = await target(socket => void socket.end(fullResponse.slice(0, length), "latin1"));
        const fixture = await startProxy([targetServer.origin]);
        open.push(fixture);
        for (length = 1; length < fullResponse.length; length++) {
            const response = await fetch(`${fixture.url}/orders`, {
                method: "POST",
                body: "x",
                headers: { authorization: `Bearer ${fixture.key}` },
            });
            const body = await response.text().catch(() => "truncated");
            const isCompleteSuccess = response.status < 300 && body !== "truncated";
            expect({ length, isCompleteSuccess }).toEqual({ length, isCompleteSuccess: false });
        }
    }, 30_000);
});
