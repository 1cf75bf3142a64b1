/* Reads the bytes as answers of a server, in pieces of changing size. */
#include "fuzz_http.h"

FUZZ_HTTP(HTTP_MESSAGE_ANSWER)
