/**
 * @file
 * A transaction that changes pages of a key map, for the instances that may
 * change it.
 */
#ifndef CHESTNUTGAP_NODE_KEYMAPWRITE_H
#define CHESTNUTGAP_NODE_KEYMAPWRITE_H

#include "fleet/keymap.h"
#include "store/rowstore.h"

/* The store takes 100 conditions and writes in a call; each page needs one of
 * both, and a lease too. */
#define KEYMAPWRITE_PAGES_MAX 48

struct keymapwrite_page {
    unsigned number;
    uint64_t expected; /**< version that the row must have */
    char *text;
    char key[ROWSTORE_NAME_MAX + 1];
};

struct keymapwrite {
    struct keymapwrite_page pages[KEYMAPWRITE_PAGES_MAX];
    size_t count;
};

/**
 * Prepares the write of the pages that differ between two maps, as far as one
 * transaction has room for them.
 *
 * @return true if there is anything to write
 */
bool keymapwrite_prepare(struct keymapwrite *write, const char *service,
                         const struct keymap *before,
                         const struct keymap *after);

/** Fills in the parts of the transaction, the same each time. Their strings
 * belong to write. @return their number */
size_t keymapwrite_fill(const struct keymapwrite *write,
                        struct rowstore_write *parts);

void keymapwrite_clear(struct keymapwrite *write);

/** Writes the key of the row of a page. */
void keymapwrite_row_name(char key[ROWSTORE_NAME_MAX + 1], const char *service,
                          unsigned page);

/** Reads service and page from the key of a row.
 * @return false if it is not the key of a page */
bool keymapwrite_parse_row_name(const char *key,
                                char service[KEYMAP_NAME_MAX + 1],
                                unsigned *page);

#endif
