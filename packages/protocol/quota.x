/*
 * Takes tokens of a workspace's quota from one of its granters. One token is
 * taken for each request of the workspace, before its first attempt.
 */

const QUOTA_TEXT_MAX = 255;

enum quota_outcome {
    QUOTA_GRANTED = 0,          /* as many as wanted, or all there are */
    QUOTA_NOT_GRANTER = 1,      /* or not known to be one */
    QUOTA_UNLIMITED = 2         /* no quota is known here */
};

struct quota_request {
    string to<QUOTA_TEXT_MAX>;  /* the instance addressed */
    string workspace<QUOTA_TEXT_MAX>;
    unsigned int granter;       /* 0 or 1 */
    unsigned int wanted;        /* tokens */
};

struct quota_reply {
    quota_outcome outcome;
    unsigned int granted;       /* tokens */
    unsigned hyper wait_us;     /* until there may be more */
};
