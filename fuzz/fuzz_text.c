/* Takes the bytes as a text from outside: the name of a target, a handover
 * token, an Authorization field and a field of a log line. What is printed
 * must be read again. */
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/jsontext.h"
#define LOG_MODULE "fuzz"
#include "base/log.h"
#include "fleet/instancetable.h"
#include "fleet/keymap.h"
#include "platform/caller.h"
#include "platform/upstream.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
require(bool condition)
{
    if (!condition) {
        abort();
    }
}

static void
check_instance_row(const char *text)
{
    struct instancetable_row row = {.state = INSTANCETABLE_SERVING};
    struct instancetable_row read;
    struct error err = {.code = ERROR_NONE};
    if (!jsontext_copy(row.target, sizeof(row.target), text, "target", &err)) {
        require(err.code != ERROR_NONE);
        return;
    }
    char *printed = instancetable_print(&row, NULL, NULL);
    require(printed != NULL &&
            instancetable_parse(&read, "a", printed, strlen(printed), NULL) &&
            strcmp(read.target, text) == 0);
    free(printed);
}

static void
check_key_map(const char *token)
{
    const struct keymap_holder holder = {.instance = "a"};
    struct keymap map;
    struct keymap copy;
    keymap_init(&map);
    keymap_init(&copy);
    keymap_assign(&map, 1, 2, &holder, token);
    char *printed = keymap_print_page(&map, 0);
    require(keymap_parse_page(&copy, 0, printed, strlen(printed), 2, NULL) &&
            keymap_page_equal(&map, &copy, 0));
    free(printed);
    keymap_clear(&map);
    keymap_clear(&copy);
}

static void
check_grant(const char *token)
{
    char body[WIRE_BODY_MAX];
    const struct wire_grant grant = {.last = 2, .fence = 3, .token = token};
    const size_t length = upstream_write_grant(&grant, body);
    json_t *read = json_loadb(body, length, JSON_REJECT_DUPLICATES, NULL);
    require(read != NULL);
    json_decref(read);
}

static void
check_log(const char *text)
{
    char *line = NULL;
    size_t length = 0;
    FILE *stream = open_memstream(&line, &length);
    log_init(stream, LOG_LEVEL_DEBUG);
    LOG_INFO("text", LOG_STR("text", text), LOG_STR("again", text));
    fclose(stream);
    log_init(NULL, LOG_LEVEL_OFF);
    json_t *read = json_loadb(line, length, JSON_REJECT_DUPLICATES, NULL);
    require(read != NULL);
    json_decref(read);
    free(line);
}

static void
check_api_key(const char *text)
{
    struct http_headers headers = {.items = NULL};
    if (http_headers_add(&headers, "Authorization", text)) {
        const char *key = caller_read_api_key(&headers);
        require(key == NULL || key[0] != '\0');
        require(!http_headers_add(&headers, "authorization", text) ||
                caller_read_api_key(&headers) == NULL);
    }
    http_headers_clear(&headers);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    char *text = calloc(size + 1, 1);
    require(text != NULL);
    memcpy(text, data, size);
    check_instance_row(text);
    check_key_map(text);
    check_grant(text);
    check_log(text);
    check_api_key(text);
    free(text);
    return 0;
}
