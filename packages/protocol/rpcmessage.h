/**
 * @file
 * Encoding and decoding of RPC messages (RFC 5531) in memory. Credentials
 * are AUTH_NONE.
 */
#ifndef CHESTNUTGAP_PROTOCOL_RPCMESSAGE_H
#define CHESTNUTGAP_PROTOCOL_RPCMESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <rpc/rpc.h>

#define RPC_CALL_HEADER_SIZE 40  /* bytes of a call before its arguments */
#define RPC_REPLY_HEADER_SIZE 24 /* bytes of an accepted reply */

/** Whether a received call is acceptable, or how a received reply ended. */
enum rpc_message_status {
    RPC_MESSAGE_OK,
    RPC_MESSAGE_GARBAGE,             /**< not an RPC message; gets no reply */
    RPC_MESSAGE_RPC_MISMATCH,        /**< ONC RPC version is not 2 */
    RPC_MESSAGE_PROGRAM_UNAVAILABLE, /**< another program */
    RPC_MESSAGE_VERSION_MISMATCH,    /**< another version of the program */
    RPC_MESSAGE_PROCEDURE_UNAVAILABLE, /**< unknown procedure or wrong channel
                                        */
    RPC_MESSAGE_GARBAGE_ARGUMENTS,     /**< arguments could not be decoded */
    RPC_MESSAGE_SYSTEM_ERROR,          /**< the reply could not be encoded */
    RPC_MESSAGE_STATUS_COUNT
};

/** A decoded header. */
struct rpc_header {
    uint32_t xid;
    bool is_call;
    uint32_t procedure; /**< of a call */
    enum rpc_message_status
        status; /**< if not OK, reject the call or end it */
};

/** Bytes of a call with its header. encode NULL: no arguments. */
size_t rpc_call_size(xdrproc_t encode, const void *args);

/** Encodes a call; false if that fails or doesn't take exactly size bytes. */
bool rpc_call_encode(void *buffer, size_t size, uint32_t xid,
                     uint32_t procedure, xdrproc_t encode, const void *args);

/** Bytes of a successful reply with its header. encode NULL: no result. */
size_t rpc_reply_size(xdrproc_t encode, const void *result);

bool rpc_reply_encode(void *buffer, size_t size, uint32_t xid,
                      xdrproc_t encode, const void *result);

/**
 * Encodes the reply to a rejected call.
 *
 * @return its size, or 0 if calls of this status get no reply.
 */
size_t rpc_error_reply_encode(void *buffer, size_t size, uint32_t xid,
                              enum rpc_message_status status);

/** Decodes a header; xdr then points to the arguments or the result. */
struct rpc_header rpc_header_decode(XDR *xdr);

/**
 * Decodes arguments or a result, which must take up the rest of the message.
 *
 * @return memory to be freed with rpc_body_free(), or NULL.
 */
void *rpc_body_decode(XDR *xdr, size_t message_size, xdrproc_t decode,
                      size_t body_size);

void rpc_body_free(void *body, xdrproc_t decode);

#endif
