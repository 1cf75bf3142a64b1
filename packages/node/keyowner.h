/**
 * @file
 * The keys that the target beside this instance holds: grants them while the
 * lease lasts, releases them, and hands them to others.
 */
#ifndef CHESTNUTGAP_NODE_KEYOWNER_H
#define CHESTNUTGAP_NODE_KEYOWNER_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet/keymap.h"

struct keyowner;
struct keyload_step;
struct node;

enum keyowner_verdict {
    KEYOWNER_RUN,       /**< the target holds the key */
    KEYOWNER_WAIT,      /**< it is about to, or the key is about to move */
    KEYOWNER_NOT_OWNER, /**< the key is not this target's */
};

/** Aborts when memory is short. */
struct keyowner *keyowner_create(struct node *node);
void keyowner_destroy(struct keyowner *keyowner);

/** Whether the target may run a request for the key now. */
enum keyowner_verdict keyowner_check(const struct keyowner *keyowner,
                                     uint32_t key);

/** Instance that owns the key by the map; empty if none is known. */
const char *keyowner_find_owner(const struct keyowner *keyowner, uint32_t key);

/** The target said that it does not hold the key. */
void keyowner_key_not_held(struct keyowner *keyowner, uint32_t key);

/** A request for the key was sent. */
void keyowner_count_request(struct keyowner *keyowner, uint32_t key);

/** Writes the load of the own keys; returns the number of steps. */
size_t keyowner_load_steps(const struct keyowner *keyowner,
                           struct keyload_step *steps);

/** The target's life is over. dead: it is proved not to run any more. */
void keyowner_target_gone(struct keyowner *keyowner, bool dead);

/** The target, its state or the configuration have changed. */
void keyowner_target_changed(struct keyowner *keyowner);

void keyowner_map_changed(struct keyowner *keyowner);

/** Hands keys to another holder. @return false if that is not possible now */
bool keyowner_begin_handover(struct keyowner *keyowner, uint32_t first,
                             uint32_t last, const struct keymap_holder *to);

/** True if the target is held to own keys, by the map. */
bool keyowner_owns_keys(const struct keyowner *keyowner);

/** True if the store answers: a move that is begun now can be ended. */
bool keyowner_store_available(const struct keyowner *keyowner);

/** Time until the lease ends; negative if it has. */
int64_t keyowner_lease_margin_us(const struct keyowner *keyowner);

#endif
