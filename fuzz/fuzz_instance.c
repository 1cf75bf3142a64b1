/* Parses the bytes as the row of an instance. */
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/instancetable.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct instancetable_row row;
    struct instancetable_row copy;
    if (instancetable_parse(&row, "instance", (const char *)data, size,
                            NULL)) {
        char *text = instancetable_print(&row, NULL, NULL);
        if (text == NULL || !instancetable_parse(&copy, "instance", text,
                                                 strlen(text), NULL)) {
            abort();
        }
        free(text);
    }
    return 0;
}
