#include "fleet/retrybudget.h"

void
retrybudget_init(struct retrybudget *budget, double share, double reserve)
{
    *budget = (struct retrybudget){
        .tokens = reserve,
        .share = share,
        .reserve = reserve,
    };
}

void
retrybudget_deposit(struct retrybudget *budget)
{
    budget->tokens += budget->share;
    if (budget->tokens > budget->reserve) {
        budget->tokens = budget->reserve;
    }
}

bool
retrybudget_withdraw(struct retrybudget *budget)
{
    if (budget->tokens < 1.0) {
        return false;
    }
    budget->tokens -= 1.0;
    return true;
}
