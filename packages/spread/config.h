/**
 * @file
 * Which revision of the declared state is in force on this member, and which
 * one each other member has acknowledged. A revision in force is only ever
 * replaced by a higher one, whatever is offered and by whom.
 */
#ifndef CHESTNUTGAP_SPREAD_CONFIG_H
#define CHESTNUTGAP_SPREAD_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#define CONFIG_DIGEST_SIZE 17 /* bytes of a digest as text */

struct config;

/** What came of an offered revision. */
enum config_result {
    CONFIG_IN_FORCE,         /**< it is now in force */
    CONFIG_ALREADY_IN_FORCE, /**< it is in force already */
    CONFIG_SUPERSEDED,       /**< a higher one is in force */
    CONFIG_CONFLICT,         /**< same revision, other contents: refused */
    CONFIG_REFUSED,          /**< this program can't use the document */
};

/**
 * Puts a document in force in the rest of the program. Returns false if this
 * program can't use it; the earlier revision then stays in force.
 */
typedef bool (*config_apply_cb)(void *ctx, uint64_t revision,
                                const json_t *document);

/** Starts without a revision (0). NULL when memory is short. */
struct config *config_create(config_apply_cb apply, void *ctx);
void config_destroy(struct config *config);

/** Digest of a document's contents, the same for the same contents. */
void config_digest(const json_t *document, char digest[CONFIG_DIGEST_SIZE]);

/** Offers a whole accepted document, from any source. */
enum config_result config_offer(struct config *config, uint64_t revision,
                                const json_t *document);

/**
 * Notes that the newest accepted revision was revision at now_us, as read
 * from the store or heard from a member.
 *
 * @return true if this member is behind and has to fetch the document.
 */
bool config_record_newest(struct config *config, uint64_t revision,
                          int64_t now_us);

/**
 * True if the revision in force is the newest that was heard of, and one was
 * heard since since_us. A member that regained its lease, or whose process
 * stood still, serves only then.
 */
bool config_is_fresh(const struct config *config, int64_t since_us);

uint64_t config_revision(const struct config *config);
const char *config_digest_in_force(const struct config *config);

/** The document in force, NULL if there is none. Borrowed. */
const json_t *config_document(const struct config *config);

/** Highest revision heard of, in force or not. */
uint64_t config_newest(const struct config *config);

/** Declares a member, which has acknowledged nothing yet. */
void config_add_member(struct config *config, const char *instance);

/** Forgets a member that lost its lease or left. */
void config_remove_member(struct config *config, const char *instance);

/** Notes what a member has in force. Lower than before is ignored. */
void config_record_acknowledged(struct config *config, const char *instance,
                                uint64_t revision);

/** What a member is known to have in force, 0 if unknown. */
uint64_t config_acknowledged_revision(const struct config *config,
                                      const char *instance);

/**
 * Members that have not acknowledged the revision. Names up to limit of them.
 *
 * @return their number; 0 means that it is in force everywhere.
 */
size_t config_list_unacknowledged(const struct config *config,
                                  uint64_t revision, const char **names,
                                  size_t limit);

/** {"revision", "digest", "newest", "members", "missing": [...]}. */
json_t *config_to_json(const struct config *config);

#endif
