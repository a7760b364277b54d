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
#define SENDS_BEGUN_MAX 8
/* A repeat with less time than this left would be late work for nobody. */
#define REPEAT_LEAST (30 * EL_MSEC)
/* Part of the common budget that hosts use: their windows do not begin
   together. */
#define BUDGET_PART 0.85

static int
may_repeat (const rt_rule_t *rule)
{
  return rule->kind == RT_SAFE || (rule->kind == RT_STREAM && rule->resumable);
}

/** What to do after an attempt; LEFT is the time that the request has, BUDGET
    whether a repeat is within the budget of all. */
rt_next_t
rt_course_next (rt_course_t *course, const rt_rule_t *rule,
                const rt_attempt_t *attempt, int budget, el_time_t left)
{
  int not_run = attempt->verdict == EL_NOT_RUN;
  int again;

  course->sent++;
  if (!not_run)
    course->may_run++;
  if (attempt->answered && !not_run && !attempt->failed)
    return RT_NEXT_PASS;
  again = budget && left > REPEAT_LEAST
          && course->sent < (attempt->begun ? SENDS_BEGUN_MAX : SENDS_MAX)
          && (not_run || may_repeat (rule))
          && course->may_run < rule->attempts;
  if (again)
    return RT_NEXT_AGAIN;
  if (attempt->answered && !not_run)
    return RT_NEXT_PASS;
  return course->may_run ? RT_NEXT_FAIL : RT_NEXT_REFUSE;
}

/** A budget of RATIO repeats a request and SLACK besides in any WINDOW, for
    all hosts together. A process that began at BORN takes nothing of the slack
    in its first window. */
void
rt_spend_open (rt_spend_t *spend, double ratio, double slack, el_time_t window,
               el_time_t born)
{
  memset (spend, 0, sizeof *spend);
  spend->ratio = ratio;
  spend->slack = slack;
  spend->born = born;
  spend->slot = window / (RT_WINDOW_SLOTS - 1);
}

static void
spend_move (rt_spend_t *spend, el_time_t now)
{
  uint64_t at = now / spend->slot;

  if (at - spend->at >= RT_WINDOW_SLOTS)
    spend->at = at - RT_WINDOW_SLOTS;
  while (spend->at < at)
    {
      spend->at++;
      spend->asked[spend->at % RT_WINDOW_SLOTS] = 0;
      spend->spent[spend->at % RT_WINDOW_SLOTS] = 0;
      spend->hosts[spend->at % RT_WINDOW_SLOTS] = 0;
    }
}

/** A request came. */
void
rt_spend_asked (rt_spend_t *spend, el_time_t now)
{
  spend_move (spend, now);
  spend->asked[spend->at % RT_WINDOW_SLOTS]++;
}

/** Whether this host's part of the budget has a repeat left. The part grows
   when hosts die only after a window: what they spent still counts. */
int
rt_spend_left (rt_spend_t *spend, el_time_t now, size_t hosts)
{
  uint64_t asked = 0;
  uint64_t spent = 0;
  size_t most_hosts = 1;
  double most;
  size_t i;

  spend_move (spend, now);
  if (spend->hosts[spend->at % RT_WINDOW_SLOTS] < hosts)
    spend->hosts[spend->at % RT_WINDOW_SLOTS] = hosts;
  for (i = 0; i < RT_WINDOW_SLOTS; i++)
    {
      asked += spend->asked[i];
      spent += spend->spent[i];
      if (spend->hosts[i] > most_hosts)
        most_hosts = spend->hosts[i];
    }
  most = spend->ratio * (double)asked;
  if (now >= spend->born + spend->slot * (RT_WINDOW_SLOTS - 1))
    most += spend->slack / (double)most_hosts;
  return (double)(spent + 1) <= BUDGET_PART * most;
}

/** Take one repeat from this host's part; gives 0 when it is spent. */
int
rt_spend_take (rt_spend_t *spend, el_time_t now, size_t hosts)
{
  if (!rt_spend_left (spend, now, hosts))
    return 0;
  spend->spent[spend->at % RT_WINDOW_SLOTS]++;
  return 1;
}
