/**
 * @file
 * Limits retries to a share of the requests and a small reserve, as a token
 * bucket. Each instance keeps its own budget, so that the total is bounded
 * without coordination.
 */
#ifndef CHESTNUTGAP_FLEET_RETRYBUDGET_H
#define CHESTNUTGAP_FLEET_RETRYBUDGET_H

#include <stdbool.h>

struct retrybudget {
    double tokens;
    double share;   /**< tokens added by each request */
    double reserve; /**< maximum and initial number of tokens */
};

void retrybudget_init(struct retrybudget *budget, double share,
                      double reserve);

/** Adds the share of one request from a caller. */
void retrybudget_deposit(struct retrybudget *budget);

/** Takes a token for one retry. @return false if there is none */
bool retrybudget_withdraw(struct retrybudget *budget);

#endif
