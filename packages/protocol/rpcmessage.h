/**
 * @file
 * Headers of RPC messages (RFC 5531) in memory: encoding and decoding
 * without sockets. Credentials are AUTH_NONE.
 */
#ifndef CHESTNUTGAP_PROTOCOL_RPCMESSAGE_H
#define CHESTNUTGAP_PROTOCOL_RPCMESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <rpc/rpc.h>

#define RPC_CALL_HEADER_SIZE 40  /* bytes of a call before its arguments */
#define RPC_REPLY_HEADER_SIZE 24 /* bytes of an accepted reply */

/** How a message of the peer is to be treated. */
enum rpc_message_status {
    RPC_MESSAGE_OK,
    RPC_MESSAGE_GARBAGE,      /**< not an RPC message; nothing to answer */
    RPC_MESSAGE_RPC_MISMATCH, /**< not version 2 of ONC RPC */
    RPC_MESSAGE_PROGRAM_UNAVAILABLE,   /**< another program */
    RPC_MESSAGE_VERSION_MISMATCH,      /**< another version of the program */
    RPC_MESSAGE_PROCEDURE_UNAVAILABLE, /**< unknown procedure or wrong channel
                                        */
    RPC_MESSAGE_GARBAGE_ARGUMENTS,     /**< arguments could not be decoded */
    RPC_MESSAGE_SYSTEM_ERROR,          /**< the answer could not be produced */
    RPC_MESSAGE_STATUS_COUNT
};

/** A decoded header. */
struct rpc_header {
    uint32_t xid;
    bool is_call;
    uint32_t procedure; /**< of a call */
    enum rpc_message_status
        verdict; /**< of a call: refuse it; of a reply: failed */
};

/** Size of a whole call. encode may be NULL: no arguments. */
size_t rpc_call_size(xdrproc_t encode, const void *args);

/** Encodes a call into exactly size bytes; false if it can't be. */
bool rpc_call_encode(void *buffer, size_t size, uint32_t xid,
                     uint32_t procedure, xdrproc_t encode, const void *args);

/** Size of a whole successful reply. encode may be NULL: no result. */
size_t rpc_reply_size(xdrproc_t encode, const void *result);

bool rpc_reply_encode(void *buffer, size_t size, uint32_t xid,
                      xdrproc_t encode, const void *result);

/**
 * Encodes a reply that refuses a call.
 *
 * @return its size, or 0 if the verdict has no answer.
 */
size_t rpc_error_reply_encode(void *buffer, size_t size, uint32_t xid,
                              enum rpc_message_status verdict);

/** Decodes a header; xdr is left at the arguments or result. */
struct rpc_header rpc_header_decode(XDR *xdr);

/**
 * Decodes arguments or a result that must fill the rest of the message.
 *
 * @return memory to pass to rpc_body_free(), or NULL.
 */
void *rpc_body_decode(XDR *xdr, size_t message_size, xdrproc_t decode,
                      size_t body_size);

void rpc_body_free(void *body, xdrproc_t decode);

#endif
