/**
 * @file
 * How often requests may be sent once more: a share of those that came, and
 * a small reserve. Each instance keeps to its own part, so that all of them
 * together keep to the whole without agreeing on anything.
 */
#ifndef CHESTNUTGAP_FLEET_BUDGET_H
#define CHESTNUTGAP_FLEET_BUDGET_H

#include <stdbool.h>

/** A bucket of tokens. */
struct budget {
    double tokens;
    double share;   /**< tokens that each request brings */
    double reserve; /**< most tokens kept, and those at the start */
};

void budget_init(struct budget *budget, double share, double reserve);

/** A request has come from a caller. */
void budget_earn(struct budget *budget);

/** Takes a token for one more sending. @return false if there is none */
bool budget_spend(struct budget *budget);

#endif
