/* Which process of the target an order reaches. A target that crashes may be
 * back at its address before it announces itself, even under the same name. As
 * long as a connection is open that was established before the latest order
 * was sent, the process that got that order still runs, and is the one that
 * listens. Without such a connection it may be another, which gets keys with
 * fences above all that were sent before. */
#include "node/keyowner_internal.h"

#define LOG_MODULE "grant"
#include "base/log.h"
#include "node/localtarget.h"

bool
keyownerprocess_is_same(const struct keyowner *keyowner)
{
    const struct http_client *client =
        localtarget_client(keyowner->node->target);
    return keyowner->order_sent_us == 0 ||
           (client != NULL &&
            http_client_has_open_since(client, keyowner->order_sent_us));
}

bool
keyownerprocess_needs_fence(const struct keyowner *keyowner)
{
    return keyowner->former_fence_max > 0 &&
           keyowner->process_fence_min <= keyowner->former_fence_max;
}

void
keyownerprocess_choose_fence(struct keyowner *keyowner)
{
    const uint64_t version = keyowner->lease.version;
    if (!keyownerprocess_needs_fence(keyowner)) {
        return;
    }
    if (keyowner_has_lease(keyowner) && version > keyowner->former_fence_max) {
        keyowner->process_fence_min = version;
    }
    else {
        keyowner->lease.renew_us = 0;
    }
}

/** Another process may listen: all grants are sent anew, with a higher fence.
 */
static void
process_unknown(struct keyowner *keyowner)
{
    struct key_grant *grant;
    LOG_INFO("process_unknown",
             LOG_STR("target", localtarget_name(keyowner->node->target)),
             LOG_UINT("fence", keyowner->sent_fence_max));
    keyowner->process_unknown->value++;
    keyowner->order_sent_us = 0;
    keyowner->former_fence_max = keyowner->sent_fence_max;
    keyownerprocess_choose_fence(keyowner);
    TAILQ_FOREACH (grant, &keyowner->grants, link) {
        grant->renew_at_us = 0;
    }
}

bool
keyownerprocess_may_grant(struct key_grant *grant)
{
    struct keyowner *keyowner = grant->keyowner;
    if (!keyownerprocess_is_same(keyowner)) {
        process_unknown(keyowner);
    }
    if (keyownerprocess_needs_fence(keyowner) ||
        grant->sent_fence < keyowner->process_fence_min) {
        return false;
    }
    grant->former_order_us = keyowner->order_sent_us;
    keyowner->order_sent_us = node_now_us(keyowner->node);
    if (grant->sent_fence > keyowner->sent_fence_max) {
        keyowner->sent_fence_max = grant->sent_fence;
    }
    return true;
}

void
keyownerprocess_answered(const struct key_grant *grant)
{
    struct keyowner *keyowner = grant->keyowner;
    const struct http_client *client =
        localtarget_client(keyowner->node->target);
    int64_t since_us = grant->former_order_us;
    if (since_us == 0 || grant->sent_fence <= keyowner->former_fence_max) {
        return;
    }
    /* That order's connection was closed for one that has been checked. */
    if (keyowner->same_process_us > since_us) {
        since_us = keyowner->same_process_us;
    }
    if (client != NULL && http_client_has_open_since(client, since_us)) {
        keyowner->same_process_us = node_now_us(keyowner->node);
    }
    else {
        process_unknown(keyowner);
    }
}

void
keyownerprocess_ended(struct keyowner *keyowner)
{
    keyowner->order_sent_us = 0;
    keyowner->former_fence_max = keyowner->sent_fence_max;
}
