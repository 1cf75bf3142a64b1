/**
 * @file
 * The keys that this instance's target owns: grants them to the target while
 * the lease lasts, releases them, and hands them over to other instances.
 */
#ifndef CHESTNUTGAP_NODE_KEYOWNER_H
#define CHESTNUTGAP_NODE_KEYOWNER_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet/keymap.h"

struct keyowner;
struct keyload_step;
struct keyera;
struct node;

enum keyowner_verdict {
    KEYOWNER_RUN,       /**< the target holds a confirmed grant */
    KEYOWNER_WAIT,      /**< owned, but not granted yet or being handed over */
    KEYOWNER_NOT_OWNER, /**< another target owns the key, or none */
};

/** Aborts if out of memory. */
struct keyowner *keyowner_create(struct node *node);
void keyowner_destroy(struct keyowner *keyowner);

/** Whether the target may run a request for the key now. map_version: of the
 * key's page, as known to the sender; if it is later than the one known here,
 * the sender may be right that this instance owns the key. */
enum keyowner_verdict keyowner_check(const struct keyowner *keyowner,
                                     uint32_t key, uint64_t map_version);

/** If keyowner_check() would return KEYOWNER_RUN: since when no other instance
 * has owned the key, and the fence, which is another one whenever some other
 * instance may have owned it meanwhile. @return false otherwise */
bool keyowner_find_tenure(const struct keyowner *keyowner, uint32_t key,
                          uint64_t *fence, int64_t *since_us);

/** Known version of the key's page; 0 if there is none. */
uint64_t keyowner_map_version(const struct keyowner *keyowner, uint32_t key);

/** Instance that owns the key according to the map; empty if none is known. */
const char *keyowner_find_owner(const struct keyowner *keyowner, uint32_t key);

/** The target answered that it does not hold the key: grants it again. */
void keyowner_key_not_held(struct keyowner *keyowner, uint32_t key);

void keyowner_count_request(struct keyowner *keyowner, uint32_t key);

/** Writes the load of this target's keys; returns the number of steps. */
size_t keyowner_load_steps(const struct keyowner *keyowner,
                           struct keyload_step *steps);

/** The target's incarnation ended. proven_dead: it certainly is no longer
 * running. */
void keyowner_target_gone(struct keyowner *keyowner, bool proven_dead);

/** The target, its state or the configuration has changed. */
void keyowner_target_changed(struct keyowner *keyowner);

void keyowner_map_changed(struct keyowner *keyowner);

/** Begins to hand keys over to another holder, or does so shortly: while a
 * grant call is open, or until no request runs for a key.
 * @return false if that is not possible; the reason is logged */
bool keyowner_begin_handover(struct keyowner *keyowner, uint32_t first,
                             uint32_t last, const struct keymap_holder *to);

/** Changes the map as it will be after the handovers that have begun. */
void keyowner_apply_handovers(const struct keyowner *keyowner,
                              struct keymap *map);

/** True if the map gives this instance any keys. */
bool keyowner_owns_keys(const struct keyowner *keyowner);

/** True if the store recently accepted a lease renewal, so that a handover can
 * be committed. */
bool keyowner_store_available(const struct keyowner *keyowner);

/** Time until the lease ends; negative if it has, 0 if there was none. */
int64_t keyowner_lease_margin_us(const struct keyowner *keyowner);

/** The store has returned from an older copy, and ended the former era: claims
 * the granted keys. */
void keyowner_store_restored(struct keyowner *keyowner,
                             const struct keyera *former);

#endif
