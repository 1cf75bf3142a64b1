/**
 * @file
 * Estimates how long messages from other processes were in transit. Under load
 * a relayed request waits in socket buffers and on links, sometimes for longer
 * than it has left; its caller has gone by the time that it arrives.
 *
 * The clocks of two processes have an unknown offset. The least difference
 * between arrival and sending within the last half minute is taken for a
 * message that did not wait; what another one took longer is its wait (the
 * delay variation of RFC 3393).
 */
#ifndef CHESTNUTGAP_FLEET_TRANSITTIME_H
#define CHESTNUTGAP_FLEET_TRANSITTIME_H

#include <stdint.h>

/** State for all senders, of bounded size. */
struct transittime;

/** Aborts if out of memory. */
struct transittime *transittime_create(void);
void transittime_destroy(struct transittime *times);

/**
 * Records a message of a process, sent at sent_us on the sender's clock and
 * received at now_us on the own one.
 *
 * @return how long it waited, in microseconds, an hour at most; 0 for the
 * first message of a process
 */
int64_t transittime_record(struct transittime *times, uint64_t process,
                           int64_t sent_us, int64_t now_us);

#endif
