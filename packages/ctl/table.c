#include "ctl/table.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/memory.h"

#define COLUMN_GAP 2 /* spaces between columns */

struct table {
    const char *const *headings;
    size_t column_count;
    char **cells;
    size_t cell_count;
};

struct table *
table_create(const char *const *headings, size_t column_count)
{
    struct table *table = memory_calloc(1, sizeof(*table));
    table->headings = headings;
    table->column_count = column_count;
    return table;
}

void
table_destroy(struct table *table)
{
    for (size_t i = 0; i < table->cell_count; i++) {
        free(table->cells[i]);
    }
    free(table->cells);
    free(table);
}

void
table_add_cell(struct table *table, const char *format, ...)
{
    char *text = NULL;
    va_list args;
    va_start(args, format);
    if (vasprintf(&text, format, args) < 0) {
        abort();
    }
    va_end(args);
    table->cells = memory_reallocarray(table->cells, table->cell_count + 1,
                                       sizeof(table->cells[0]));
    table->cells[table->cell_count++] = text;
}

static int
column_width(const struct table *table, size_t column)
{
    size_t width = strlen(table->headings[column]);
    for (size_t i = column; i < table->cell_count; i += table->column_count) {
        const size_t length = strlen(table->cells[i]);
        if (length > width) {
            width = length;
        }
    }
    return (int)width + COLUMN_GAP;
}

static void
print_row(const struct table *table, const int *widths,
          const char *const *cells)
{
    const size_t last = table->column_count - 1;
    for (size_t i = 0; i < last; i++) {
        printf("%-*s", widths[i], cells[i]);
    }
    printf("%s\n", cells[last]);
}

void
table_print(const struct table *table)
{
    if (table->cell_count == 0) {
        printf("none\n");
        return;
    }
    const size_t columns = table->column_count;
    int *widths = memory_calloc(columns, sizeof(widths[0]));
    for (size_t i = 0; i < columns; i++) {
        widths[i] = column_width(table, i);
    }
    print_row(table, widths, table->headings);
    for (size_t i = 0; i < table->cell_count; i += columns) {
        print_row(table, widths, (const char *const *)&table->cells[i]);
    }
    free(widths);
}
