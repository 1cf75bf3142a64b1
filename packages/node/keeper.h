/**
 * @file
 * The keys that the target beside this instance holds: grants them while the
 * lease lasts, releases them, and hands them to others.
 */
#ifndef CHESTNUTGAP_NODE_KEEPER_H
#define CHESTNUTGAP_NODE_KEEPER_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet/keymap.h"

struct keeper;
struct keyload_step;
struct node;

enum keeper_verdict {
    KEEPER_RUN,       /**< the target holds the key */
    KEEPER_WAIT,      /**< it is about to, or the key is about to move */
    KEEPER_ELSEWHERE, /**< the key is not this target's */
};

/** Aborts when memory is short. */
struct keeper *keeper_create(struct node *node);
void keeper_destroy(struct keeper *keeper);

/** Whether the target may run a request for the key now. */
enum keeper_verdict keeper_check(const struct keeper *keeper, uint32_t key);

/** Instance that owns the key by the map; empty if none is known. */
const char *keeper_owner(const struct keeper *keeper, uint32_t key);

/** The target said that it does not hold the key. */
void keeper_not_held(struct keeper *keeper, uint32_t key);

/** A request for the key was sent. */
void keeper_count(struct keeper *keeper, uint32_t key);

/** Writes the load of the own keys; returns the number of steps. */
size_t keeper_steps(const struct keeper *keeper, struct keyload_step *steps);

/** The target's life is over. dead: it is proved not to run any more. */
void keeper_target_gone(struct keeper *keeper, bool dead);

/** The target, its state or the configuration have changed. */
void keeper_target_changed(struct keeper *keeper);

void keeper_map_changed(struct keeper *keeper);

/** Hands keys to another holder. @return false if that is not possible now */
bool keeper_move(struct keeper *keeper, uint32_t first, uint32_t last,
                 const struct keymap_holder *to);

/** True if the target is held to own keys, by the map. */
bool keeper_owns(const struct keeper *keeper);

/** True if the store answers: a move that is begun now can be ended. */
bool keeper_store_answers(const struct keeper *keeper);

/** Time until the lease ends; negative if it has. */
int64_t keeper_lease_margin_us(const struct keeper *keeper);

#endif
