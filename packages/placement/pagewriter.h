/**
 * @file
 * Writes changes of the shard map: at most one conditional write per page at
 * a time, with all changes that are ready. Resolves conflicts by reading the
 * page again, and lost answers by reading and writing until a version later
 * than the compared one proves what happened.
 */
#ifndef CHESTNUTGAP_PLACEMENT_PAGEWRITER_H
#define CHESTNUTGAP_PLACEMENT_PAGEWRITER_H

#include "base/random.h"
#include "placement/peers.h"
#include "placement/shardchange.h"
#include "placement/shardmap.h"
#include "store/store.h"

#define PAGE_WRITE_ATTEMPTS 4 /* conflicts after which a change is refused */
#define PAGE_RETRY_MIN_US INT64_C(50000)
#define PAGE_RETRY_MAX_US INT64_C(2000000)

struct pagewriter;

/** What the writer tells its owner. None may call the writer back but
 * pagewriter_add(). */
struct pagewriter_ops {
    /** Commit this write and answer with pagewriter_committed(). The write
     * is valid until then. */
    void (*commit)(void *ctx, const struct page_write *write);
    /** Read the page and answer with pagewriter_page_read(). */
    void (*read)(void *ctx, uint32_t page);
    /** A page as committed or read, for the map. */
    void (*page_known)(void *ctx, const struct shardpage *page,
                       uint64_t version);
    /** A change has ended. It is freed after the call. */
    void (*ended)(void *ctx, const struct shardchange *change,
                  enum shardchange_result result);
};

/** What the writer needs to know. All are borrowed. */
struct pagewriter_spec {
    const char *instance;
    const char *service;
    const struct shardmap *map;
    const struct peers *peers;
    const struct pagewriter_ops *ops;
    void *ctx;
};

/** NULL when memory is short. */
struct pagewriter *pagewriter_create(const struct pagewriter_spec *spec,
                                     uint64_t seed);
void pagewriter_destroy(struct pagewriter *writer);

/** Version of this instance's members row, which its moves compare. */
void pagewriter_set_own_version(struct pagewriter *writer, uint64_t version);

/** Forgets all changes without a result: this is a new incarnation, whose
 * members row makes the earlier writes fail. */
void pagewriter_reset(struct pagewriter *writer);

/** Takes over a change (allocated by malloc) for its shard's page. */
void pagewriter_add(struct pagewriter *writer, uint32_t page,
                    struct shardchange *change);

/** True if a change of the shard is waiting or under way. */
bool pagewriter_has_change(const struct pagewriter *writer, uint32_t page,
                           uint32_t shard);

/** True while a write or read of the page is under way or due. */
bool pagewriter_page_is_busy(const struct pagewriter *writer, uint32_t page);

/** Number of changes that have not ended. */
size_t pagewriter_pending(const struct pagewriter *writer);

/** True if an outcome is unknown or the store failed lately. */
bool pagewriter_is_backing_off(const struct pagewriter *writer,
                               int64_t now_us);

/** Answer to commit(). version is that of the committed rows. */
void pagewriter_committed(struct pagewriter *writer, uint64_t txn_id,
                          enum store_outcome outcome, uint64_t version,
                          int64_t now_us);

/** Answer to read(). page is NULL if the row is absent. */
void pagewriter_page_read(struct pagewriter *writer, uint32_t number, bool ok,
                          const struct shardpage *page, uint64_t version,
                          int64_t now_us);

/** The map learned of a page from elsewhere. */
void pagewriter_page_changed(struct pagewriter *writer, uint32_t number,
                             int64_t now_us);

/** Starts writes and reads that are due. */
void pagewriter_run(struct pagewriter *writer, int64_t now_us);

#endif
