/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Decides from the scores and crashes which requests are suspect or blocked.
 */
#include "libblame.h"

/* A request is also blocked, at lower odds, when this many endpoints have
   crashed within EARLY_CRASH_TIME of its start there since it last completed,
   and no other request at the newest crash has higher odds. Where many
   endpoints crash for other reasons, the odds alone would let it crash six. */
#define EARLY_CRASHES_MAX 4
#define EARLY_CRASH_TIME (1 * EL_SEC)
/* A request is a prime suspect if its odds are at least this fraction of the
   highest odds at its newest crash. */
#define PRIME_SUSPECT_ODDS_RATIO 0.3
/* Odds from which a request is blocked, 10 to 1. */
#define BLOCK_ODDS 10.0

/* Count the endpoints that crashed soon after the request began there, since
   it last completed. */
static unsigned
request_early_crashes (const blame_request_t *request)
{
  const blame_run_t *run;
  unsigned n = 0;

  DL_FOREACH (request->runs, run)
  n += run->ran < EARLY_CRASH_TIME;
  return n;
}

/* Return the time of the newest crash at which the request was running, or
   0. */
static el_time_t
request_last_crash (const blame_request_t *request)
{
  const blame_run_t *run;
  el_time_t last = 0;

  DL_FOREACH (request->runs, run)
  if (run->crash->at > last)
    last = run->crash->at;
  return last;
}

/* Whether no request at its newest crash, at LAST, has higher odds. */
static int
request_is_likeliest (const blame_request_t *request, el_time_t last)
{
  const blame_run_t *run;
  const blame_run_t *other;

  DL_FOREACH (request->runs, run)
  if (run->crash->at == last)
    DL_FOREACH2 (run->crash->runs, other, crash_next)
  if (other->request->odds > request->odds)
    return 0;
  return 1;
}

/* Whether to block the request now: it is the culprit, or it was blocked
   before and crashed another endpoint after the block ended. */
static int
request_must_block (const blame_request_t *request, el_time_t now)
{
  el_time_t last = request_last_crash (request);

  if (!last || now < request->blocked_until)
    return 0;
  if (request->blocked_until)
    return last > request->blocked_until;
  return request->odds >= BLOCK_ODDS
         || (request_early_crashes (request) >= EARLY_CRASHES_MAX
             && request_is_likeliest (request, last));
}

/** Score all requests anew and call BLOCKED for each that is blocked from now
    on; ENDPOINTS is the number of endpoints listed. */
void
rt_blame_update (rt_blame_t *blame, el_time_t now, size_t endpoints,
                 rt_blame_request_cb blocked, void *arg)
{
  blame_request_t *request;
  blame_request_t *next;
  rt_blame_status_t status;

  blame_expire (blame, now);
  blame->options.rule->score (blame, endpoints);
  HASH_ITER (hh, blame->requests, request, next)
  if (request_must_block (request, now))
    {
      request->holds++;
      request->blocked_until = request_last_crash (request)
                               + rt_blame_block_time (request->holds);
      status = rt_blame_get_status (blame, now, request->digest);
      blocked (arg, request->digest, &status);
    }
}

static unsigned
request_count_crashes (const blame_request_t *request)
{
  const blame_run_t *run;
  unsigned n = 0;

  DL_COUNT (request->runs, run, n);
  return n;
}

/* Whether the newest crash at which the request was running is unconfirmed. */
static int
request_is_unconfirmed (const blame_request_t *request)
{
  el_time_t last = request_last_crash (request);
  const blame_run_t *run;

  DL_FOREACH (request->runs, run)
  if (run->crash->at == last)
    return !blame_crash_confirmed (run->crash);
  return 0;
}

/* Whether no request at its newest crash has far higher odds. */
static int
request_is_prime_suspect (const blame_request_t *request)
{
  el_time_t last = request_last_crash (request);
  const blame_run_t *run;
  const blame_run_t *other;

  DL_FOREACH (request->runs, run)
  if (run->crash->at == last)
    DL_FOREACH2 (run->crash->runs, other, crash_next)
  if (other->request->odds * PRIME_SUSPECT_ODDS_RATIO > request->odds)
    return 0;
  return 1;
}

/* Return the status of a request at NOW. */
rt_blame_status_t
blame_status (const blame_request_t *request, el_time_t now)
{
  rt_blame_status_t out
      = { .crashes = request_count_crashes (request),
          .odds = request->odds,
          .blocked_until = request->blocked_until,
          .holds = request->holds,
          .unconfirmed = request_is_unconfirmed (request),
          .prime_suspect = request_is_prime_suspect (request) };

  if (now < request->blocked_until)
    out.state = RT_BLAME_BLOCKED;
  else if (out.crashes || request->blocked_until)
    out.state = RT_BLAME_SUSPECT;
  return out;
}

/** Return the status of a request at NOW; all zero if it is not tracked. */
rt_blame_status_t
rt_blame_get_status (const rt_blame_t *blame, el_time_t now,
                     rt_digest_t digest)
{
  const blame_request_t *request = blame_request_find (blame, digest);

  return request ? blame_status (request, now) : (rt_blame_status_t){ 0 };
}
