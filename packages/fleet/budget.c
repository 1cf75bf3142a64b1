#include "fleet/budget.h"

void
budget_init(struct budget *budget, double share, double reserve)
{
    *budget = (struct budget){
        .tokens = reserve,
        .share = share,
        .reserve = reserve,
    };
}

void
budget_earn(struct budget *budget)
{
    budget->tokens += budget->share;
    if (budget->tokens > budget->reserve) {
        budget->tokens = budget->reserve;
    }
}

bool
budget_spend(struct budget *budget)
{
    if (budget->tokens < 1.0) {
        return false;
    }
    budget->tokens -= 1.0;
    return true;
}
