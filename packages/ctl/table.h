/**
 * @file
 * Prints tables to stdout. Each column is as wide as its widest cell.
 */
#ifndef CHESTNUTGAP_CTL_TABLE_H
#define CHESTNUTGAP_CTL_TABLE_H

#include <stddef.h>

struct table;

/** headings has column_count strings and must outlive the table. */
struct table *table_create(const char *const *headings, size_t column_count);
void table_destroy(struct table *table);

/** Adds the next cell, row by row. */
void table_add_cell(struct table *table, const char *format, ...)
    __attribute__((format(printf, 2, 3)));

/** Prints the headings and rows, or "none" if there are no rows. */
void table_print(const struct table *table);

#endif
