/*
 * Moves of shards between instances.
 */

const MOVE_NAME_MAX = 63;
const MOVE_BLOB_MAX = 8388608;
const MOVE_PAGE_MAX = 65536;

/* Asks the receiver whether it will accept a shard. */
struct move_reserve {
    string service<MOVE_NAME_MAX>;
    string from<MOVE_NAME_MAX>;
    double weight;                  /* requests in progress, smoothed */
    bool urgent;                    /* the owner must be rid of the shard */
};

/* State of a shard whose owner is about to change. */
struct move_handover {
    string service<MOVE_NAME_MAX>;
    string from<MOVE_NAME_MAX>;
    unsigned hyper incarnation;     /* of from */
    unsigned hyper attempt;
    unsigned int shard;
    unsigned int epoch;             /* that the receiver will have */
    double weight;
    opaque blob<MOVE_BLOB_MAX>;
};

struct move_answer {
    bool accepted;
};

/* A committed page of the shard map, as its row's JSON. */
struct move_assign {
    unsigned hyper page_version;
    string page<MOVE_PAGE_MAX>;
};

/* Load of one instance; the answer carries that of the other. */
struct move_load {
    string service<MOVE_NAME_MAX>;
    string instance<MOVE_NAME_MAX>;
    double load;                    /* requests in progress, smoothed */
    bool cold;
    double cold_limit;              /* requests borne while cold */
    bool wants;                     /* asks for its share */
};
