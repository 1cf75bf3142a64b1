#include "store/store.h"

void
store_commit(const struct store *store, const struct store_txn *txn,
             store_commit_cb callback, void *ctx)
{
    store->ops->commit(store->impl, txn, callback, ctx);
}

void
store_read(const struct store *store, const char *table, const char *row,
           store_read_cb callback, void *ctx)
{
    store->ops->read(store->impl, table, row, callback, ctx);
}

void
store_scan(const struct store *store, const struct store_scan *scan,
           store_read_cb callback, void *ctx)
{
    store->ops->scan(store->impl, scan, callback, ctx);
}

void
store_put_object(const struct store *store, const char *name, const void *data,
                 size_t size, store_commit_cb callback, void *ctx)
{
    store->ops->put_object(store->impl, name, data, size, callback, ctx);
}

void
store_get_object(const struct store *store, const char *name,
                 store_object_cb callback, void *ctx)
{
    store->ops->get_object(store->impl, name, callback, ctx);
}
