/* Reads the bytes as requests of a caller, in pieces of changing size. */
#include "fuzz_http.h"

FUZZ_HTTP(HTTP_MESSAGE_REQUEST)
