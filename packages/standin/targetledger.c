#include "standin/targetledger.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct target_ledger {
    FILE *file;
    json_t *counts;
    json_t *records;
};

struct target_ledger *
target_ledger_create(const char *file)
{
    struct target_ledger *ledger = calloc(1, sizeof(*ledger));
    if (ledger == NULL) {
        abort();
    }
    ledger->counts = json_object();
    ledger->records = json_array();
    if (file != NULL) {
        ledger->file = fopen(file, "ae");
        if (ledger->file == NULL) {
            target_ledger_destroy(ledger);
            return NULL;
        }
        setvbuf(ledger->file, NULL, _IOLBF, BUFSIZ);
    }
    return ledger;
}

void
target_ledger_destroy(struct target_ledger *ledger)
{
    if (ledger == NULL) {
        return;
    }
    if (ledger->file != NULL) {
        fclose(ledger->file);
    }
    json_decref(ledger->counts);
    json_decref(ledger->records);
    free(ledger);
}

static void
ledger_write(struct target_ledger *ledger, const json_t *line)
{
    if (ledger->file == NULL) {
        return;
    }
    char *text = json_dumps(line, JSON_COMPACT);
    fprintf(ledger->file, "%s\n", text);
    free(text);
}

size_t
target_ledger_start(struct target_ledger *ledger,
                    const struct target_execution *execution)
{
    json_t *record = json_pack("{ss ss ss sI}", "id", execution->id, "method",
                               execution->method, "path", execution->path,
                               "start_us", (json_int_t)execution->start_us);
    if (record == NULL) {
        /* json_pack fails if the path is not UTF-8. */
        record = json_pack("{ss ss ss sI}", "id", "", "method", "", "path", "",
                           "start_us", (json_int_t)execution->start_us);
    }
    if (execution->keyed) {
        json_object_set_new(record, "shard", json_integer(execution->shard));
        json_object_set_new(record, "epoch",
                            json_integer((json_int_t)execution->epoch));
    }
    ledger_write(ledger, record);
    json_array_append_new(ledger->records, record);
    if (execution->id[0] != '\0') {
        const json_t *count = json_object_get(ledger->counts, execution->id);
        json_object_set_new(ledger->counts, execution->id,
                            json_integer(json_integer_value(count) + 1));
    }
    return json_array_size(ledger->records) - 1;
}

void
target_ledger_end(struct target_ledger *ledger, size_t index, int64_t end_us,
                  unsigned status)
{
    json_t *record = json_array_get(ledger->records, index);
    json_object_set_new(record, "end_us", json_integer(end_us));
    json_object_set_new(record, "status", json_integer(status));
    ledger_write(ledger, record);
}

size_t
target_ledger_execution_count(const struct target_ledger *ledger)
{
    return json_array_size(ledger->records);
}

json_t *
target_ledger_counts(const struct target_ledger *ledger)
{
    return json_incref(ledger->counts);
}

json_t *
target_ledger_records(const struct target_ledger *ledger)
{
    return json_incref(ledger->records);
}
