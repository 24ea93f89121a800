/** A back-end instance of a service. */
export interface Target {
    id: string;
    service: string;
    /** Base URL, for example `http://127.0.0.1:9001`. */
    origin: string;
    domain: string;
}
