/**
 * @file
 * The revision of the declared state in force on this member, and the one that
 * each other member has acknowledged. A revision in force is only ever
 * replaced by a higher one.
 */
#ifndef CHESTNUTGAP_SPREAD_CONFIG_H
#define CHESTNUTGAP_SPREAD_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#define CONFIG_DIGEST_SIZE 17 /* bytes of a digest as text */

struct config;

/** Result of config_offer(). */
enum config_result {
    CONFIG_IN_FORCE,         /**< now in force */
    CONFIG_ALREADY_IN_FORCE, /**< same revision and contents */
    CONFIG_SUPERSEDED,       /**< a higher one is in force */
    CONFIG_CONFLICT,         /**< same revision, other contents */
    CONFIG_REFUSED,          /**< apply() rejected the document */
};

/**
 * Applies a document to the rest of the program.
 *
 * @return false if this program can't use it; the earlier revision stays in
 * force.
 */
typedef bool (*config_apply_cb)(void *ctx, uint64_t revision,
                                const json_t *document);

/** Starts with revision 0, no document. NULL if out of memory. */
struct config *config_create(config_apply_cb apply, void *ctx);
void config_destroy(struct config *config);

/** Digest of a document; the order of fields doesn't matter. */
void config_digest(const json_t *document, char digest[CONFIG_DIGEST_SIZE]);

/** Puts an accepted document in force if its revision is higher. */
enum config_result config_offer(struct config *config, uint64_t revision,
                                const json_t *document);

/**
 * Records at now_us that a revision was accepted, as read from the store or
 * reported by a member.
 *
 * @return true if the document has to be fetched: a higher revision than the
 * one in force, which apply() has not rejected.
 */
bool config_record_newest(struct config *config, uint64_t revision,
                          int64_t now_us);

/**
 * True if the newest known revision is in force and a revision was recorded
 * since since_us. A member that regained its lease, or whose process was
 * suspended, serves requests only then.
 */
bool config_is_fresh(const struct config *config, int64_t since_us);

uint64_t config_revision(const struct config *config);
const char *config_digest_in_force(const struct config *config);

/** The document in force, NULL if there is none. Borrowed. */
const json_t *config_document(const struct config *config);

/** Highest known revision, in force or not. */
uint64_t config_newest(const struct config *config);

/** Adds a member, which has acknowledged nothing yet. */
void config_add_member(struct config *config, const char *instance);

/** Removes a member that lost its lease or left. */
void config_remove_member(struct config *config, const char *instance);

/** Records a member's revision in force; lower ones are ignored. */
void config_record_acknowledged(struct config *config, const char *instance,
                                uint64_t revision);

/** Highest revision that a member acknowledged, or 0. */
uint64_t config_acknowledged_revision(const struct config *config,
                                      const char *instance);

/**
 * Lists up to limit members that have not acknowledged the revision. The names
 * are borrowed.
 *
 * @return number of all such members; 0: in force everywhere.
 */
size_t config_list_unacknowledged(const struct config *config,
                                  uint64_t revision, const char **names,
                                  size_t limit);

/** {"revision", "digest", "newest", "members", "missing_count", "missing"}. */
json_t *config_to_json(const struct config *config);

#endif
