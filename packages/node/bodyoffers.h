/**
 * @file
 * Large bodies that other instances are to send to this one: admits them with
 * fleet/transferqueue.h, so that the link stays free for small messages and no
 * body is sent that would be refused.
 */
#ifndef CHESTNUTGAP_NODE_BODYOFFERS_H
#define CHESTNUTGAP_NODE_BODYOFFERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define BODYOFFERS_MIN_BYTES                                                  \
    ((size_t)16 << 10) /* smaller ones are just sent */

struct bodyoffers;
struct node;

/** Registers its procedure with the RPC node. Aborts if out of memory. */
struct bodyoffers *bodyoffers_create(struct node *node);
void bodyoffers_destroy(struct bodyoffers *offers);

/** Refuses the bodies that wait, if the gate no longer allows their requests.
 */
void bodyoffers_readmit(struct bodyoffers *offers);

/** True if no body waits or is on its way. */
bool bodyoffers_is_idle(const struct bodyoffers *offers);

/** The request with that id has arrived with its body. process: of its sender.
 */
void bodyoffers_arrived(struct bodyoffers *offers, uint64_t process,
                        const char *id);

#endif
