#include "entry/flight.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/hash.h"

#define FLIGHT_BUCKETS 1024

LIST_HEAD(flight_bucket, flight_member);

struct flight {
    struct flight_bucket buckets[FLIGHT_BUCKETS];
};

struct flight *
flight_create(void)
{
    return calloc(1, sizeof(struct flight));
}

void
flight_destroy(struct flight *flight)
{
    free(flight);
}

bool
flight_ignores(const char *header_name)
{
    static const char *const names[] = {
        "Connection",   "Chestnutgap-Deadline-Ms",
        "Date",         "Traceparent",
        "Tracestate",   "User-Agent",
        "X-Request-Id",
    };
    for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
        if (strcasecmp(names[i], header_name) == 0) {
            return true;
        }
    }
    return false;
}

static uint64_t
flight_hash(const struct forward_request *request)
{
    const uint64_t service = hash_string(request->service);
    return hash_bytes(request->target, strlen(request->target), service);
}

/* The next header that counts, or NULL. */
static const struct forward_header *
flight_next_header(const struct forward_request *request, u_int *index)
{
    while (*index < request->headers.headers_len) {
        const struct forward_header *header =
            &request->headers.headers_val[(*index)++];
        if (!flight_ignores(header->name)) {
            return header;
        }
    }
    return NULL;
}

static bool
flight_same(const struct forward_request *a, const struct forward_request *b)
{
    if (strcmp(a->service, b->service) != 0 ||
        strcmp(a->target, b->target) != 0 || strcmp(a->key, b->key) != 0) {
        return false;
    }
    u_int index_a = 0;
    u_int index_b = 0;
    for (;;) {
        const struct forward_header *x = flight_next_header(a, &index_a);
        const struct forward_header *y = flight_next_header(b, &index_b);
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
flight_may_share(const struct forward_request *request)
{
    return request->idempotent && strcmp(request->method, "GET") == 0 &&
           request->body.body_len == 0;
}

bool
flight_join(struct flight *flight, struct flight_member *member,
            const struct forward_request *request)
{
    *member = (struct flight_member){.request = request};
    TAILQ_INIT(&member->followers);
    if (!flight_may_share(request)) {
        return true;
    }
    member->joined = true;
    member->hash = flight_hash(request);
    struct flight_bucket *bucket =
        &flight->buckets[member->hash % FLIGHT_BUCKETS];
    struct flight_member *leader;
    LIST_FOREACH (leader, bucket, bucket_link) {
        if (leader->hash == member->hash &&
            flight_same(leader->request, request)) {
            member->leader = leader;
            TAILQ_INSERT_TAIL(&leader->followers, member, link);
            return false;
        }
    }
    LIST_INSERT_HEAD(bucket, member, bucket_link);
    return true;
}

struct flight_member *
flight_next_follower(struct flight_member *leader)
{
    struct flight_member *follower = TAILQ_FIRST(&leader->followers);
    if (follower != NULL) {
        TAILQ_REMOVE(&leader->followers, follower, link);
        follower->leader = NULL;
        follower->joined = false;
    }
    return follower;
}

/* The first follower leads from now on. */
static struct flight_member *
flight_promote(struct flight *flight, struct flight_member *member)
{
    struct flight_member *heir = TAILQ_FIRST(&member->followers);
    if (heir == NULL) {
        return NULL;
    }
    TAILQ_REMOVE(&member->followers, heir, link);
    heir->leader = NULL;
    TAILQ_CONCAT(&heir->followers, &member->followers, link);
    struct flight_member *follower;
    TAILQ_FOREACH (follower, &heir->followers, link) {
        follower->leader = heir;
    }
    LIST_INSERT_HEAD(&flight->buckets[heir->hash % FLIGHT_BUCKETS], heir,
                     bucket_link);
    return heir;
}

struct flight_member *
flight_leave(struct flight *flight, struct flight_member *member)
{
    if (!member->joined) {
        return NULL;
    }
    member->joined = false;
    if (member->leader != NULL) {
        TAILQ_REMOVE(&member->leader->followers, member, link);
        member->leader = NULL;
        return NULL;
    }
    LIST_REMOVE(member, bucket_link);
    return flight_promote(flight, member);
}
