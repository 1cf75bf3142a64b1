#include "entry/coalescer.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/hash.h"

#define COALESCER_BUCKETS 1024

LIST_HEAD(coalescer_bucket, coalescer_read);

struct coalescer {
    struct coalescer_bucket buckets[COALESCER_BUCKETS];
};

struct coalescer *
coalescer_create(void)
{
    return calloc(1, sizeof(struct coalescer));
}

void
coalescer_destroy(struct coalescer *coalescer)
{
    free(coalescer);
}

bool
coalescer_ignores_header(const char *header_name)
{
    static const char *const ignored_names[] = {
        "Connection",   "Chestnutgap-Deadline-Ms",
        "Date",         "Traceparent",
        "Tracestate",   "User-Agent",
        "X-Request-Id",
    };
    for (size_t i = 0; i < sizeof(ignored_names) / sizeof(ignored_names[0]);
         i++) {
        if (strcasecmp(ignored_names[i], header_name) == 0) {
            return true;
        }
    }
    return false;
}

static uint64_t
coalescer_hash(const struct forward_request *request)
{
    const uint64_t service = hash_string(request->service);
    return hash_bytes(request->target, strlen(request->target), service);
}

/* The next header that is compared, or NULL. */
static const struct forward_header *
coalescer_next_header(const struct forward_request *request, u_int *index)
{
    while (*index < request->headers.headers_len) {
        const struct forward_header *header =
            &request->headers.headers_val[(*index)++];
        if (!coalescer_ignores_header(header->name)) {
            return header;
        }
    }
    return NULL;
}

static bool
coalescer_is_same(const struct forward_request *a,
                  const struct forward_request *b)
{
    if (strcmp(a->service, b->service) != 0 ||
        strcmp(a->target, b->target) != 0 || strcmp(a->key, b->key) != 0) {
        return false;
    }
    u_int index_a = 0;
    u_int index_b = 0;
    for (;;) {
        const struct forward_header *x = coalescer_next_header(a, &index_a);
        const struct forward_header *y = coalescer_next_header(b, &index_b);
        if (x == NULL || y == NULL) {
            return x == y;
        }
        if (strcasecmp(x->name, y->name) != 0 ||
            strcmp(x->value, y->value) != 0) {
            return false;
        }
    }
}

static bool
coalescer_may_share(const struct forward_request *request)
{
    return request->idempotent && strcmp(request->method, "GET") == 0 &&
           request->body.body_len == 0;
}

bool
coalescer_join(struct coalescer *coalescer, struct coalescer_read *read,
               const struct forward_request *request)
{
    *read = (struct coalescer_read){.request = request};
    TAILQ_INIT(&read->followers);
    if (!coalescer_may_share(request)) {
        return true;
    }
    read->joined = true;
    read->hash = coalescer_hash(request);
    struct coalescer_bucket *bucket =
        &coalescer->buckets[read->hash % COALESCER_BUCKETS];
    struct coalescer_read *leader;
    LIST_FOREACH (leader, bucket, bucket_link) {
        if (leader->hash == read->hash &&
            coalescer_is_same(leader->request, request)) {
            read->leader = leader;
            TAILQ_INSERT_TAIL(&leader->followers, read, link);
            return false;
        }
    }
    LIST_INSERT_HEAD(bucket, read, bucket_link);
    return true;
}

struct coalescer_read *
coalescer_next_follower(struct coalescer_read *leader)
{
    struct coalescer_read *follower = TAILQ_FIRST(&leader->followers);
    if (follower != NULL) {
        TAILQ_REMOVE(&leader->followers, follower, link);
        follower->leader = NULL;
        follower->joined = false;
    }
    return follower;
}

/* Makes the first follower the new leader. */
static struct coalescer_read *
coalescer_promote(struct coalescer *coalescer, struct coalescer_read *read)
{
    struct coalescer_read *new_leader = TAILQ_FIRST(&read->followers);
    if (new_leader == NULL) {
        return NULL;
    }
    TAILQ_REMOVE(&read->followers, new_leader, link);
    new_leader->leader = NULL;
    TAILQ_CONCAT(&new_leader->followers, &read->followers, link);
    struct coalescer_read *follower;
    TAILQ_FOREACH (follower, &new_leader->followers, link) {
        follower->leader = new_leader;
    }
    LIST_INSERT_HEAD(&coalescer->buckets[new_leader->hash % COALESCER_BUCKETS],
                     new_leader, bucket_link);
    return new_leader;
}

struct coalescer_read *
coalescer_leave(struct coalescer *coalescer, struct coalescer_read *read)
{
    if (!read->joined) {
        return NULL;
    }
    read->joined = false;
    if (read->leader != NULL) {
        TAILQ_REMOVE(&read->leader->followers, read, link);
        read->leader = NULL;
        return NULL;
    }
    LIST_REMOVE(read, bucket_link);
    return coalescer_promote(coalescer, read);
}
