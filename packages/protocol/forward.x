/*
 * Forwards a caller's request from the entry to the gate of a target.
 */

const FORWARD_NAME_MAX = 255;
const FORWARD_TARGET_MAX = 8192;
const FORWARD_HEADERS_MAX = 128;
const FORWARD_VALUE_MAX = 16384;
const FORWARD_BODY_MAX = 16777216;

enum forward_outcome {
    FORWARD_ANSWERED = 0,
    FORWARD_NOT_RUN = 1,
    FORWARD_UNKNOWN = 2
};

/* Why the target did not answer a request. */
enum forward_reason {
    FORWARD_REASON_NONE = 0,
    FORWARD_REASON_NOT_OWNER = 1,
    FORWARD_REASON_NO_LEASE = 2,
    FORWARD_REASON_OVERLOADED = 3,
    FORWARD_REASON_COLD = 4,
    FORWARD_REASON_DRAINING = 5,
    FORWARD_REASON_ZONE_OUT = 6,
    FORWARD_REASON_DEADLINE = 7,
    FORWARD_REASON_SUSPECT = 8,
    FORWARD_REASON_ID_REUSED = 9,
    FORWARD_REASON_ID_UNKNOWN = 10,
    FORWARD_REASON_TARGET_CONNECT = 11,
    FORWARD_REASON_TARGET_CUT = 12,
    FORWARD_REASON_TARGET_SHED = 13,
    FORWARD_REASON_CANCELLED = 14,
    FORWARD_REASON_PEER_LOST = 15,
    FORWARD_REASON_NO_TARGET = 16
};

struct forward_header {
    string name<FORWARD_NAME_MAX>;
    string value<FORWARD_VALUE_MAX>;
};

struct forward_request {
    string service<FORWARD_NAME_MAX>;
    unsigned int shard;                 /* number within the service */
    unsigned hyper epoch;               /* known to the entry, 0: none */
    bool keyed;                         /* the gate must own the shard */
    bool idempotent;
    bool hedge;                         /* extra attempt of a request */
    bool suspect;                       /* a target crashed while it ran */
    string key<FORWARD_NAME_MAX>;
    string request_id<FORWARD_NAME_MAX>; /* idempotency key, or empty */
    unsigned hyper remaining_us;        /* time left until the deadline */
    string method<FORWARD_NAME_MAX>;
    string target<FORWARD_TARGET_MAX>;  /* path and query */
    forward_header headers<FORWARD_HEADERS_MAX>;
    opaque body<FORWARD_BODY_MAX>;
};

/* The gate's load, part of every reply. */
struct forward_load {
    unsigned int in_flight;
    unsigned int queued;
    unsigned int limit;
    unsigned int latency_us;            /* smoothed latency of the target */
    bool cold;
    bool draining;
};

struct forward_reply {
    forward_outcome outcome;
    forward_reason reason;
    bool replayed;                      /* answer of an earlier execution */
    unsigned int retry_after_ms;
    string owner<FORWARD_NAME_MAX>;     /* hint on NOT_OWNER, or empty */
    unsigned hyper owner_epoch;
    forward_load load;
    unsigned int status;
    forward_header headers<FORWARD_HEADERS_MAX>;
    opaque body<FORWARD_BODY_MAX>;
};
