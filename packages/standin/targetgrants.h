/**
 * @file
 * A stand-in target's check of grants: a request of a former owner, or past
 * the expiry of its owner's grant, is refused.
 */
#ifndef CHESTNUTGAP_STANDIN_TARGETGRANTS_H
#define CHESTNUTGAP_STANDIN_TARGETGRANTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct target_grants;

/** Aborts when memory is short. */
struct target_grants *target_grants_create(void);
void target_grants_destroy(struct target_grants *grants);

/**
 * Checks a request's shard, epoch and expiry at now_us, and remembers the
 * epoch.
 *
 * @return true if it may run.
 */
bool target_grants_check(struct target_grants *grants, uint32_t shard,
                         uint64_t epoch, int64_t expires_us, int64_t now_us);

/** The owner of this epoch holds the shard. */
void target_grants_put(struct target_grants *grants, uint32_t shard,
                       uint64_t epoch);

/** No request up to this epoch may run any more. */
void target_grants_withdraw(struct target_grants *grants, uint32_t shard,
                            uint64_t epoch);

#endif
