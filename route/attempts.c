/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Retries of relayed requests: what follows an attempt, and the retry budget
 * that all hosts share.
 */
#include <string.h>

#include "relay.h"

/* Maximum attempts per request, including those that provably did not run. */
#define ATTEMPTS_MAX 4
/* The same once the caller has received a part of the stream: a failure then
   costs more, and the attempts are spaced out, over 1.2 s in all. */
#define ATTEMPTS_BEGUN_MAX 8
/* Minimum time left for a retry; the caller would not wait for a later
   answer. */
#define RETRY_TIME_MIN (30 * EL_MSEC)
/* Fraction of the shared budget that the hosts use. The remainder is a margin,
   as their windows are not aligned. */
#define BUDGET_SHARE 0.85

static int
may_retry (const rt_rule_t *rule)
{
  return rule->kind == RT_SAFE || (rule->kind == RT_STREAM && rule->resumable);
}

/** Decides what follows an attempt. BUDGET tells whether the shared budget
    allows a retry; LEFT is the time until the request's deadline. */
rt_next_t
rt_attempts_next (rt_attempts_t *state, const rt_rule_t *rule,
                  const rt_attempt_t *attempt, int budget, el_time_t left)
{
  int not_run = attempt->verdict == EL_NOT_RUN;
  int retry;

  state->sent++;
  if (!not_run)
    state->may_run++;
  if (attempt->answered && !not_run && !attempt->failed)
    return RT_NEXT_PASS;
  retry = budget && left > RETRY_TIME_MIN
          && state->sent < (attempt->begun ? ATTEMPTS_BEGUN_MAX : ATTEMPTS_MAX)
          && (not_run || may_retry (rule))
          && state->before + state->may_run < rule->attempts;
  if (retry)
    return RT_NEXT_RETRY;
  if (attempt->answered && !not_run)
    return RT_NEXT_PASS;
  return state->may_run ? RT_NEXT_FAIL : RT_NEXT_REFUSE;
}

/** Initializes a budget for all hosts together: RATIO retries per request plus
    SLACK retries in any WINDOW. A host that started at BORN uses no slack in
    its first window. */
void
rt_shared_budget_init (rt_shared_budget_t *pool, double ratio, double slack,
                       el_time_t window, el_time_t born)
{
  memset (pool, 0, sizeof *pool);
  pool->ratio = ratio;
  pool->slack = slack;
  pool->born = born;
  pool->slot = window / (RT_WINDOW_SLOTS - 1);
}

static void
budget_advance (rt_shared_budget_t *pool, el_time_t now)
{
  uint64_t at = now / pool->slot;

  if (at - pool->at >= RT_WINDOW_SLOTS)
    pool->at = at - RT_WINDOW_SLOTS;
  while (pool->at < at)
    {
      pool->at++;
      pool->requests[pool->at % RT_WINDOW_SLOTS] = 0;
      pool->retries[pool->at % RT_WINDOW_SLOTS] = 0;
      pool->hosts[pool->at % RT_WINDOW_SLOTS] = 0;
    }
}

/** Counts a request. */
void
rt_shared_budget_add_request (rt_shared_budget_t *pool, el_time_t now)
{
  budget_advance (pool, now);
  pool->requests[pool->at % RT_WINDOW_SLOTS]++;
}

/** Whether this host's portion of the budget has a retry left. After other
    hosts failed, the portion grows only when a window has passed, as the
    retries that they spent still count until then. */
int
rt_shared_budget_available (rt_shared_budget_t *pool, el_time_t now,
                            size_t hosts)
{
  uint64_t nrequests = 0;
  uint64_t nretries = 0;
  size_t max_hosts = 1;
  double max_retries;
  size_t i;

  budget_advance (pool, now);
  if (pool->hosts[pool->at % RT_WINDOW_SLOTS] < hosts)
    pool->hosts[pool->at % RT_WINDOW_SLOTS] = hosts;
  for (i = 0; i < RT_WINDOW_SLOTS; i++)
    {
      nrequests += pool->requests[i];
      nretries += pool->retries[i];
      if (pool->hosts[i] > max_hosts)
        max_hosts = pool->hosts[i];
    }
  max_retries = pool->ratio * (double)nrequests;
  if (now >= pool->born + pool->slot * (RT_WINDOW_SLOTS - 1))
    max_retries += pool->slack / (double)max_hosts;
  return (double)(nretries + 1) <= BUDGET_SHARE * max_retries;
}

/** Takes a retry from this host's portion. Returns 0 if none is left. */
int
rt_shared_budget_take (rt_shared_budget_t *pool, el_time_t now, size_t hosts)
{
  if (!rt_shared_budget_available (pool, now, hosts))
    return 0;
  pool->retries[pool->at % RT_WINDOW_SLOTS]++;
  return 1;
}
