import type { Configuration } from "./configuration";
import type { Key, Plan } from "./edit";
import { parseKey, verifySecret } from "./key";

/** Valid key with its organisation and plan. */
export interface Authorisation {
    key: Key;
    organisation: string;
    plan: Plan;
}

/** Returns the authorisation for the key text sent by a caller; undefined when it is malformed, unknown or revoked. */
export function findAuthorisation(configuration: Configuration, text: string): Authorisation | undefined {
    const parsed = parseKey(text);
    const key = parsed === undefined ? undefined : configuration.keys.get(parsed.id)?.value;
    if (parsed === undefined || key === undefined || !verifySecret(key, parsed.secret)) {
        return undefined;
    }
    const organisation = configuration.organisations.get(key.organisation)?.value;
    const plan = organisation === undefined ? undefined : configuration.plans.get(organisation.plan)?.value;
    return plan === undefined ? undefined : { key, organisation: key.organisation, plan };
}

/** Returns whether a key that was valid has not been revoked since; needs no secret. */
export function isKeyInForce(configuration: Configuration, keyId: string): boolean {
    return configuration.keys.has(keyId);
}
