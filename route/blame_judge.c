/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Which requests are suspect or blocked, as what is known of them stands.
 */
#include "libblame.h"

/* Blocked without further doubt: so many endpoints in a row ended within
   YOUNG of its beginning there. Where many endpoints end for other reasons,
   the odds alone would let it end six. */
#define ROW_MOST 4
#define YOUNG (1 * EL_SEC)
/* Part of the odds of the likeliest under an end from which on a request is
   among the foremost there. */
#define FOREMOST_PART 0.3
/* Odds from which it is blocked, 10 to 1. */
#define BLOCK_ODDS 10.0

/* Endpoints in a row that ended soon after it began there. */
static unsigned
request_row (const blame_request_t *request)
{
  const blame_run_t *run;
  unsigned n = 0;

  DL_FOREACH (request->runs, run)
  n += run->ran < YOUNG;
  return n;
}

/* The newest end that it ran under. */
static el_time_t
request_last_end (const blame_request_t *request)
{
  const blame_run_t *run;
  el_time_t last = 0;

  DL_FOREACH (request->runs, run)
  if (run->end->at > last)
    last = run->end->at;
  return last;
}

/* Whether none of those that ran under its newest end is more likely to be to
   blame. */
static int
request_foremost (const blame_request_t *request, el_time_t last)
{
  const blame_run_t *run;
  const blame_run_t *other;

  DL_FOREACH (request->runs, run)
  if (run->end->at == last)
    DL_FOREACH2 (run->end->runs, other, end_next)
  if (other->request->odds > request->odds)
    return 0;
  return 1;
}

/* Whether it is to be blocked from now on: it is to blame, or was before and
   ended another endpoint when it was let in again. */
static int
request_blocks (const blame_request_t *request, el_time_t now)
{
  el_time_t last = request_last_end (request);

  if (!last || now < request->until)
    return 0;
  if (request->until)
    return last > request->until;
  return request->odds >= BLOCK_ODDS
         || (request_row (request) >= ROW_MOST
             && request_foremost (request, last));
}

/** Judge all requests anew, where ENDPOINTS are listed; BLOCKED is told of
    each that is blocked from now on. */
void
rt_blame_judge (rt_blame_t *blame, el_time_t now, size_t endpoints,
                rt_blame_visit_cb blocked, void *arg)
{
  blame_request_t *request;
  blame_request_t *next;
  rt_judgement_t judgement;

  blame_fade (blame, now);
  blame->options.rule->judge (blame, endpoints);
  HASH_ITER (hh, blame->requests, request, next)
  if (request_blocks (request, now))
    {
      request->holds++;
      request->until
          = request_last_end (request) + rt_blame_hold (request->holds);
      judgement = rt_blame_of (blame, now, request->digest);
      blocked (arg, request->digest, &judgement);
    }
}

static unsigned
request_ends (const blame_request_t *request)
{
  const blame_run_t *run;
  unsigned n = 0;

  DL_COUNT (request->runs, run, n);
  return n;
}

/* Whether only one host saw the newest end that it ran under. */
static int
request_unsure (const blame_request_t *request)
{
  el_time_t last = request_last_end (request);
  const blame_run_t *run;

  DL_FOREACH (request->runs, run)
  if (run->end->at == last)
    return !blame_end_sure (run->end);
  return 0;
}

/* Whether few of those that ran under its newest end are more likely to be to
   blame, by far. */
static int
request_near_foremost (const blame_request_t *request)
{
  el_time_t last = request_last_end (request);
  const blame_run_t *run;
  const blame_run_t *other;

  DL_FOREACH (request->runs, run)
  if (run->end->at == last)
    DL_FOREACH2 (run->end->runs, other, end_next)
  if (other->request->odds * FOREMOST_PART > request->odds)
    return 0;
  return 1;
}

/* What is thought of a request at NOW. */
rt_judgement_t
blame_judgement (const blame_request_t *request, el_time_t now)
{
  rt_judgement_t out = { .ends = request_ends (request),
                         .odds = request->odds,
                         .until = request->until,
                         .holds = request->holds,
                         .unsure = request_unsure (request),
                         .foremost = request_near_foremost (request) };

  if (now < request->until)
    out.state = RT_BLAME_BLOCKED;
  else if (out.ends || request->until)
    out.state = RT_BLAME_SUSPECT;
  return out;
}

/** What is thought of a request now. */
rt_judgement_t
rt_blame_of (const rt_blame_t *blame, el_time_t now, rt_digest_t digest)
{
  const blame_request_t *request = blame_request_find (blame, digest);

  return request ? blame_judgement (request, now) : (rt_judgement_t){ 0 };
}
