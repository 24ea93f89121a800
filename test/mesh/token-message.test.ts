import type { TokenDecision } from "@trefoilladder/limits";
import {
    decodeTokenMessage,
    encodeTokenRequest,
    encodeTokenResponse,
    isTokenMessage,
} from "../../packages/mesh/src/token-message";

const request = { id: "a1-7", name: "laurel \"nominations\"" };

describe("messages about tokens", () => {
    test("decode to what was encoded", () => {
        for (const sent of [request, { ...request, maxDelayMs: 600 }]) {
            expect(decodeTokenMessage(encodeTokenRequest(sent))).toEqual({ kind: "request", request: sent });
        }
        const decisions: TokenDecision[] = [
            { kind: "granted" },
            { kind: "granted", delayMs: 120 },
            { kind: "unknown" },
            { kind: "starting", remainingMs: 300 },
            { kind: "rejected", retryAfterMs: 1_200, nextTokenMs: 15 },
        ];
        for (const decision of decisions) {
            const response = { ...request, decision };
            expect(decodeTokenMessage(encodeTokenResponse(response))).toEqual({ kind: "response", response });
        }
    });

    // Guards against a wait that a malformed datagram asks for.
    test.each(["[4,\"a\",\"x\",-1]", "[4,\"a\",\"x\",\"600\"]", "[4,\"a\",\"x\",null]"])(
        "ask for no wait when it is malformed: %s",
        text => {
            expect(decodeTokenMessage(Buffer.from(text))).toEqual({ kind: "request", request: { id: "a", name: "x" } });
        },
    );

    test("are told apart from digests", () => {
        expect(isTokenMessage(encodeTokenRequest(request))).toBe(true);
        expect(isTokenMessage(Buffer.from("[2,\"10.0.0.1:7660/a1\"]"))).toBe(false);
    });

    // Guards against a datagram from elsewhere that ends the process or is taken for a token.
    test.each([
        "[4",
        "[4]",
        "[4,1,\"x\"]",
        "[5,\"a\",\"x\"]",
        "[5,\"a\",\"x\",\"toString\"]",
        "[5,\"a\",\"x\",\"rejected\"]",
        "[5,\"a\",\"x\",\"rejected\",-1,null]",
        "[5,\"a\",\"x\",\"starting\"]",
        "[4,\"a\"]",
    ])("are rejected when malformed: %s", text => {
        expect(decodeTokenMessage(Buffer.from(text))).toBeUndefined();
    });
});
