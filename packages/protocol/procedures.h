/**
 * @file
 * Procedure numbers of the RPC program between daemons. Numbers are never
 * reused; a changed message needs a new number or a new version.
 */
#ifndef CHESTNUTGAP_PROTOCOL_PROCEDURES_H
#define CHESTNUTGAP_PROTOCOL_PROCEDURES_H

enum rpc_procedure_number {
    PROCEDURE_NULL = 0,
    PROCEDURE_CANCEL = 1,    /* TCP: abandons an earlier call */
    PROCEDURE_FORWARD = 2,   /* TCP: forward.x */
    PROCEDURE_RENEW = 3,     /* UDP: lease.x */
    PROCEDURE_CERTIFY = 4,   /* UDP: lease.x */
    PROCEDURE_SPREAD = 5,    /* UDP: spread.x, small items and digests */
    PROCEDURE_FETCH = 6,     /* TCP: spread.x, items too large for UDP */
    PROCEDURE_ASSIGN = 7,    /* TCP: move.x, a committed assignment */
    PROCEDURE_HANDOVER = 8,  /* TCP: move.x, state of a moving shard */
    PROCEDURE_RESERVE = 9,   /* TCP: move.x, asks whether to move */
    PROCEDURE_PROBE = 10,    /* UDP: move.x, exchange of load reports */
    PROCEDURE_PROMISE = 14,  /* TCP: relay.x, not to take over keys */
    PROCEDURE_KEYS = 16,     /* TCP: relay.x, a newly written page of keys */
    PROCEDURE_COMMIT = 18,   /* TCP: relay.x, a transaction of the store */
    PROCEDURE_MOVE = 20,     /* TCP: relay.x, keys to hand over */
    PROCEDURE_LOADS = 22,    /* TCP: relay.x, loads of keys */
    PROCEDURE_RELAY = 23,    /* TCP: relay.x, a request for a target */
    PROCEDURE_FEED = 24,     /* TCP: relay.x, changed rows of the store */
    PROCEDURE_QUOTA = 25,    /* TCP: quota.x, tokens of a workspace's quota */
    PROCEDURE_OFFER = 26,    /* TCP: relay.x, a body that is to be sent */
    PROCEDURE_WITHDRAW = 27, /* TCP: ends an earlier call that only waits */
};

#endif
