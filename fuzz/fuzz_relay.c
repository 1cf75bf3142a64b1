/* Decodes the bytes as each message between instances. */
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "protocol/generated/relay.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
decode(xdrproc_t procedure, size_t struct_size, const uint8_t *data,
       size_t size)
{
    XDR xdr;
    void *message = calloc(1, struct_size);
    xdrmem_create(&xdr, (char *)data, (u_int)size, XDR_DECODE);
    procedure(&xdr, message);
    xdr_free(procedure, message);
    free(message);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
#define DECODE(type)                                                          \
    decode((xdrproc_t)xdr_##type, sizeof(struct type), data, size)
    DECODE(relay_request);
    DECODE(relay_reply);
    DECODE(relay_loads);
    DECODE(relay_move);
    DECODE(relay_question);
    DECODE(relay_keys);
    DECODE(relay_feed_request);
    DECODE(relay_feed);
    DECODE(relay_commit);
    DECODE(relay_committed);
#undef DECODE
    return 0;
}
