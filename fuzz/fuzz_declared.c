/* Reads the bytes as rows of the operators: a configuration, and zones. */
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/declared.h"
#include "platform/operator.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    char *value = malloc(size + 1);
    struct wire_declaration declaration;
    struct error err = {.code = ERROR_NONE};
    memcpy(value, data, size);
    value[size] = '\0';
    const struct rowstore_row row = {
        .key = "config",
        .version = 1,
        .value = value,
        .size = size,
    };
    if (operator_read_declaration(&row, &declaration, &err) &&
        declaration.kind == WIRE_DECLARED_CONFIG) {
        declared_find_route(declaration.config, "shop.example", "/k/x");
        declared_workspace_by_key(declaration.config, "key");
        declared_find_workspace(declaration.config, "one");
        declared_destroy(declaration.config);
    }
    free(value);
    return 0;
}
