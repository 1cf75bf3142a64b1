/*
 * Moves shards between instances.
 */

const MOVE_NAME_MAX = 63;
const MOVE_BLOB_MAX = 8388608;
const MOVE_PAGE_MAX = 65536;

/* Asks the receiver whether it will accept a shard. */
struct move_reserve {
    string service<MOVE_NAME_MAX>;
    string from<MOVE_NAME_MAX>;
    double weight;                  /* requests in progress, smoothed */
    bool urgent;                    /* the owner must give up the shard */
};

/* State of a shard that is about to change owners. */
struct move_handover {
    string service<MOVE_NAME_MAX>;
    string from<MOVE_NAME_MAX>;
    unsigned hyper incarnation;     /* of from */
    unsigned hyper attempt;
    unsigned int shard;
    unsigned int epoch;             /* of the receiver's ownership */
    double weight;
    opaque blob<MOVE_BLOB_MAX>;
};

struct move_answer {
    bool accepted;
};

/* A committed page of the shard map, the JSON of its row. */
struct move_assign {
    unsigned hyper page_version;
    string page<MOVE_PAGE_MAX>;
};

/* Load of the sender; the reply carries the receiver's. */
struct move_load {
    string service<MOVE_NAME_MAX>;
    string instance<MOVE_NAME_MAX>;
    double load;                    /* requests in progress, smoothed */
    bool cold;
    double cold_limit;              /* capacity while cold, in requests */
    bool wants;                     /* asks for its share of shards */
};
