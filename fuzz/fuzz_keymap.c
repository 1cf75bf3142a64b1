/* Parses the bytes as pages of a key map; a valid page must print and parse
 * to the same owners. */
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/keymap.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    struct keymap map;
    struct keymap copy;
    const unsigned page = size > 0 ? data[0] % (KEYMAP_PAGES + 1) : 0;
    const char *text = (const char *)data + (size > 0 ? 1 : 0);
    keymap_init(&map);
    keymap_init(&copy);
    if (keymap_parse_page(&map, page, text, size > 0 ? size - 1 : 0, 1,
                          NULL)) {
        char *printed = keymap_print_page(&map, page);
        if (!keymap_parse_page(&copy, page, printed, strlen(printed), 2,
                               NULL) ||
            !keymap_page_equal(&map, &copy, page)) {
            abort();
        }
        free(printed);
    }
    keymap_clear(&map);
    keymap_clear(&copy);
    return 0;
}
