#include "node/relayrows.h"

#include <stdlib.h>
#include <string.h>

#define LOG_MODULE "relay"
#include "base/jsontext.h"
#include "base/log.h"
#include "base/memory.h"

void
relayrows_read(struct relayrows *read, const relay_row *rows, u_int count)
{
    read->rows = memory_calloc(count + 1, sizeof(*read->rows));
    read->count = 0;
    for (u_int i = 0; i < count; i++) {
        const u_int size = rows[i].value.value_len;
        if (!jsontext_is_valid(rows[i].key)) {
            LOG_WARN("row_key_invalid", LOG_STR("row", rows[i].key));
            continue;
        }
        char *value = memory_calloc(size + 1, 1);
        if (size > 0) {
            memcpy(value, rows[i].value.value_val, size);
        }
        read->rows[read->count++] = (struct rowstore_row){
            .key = rows[i].key,
            .version = rows[i].row_version,
            .removed = rows[i].removed,
            .value = value,
            .size = size,
        };
    }
}

void
relayrows_clear(struct relayrows *read)
{
    for (size_t i = 0; i < read->count; i++) {
        free((char *)read->rows[i].value);
    }
    free(read->rows);
}

relay_row
relayrows_write(const struct rowstore_row *row)
{
    return (relay_row){
        .key = (char *)row->key,
        .row_version = row->version,
        .removed = row->removed,
        .value = {(u_int)row->size, (char *)row->value},
    };
}
