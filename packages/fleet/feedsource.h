/**
 * @file
 * Decides from whom an instance reads changed rows. In each availability zone
 * the instance whose process started first reads the store's feed; the others
 * read from it, in large zones through one another. An instance that cannot
 * read from another reads the store, and one that the store turns away reads
 * from another.
 */
#ifndef CHESTNUTGAP_FLEET_FEEDSOURCE_H
#define CHESTNUTGAP_FLEET_FEEDSOURCE_H

#include "fleet/instancetable.h"

#define FEEDSOURCE_FANOUT 64 /* instances that read from one */
#define FEEDSOURCE_HOPS_MAX 4
/* As many as may have started before this one in a zone without a tree, so
 * that all are asked before one is asked again. */
#define FEEDSOURCE_FAILED_MAX 64

/** An instance that could not be read from. */
struct feedsource_failed {
    char instance[KEYMAP_NAME_MAX + 1];
    int64_t excluded_until_us;
    unsigned failures; /**< consecutive reads without an answer */
};

struct feedsource {
    struct feedsource_failed failed[FEEDSOURCE_FAILED_MAX];
    size_t next_failed;             /**< entry to be replaced next */
    int64_t store_failing_until_us; /**< the store is not read until then */
};

/** The instance that decides. */
struct feedsource_self {
    const char *instance;
    const char *zone;
    int64_t started_ms; /**< start of its process, Unix time */
};

/** The instance to read from, or NULL for the store. */
const struct instancetable_instance *
feedsource_choose(const struct feedsource *source,
                  const struct instancetable *table,
                  const struct feedsource_self *self, int64_t now_us);

/** True if that instance's process started before one's own. Only what was
 * read from the store or from such an instance is passed on, so that
 * instances never read in a circle, in which all would take what they know
 * for new. */
bool feedsource_started_before(const struct instancetable_row *row,
                               const struct feedsource_self *self);

/** A read from the instance succeeded, or there was no answer in time. */
void feedsource_record_peer(struct feedsource *source, const char *instance,
                            bool ok, int64_t now_us);

/** The instance answered that it can't be read from. That costs no time, so it
 * is asked again soon, however often it has said so. */
void feedsource_record_refusal(struct feedsource *source, const char *instance,
                               int64_t now_us);

void feedsource_record_store(struct feedsource *source, bool ok,
                             int64_t now_us);

#endif
