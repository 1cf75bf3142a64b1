#include "node/keymapwrite.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "node/node_internal.h"

void
keymapwrite_row_name(char key[ROWSTORE_NAME_MAX + 1], const char *service,
                     unsigned page)
{
    snprintf(key, ROWSTORE_NAME_MAX + 1, NODE_KEYS_KEY "%s/%u", service, page);
}

bool
keymapwrite_parse_row_name(const char *key, char service[KEYMAP_NAME_MAX + 1],
                           unsigned *page)
{
    const size_t prefix = strlen(NODE_KEYS_KEY);
    const char *slash = strrchr(key, '/');
    if (strncmp(key, NODE_KEYS_KEY, prefix) != 0 || slash < key + prefix ||
        (size_t)(slash - key) - prefix > KEYMAP_NAME_MAX) {
        return false;
    }
    char *end;
    const unsigned long number = strtoul(slash + 1, &end, 10);
    if (end == slash + 1 || *end != '\0' || number >= KEYMAP_PAGES) {
        return false;
    }
    const size_t size = (size_t)(slash - key) - prefix;
    memcpy(service, key + prefix, size);
    service[size] = '\0';
    *page = (unsigned)number;
    return true;
}

static void
add_page(struct keymapwrite *write, const char *service,
         const struct keymap *map, unsigned number, uint64_t expected)
{
    struct keymapwrite_page *page = &write->pages[write->count++];
    page->number = number;
    page->expected = expected;
    page->text = keymap_print_page(map, number);
    keymapwrite_row_name(page->key, service, number);
}

bool
keymapwrite_prepare(struct keymapwrite *write, const char *service,
                    const struct keymap *before, const struct keymap *after)
{
    write->count = 0;
    for (unsigned page = 0; page < KEYMAP_PAGES; page++) {
        if (write->count < KEYMAPWRITE_PAGES_MAX &&
            !keymap_page_equal(before, after, page)) {
            add_page(write, service, after, page, before->pages[page].version);
        }
    }
    return write->count > 0;
}

size_t
keymapwrite_fill(const struct keymapwrite *write, struct rowstore_write *parts)
{
    for (size_t i = 0; i < write->count; i++) {
        const struct keymapwrite_page *page = &write->pages[i];
        parts[i] = (struct rowstore_write){
            .table = NODE_TABLE,
            .key = page->key,
            .expected = page->expected,
            .value = page->text,
            .size = strlen(page->text),
        };
    }
    return write->count;
}

void
keymapwrite_clear(struct keymapwrite *write)
{
    for (size_t i = 0; i < write->count; i++) {
        free(write->pages[i].text);
    }
    write->count = 0;
}
