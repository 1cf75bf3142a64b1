/**
 * @file
 * Hash table of outstanding messages by their transaction id (xid).
 */
#ifndef CHESTNUTGAP_PROTOCOL_XIDTABLE_H
#define CHESTNUTGAP_PROTOCOL_XIDTABLE_H

#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

/** Embedded in the objects of a table. */
struct xid_entry {
    LIST_ENTRY(xid_entry) link;
    uint32_t xid;
};

LIST_HEAD(xid_bucket, xid_entry);

/** Zero-initialized is an empty table. */
struct xid_table {
    struct xid_bucket *buckets;
    size_t bucket_count; /* a power of two */
    size_t count;
};

/** Frees the buckets, not the entries. */
void xid_table_clear(struct xid_table *table);

/** Adds an entry. Aborts if out of memory. */
void xid_table_insert(struct xid_table *table, struct xid_entry *entry,
                      uint32_t xid);

void xid_table_remove(struct xid_table *table, struct xid_entry *entry);

/** NULL if there is none. */
struct xid_entry *xid_table_find(const struct xid_table *table, uint32_t xid);

/** Any entry, or NULL if the table is empty. */
struct xid_entry *xid_table_first(const struct xid_table *table);

#endif
