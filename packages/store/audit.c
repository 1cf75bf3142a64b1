#include "store/audit.h"

#include <inttypes.h>
#include <stdio.h>
#include <time.h>

#include "base/timeunits.h"

void
audit_row_name(int64_t at_us, uint64_t txn_id, char name[AUDIT_ROW_NAME_SIZE])
{
    snprintf(name, AUDIT_ROW_NAME_SIZE, "%020" PRIu64 "-%016" PRIx64,
             (uint64_t)at_us, txn_id);
}

static void
set_text(json_t *value, const char *field, const char *text)
{
    if (text != NULL) {
        json_object_set_new(value, field, json_string(text));
    }
}

static void
set_value(json_t *value, const char *field, json_t *content)
{
    if (content != NULL) {
        json_object_set(value, field, content);
    }
}

void
audit_add(struct store_txn *txn, const struct audit_entry *entry)
{
    char name[AUDIT_ROW_NAME_SIZE];
    audit_row_name(entry->at_us, store_txn_id(txn), name);
    json_t *value = json_object();
    set_text(value, "who", entry->who);
    set_text(value, "what", entry->what);
    set_text(value, "subject", entry->subject);
    set_value(value, "before", entry->before);
    set_value(value, "after", entry->after);
    set_text(value, "why", entry->why);
    set_text(value, "result", entry->result);
    json_object_set_new(value, "at", json_integer(entry->at_us));
    store_txn_put(txn, AUDIT_TABLE, name, value);
}

int64_t
audit_wall_clock_us(void)
{
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    return now.tv_sec * US_PER_SECOND + now.tv_nsec / 1000;
}
