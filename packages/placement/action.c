#include "placement/action.h"

#include <stdlib.h>

const char *
place_action_name(enum place_action_type type)
{
    static const char *const names[] = {
        [PLACE_COMMIT] = "commit",   [PLACE_READ] = "read",
        [PLACE_SCAN] = "scan",       [PLACE_GAINED] = "gained",
        [PLACE_EPOCH] = "epoch",     [PLACE_DRAIN] = "drain",
        [PLACE_RESUME] = "resume",   [PLACE_LOST] = "lost",
        [PLACE_SPLIT] = "split",     [PLACE_MERGED] = "merged",
        [PLACE_RESERVE] = "reserve", [PLACE_HANDOVER] = "handover",
        [PLACE_ASSIGN] = "assign",   [PLACE_PUBLISH] = "publish",
        [PLACE_PROBE] = "probe",     [PLACE_REFRESH] = "refresh",
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
