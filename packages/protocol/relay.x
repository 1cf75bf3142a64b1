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
const RELAY_ROW_MAX = 8388608;
const RELAY_ROWS_MAX = 65536;
const RELAY_PARTS_MAX = 64;
const RELAY_TIME_MAX_US = 3600000000;   /* longer times count as this */

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
    RELAY_REASON_SUSPECT = 12,  /* suspected of crashing targets */
    RELAY_REASON_LIMITED = 13,  /* the target's rate limit */
    RELAY_REASON_WITHDRAWN = 14 /* the sender asked for it back */
};

struct relay_field {
    string name<RELAY_TEXT_MAX>;
    string value<RELAY_VALUE_MAX>;
};

/* One run of a target's process. */
struct relay_incarnation {
    string target<RELAY_TEXT_MAX>;
    hyper started_ms;                   /* Unix time; 0: unknown */
};

/* The rate limit that a target has named in an answer. */
struct relay_limit {
    relay_incarnation incarnation;
    double per_s;                       /* requests, from all instances */
    unsigned hyper wait_us;             /* until a new request could start */
};

enum relay_limit_state {
    RELAY_LIMIT_UNKNOWN = 0,            /* the target has not answered yet */
    RELAY_LIMIT_NONE = 1,
    RELAY_LIMIT_NAMED = 2
};

struct relay_request {
    string to<RELAY_TEXT_MAX>;          /* the instance addressed */
    string service<RELAY_TEXT_MAX>;
    string caller<RELAY_TEXT_MAX>;      /* service that sent the request */
    string id<RELAY_TEXT_MAX>;
    bool keyed;
    unsigned int key;
    unsigned hyper map_version;         /* known to the sender, for this key */
    bool idempotent;
    bool repeated;                      /* it may have reached a target */
    relay_limit *limit;                 /* known to the sender, or none */
    unsigned int priority;              /* 0 is the most urgent */
    unsigned hyper left_us;             /* at sent_us, until the deadline */
    hyper due_us;                       /* likewise, until the objective
                                           deadline, which may be past */
    unsigned hyper process;             /* identifies the sender's process */
    hyper sent_us;                      /* on the sender's clock */
    string workspace<RELAY_TEXT_MAX>;   /* of the caller, or empty */
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
    unsigned hyper map_version;         /* that names the owner */
    unsigned hyper retry_after_us;      /* 0: none */
    unsigned int load;                  /* requests in progress there */
    bool cold;
    relay_limit_state limit_state;
    relay_limit *limit;                 /* if NAMED */
    relay_incarnation *leaving;         /* if the target said that it leaves */
    unsigned int status;
    relay_field fields<RELAY_FIELDS_MAX>;
    opaque body<RELAY_BODY_MAX>;
};

/* Asks whether the body of a request may be sent now; answered when it may,
   or when it will not be in time. */
struct relay_offer {
    string to<RELAY_TEXT_MAX>;          /* the instance addressed */
    string service<RELAY_TEXT_MAX>;
    string id<RELAY_TEXT_MAX>;          /* of the request */
    unsigned hyper process;             /* identifies the sender's process */
    unsigned hyper size;                /* bytes of the body */
    unsigned hyper left_us;             /* time until the deadline */
};

struct relay_offered {
    bool accepted;                      /* the body may be sent */
    relay_reason reason;                /* if not accepted */
    unsigned hyper retry_after_us;      /* likewise; 0: none */
    unsigned int load;                  /* requests in progress there */
    bool cold;
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
    relay_limit_state limit_state;
    bool limit_exceeded;                /* requests were refused for it */
    double limit_per_s;                 /* if NAMED */
    relay_step steps<RELAY_STEPS_MAX>;
};

/* Keys to hand over to another target. */
struct relay_move {
    string to<RELAY_TEXT_MAX>;          /* the instance addressed */
    unsigned int first;
    unsigned int last;
    string instance<RELAY_TEXT_MAX>;    /* that gets them */
};

/* Asks an instance for its loads, or for the promise not to take over the
   sender's keys for a limited time. */
struct relay_question {
    string to<RELAY_TEXT_MAX>;          /* the instance addressed */
    string from<RELAY_TEXT_MAX>;
    unsigned hyper lease_version;       /* asked for a promise: of its lease */
};

/* A newly written page of a key map, for the instances that use it. */
struct relay_keys {
    string service<RELAY_TEXT_MAX>;
    unsigned int page;
    unsigned hyper row_version;
    opaque text<RELAY_MAP_MAX>;
};

struct relay_promised {
    bool promised;
};

/* Asks an instance for the rows of a table that it has learnt since it
   answered before; it answers as soon as there are any. */
struct relay_feed_request {
    string to<RELAY_TEXT_MAX>;          /* the instance addressed */
    string table<RELAY_TEXT_MAX>;
    unsigned hyper after;               /* version that the asker knows */
    unsigned hyper process;             /* of the last answer, or 0 */
    unsigned hyper sequence;            /* likewise */
    unsigned hyper wait_us;             /* longest wait for changes */
};

struct relay_row {
    string key<RELAY_TEXT_MAX>;
    unsigned hyper row_version;
    bool removed;
    opaque value<RELAY_ROW_MAX>;
};

struct relay_feed {
    bool in_touch;                      /* it reads the store successfully */
    unsigned hyper age_us;              /* of what it knows, when answering */
    unsigned hyper held_us;             /* from the call to the answer */
    unsigned int hops;                  /* instances between it and the store */
    unsigned hyper process;             /* identifies its process */
    unsigned hyper sequence;            /* of the latest row that it learnt */
    unsigned hyper store_version;       /* up to which it knows all rows */
    relay_row rows<RELAY_ROWS_MAX>;
};

/* Asks an instance to commit a transaction, together with others. */
struct relay_part {
    string table<RELAY_TEXT_MAX>;
    string key<RELAY_TEXT_MAX>;
    unsigned hyper expected;            /* version of the row; 0: no row */
    bool check_only;
    bool removes;
    opaque value<RELAY_ROW_MAX>;
};

struct relay_commit {
    string to<RELAY_TEXT_MAX>;          /* the instance addressed */
    bool soon;                          /* not to wait long for others */
    relay_part parts<RELAY_PARTS_MAX>;
};

enum relay_commit_outcome {
    RELAY_COMMIT_DONE = 0,
    RELAY_COMMIT_CONFLICT = 1,
    RELAY_COMMIT_REFUSED = 2,           /* and will not take effect */
    RELAY_COMMIT_UNKNOWN = 3            /* may take effect now or later */
};

struct relay_committed {
    relay_commit_outcome outcome;
    unsigned hyper store_version;       /* if DONE */
    relay_row rows<RELAY_PARTS_MAX>;    /* if CONFLICT: the present ones */
};
