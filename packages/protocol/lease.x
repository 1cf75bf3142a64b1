/*
 * Lease renewal with guardians, and certificates that allow a fence. Each
 * start of an instance has its own incarnation number.
 */

enum lease_renew_status {
    LEASE_RENEWED = 0,
    LEASE_CERTIFIED = 1,      /* refused: certified at this version or later */
    LEASE_NOT_GUARDIAN = 2    /* this process is another incarnation */
};

struct lease_renew_args {
    unsigned hyper holder;    /* incarnation of the holder */
    unsigned hyper guardian;  /* incarnation that the call is for */
    unsigned hyper row_version;   /* of the holder's row, known to it */
    unsigned hyper revision;  /* of the holder's configuration */
    unsigned int lease_us;
};

struct lease_renew_result {
    lease_renew_status status;
    unsigned hyper revision;  /* highest that the guardian knows */
};

enum lease_certify_status {
    LEASE_CERTIFY_DONE = 0,
    LEASE_CERTIFY_ALIVE = 1,        /* the holder renewed recently */
    LEASE_CERTIFY_STALE = 2,        /* a later row version is known */
    LEASE_CERTIFY_NOT_GUARDIAN = 3  /* this process is another incarnation */
};

struct lease_certify_args {
    unsigned hyper holder;
    unsigned hyper guardian;
    unsigned hyper row_version;
    unsigned int lease_us;
};

struct lease_certify_result {
    lease_certify_status status;
    unsigned hyper row_version;   /* latest that the guardian knows */
    unsigned int counts_in_us; /* until the certificate is valid */
};
