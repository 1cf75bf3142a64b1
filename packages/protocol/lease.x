/*
 * Renewal of leases with guardians, and certificates for a fence. An
 * incarnation number identifies one run of one instance.
 */

enum lease_renew_status {
    LEASE_RENEWED = 0,
    LEASE_CERTIFIED = 1,      /* certified at this version or a later one */
    LEASE_NOT_GUARDIAN = 2    /* this process is another incarnation */
};

struct lease_renew_args {
    unsigned hyper holder;    /* incarnation of the holder */
    unsigned hyper guardian;  /* incarnation that is asked */
    unsigned hyper row_version;   /* of the holder's row, as it knows it */
    unsigned hyper revision;  /* of the configuration in force there */
    unsigned int lease_us;
};

struct lease_renew_result {
    lease_renew_status status;
    unsigned hyper revision;  /* highest that the guardian knows */
};

enum lease_certify_status {
    LEASE_CERTIFY_DONE = 0,
    LEASE_CERTIFY_ALIVE = 1,        /* the holder has renewed lately */
    LEASE_CERTIFY_STALE = 2,        /* a later version is known */
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
    unsigned int counts_in_us; /* wait until the certificate counts */
};
