/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Rules that score how likely a cause is to be the culprit.
 *
 * The odds rule: each crash of a cause, that is, at which a request that has
 * it was running, multiplies its odds by the likelihood ratio of the crash:
 * how likely the cause is to crash the endpoint relative to how likely the
 * crash is otherwise. The alternatives are another cause there, weighted by
 * the odds from its other crashes, and a crash unrelated to any request, at
 * the rate at which other endpoints crash at that time. Causes and crashes
 * form a bipartite graph, on which belief propagation runs for a fixed number
 * of passes: the message from a crash to a cause uses the messages of all
 * other crashes to the other causes. Thus the fifty requests that shared one
 * crash with the culprit are cleared by its next crash without them, and a
 * rack failure incriminates no request. Of causes that the reports can't tell
 * apart, only one takes part; alternatives to each other, they would clear
 * each other.
 *
 * The count rule: a cause is the culprit after three crashes.
 */
#include <math.h>
#include <stdlib.h>

#include "libblame.h"

/* Minimum rate (1/s) of crashes of one endpoint that no request causes: one
   per hour. */
#define CRASH_RATE_MIN (1.0 / 3600)
/* The same within half a second of another crash. A common cause, such as a
   rack failure, crashes several endpoints, and a request that is retried from
   one to the next was running at each. */
#define CRASH_RATE_NEAR_CRASH 0.01
/* The time from a culprit's start at an endpoint to the crash is taken as
   log-uniform between 10 ms and 10 s: the crash rate (1/s) after RAN is 1 /
   (ln 1000 * RAN). */
#define HAZARD_LOG_RANGE 6.9
/* Precision of the reported times. */
#define TIME_RESOLUTION (50 * EL_MSEC)
/* Half of the crashes hit the first engine of a chain, or the only endpoint;
   the other half are spread over the other ten or so engines. */
#define FIRST_ENGINE_SHARE 0.5
#define OTHER_ENGINE_SHARE 0.05
/* Factor on the rate where the response had begun to arrive: a culprit mostly
   crashes the endpoint before. */
#define WRITING_SHARE 0.05
/* Weight of a crash that only one host reported. */
#define UNCONFIRMED_WEIGHT 0.5
/* In randomly generated fleets the odds change by less than 1 % after five
   passes. */
#define BP_PASSES 6
/* Crashes after which the count rule blames a request. */
#define COUNT_RULE_CRASHES 3
/* Upper limit of the odds, taken as certainty. */
#define ODDS_MAX 1e9

/* Unexplained crashes are counted in each of these windows around a crash, and
   the one with the highest rate counts: a rack fails within a second, a
   rolling fault takes a minute. */
static const el_time_t windows[BLAME_RATE_WINDOWS]
    = { 1 * EL_SEC, 10 * EL_SEC, 60 * EL_SEC };

/* Rate (1/s) at which a culprit crashes an endpoint where it has run for this
   long. */
static double
run_hazard (const blame_run_t *run)
{
  double ran = (double)(run->ran + TIME_RESOLUTION) / (double)EL_SEC;

  return (run->first ? FIRST_ENGINE_SHARE : OTHER_ENGINE_SHARE)
         * (run->writing ? WRITING_SHARE : 1) / (HAZARD_LOG_RANGE * ran);
}

static double
odds_to_probability (double odds)
{
  return odds / (1 + odds);
}

/* Whether CRASH lies in the window of length WINDOW centred at AT. */
static int
crash_within (const blame_crash_t *crash, el_time_t at, el_time_t window)
{
  el_time_t apart = crash->at > at ? crash->at - at : at - crash->at;

  return apart <= window / 2;
}

/* Sum the unexplained crashes in the window around each crash. The crashes are
   sorted by time, so that one pass of a sliding window suffices. */
static void
window_sum_unexplained (rt_blame_t *blame, size_t w)
{
  blame_crash_t *from = blame->crashes_by_time;
  blame_crash_t *to = blame->crashes_by_time;
  blame_crash_t *crash;
  double sum = 0;

  DL_FOREACH (blame->crashes_by_time, crash)
  {
    for (;
         to
         && (to->at <= crash->at || crash_within (to, crash->at, windows[w]));
         to = to->next)
      sum += to->unexplained;
    for (; !crash_within (from, crash->at, windows[w]); from = from->next)
      sum -= from->unexplained;
    crash->nearby_unexplained[w] = sum - crash->unexplained;
  }
}

/* Rate (1/s) of crashes of one endpoint that no request causes, at the time of
   the run's crash. The rates over the windows exclude other crashes of the
   run's own cause; the minimum near another crash does not. */
static double
run_background_rate (const blame_run_t *run, size_t endpoints)
{
  const blame_run_t *other;
  double max_rate = CRASH_RATE_MIN;
  double rate;
  double n;
  size_t w;

  if (CRASH_RATE_NEAR_CRASH * run->crash->nearby_unexplained[0] > max_rate)
    max_rate = CRASH_RATE_NEAR_CRASH * run->crash->nearby_unexplained[0];
  for (w = 0; w < BLAME_RATE_WINDOWS; w++)
    {
      n = run->crash->nearby_unexplained[w];
      DL_FOREACH (run->cause->runs, other)
      if (other != run
          && crash_within (other->crash, run->crash->at, windows[w]))
        n -= other->crash->unexplained;
      rate = n
             / ((double)(endpoints ? endpoints : 1) * (double)windows[w]
                / (double)EL_SEC);
      if (rate > max_rate)
        max_rate = rate;
    }
  return max_rate;
}

/* Rate (1/s) at which the run's cause crashes the endpoint, weighted by the
   probability that it is a culprit by its other crashes. */
static double
run_expected_hazard (const blame_run_t *run)
{
  return odds_to_probability (run->cause->odds / exp (run->llr))
         * run_hazard (run);
}

/* Update the hazard of each run at CRASH, and the probability that no request
   caused it, taken as 1 minus that of the likeliest. */
static void
crash_update (blame_crash_t *crash)
{
  blame_run_t *run;

  crash->unexplained = 1;
  crash->total_hazard = 0;
  DL_FOREACH2 (crash->runs, run, crash_next)
  {
    if (run->cause->leader != run->cause || run->cause->one_request)
      continue;
    run->expected_hazard = run_expected_hazard (run);
    crash->total_hazard += run->expected_hazard;
    if (1 - odds_to_probability (run->cause->odds) < crash->unexplained)
      crash->unexplained = 1 - odds_to_probability (run->cause->odds);
  }
}

static double
run_llr (const blame_run_t *run, size_t endpoints)
{
  const blame_crash_t *crash = run->crash;
  double others = crash->total_hazard > run->expected_hazard
                      ? crash->total_hazard - run->expected_hazard
                      : 0;
  double alternative_rate = run_background_rate (run, endpoints) + others;

  return (blame_crash_confirmed (crash) ? 1 : UNCONFIRMED_WEIGHT)
         * log (run_hazard (run) / alternative_rate);
}

static double
cause_odds (const blame_cause_t *cause)
{
  const blame_run_t *run;
  double sum = log (cause->prior);

  DL_FOREACH (cause->runs, run)
  sum += run->llr;
  sum = sum < log (ODDS_MAX) ? sum : log (ODDS_MAX);
  return exp (sum);
}

static void
odds_pass (rt_blame_t *blame, size_t endpoints)
{
  blame_cause_t *cause;
  blame_cause_t *next;
  blame_run_t *run;
  blame_crash_t *crash;
  size_t w;

  DL_FOREACH (blame->crashes_by_time, crash)
  crash_update (crash);
  for (w = 0; w < BLAME_RATE_WINDOWS; w++)
    window_sum_unexplained (blame, w);
  DL_FOREACH (blame->crashes_by_time, crash)
  DL_FOREACH2 (crash->runs, run, crash_next)
  if (run->cause->leader == run->cause)
    run->llr = run_llr (run, endpoints);
  HASH_ITER (hh, blame->causes, cause, next)
  if (cause->leader == cause)
    cause->odds = cause_odds (cause);
}

static void
odds_score (rt_blame_t *blame, size_t endpoints)
{
  blame_cause_t *cause;
  blame_cause_t *next;
  blame_run_t *run;
  unsigned pass;

  blame_classes_build (blame);
  HASH_ITER (hh, blame->causes, cause, next)
  {
    cause->odds = cause->prior;
    DL_FOREACH (cause->runs, run)
    run->llr = 0;
  }
  for (pass = 0; pass < BP_PASSES; pass++)
    odds_pass (blame, endpoints);
  blame_classes_share_odds (blame);
}

static void
count_score (rt_blame_t *blame, size_t endpoints)
{
  blame_cause_t *cause;
  blame_cause_t *next;
  const blame_run_t *run;
  unsigned n;

  (void)endpoints;
  blame_classes_build (blame);
  HASH_ITER (hh, blame->causes, cause, next)
  {
    DL_COUNT (cause->runs, run, n);
    cause->odds = n >= COUNT_RULE_CRASHES ? ODDS_MAX : cause->prior;
  }
}

const rt_blame_rule_t rt_blame_rule_odds = { "odds", odds_score };
const rt_blame_rule_t rt_blame_rule_count = { "count", count_score };
