/* Quarantine of requests that were reported after several crashes. */
#include "node/ingress_internal.h"

#define QUARANTINE_REPORTS_MIN 3 /* crashes during which it ran */

static bool
is_cleared(const struct ingress *ingress, uint64_t fingerprint)
{
    for (size_t i = 0; i < INGRESS_CLEARED_MAX; i++) {
        if (ingress->cleared[i] == fingerprint) {
            return true;
        }
    }
    return false;
}

void
ingresscrash_clear(struct ingress *ingress, uint64_t fingerprint)
{
    if (instancetable_crash_reporters(&ingress->node->instancetable,
                                      fingerprint) == 0 ||
        is_cleared(ingress, fingerprint)) {
        return;
    }
    ingress->cleared[ingress->cleared_next] = fingerprint;
    ingress->cleared_next = (ingress->cleared_next + 1) % INGRESS_CLEARED_MAX;
}

bool
ingresscrash_is_quarantined(const struct ingress *ingress,
                            uint64_t fingerprint)
{
    return instancetable_crash_reporters(&ingress->node->instancetable,
                                         fingerprint) >=
               QUARANTINE_REPORTS_MIN &&
           !is_cleared(ingress, fingerprint);
}
