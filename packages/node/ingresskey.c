/* Checks the API keys of callers. Keys are never logged. */
#include "node/ingress_internal.h"

#define STALE_RETRY_US (300 * US_PER_MS) /* for a read of the store */

void
ingresskey_init(struct ingress_key_counters *counters,
                struct counter_registry *registry)
{
    counters->missing =
        counter_add(registry, "ingress_key_missing",
                    "requests refused without exactly one API key");
    counters->unknown = counter_add(registry, "ingress_key_unknown",
                                    "requests refused with an API key that "
                                    "the configuration doesn't have");
    counters->stale = counter_add(registry, "ingress_key_stale",
                                  "requests refused since a revocation of "
                                  "their API key may not be known yet");
}

/** True if keys that were revoked longer ago than the bound are known. Called
 * once, when the request has arrived: the bound counts from its sending. */
static bool
knows_revocations(const struct node *node)
{
    const int64_t bound_us = node->settings.revoke_us;
    return bound_us == 0 ||
           node_now_us(node) <=
               freshness_until_us(&node->config_freshness, bound_us);
}

bool
ingresskey_authorize(struct ingress *ingress, struct http_request *request,
                     const struct wire_request *read,
                     const struct declared_route *route,
                     const struct declared_workspace **workspace)
{
    const struct declared *declared = ingress->node->declared;
    *workspace = NULL;
    if (!declared_requires_workspace(declared) || route->is_public) {
        return true;
    }
    if (read->api_key == NULL) {
        ingress->keys.missing->value++;
        ingressanswer_reject(ingress, request, WIRE_UNAUTHORIZED, 0,
                             "no valid API key");
        return false;
    }
    if (!knows_revocations(ingress->node)) {
        ingress->keys.stale->value++;
        ingressanswer_reject(ingress, request, WIRE_REFUSED, STALE_RETRY_US,
                             "revoked API keys may not be known");
        return false;
    }
    *workspace = declared_workspace_by_key(declared, read->api_key);
    if (*workspace == NULL) {
        ingress->keys.unknown->value++;
        ingressanswer_reject(ingress, request, WIRE_UNAUTHORIZED, 0,
                             "unknown API key");
        return false;
    }
    return true;
}
