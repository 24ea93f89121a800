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
        expect(decodeTokenMessage(encodeTokenRequest(request))).toEqual({ kind: "request", request });
        const decisions: TokenDecision[] = [
            { kind: "granted" },
            { kind: "unknown" },
            { kind: "starting", remainingMs: 300 },
            { kind: "rejected", retryAfterMs: 1_200, nextTokenMs: 15 },
        ];
        for (const decision of decisions) {
            const response = { ...request, decision };
            expect(decodeTokenMessage(encodeTokenResponse(response))).toEqual({ kind: "response", response });
        }
    });

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
