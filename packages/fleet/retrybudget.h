/**
 * @file
 * How often requests may be sent once more: a share of those that came, and
 * a small reserve. Each instance keeps to its own part, so that all of them
 * together keep to the whole without agreeing on anything.
 */
#ifndef CHESTNUTGAP_FLEET_RETRYBUDGET_H
#define CHESTNUTGAP_FLEET_RETRYBUDGET_H

#include <stdbool.h>

/** A bucket of tokens. */
struct budget {
    double tokens;
    double share;   /**< tokens that each request brings */
    double reserve; /**< most tokens kept, and those at the start */
};

void retrybudget_init(struct budget *budget, double share, double reserve);

/** A request has come from a caller. */
void retrybudget_deposit(struct budget *budget);

/** Takes a token for one more sending. @return false if there is none */
bool retrybudget_withdraw(struct budget *budget);

#endif
