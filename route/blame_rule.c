/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Ways to judge which request is to blame.
 *
 * By odds: each end where a request ran makes it more likely to be to blame,
 * by how much less likely the end is otherwise. It is otherwise the work of
 * another request that ran there, as far as that one is to blame by its other
 * ends, or has no request for a reason, as often as endpoints end elsewhere at
 * that time. Requests and ends are a graph; what each end says of each request
 * is worked out a few times over, from what the other ends say of the others
 * (belief propagation). So fifty that shared one end with the one to blame are
 * cleared by its next end without them, and a rack that goes dark accuses
 * nobody.
 *
 * By count: three ends.
 */
#include <math.h>
#include <stdlib.h>

#include "libblame.h"

/* Odds of a request that nothing is known of. */
#define PRIOR_ODDS 1e-6
/* Ends of one endpoint in a second that no request is to blame for, at least:
   one in an hour. */
#define RATE_LEAST (1.0 / 3600)
/* The same within half a second of another end: what ends one, as a rack that
   goes dark, ends others, and what is sent on from one to the next of them was
   there each time. */
#define RATE_NEAR 0.01
/* Ends elsewhere are counted in windows around an end, and the one with most
   counts: a rack ends within a second, a rolling fault over a minute. */
/* A request to blame may end an endpoint 10 ms or 10 s after it began, each
   tenfold as likely as the next: the chance for a second after RAN is 1 / (ln
   1000 * RAN). */
#define LOG_RANGE 6.9
/* Times are not told better than this. */
#define RAN_LEAST (50 * EL_MSEC)
/* It ends the first engine of a line, or the only endpoint, in half of the
   cases, one of the other ten or so in the other half. */
#define PART_FIRST 0.5
#define PART_OTHER 0.05
/* What only one host saw counts half. */
#define UNSURE 0.5
/* Times that it is worked out; the odds of drawn fleets change by less than
   one in a hundred after five. */
#define PASSES 6
/* Ends by which count alone judges. */
#define COUNT_MOST 3
/* Odds that stand for "to blame". */
#define ODDS_CERTAIN 1e9

static const el_time_t windows[BLAME_WINDOWS]
    = { 1 * EL_SEC, 10 * EL_SEC, 60 * EL_SEC };

/* Chance for a second that a request which is to blame ends the endpoint
   where it has run for so long. */
static double
run_hazard (const blame_run_t *run)
{
  double ran = (double)(run->ran + RAN_LEAST) / (double)EL_SEC;

  return (run->first ? PART_FIRST : PART_OTHER) / (LOG_RANGE * ran);
}

static double
odds_chance (double odds)
{
  return odds / (1 + odds);
}

/* Whether END lies in the window of length WINDOW around AT. */
static int
end_within (const blame_end_t *end, el_time_t at, el_time_t window)
{
  el_time_t apart = end->at > at ? end->at - at : at - end->at;

  return apart <= window / 2;
}

/* Count the ends without a reason around each end. They stand in the order of
   their times, so that each window only moves on. */
static void
window_count (rt_blame_t *blame, size_t w)
{
  blame_end_t *from = blame->order;
  blame_end_t *to = blame->order;
  blame_end_t *end;
  double sum = 0;

  DL_FOREACH (blame->order, end)
  {
    for (; to && (to->at <= end->at || end_within (to, end->at, windows[w]));
         to = to->next)
      sum += to->unexplained;
    for (; !end_within (from, end->at, windows[w]); from = from->next)
      sum -= from->unexplained;
    end->around[w] = sum - end->unexplained;
  }
}

/* Ends of one endpoint in a second around a run's end that have no request for
   a reason, as far as those without its own request tell. */
static double
run_rate (const blame_run_t *run, size_t endpoints)
{
  const blame_run_t *other;
  double most = RATE_LEAST;
  double rate;
  double n;
  size_t w;

  if (RATE_NEAR * run->end->around[0] > most)
    most = RATE_NEAR * run->end->around[0];
  for (w = 0; w < BLAME_WINDOWS; w++)
    {
      n = run->end->around[w];
      DL_FOREACH (run->request->runs, other)
      if (other != run && end_within (other->end, run->end->at, windows[w]))
        n -= other->end->unexplained;
      rate = n
             / ((double)(endpoints ? endpoints : 1) * (double)windows[w]
                / (double)EL_SEC);
      if (rate > most)
        most = rate;
    }
  return most;
}

/* Chance for a second that a run's request brings its end about, as far as
   the request's other ends tell. */
static double
run_share (const blame_run_t *run)
{
  return odds_chance (run->request->odds / exp (run->log_ratio))
         * run_hazard (run);
}

/* The same of all requests that ran under END; and how likely it is that none
   of them is to blame. */
static void
end_explain (blame_end_t *end)
{
  blame_run_t *run;

  end->unexplained = 1;
  end->shares = 0;
  DL_FOREACH2 (end->runs, run, end_next)
  {
    run->share = run_share (run);
    end->shares += run->share;
    if (1 - odds_chance (run->request->odds) < end->unexplained)
      end->unexplained = 1 - odds_chance (run->request->odds);
  }
}

static double
run_log_ratio (const blame_run_t *run, size_t endpoints)
{
  const blame_end_t *end = run->end;
  double others = end->shares > run->share ? end->shares - run->share : 0;
  double otherwise = run_rate (run, endpoints) + others;

  return (blame_end_sure (end) ? 1 : UNSURE)
         * log (run_hazard (run) / otherwise);
}

static double
request_odds (const blame_request_t *request)
{
  const blame_run_t *run;
  double sum = log (PRIOR_ODDS);

  DL_FOREACH (request->runs, run)
  sum += run->log_ratio;
  sum = sum < log (ODDS_CERTAIN) ? sum : log (ODDS_CERTAIN);
  return exp (sum);
}

static void
odds_pass (rt_blame_t *blame, size_t endpoints)
{
  blame_request_t *request;
  blame_request_t *next;
  blame_run_t *run;
  blame_end_t *end;
  size_t w;

  DL_FOREACH (blame->order, end)
  end_explain (end);
  for (w = 0; w < BLAME_WINDOWS; w++)
    window_count (blame, w);
  DL_FOREACH (blame->order, end)
  DL_FOREACH2 (end->runs, run, end_next)
  run->log_ratio = run_log_ratio (run, endpoints);
  HASH_ITER (hh, blame->requests, request, next)
  request->odds = request_odds (request);
}

static void
odds_judge (rt_blame_t *blame, size_t endpoints)
{
  blame_request_t *request;
  blame_request_t *next;
  blame_run_t *run;
  unsigned pass;

  HASH_ITER (hh, blame->requests, request, next)
  {
    request->odds = PRIOR_ODDS;
    DL_FOREACH (request->runs, run)
    run->log_ratio = 0;
  }
  for (pass = 0; pass < PASSES; pass++)
    odds_pass (blame, endpoints);
}

static void
count_judge (rt_blame_t *blame, size_t endpoints)
{
  blame_request_t *request;
  blame_request_t *next;
  const blame_run_t *run;
  unsigned n;

  (void)endpoints;
  HASH_ITER (hh, blame->requests, request, next)
  {
    DL_COUNT (request->runs, run, n);
    request->odds = n >= COUNT_MOST ? ODDS_CERTAIN : PRIOR_ODDS;
  }
}

const rt_blame_rule_t rt_blame_odds = { "odds", odds_judge };
const rt_blame_rule_t rt_blame_count = { "count", count_judge };
