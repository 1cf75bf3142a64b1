#include "fleet/retrybudget.h"

void
retrybudget_init(struct budget *budget, double share, double reserve)
{
    *budget = (struct budget){
        .tokens = reserve,
        .share = share,
        .reserve = reserve,
    };
}

void
retrybudget_deposit(struct budget *budget)
{
    budget->tokens += budget->share;
    if (budget->tokens > budget->reserve) {
        budget->tokens = budget->reserve;
    }
}

bool
retrybudget_withdraw(struct budget *budget)
{
    if (budget->tokens < 1.0) {
        return false;
    }
    budget->tokens -= 1.0;
    return true;
}
