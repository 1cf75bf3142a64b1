/*
 * Relays a caller's request from the instance that received it to the
 * instance of its target. Also key loads, key moves and key maps.
 */

const RELAY_TEXT_MAX = 255;
const RELAY_PATH_MAX = 8192;
const RELAY_FIELDS_MAX = 128;
const RELAY_VALUE_MAX = 16384;
const RELAY_BODY_MAX = 67108864;
const RELAY_STEPS_MAX = 1024;
const RELAY_MAP_MAX = 65536;

enum relay_outcome {
    RELAY_ANSWERED = 0,
    RELAY_NOT_RUN = 1,          /* and will not run */
    RELAY_UNKNOWN = 2           /* may have run */
};

/* Why the target gave no answer. */
enum relay_reason {
    RELAY_REASON_NONE = 0,
    RELAY_REASON_NO_TARGET = 1,
    RELAY_REASON_LEAVING = 2,   /* target or instance is leaving */
    RELAY_REASON_ZONE_OUT = 3,
    RELAY_REASON_NOT_OWNER = 4, /* another instance owns the key */
    RELAY_REASON_MOVING = 5,    /* the key is being handed over */
    RELAY_REASON_FULL = 6,      /* no free slot in time */
    RELAY_REASON_SHED = 7,      /* the target refused it */
    RELAY_REASON_DEADLINE = 8,
    RELAY_REASON_CONNECT = 9,   /* no connection to the target */
    RELAY_REASON_CUT = 10,      /* connection closed during the request */
    RELAY_REASON_INVALID = 11,  /* the target's answer was malformed */
    RELAY_REASON_SUSPECT = 12   /* suspected of crashing targets */
};

struct relay_field {
    string name<RELAY_TEXT_MAX>;
    string value<RELAY_VALUE_MAX>;
};

struct relay_request {
    string to<RELAY_TEXT_MAX>;          /* the instance addressed */
    string service<RELAY_TEXT_MAX>;
    string caller<RELAY_TEXT_MAX>;      /* service that sent the request */
    string id<RELAY_TEXT_MAX>;
    bool keyed;
    unsigned int key;
    bool idempotent;
    unsigned int priority;              /* 0 is the most urgent */
    unsigned hyper left_us;             /* time until the deadline */
    hyper due_us;                       /* objective deadline, may be past */
    unsigned hyper route;               /* identifies the route */
    unsigned hyper fingerprint;
    string method<RELAY_TEXT_MAX>;
    string path<RELAY_PATH_MAX>;        /* and query */
    relay_field fields<RELAY_FIELDS_MAX>;
    opaque body<RELAY_BODY_MAX>;
};

struct relay_reply {
    relay_outcome outcome;
    relay_reason reason;
    bool reached;                       /* the target received the request */
    string owner<RELAY_TEXT_MAX>;       /* of the key if another, or empty */
    unsigned hyper retry_after_us;      /* 0: none */
    unsigned int load;                  /* requests in progress there */
    bool cold;
    unsigned int status;
    relay_field fields<RELAY_FIELDS_MAX>;
    opaque body<RELAY_BODY_MAX>;
};

/* Load of the keys of an instance's target. */
struct relay_step {
    unsigned int first;
    unsigned int load;
};

struct relay_loads {
    string instance<RELAY_TEXT_MAX>;
    unsigned int slots;
    unsigned int load;                  /* requests queued or running */
    unsigned hyper service_us;          /* smoothed time of a request */
    bool cold;
    bool serving;
    relay_step steps<RELAY_STEPS_MAX>;
};

/* Keys to hand over to another target. */
struct relay_move {
    string to<RELAY_TEXT_MAX>;          /* the instance addressed */
    unsigned int first;
    unsigned int last;
    string instance<RELAY_TEXT_MAX>;
    string target<RELAY_TEXT_MAX>;
    hyper born_ms;
};

/* Asks an instance for its loads, or for the promise not to take over the
   sender's keys for a limited time. */
struct relay_question {
    string to<RELAY_TEXT_MAX>;          /* the instance addressed */
    string from<RELAY_TEXT_MAX>;
};

/* A newly written key map, for the instances that use it. */
struct relay_keys {
    string service<RELAY_TEXT_MAX>;
    unsigned hyper row_version;
    opaque text<RELAY_MAP_MAX>;
};

struct relay_promised {
    bool promised;
};
