/**
 * @file
 * Tables on stdout, with columns as wide as their widest cell.
 */
#ifndef CHESTNUTGAP_CTL_TABLE_H
#define CHESTNUTGAP_CTL_TABLE_H

#include <stddef.h>

/** A table that is being filled. */
struct table;

/** headings are column_count strings, which must outlive the table. */
struct table *table_create(const char *const *headings, size_t column_count);
void table_destroy(struct table *table);

/** Adds the next cell, row by row. */
void table_add_cell(struct table *table, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/** Prints the headings and all rows, or only "none" if there are none. */
void table_print(const struct table *table);

#endif
