/**
 * @file
 * An instance's side of a workspace's quota: the tokens in hand, how many to
 * ask for, which of the two granters to ask, and the verdict on a request.
 * Tokens expire soon after they were asked for, so that an instance that was
 * paused or cut off spends none that count for an earlier time.
 */
#ifndef CHESTNUTGAP_FLEET_QUOTAHAND_H
#define CHESTNUTGAP_FLEET_QUOTAHAND_H

#include <stdbool.h>
#include <stdint.h>

#define QUOTAHAND_GRANTERS 2
#define QUOTAHAND_VALID_US INT64_C(250000) /* from the call for the token */
#define QUOTAHAND_WANTED_MAX 65536

enum quotahand_verdict {
    QUOTAHAND_SEND,        /**< a token was taken */
    QUOTAHAND_ASK,         /**< a granter is to be asked */
    QUOTAHAND_OVER,        /**< no granter has tokens */
    QUOTAHAND_UNAVAILABLE, /**< a granter could not be asked */
};

/** What is known of one granter. */
struct quotahand_granter {
    unsigned tokens; /**< in hand */
    int64_t valid_until_us;
    int64_t empty_until_us;  /**< it has no tokens until then */
    int64_t failed_until_us; /**< it isn't asked until then */
};

/** State of one workspace. */
struct quotahand {
    struct quotahand_granter granters[QUOTAHAND_GRANTERS];
    unsigned preferred;
    double demand_per_s; /**< at arrived_us */
    int64_t arrived_us;
    int64_t return_us; /**< of the latest refused caller */
};

void quotahand_init(struct quotahand *hand, unsigned preferred);

/** A request arrives; to be called once, before quotahand_take(). */
void quotahand_record_demand(struct quotahand *hand, int64_t now_us);

/** Takes a token for a request, or tells why there is none. granter is set if
 * the verdict is QUOTAHAND_ASK. */
enum quotahand_verdict quotahand_take(struct quotahand *hand, int64_t now_us,
                                      unsigned *granter);

/** How many tokens to ask for: one for each waiting request, and what is
 * expected to arrive soon. */
unsigned quotahand_wanted(const struct quotahand *hand, unsigned waiting,
                          int64_t now_us);

/** A granter replied. empty_us: how long it has no more; 0 if it gave all that
 * were wanted. */
void quotahand_record_reply(struct quotahand *hand, unsigned granter,
                            unsigned granted, int64_t empty_us,
                            int64_t asked_us);

/** A granter is not known, did not reply in time, or isn't one. */
void quotahand_record_failure(struct quotahand *hand, unsigned granter,
                              int64_t now_us);

/** Until a granter may have tokens, or may be asked again. */
int64_t quotahand_wait_us(const struct quotahand *hand, int64_t now_us);

/** After how long a caller that is refused now should return: each one gets a
 * later turn, at the workspace's rate. */
int64_t quotahand_assign_return_us(struct quotahand *hand, double rate_per_s,
                                   int64_t now_us);

/** True if nothing has arrived for so long that the state can be dropped. */
bool quotahand_is_idle(const struct quotahand *hand, int64_t now_us);

#endif
