/*
 * Passing of a caller's request from the instance that took it to the one
 * beside its target, and what instances tell each other about keys.
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
    RELAY_NOT_RUN = 1,          /* and never will be */
    RELAY_UNKNOWN = 2           /* may have run */
};

/* Why the target gave no answer. */
enum relay_reason {
    RELAY_REASON_NONE = 0,
    RELAY_REASON_NO_TARGET = 1,
    RELAY_REASON_LEAVING = 2,   /* the target or the instance leaves */
    RELAY_REASON_ZONE_OUT = 3,
    RELAY_REASON_NOT_OWNER = 4, /* the key is another instance's */
    RELAY_REASON_MOVING = 5,    /* the key is on its way */
    RELAY_REASON_FULL = 6,      /* no room in time */
    RELAY_REASON_SHED = 7,      /* the target refused it */
    RELAY_REASON_DEADLINE = 8,
    RELAY_REASON_CONNECT = 9,   /* no connection to the target */
    RELAY_REASON_CUT = 10,      /* the connection closed amid it */
    RELAY_REASON_INVALID = 11,  /* the target's answer was not one */
    RELAY_REASON_SUSPECT = 12   /* it is held to stop targets */
};

struct relay_field {
    string name<RELAY_TEXT_MAX>;
    string value<RELAY_VALUE_MAX>;
};

struct relay_request {
    string to<RELAY_TEXT_MAX>;          /* instance that is meant */
    string service<RELAY_TEXT_MAX>;
    string caller<RELAY_TEXT_MAX>;      /* service where it began */
    string id<RELAY_TEXT_MAX>;
    bool keyed;
    unsigned int key;
    bool idempotent;
    unsigned int priority;              /* 0 is the most urgent */
    unsigned hyper left_us;             /* until nobody waits for it */
    hyper due_us;                       /* until it counts in full; may have
                                           passed */
    unsigned hyper route;               /* tells routes apart */
    unsigned hyper fingerprint;
    string method<RELAY_TEXT_MAX>;
    string path<RELAY_PATH_MAX>;        /* and query */
    relay_field fields<RELAY_FIELDS_MAX>;
    opaque body<RELAY_BODY_MAX>;
};

struct relay_reply {
    relay_outcome outcome;
    relay_reason reason;
    bool reached;                       /* the target got it */
    string owner<RELAY_TEXT_MAX>;       /* of the key, if another; or empty */
    unsigned hyper retry_after_us;      /* 0: no advice */
    unsigned int load;                  /* requests there now */
    bool cold;
    unsigned int status;
    relay_field fields<RELAY_FIELDS_MAX>;
    opaque body<RELAY_BODY_MAX>;
};

/* How busy the keys of an instance's target are. */
struct relay_step {
    unsigned int first;
    unsigned int load;
};

struct relay_loads {
    string instance<RELAY_TEXT_MAX>;
    unsigned int slots;
    unsigned int load;                  /* requests that wait or run */
    unsigned hyper service_us;          /* smoothed time of a request */
    bool cold;
    bool serving;
    relay_step steps<RELAY_STEPS_MAX>;
};

/* Keys that are to be handed to another target. */
struct relay_move {
    string to<RELAY_TEXT_MAX>;          /* instance that is meant */
    unsigned int first;
    unsigned int last;
    string instance<RELAY_TEXT_MAX>;
    string target<RELAY_TEXT_MAX>;
    hyper born_ms;
};

/* A question of one instance to another: for its loads, or for the promise
   not to take the asker's keys for a while. */
struct relay_question {
    string to<RELAY_TEXT_MAX>;          /* instance that is meant */
    string from<RELAY_TEXT_MAX>;
};

/* A map of keys that was just written, for those to whom it matters. */
struct relay_keys {
    string service<RELAY_TEXT_MAX>;
    unsigned hyper row_version;
    opaque text<RELAY_MAP_MAX>;
};

struct relay_promised {
    bool promised;
};
