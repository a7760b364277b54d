/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * What follows an attempt at a relayed request, and the budget of repeats.
 */
#include <string.h>

#include "relay.h"

/* Most endpoints that one request is offered to, when none of them ran it. */
#define SENDS_MAX 4
/* The same once its caller has a part of its stream: there is more to lose,
   and it waits between them, 1.2 s in all. */
#define SENDS_STARTED_MAX 8
/* A repeat with less time than this left would be late work for nobody. */
#define RETRY_TIME_MIN (30 * EL_MSEC)
/* Part of the common budget that hosts use: their windows do not begin
   together. */
#define BUDGET_SHARE 0.85

static int
may_retry (const rt_rule_t *rule)
{
  return rule->kind == RT_SAFE || (rule->kind == RT_STREAM && rule->resumable);
}

/** What to do after an attempt; LEFT is the time that the request has, BUDGET
    whether a repeat is within the budget of all. */
rt_next_t
rt_course_next (rt_course_t *state, const rt_rule_t *rule,
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
          && state->sent < (attempt->begun ? SENDS_STARTED_MAX : SENDS_MAX)
          && (not_run || may_retry (rule)) && state->may_run < rule->attempts;
  if (retry)
    return RT_NEXT_AGAIN;
  if (attempt->answered && !not_run)
    return RT_NEXT_PASS;
  return state->may_run ? RT_NEXT_FAIL : RT_NEXT_REFUSE;
}

/** A budget of RATIO repeats a request and SLACK besides in any WINDOW, for
    all hosts together. A process that began at BORN takes nothing of the slack
    in its first window. */
void
rt_spend_open (rt_spend_t *pool, double ratio, double slack, el_time_t window,
               el_time_t born)
{
  memset (pool, 0, sizeof *pool);
  pool->ratio = ratio;
  pool->slack = slack;
  pool->born = born;
  pool->slot = window / (RT_WINDOW_SLOTS - 1);
}

static void
budget_advance (rt_spend_t *pool, el_time_t now)
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

/** A request came. */
void
rt_spend_asked (rt_spend_t *pool, el_time_t now)
{
  budget_advance (pool, now);
  pool->requests[pool->at % RT_WINDOW_SLOTS]++;
}

/** Whether this host's part of the budget has a repeat left. The part grows
   when hosts die only after a window: what they spent still counts. */
int
rt_spend_left (rt_spend_t *pool, el_time_t now, size_t hosts)
{
  uint64_t asked = 0;
  uint64_t spent = 0;
  size_t most_hosts = 1;
  double most;
  size_t i;

  budget_advance (pool, now);
  if (pool->hosts[pool->at % RT_WINDOW_SLOTS] < hosts)
    pool->hosts[pool->at % RT_WINDOW_SLOTS] = hosts;
  for (i = 0; i < RT_WINDOW_SLOTS; i++)
    {
      asked += pool->requests[i];
      spent += pool->retries[i];
      if (pool->hosts[i] > most_hosts)
        most_hosts = pool->hosts[i];
    }
  most = pool->ratio * (double)asked;
  if (now >= pool->born + pool->slot * (RT_WINDOW_SLOTS - 1))
    most += pool->slack / (double)most_hosts;
  return (double)(spent + 1) <= BUDGET_SHARE * most;
}

/** Take one repeat from this host's part; gives 0 when it is spent. */
int
rt_spend_take (rt_spend_t *pool, el_time_t now, size_t hosts)
{
  if (!rt_spend_left (pool, now, hosts))
    return 0;
  pool->retries[pool->at % RT_WINDOW_SLOTS]++;
  return 1;
}
