/**
 * @file
 * Units of time, for code that needs neither the clock nor the event loop.
 */
#ifndef CHESTNUTGAP_BASE_TIMEUNITS_H
#define CHESTNUTGAP_BASE_TIMEUNITS_H

#include <stdint.h>

#define US_PER_MS INT64_C(1000)
#define US_PER_SECOND INT64_C(1000000)

#endif
