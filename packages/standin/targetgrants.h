/**
 * @file
 * Grant checks of a stand-in target: refuses requests of former owners and
 * requests whose owner's grant has expired.
 */
#ifndef CHESTNUTGAP_STANDIN_TARGETGRANTS_H
#define CHESTNUTGAP_STANDIN_TARGETGRANTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct target_grants;

/** Aborts if out of memory. */
struct target_grants *target_grants_create(void);
void target_grants_destroy(struct target_grants *grants);

/**
 * Checks a request's shard, epoch and expiry at now_us. A request that may
 * run fences off the shard's lower epochs.
 *
 * @return true if it may run.
 */
bool target_grants_check(struct target_grants *grants, uint32_t shard,
                         uint64_t epoch, int64_t expires_us, int64_t now_us);

/** Records a grant: fences off the shard's lower epochs. */
void target_grants_put(struct target_grants *grants, uint32_t shard,
                       uint64_t epoch);

/** Fences off all epochs up to this one. */
void target_grants_withdraw(struct target_grants *grants, uint32_t shard,
                            uint64_t epoch);

#endif
