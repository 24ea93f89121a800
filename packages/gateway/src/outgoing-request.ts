import type { Organisation } from "@trefoilladder/serving";
import type { OutgoingRequest } from "@trefoilladder/upstream";
import type { CallerRequest } from "./caller-request";
import type { HeaderNames } from "./header-names";
import { streamBody } from "./request-body";
import type { RequestBody } from "./request-body";

/** A caller's request with what its copy for a target depends on. */
export interface ForwardedRequest {
    request: CallerRequest;
    organisation: Organisation | undefined;
    /** Monotonic time in milliseconds at which the target's time ends. */
    endAt: number;
    body: RequestBody;
    targetId: string;
    /** Largest size of the body in bytes. */
    maxBodyBytes: number;
    /** Called when a streamed body has ended, with whether it is complete. */
    bodyEnded(complete: boolean): void;
}

/** Creates the request that a target receives for a caller's request. */
export function createOutgoingRequest(
    { request, organisation, endAt, body, targetId, maxBodyBytes, bodyEnded }: ForwardedRequest,
    { headerNames, now }: { headerNames: HeaderNames; now(): number; },
): Omit<OutgoingRequest, "canBeSent"> {
    const length = body.buffered?.length ?? request.contentLength;
    const hasBody = length === undefined || length > 0 || request.method !== "GET" && request.method !== "HEAD";
    return {
        id: request.id,
        method: request.method,
        head() {
            const lines = [`${request.method} ${request.url} HTTP/1.1`];
            for (let index = 0; index < request.forwarded.length; index += 2) {
                lines.push(`${request.forwarded[index]}: ${request.forwarded[index + 1]}`);
            }
            lines.push(`${headerNames.requestId}: ${request.id}`);
            lines.push(`${headerNames.deadline}: ${Math.max(1, Math.round(endAt - now()))}`);
            lines.push(`${headerNames.expectedTarget}: ${targetId}`);
            if (organisation !== undefined) {
                lines.push(`${headerNames.organisation}: ${organisation.name}`);
            }
            if (hasBody) {
                lines.push(length === undefined ? "Transfer-Encoding: chunked" : `Content-Length: ${length}`);
            }
            return `${lines.join("\r\n")}\r\n\r\n`;
        },
        writeBody(writer) {
            if (body.source === undefined) {
                if (body.buffered !== undefined && body.buffered.length > 0) {
                    writer.write(body.buffered);
                }
                writer.end();
                return;
            }
            streamBody(body.source, {
                chunked: length === undefined,
                maxBytes: maxBodyBytes,
                writer,
                finished: bodyEnded,
            });
        },
    };
}
