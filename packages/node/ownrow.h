/**
 * @file
 * Keeps this instance's own row in the store: where it is, which target it
 * stands beside, and whether that takes work.
 */
#ifndef CHESTNUTGAP_NODE_OWNROW_H
#define CHESTNUTGAP_NODE_OWNROW_H

#include <stdint.h>

struct node;
struct ownrow;

/** Aborts when memory is short. */
struct ownrow *ownrow_create(struct node *node);
void ownrow_destroy(struct ownrow *own);

/** What the row is made of has changed: it is written if it differs. */
void ownrow_update(struct ownrow *own);

/** Requests that were running when the target stopped. */
void ownrow_report_suspects(struct ownrow *own, const uint64_t *fingerprints,
                            unsigned count);

/** The target has answered the request: it does not stop targets. */
void ownrow_clear_suspect(struct ownrow *own, uint64_t fingerprint);

#endif
