/**
 * @file
 * Writes changes of the shard map to the store, with at most one conditional
 * write per page at a time that contains all its pending changes. After a
 * conflict the page is read again. If the outcome of a write is unknown, the
 * page is read and written until its version is later than the one which that
 * write compared, so that the write can't take effect any more.
 */
#ifndef CHESTNUTGAP_PLACEMENT_PAGEWRITER_H
#define CHESTNUTGAP_PLACEMENT_PAGEWRITER_H

#include "base/random.h"
#include "base/timeunits.h"
#include "placement/peers.h"
#include "placement/shardchange.h"
#include "placement/shardmap.h"
#include "store/store.h"

#define PAGE_WRITE_ATTEMPTS 4 /* until a change fails */
#define PAGE_RETRY_MIN_US (50 * US_PER_MS)
#define PAGE_RETRY_MAX_US (2 * US_PER_SECOND)

struct pagewriter;

/** Callbacks. Of the writer's functions they may call only
 * pagewriter_add(). */
struct pagewriter_ops {
    /** Commits a write, whose result is passed to pagewriter_committed(). The
     * write is valid until then. */
    void (*commit)(void *ctx, const struct page_write *write);
    /** Reads a page, which is passed to pagewriter_page_read(). */
    void (*read)(void *ctx, uint32_t page);
    /** Applies a committed or read page to the map. */
    void (*page_known)(void *ctx, const struct shardpage *page,
                       uint64_t version);
    /** Reports the result of a change, which is freed after the call. */
    void (*ended)(void *ctx, const struct shardchange *change,
                  enum shardchange_result result);
};

/** Parameters of a writer; pointers must outlive it. */
struct pagewriter_spec {
    const char *instance;
    const char *service;
    const struct shardmap *map;
    const struct peers *peers;
    const struct pagewriter_ops *ops;
    void *ctx;
};

/** NULL if out of memory. */
struct pagewriter *pagewriter_create(const struct pagewriter_spec *spec,
                                     uint64_t seed);
void pagewriter_destroy(struct pagewriter *writer);

/** Sets the version of this instance's members row, which its moves, splits
 * and merges compare. */
void pagewriter_set_own_version(struct pagewriter *writer, uint64_t version);

/** Drops all changes without reporting results. For a new incarnation, whose
 * members row makes the earlier writes fail. */
void pagewriter_reset(struct pagewriter *writer);

/** Queues a change for its shard's page and takes ownership of it (allocated
 * by malloc). */
void pagewriter_add(struct pagewriter *writer, uint32_t page,
                    struct shardchange *change);

/** True if a change of the shard has not ended. */
bool pagewriter_has_change(const struct pagewriter *writer, uint32_t page,
                           uint32_t shard);

/** True while a write or read of the page is in progress or due. */
bool pagewriter_page_is_busy(const struct pagewriter *writer, uint32_t page);

/** Number of changes that have not ended. */
size_t pagewriter_pending(const struct pagewriter *writer);

/** True for a few seconds after the store failed or an outcome was unknown. */
bool pagewriter_is_backing_off(const struct pagewriter *writer,
                               int64_t now_us);

/** Result of commit(). version is that of the committed rows. */
void pagewriter_committed(struct pagewriter *writer, uint64_t txn_id,
                          enum store_outcome outcome, uint64_t version,
                          int64_t now_us);

/** Result of read(). page is NULL if the row is absent. */
void pagewriter_page_read(struct pagewriter *writer, uint32_t number, bool ok,
                          const struct shardpage *page, uint64_t version,
                          int64_t now_us);

/** The map got a newer page from another source. */
void pagewriter_page_changed(struct pagewriter *writer, uint32_t number,
                             int64_t now_us);

/** Ends decided changes, starts writes and reads that are due. */
void pagewriter_run(struct pagewriter *writer, int64_t now_us);

#endif
