/**
 * @file
 * This instance's own row in the store: its address, its target and the
 * target's state, and the requests suspected of crashing it.
 */
#ifndef CHESTNUTGAP_NODE_OWNROW_H
#define CHESTNUTGAP_NODE_OWNROW_H

#include <stdint.h>

struct node;
struct ownrow;

/** Aborts if out of memory. */
struct ownrow *ownrow_create(struct node *node);
void ownrow_destroy(struct ownrow *own);

/** Writes the row if its text has changed. */
void ownrow_update(struct ownrow *own);

/** Reports requests that may have crashed the target, by fingerprint. */
void ownrow_report_suspects(struct ownrow *own, const uint64_t *fingerprints,
                            unsigned count);

/** Withdraws a report: the target has answered the request. */
void ownrow_clear_suspect(struct ownrow *own, uint64_t fingerprint);

#endif
