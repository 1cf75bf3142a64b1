#include "spread/config.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#define LOG_MODULE "config"
#include "base/hash.h"
#include "base/invariant.h"
#include "base/log.h"
#include "state/state.h"

#define MEMBER_BUCKETS 512
#define MISSING_LISTED 16 /* most names in config_to_json() */

struct member_ack {
    LIST_ENTRY(member_ack) link;
    char instance[STATE_NAME_MAX + 1];
    uint64_t revision;
};

LIST_HEAD(member_ack_list, member_ack);

struct config {
    config_apply_cb apply;
    void *ctx;
    uint64_t revision; /* in force */
    uint64_t newest;
    uint64_t refused; /* latest */
    int64_t recorded_us;
    bool recorded; /* config_record_newest() was called */
    char digest[CONFIG_DIGEST_SIZE];
    json_t *document;
    struct member_ack_list members[MEMBER_BUCKETS];
};

struct config *
config_create(config_apply_cb apply, void *ctx)
{
    struct config *config = calloc(1, sizeof(*config));

    if (config != NULL) {
        config->apply = apply;
        config->ctx = ctx;
    }
    return config;
}

void
config_destroy(struct config *config)
{
    if (config == NULL) {
        return;
    }
    for (size_t i = 0; i < MEMBER_BUCKETS; i++) {
        while (!LIST_EMPTY(&config->members[i])) {
            struct member_ack *ack = LIST_FIRST(&config->members[i]);
            LIST_REMOVE(ack, link);
            free(ack);
        }
    }
    json_decref(config->document);
    free(config);
}

void
config_digest(const json_t *document, char digest[CONFIG_DIGEST_SIZE])
{
    char *text = json_dumps(document, JSON_COMPACT | JSON_SORT_KEYS);

    (void)snprintf(digest, CONFIG_DIGEST_SIZE, "%016llx",
                   (unsigned long long)hash_string(text == NULL ? "" : text));
    free(text);
}

static void
config_put_in_force(struct config *config, uint64_t revision,
                    const json_t *document, const char *digest)
{
    json_decref(config->document);
    config->document = json_deep_copy(document);
    config->revision = revision;
    (void)snprintf(config->digest, sizeof(config->digest), "%s", digest);
    LOG_INFO("in_force", LOG_UINT("revision", revision),
             LOG_STR("digest", config->digest));
}

enum config_result
config_offer(struct config *config, uint64_t revision, const json_t *document)
{
    char digest[CONFIG_DIGEST_SIZE];

    if (revision < config->revision || revision == 0) {
        return CONFIG_SUPERSEDED;
    }
    config_digest(document, digest);
    if (revision == config->revision) {
        bool same = strcmp(digest, config->digest) == 0;
        return same ? CONFIG_ALREADY_IN_FORCE : CONFIG_CONFLICT;
    }
    if (revision > config->newest) {
        config->newest = revision;
    }
    if (!config->apply(config->ctx, revision, document)) {
        LOG_WARN("revision_refused", LOG_UINT("revision", revision));
        config->refused = revision;
        return CONFIG_REFUSED;
    }
    if (!invariant_check(INVARIANT_REVISION_RISES, revision > config->revision,
                         "config")) {
        return CONFIG_SUPERSEDED;
    }
    config_put_in_force(config, revision, document, digest);
    return CONFIG_IN_FORCE;
}

bool
config_record_newest(struct config *config, uint64_t revision, int64_t now_us)
{
    if (revision > config->newest) {
        config->newest = revision;
    }
    config->recorded = true;
    config->recorded_us = now_us;
    return config->newest > config->revision &&
           config->newest != config->refused;
}

bool
config_is_fresh(const struct config *config, int64_t since_us)
{
    return config->recorded && config->recorded_us >= since_us &&
           config->revision == config->newest;
}

uint64_t
config_revision(const struct config *config)
{
    return config->revision;
}

const char *
config_digest_in_force(const struct config *config)
{
    return config->digest;
}

const json_t *
config_document(const struct config *config)
{
    return config->document;
}

uint64_t
config_newest(const struct config *config)
{
    return config->newest;
}

static struct member_ack *
config_find_ack(const struct config *config, const char *instance)
{
    size_t bucket = hash_string(instance) % MEMBER_BUCKETS;
    struct member_ack *ack;

    LIST_FOREACH (ack, &config->members[bucket], link) {
        if (strcmp(ack->instance, instance) == 0) {
            return ack;
        }
    }
    return NULL;
}

void
config_add_member(struct config *config, const char *instance)
{
    size_t bucket = hash_string(instance) % MEMBER_BUCKETS;
    struct member_ack *ack = config_find_ack(config, instance);

    if (ack != NULL) {
        return;
    }
    ack = calloc(1, sizeof(*ack));
    if (ack == NULL) {
        abort();
    }
    (void)snprintf(ack->instance, sizeof(ack->instance), "%s", instance);
    LIST_INSERT_HEAD(&config->members[bucket], ack, link);
}

void
config_remove_member(struct config *config, const char *instance)
{
    struct member_ack *ack = config_find_ack(config, instance);

    if (ack != NULL) {
        LIST_REMOVE(ack, link);
        free(ack);
    }
}

void
config_record_acknowledged(struct config *config, const char *instance,
                           uint64_t revision)
{
    struct member_ack *ack = config_find_ack(config, instance);

    if (ack != NULL && revision > ack->revision) {
        ack->revision = revision;
    }
}

uint64_t
config_acknowledged_revision(const struct config *config, const char *instance)
{
    const struct member_ack *ack = config_find_ack(config, instance);

    return ack == NULL ? 0 : ack->revision;
}

size_t
config_list_unacknowledged(const struct config *config, uint64_t revision,
                           const char **names, size_t limit)
{
    size_t count = 0;

    for (size_t i = 0; i < MEMBER_BUCKETS; i++) {
        const struct member_ack *ack;
        LIST_FOREACH (ack, &config->members[i], link) {
            if (ack->revision >= revision) {
                continue;
            }
            if (count < limit) {
                names[count] = ack->instance;
            }
            count++;
        }
    }
    return count;
}

static size_t
member_count(const struct config *config)
{
    return config_list_unacknowledged(config, UINT64_MAX, NULL, 0);
}

json_t *
config_to_json(const struct config *config)
{
    const char *names[MISSING_LISTED];
    size_t missing = config_list_unacknowledged(config, config->newest, names,
                                                MISSING_LISTED);
    json_t *list = json_array();

    for (size_t i = 0; i < missing && i < MISSING_LISTED; i++) {
        json_array_append_new(list, json_string(names[i]));
    }
    return json_pack("{s:I,s:s,s:I,s:I,s:I,s:o}", "revision",
                     (json_int_t)config->revision, "digest", config->digest,
                     "newest", (json_int_t)config->newest, "members",
                     (json_int_t)member_count(config), "missing_count",
                     (json_int_t)missing, "missing", list);
}
