/**
 * @file
 * Procedure numbers of the RPC program between daemons. Numbers are never
 * reused; a change of a message takes a new number or a new version.
 */
#ifndef CHESTNUTGAP_PROTOCOL_PROCEDURES_H
#define CHESTNUTGAP_PROTOCOL_PROCEDURES_H

enum rpc_procedure_number {
    PROCEDURE_NULL = 0,
    PROCEDURE_CANCEL = 1,   /* TCP: stop working on an earlier call */
    PROCEDURE_FORWARD = 2,  /* TCP: forward.x */
    PROCEDURE_RENEW = 3,    /* UDP: lease.x */
    PROCEDURE_CERTIFY = 4,  /* UDP: lease.x */
    PROCEDURE_SPREAD = 5,   /* UDP: spread.x */
    PROCEDURE_FETCH = 6,    /* TCP: spread.x, items too big for a datagram */
    PROCEDURE_ASSIGN = 7,   /* TCP: move.x, a committed assignment */
    PROCEDURE_HANDOVER = 8, /* TCP: move.x, state of a shard that moves */
    PROCEDURE_RESERVE = 9,  /* TCP: move.x, asks a receiver first */
    PROCEDURE_PROBE = 10,   /* UDP: move.x, exchange of load reports */
    PROCEDURE_RELAY = 11,   /* TCP: relay.x, a request for a target */
    PROCEDURE_LOADS = 12,   /* TCP: relay.x, loads of keys */
    PROCEDURE_MOVE = 13,    /* TCP: relay.x, keys to be handed over */
    PROCEDURE_PROMISE = 14, /* TCP: relay.x, keys that are not taken */
    PROCEDURE_KEYS = 15,    /* TCP: relay.x, a map that was just written */
};

#endif
