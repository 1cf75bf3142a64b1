#include "node/zonetraffic.h"

#include <string.h>

#include "base/counter.h"
#include "node/node_internal.h"

void
zonetraffic_init(struct zonetraffic *traffic,
                 struct counter_registry *counters)
{
    traffic->bytes[ZONETRAFFIC_REQUESTS] =
        counter_add(counters, "other_zone_request_bytes",
                    "bytes of requests relayed to other zones and of their "
                    "answers");
    traffic->bytes[ZONETRAFFIC_BODIES] =
        counter_add(counters, "other_zone_body_bytes",
                    "bytes of the bodies of these requests and answers");
    traffic->bytes[ZONETRAFFIC_LOADS] =
        counter_add(counters, "other_zone_load_bytes",
                    "bytes of loads of keys asked for in other zones");
    traffic->bytes[ZONETRAFFIC_KEYS] =
        counter_add(counters, "other_zone_key_bytes",
                    "bytes of key maps, moves and promises sent to other "
                    "zones");
}

struct counter *
zonetraffic_counter(struct node *node, enum zonetraffic_purpose purpose,
                    const struct instancetable_instance *peer)
{
    return strcmp(peer->instance_row.zone, node->settings.zone) != 0
               ? node->zonetraffic.bytes[purpose]
               : NULL;
}
