/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Retry budgets and the delay between attempts.
 */
#include "librt.h"

/* Each admitted request adds a tenth of a retry to the budget, up to the
   maximum. */
#define BUDGET_EARNED_TENTHS 1
#define BUDGET_RETRY_TENTHS 10
#define BUDGET_MAX_TENTHS 200

#define RETRY_DELAY_INITIAL (10 * EL_MSEC)
#define RETRY_DELAY_MAX (500 * EL_MSEC)
#define RETRY_DELAY_DOUBLINGS_MAX 6

/** Add an admitted request's share to the budget. */
void
rt_retry_budget_earn (rt_retry_budget_t *budget)
{
  budget->tenths += BUDGET_EARNED_TENTHS;
  if (budget->tenths > BUDGET_MAX_TENTHS)
    budget->tenths = BUDGET_MAX_TENTHS;
}

/** Take one retry from the budget. Returns 0 if there is none left. */
int
rt_retry_budget_spend (rt_retry_budget_t *budget)
{
  if (budget->tenths < BUDGET_RETRY_TENTHS)
    return 0;
  budget->tenths -= BUDGET_RETRY_TENTHS;
  return 1;
}

/** The delay before the next attempt after FAILURES consecutive failures: none
    after the first, then exponential backoff. Half of the delay is random, so
    that streams that failed together do not retry together. */
el_time_t
rt_retry_delay (rt_router_t *router, unsigned failures)
{
  unsigned doublings = failures > 1 ? failures - 2 : 0;
  el_time_t wait;

  if (failures <= 1)
    return 0;
  wait = RETRY_DELAY_INITIAL << (doublings < RETRY_DELAY_DOUBLINGS_MAX
                                     ? doublings
                                     : RETRY_DELAY_DOUBLINGS_MAX);
  if (wait > RETRY_DELAY_MAX)
    wait = RETRY_DELAY_MAX;
  return wait / 2 + rt_random (router) % (wait / 2 + 1);
}
