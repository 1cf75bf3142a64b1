/*
 * Spreads versioned items among members: announcements, small items and a
 * digest of the known items by datagram, large items by TCP.
 */

const SPREAD_NAME_MAX = 95;
const SPREAD_INLINE_MAX = 320;
const SPREAD_ITEMS_MAX = 24;
const SPREAD_BUCKETS = 48;
const SPREAD_KNOWN_MAX = 48;
const SPREAD_PAYLOAD_MAX = 4194304;

enum spread_kind {
    SPREAD_CONFIG = 0,
    SPREAD_SUSPECT = 1,
    SPREAD_MEMBER = 2,
    SPREAD_PAGE = 3
};

/* An item, or only its announcement if the payload is too large. */
struct spread_entry {
    spread_kind kind;
    string name<SPREAD_NAME_MAX>;
    unsigned hyper item_version;
    unsigned int size;                  /* of the whole payload */
    opaque payload<SPREAD_INLINE_MAX>;  /* empty if too large */
};

struct spread_known {
    unsigned hyper hash;                /* of kind and name */
    unsigned hyper item_version;
};

struct spread_message {
    string from<SPREAD_NAME_MAX>;       /* instance */
    unsigned hyper revision;            /* in force at the sender */
    spread_entry items<SPREAD_ITEMS_MAX>;
    unsigned int section;               /* that the sums cover */
    unsigned int sections;              /* 0: no sums */
    unsigned int sums<SPREAD_BUCKETS>;
    unsigned hyper wanted<SPREAD_KNOWN_MAX>; /* hashes of items to send */
};

struct spread_reply {
    unsigned hyper revision;            /* in force at the receiver */
    unsigned int fresh;                 /* items new to the receiver */
    unsigned int buckets<SPREAD_BUCKETS>; /* that differ, listed in known */
    spread_known known<SPREAD_KNOWN_MAX>; /* all items in these buckets */
    spread_entry items<SPREAD_ITEMS_MAX>; /* that the sender wanted */
};

struct spread_fetch {
    spread_kind kind;
    string name<SPREAD_NAME_MAX>;
};

struct spread_fetched {
    bool found;
    unsigned hyper item_version;
    opaque payload<SPREAD_PAYLOAD_MAX>;
};
