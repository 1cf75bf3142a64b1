/**
 * @file
 * Rows of the store in messages between instances.
 */
#ifndef CHESTNUTGAP_NODE_RELAYROWS_H
#define CHESTNUTGAP_NODE_RELAYROWS_H

#include "protocol/generated/relay.h"
#include "store/rowstore.h"

/** Rows that were received. */
struct relayrows {
    struct rowstore_row *rows;
    size_t count;
};

/** Reads rows, without those whose keys no row of the store can have
 * (base/jsontext.h). Their values are copied, as they are used as strings;
 * their keys belong to the message. Aborts if out of memory. */
void relayrows_read(struct relayrows *read, const relay_row *rows,
                    u_int count);
void relayrows_clear(struct relayrows *read);

/** A row for a message; its strings belong to the row. */
relay_row relayrows_write(const struct rowstore_row *row);

#endif
