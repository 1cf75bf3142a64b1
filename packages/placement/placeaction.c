#include "placement/placeaction.h"

#include <stdlib.h>

const char *
place_action_name(enum place_action_type type)
{
    static const char *const names[] = {
        [PLACE_COMMIT_PAGE] = "commit",  [PLACE_READ_PAGE] = "read",
        [PLACE_SCAN_PAGES] = "scan",     [PLACE_SHARD_GAINED] = "gained",
        [PLACE_EPOCH_RAISED] = "epoch",  [PLACE_DRAIN_SHARD] = "drain",
        [PLACE_RESUME_SHARD] = "resume", [PLACE_SHARD_LOST] = "lost",
        [PLACE_KEY_SPLIT] = "split",     [PLACE_KEY_MERGED] = "merged",
        [PLACE_RESERVE] = "reserve",     [PLACE_HANDOVER] = "handover",
        [PLACE_SEND_PAGE] = "assign",    [PLACE_PUBLISH_PAGE] = "publish",
        [PLACE_EXCHANGE_LOAD] = "probe", [PLACE_READ_MEMBER] = "refresh",
    };

    return names[type];
}

void
place_action_destroy(struct place_action *action)
{
    if (action != NULL) {
        free(action->write);
        free(action->blob);
        free(action);
    }
}
