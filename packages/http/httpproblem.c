#include "http/httpproblem.h"

#include <string.h>

#include <jansson.h>

struct status_text {
    unsigned status;
    const char *text;
};

static const struct status_text status_texts[] = {
    {100, "Continue"},
    {200, "OK"},
    {201, "Created"},
    {202, "Accepted"},
    {204, "No Content"},
    {206, "Partial Content"},
    {301, "Moved Permanently"},
    {302, "Found"},
    {303, "See Other"},
    {304, "Not Modified"},
    {307, "Temporary Redirect"},
    {308, "Permanent Redirect"},
    {400, "Bad Request"},
    {401, "Unauthorized"},
    {403, "Forbidden"},
    {404, "Not Found"},
    {405, "Method Not Allowed"},
    {408, "Request Timeout"},
    {409, "Conflict"},
    {410, "Gone"},
    {411, "Length Required"},
    {412, "Precondition Failed"},
    {413, "Content Too Large"},
    {414, "URI Too Long"},
    {415, "Unsupported Media Type"},
    {421, "Misdirected Request"},
    {422, "Unprocessable Content"},
    {425, "Too Early"},
    {428, "Precondition Required"},
    {429, "Too Many Requests"},
    {431, "Request Header Fields Too Large"},
    {499, "Client Closed Request"},
    {500, "Internal Server Error"},
    {501, "Not Implemented"},
    {502, "Bad Gateway"},
    {503, "Service Unavailable"},
    {504, "Gateway Timeout"},
    {505, "HTTP Version Not Supported"},
};

const char *
http_status_text(unsigned status)
{
    const size_t count = sizeof(status_texts) / sizeof(status_texts[0]);
    for (size_t i = 0; i < count; i++) {
        if (status_texts[i].status == status) {
            return status_texts[i].text;
        }
    }
    return "Unknown";
}

static void
set_string(json_t *object, const char *name, const char *value)
{
    if (value != NULL) {
        json_object_set_new(object, name, json_string(value));
    }
}

char *
http_problem_body(const struct http_problem *problem, size_t *size)
{
    json_t *object = json_object();
    if (object == NULL) {
        return NULL;
    }
    set_string(object, "type",
               problem->type != NULL ? problem->type : "about:blank");
    set_string(object, "title",
               problem->title != NULL ? problem->title
                                      : http_status_text(problem->status));
    json_object_set_new(object, "status", json_integer(problem->status));
    set_string(object, "detail", problem->detail);
    set_string(object, "instance", problem->instance);
    set_string(object, "outcome", problem->outcome);
    set_string(object, "reason", problem->reason);
    char *text = json_dumps(object, JSON_COMPACT);
    json_decref(object);
    *size = text != NULL ? strlen(text) : 0;
    return text;
}
