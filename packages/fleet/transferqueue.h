/**
 * @file
 * Decides when request bodies may be sent to this instance. Several instances
 * that send large bodies at the same time fill its link, and all small
 * messages to it wait behind them for up to a second. Bodies of a few tens of
 * kilobytes in transfer keep a link busy; the others wait with their senders,
 * in order of arrival, or are refused at once if they can't arrive in time.
 */
#ifndef CHESTNUTGAP_FLEET_TRANSFERQUEUE_H
#define CHESTNUTGAP_FLEET_TRANSFERQUEUE_H

#include <stddef.h>
#include <stdint.h>
#include <sys/queue.h>

enum transferqueue_verdict {
    TRANSFERQUEUE_START,
    TRANSFERQUEUE_WAIT,
    TRANSFERQUEUE_REFUSE, /**< it can't arrive before its deadline */
};

enum transferqueue_state {
    TRANSFERQUEUE_STATE_NONE,
    TRANSFERQUEUE_STATE_WAITING,
    TRANSFERQUEUE_STATE_RUNNING,
};

/** A body, embedded in its owner, which sets size and deadline. */
struct transferqueue_transfer {
    size_t size;         /**< bytes */
    int64_t deadline_us; /**< of its arrival */
    enum transferqueue_state state;
    TAILQ_ENTRY(transferqueue_transfer) link;
};

TAILQ_HEAD(transferqueue_list, transferqueue_transfer);

struct transferqueue {
    size_t limit_bytes;
    size_t running_bytes;
    size_t waiting_bytes;
    struct transferqueue_list waiting;
    int64_t counted_us; /**< until then the time with transfers is counted */
    double busy_us;     /**< time with transfers, decayed */
    double arrived;     /**< bytes that arrived in that time */
};

/** limit_bytes: of bodies in transfer; a larger one is sent alone. */
void transferqueue_init(struct transferqueue *queue, size_t limit_bytes);

/** Starts, queues or refuses a transfer. */
enum transferqueue_verdict
transferqueue_offer(struct transferqueue *queue,
                    struct transferqueue_transfer *transfer, int64_t now_us);

/** The body has arrived. */
void transferqueue_arrived(struct transferqueue *queue,
                           struct transferqueue_transfer *transfer,
                           int64_t now_us);

/** The body will not arrive. */
void transferqueue_abandon(struct transferqueue *queue,
                           struct transferqueue_transfer *transfer,
                           int64_t now_us);

/** Removes and returns the next waiting transfer to start or refuse, or NULL.
 * Call it after each event until it returns NULL. */
struct transferqueue_transfer *
transferqueue_next(struct transferqueue *queue, int64_t now_us,
                   enum transferqueue_verdict *verdict);

/** When a body that is offered now would have arrived, from now; 0 while the
 * speed isn't known. */
int64_t transferqueue_expected_us(const struct transferqueue *queue,
                                  size_t size);

#endif
