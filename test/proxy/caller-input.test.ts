import { waitUntil } from "../wait-until";
import { rawResponse, sendRaw, startProxy, startRawTarget } from "./fixtures";
import type { ProxyFixture } from "./fixtures";

describe("caller input", () => {
    let target: Awaited<ReturnType<typeof startRawTarget>>;
    let fixture: ProxyFixture;
    beforeAll(async () => {
        target = await startRawTarget(socket => socket.write(rawResponse("ok")));
        fixture = await startProxy([target.origin], {
            headersTimeoutMs: 300,
            requestBodyStallMs: 200,
            maxRequestBytes: 100_000,
        });
    });
    afterAll(async () => {
        await fixture.close();
        target.close();
    });
    beforeEach(() => target.received.splice(0));

    const auth = () => `authorization: Bearer ${fixture.key}\r\n`;
    const rejectedRequests: [string, number, string, () => string][] = [
        ["a missing key", 401, "key_missing", () => "GET /nominees/1 HTTP/1.1\r\nhost: a\r\n\r\n"],
        [
            "an unknown key",
            401,
            "key_invalid",
            () => `GET /nominees/1 HTTP/1.1\r\nhost: a\r\nauthorization: Bearer tl_00000000_${"a".repeat(43)}\r\n\r\n`,
        ],
        [
            "two authorization headers, of which the target might use the other one",
            400,
            "header_repeated",
            () => `GET /nominees/1 HTTP/1.1\r\nhost: a\r\n${auth()}${auth()}\r\n`,
        ],
        ["an unknown route", 404, "route_unknown", () => `GET /other HTTP/1.1\r\nhost: a\r\n${auth()}\r\n`],
        ["a method the route lacks", 404, "route_unknown", () => `PUT /orders HTTP/1.1\r\nhost: a\r\n${auth()}\r\n`],
        ...[
            "/nominees/../orders",
            "/nominees/%2e%2e/orders",
            "/nominees%2f1",
            "/nominees//1",
            "/nominees/..;/x",
            "/a\\b",
        ]
            .map((path): [string, number, string, () => string] => [
                `the ambiguous path ${path}`,
                400,
                "path_invalid",
                () => `GET ${path} HTTP/1.1\r\nhost: a\r\n${auth()}\r\n`,
            ]),
        [
            "an absolute request target",
            400,
            "path_invalid",
            () => `GET http://b/nominees/1 HTTP/1.1\r\nhost: a\r\n${auth()}\r\n`,
        ],
        ["a missing host", 400, "request_malformed", () => `GET /nominees/1 HTTP/1.1\r\n${auth()}\r\n`],
        [
            "a deadline in the past",
            408,
            "deadline_passed",
            () => `GET /nominees/1 HTTP/1.1\r\nhost: a\r\n${auth()}request-deadline-ms: -5\r\n\r\n`,
        ],
        [
            "a deadline that is not a number",
            400,
            "deadline_invalid",
            () => `GET /nominees/1 HTTP/1.1\r\nhost: a\r\n${auth()}request-deadline-ms: 1e3\r\n\r\n`,
        ],
        [
            "content-length together with transfer-encoding",
            400,
            "request_malformed",
            () =>
                `POST /orders HTTP/1.1\r\nhost: a\r\n${auth()}content-length: 3\r\n`
                + "transfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        ],
        [
            "a malformed chunk size",
            400,
            "request_malformed",
            () => `POST /orders HTTP/1.1\r\nhost: a\r\n${auth()}transfer-encoding: chunked\r\n\r\nzz\r\nabc\r\n`,
        ],
        [
            "a content-length over the limit",
            413,
            "body_too_large",
            () => `POST /orders HTTP/1.1\r\nhost: a\r\n${auth()}content-length: 100001\r\n\r\n`,
        ],
        [
            "a body that stops arriving",
            408,
            "request_too_slow",
            () => `POST /orders HTTP/1.1\r\nhost: a\r\n${auth()}content-length: 5\r\n\r\nab`,
        ],
        ["headers that stop arriving", 408, "request_too_slow", () => "GET /nominees/1 HTTP/1.1\r\nhost: a\r\n"],
        [
            "headers over the limit",
            431,
            "headers_too_large",
            () => `GET /nominees/1 HTTP/1.1\r\nhost: a\r\n${auth()}x: ${"y".repeat(20_000)}\r\n\r\n`,
        ],
        [
            "an unknown expectation",
            417,
            "expectation_unknown",
            () => `GET /nominees/1 HTTP/1.1\r\nhost: a\r\n${auth()}expect: tea\r\n\r\n`,
        ],
        ["bytes that are not HTTP", 400, "request_malformed", () => "hello\r\n\r\n"],
    ];

    // Guards against input that the proxy and a target parse differently, and against rejected requests that still run.
    it.each(rejectedRequests)("rejects %s as not run and sends nothing to a target", async (_, status, code, text) => {
        const response = await sendRaw(fixture.port, text(), 1_500);
        expect(response).toMatch(new RegExp(`^HTTP/1\\.1 ${status} `));
        expect(response).toContain("request-outcome: not-run");
        expect(response).toMatch(/request-id: \S+/);
        expect(response).toContain(`"code":"${code}"`);
        expect(target.received).toEqual([]);
    });

    it("does not forward the API key, hop-by-hop headers and control headers to the target", async () => {
        const response = await sendRaw(
            fixture.port,
            `GET /nominees/1?x=1 HTTP/1.1\r\nhost: a\r\n${auth()}connection: close, x-hop\r\nx-hop: 1\r\nx-kept: 1\r\n`
                + "proxy-authorization: p\r\nrequest-outcome: ran\r\nrequest-id: r-1\r\nrequest-deadline-ms: 900\r\n\r\n",
        );
        expect(response).toContain("request-outcome: ran");
        expect(response).toContain("request-id: r-1");
        const forwarded = target.received.join("");
        expect(forwarded).toContain("GET /nominees/1?x=1 HTTP/1.1");
        expect(forwarded).toContain("x-kept: 1");
        expect(forwarded).not.toMatch(/tl_|authorization|x-hop|request-outcome/);
        const remainingMs = Number(/request-deadline-ms: (\d+)/.exec(forwarded)![1]);
        expect(remainingMs).toBeGreaterThan(500);
        expect(remainingMs).toBeLessThanOrEqual(900);
    });

    it("aborts a streamed body over the limit and reports its outcome as unknown", async () => {
        const closedBefore = target.closed();
        const chunk = "a".repeat(50_000);
        const part = `${chunk.length.toString(16)}\r\n${chunk}\r\n`;
        const response = await sendRaw(
            fixture.port,
            `POST /orders HTTP/1.1\r\nhost: a\r\n${auth()}transfer-encoding: chunked\r\n\r\n${part}${part}${part}0\r\n\r\n`,
        );
        expect(response).toMatch(/^HTTP\/1\.1 413 /);
        expect(response).toContain("request-outcome: unknown");
        await waitUntil(() => target.closed() > closedBefore);
        expect(fixture.slots.held).toBe(0);
    });

    it("serves public routes without a key", async () => {
        expect((await fetch(`${fixture.url}/charts/1`)).status).toBe(200);
    });
});
