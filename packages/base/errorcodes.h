/**
 * @file
 * All error codes, grouped by package, with the description that operators
 * read.
 */
#ifndef CHESTNUTGAP_BASE_ERRORCODES_H
#define CHESTNUTGAP_BASE_ERRORCODES_H

/* clang-format off */
#define ERROR_CODES_BASE(X)                                                   \
    X(ERROR_NONE, "no error")                                                 \
    X(ERROR_NO_MEMORY, "out of memory")                                       \
    X(ERROR_SYSTEM, "a system call failed")                                   \
    X(ERROR_ADDRESS, "not a valid address of the form IP:PORT")               \
    X(ERROR_EVENT_LOOP, "the event loop could not be set up")

#define ERROR_CODES_DOCUMENT(X)                                               \
    X(ERROR_DOCUMENT_UNREADABLE, "the document could not be read")            \
    X(ERROR_DOCUMENT_SYNTAX, "the document is not valid JSON")                \
    X(ERROR_FIELD_MISSING, "a required field is missing")                     \
    X(ERROR_FIELD_UNKNOWN, "the field is not known")                          \
    X(ERROR_FIELD_TYPE, "the field has the wrong type")                       \
    X(ERROR_FIELD_RANGE, "the value is out of range")                         \
    X(ERROR_TEXT_ENCODING, "not UTF-8 text without control characters")       \
    X(ERROR_FIELD_DUPLICATE, "the value may appear only once")                \
    X(ERROR_FIELD_REFERENCE, "the value names something that is not declared")

#define ERROR_CODES_STORE(X)                                                  \
    X(ERROR_STORE_CONFLICT, "another write came first")                       \
    X(ERROR_STORE_UNAVAILABLE, "the store is unavailable; nothing was done")  \
    X(ERROR_STORE_UNKNOWN, "the store's answer was lost; outcome unknown")    \
    X(ERROR_STORE_ANSWER, "the store's answer was not understood")

#define ERROR_CODES_PROTOCOL(X)                                               \
    X(ERROR_RPC_TIMEOUT, "the peer did not answer in time")                   \
    X(ERROR_RPC_REFUSED, "the peer's host refused the connection")            \
    X(ERROR_RPC_CLOSED, "the connection was closed before the answer")        \
    X(ERROR_RPC_GARBAGE, "the message could not be decoded")                  \
    X(ERROR_RPC_OVERSIZE, "the message is larger than allowed")               \
    X(ERROR_RPC_VERSION, "the peer speaks another protocol version")          \
    X(ERROR_RPC_PROCEDURE, "the peer does not serve the procedure")

#define ERROR_CODES_HTTP(X)                                                   \
    X(ERROR_HTTP_CONNECT, "the connection could not be made")                 \
    X(ERROR_HTTP_CUT, "the answer was cut short")                             \
    X(ERROR_HTTP_TIMEOUT, "no answer within the time limit")                  \
    X(ERROR_HTTP_OVERSIZE, "the message is larger than allowed")

#define ERROR_CODES_MEMBERSHIP(X)                                             \
    X(ERROR_LEASE_LOST, "the lease has ended")

#define ERROR_CODES_PLACEMENT(X)                                              \
    X(ERROR_NOT_OWNER, "this instance does not own the key")

#define ERROR_CODES_REQUEST(X)                                                \
    X(ERROR_SERVICE_UNKNOWN, "no service answers this path")                  \
    X(ERROR_OVERLOADED, "no capacity for the request")                        \
    X(ERROR_DEADLINE, "the request's deadline has passed")                    \
    X(ERROR_DRAINING, "the instance is leaving")                              \
    X(ERROR_HANDOVER, "the state of a moved shard could not be read")         \
    X(ERROR_KEY_MISSING, "the request has no key")                            \
    X(ERROR_KEY_INVALID, "the request's key is empty, too long or malformed") \
    X(ERROR_ID_MISSING, "the request needs an Idempotency-Key")               \
    X(ERROR_ID_INVALID, "the Idempotency-Key is empty, too long or malformed")\
    X(ERROR_DEADLINE_INVALID, "Chestnutgap-Deadline-Ms is not a number")

#define ERROR_CODES_CTL(X)                                                    \
    X(ERROR_USAGE, "the command line is not valid")
/* clang-format on */

#define ERROR_CODES(X)                                                        \
    ERROR_CODES_BASE(X)                                                       \
    ERROR_CODES_DOCUMENT(X)                                                   \
    ERROR_CODES_STORE(X)                                                      \
    ERROR_CODES_PROTOCOL(X)                                                   \
    ERROR_CODES_HTTP(X)                                                       \
    ERROR_CODES_MEMBERSHIP(X)                                                 \
    ERROR_CODES_PLACEMENT(X)                                                  \
    ERROR_CODES_REQUEST(X)                                                    \
    ERROR_CODES_CTL(X)

#endif
