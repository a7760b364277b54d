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
cause_early_crashes (const blame_cause_t *cause)
{
  const blame_run_t *run;
  unsigned n = 0;

  DL_FOREACH (cause->runs, run)
  n += run->ran < EARLY_CRASH_TIME;
  return n;
}

/* Return the time of the newest crash at which the request was running, or
   0. */
static el_time_t
cause_last_crash (const blame_cause_t *cause)
{
  const blame_run_t *run;
  el_time_t last = 0;

  DL_FOREACH (cause->runs, run)
  if (run->crash->at > last)
    last = run->crash->at;
  return last;
}

/* Whether no request at its newest crash, at LAST, has higher odds. */
static int
cause_is_likeliest (const blame_cause_t *cause, el_time_t last)
{
  const blame_run_t *run;
  const blame_run_t *other;

  DL_FOREACH (cause->runs, run)
  if (run->crash->at == last)
    DL_FOREACH2 (run->crash->runs, other, crash_next)
  if (other->cause->odds > cause->odds)
    return 0;
  return 1;
}

/* Whether to block the request now: it is the culprit, or it was blocked
   before and crashed another endpoint after the block ended. */
static int
cause_must_block (const blame_cause_t *cause, el_time_t now)
{
  el_time_t last = cause_last_crash (cause);

  if (!last || now < cause->blocked_until)
    return 0;
  if (cause->blocked_until)
    return last > cause->blocked_until;
  return cause->odds >= BLOCK_ODDS
         || (cause_early_crashes (cause) >= EARLY_CRASHES_MAX
             && cause_is_likeliest (cause, last));
}

/** Score all requests anew and call BLOCKED for each that is blocked from now
    on; ENDPOINTS is the number of endpoints listed. */
void
rt_blame_update (rt_blame_t *blame, el_time_t now, size_t endpoints,
                 rt_blame_cause_cb blocked, void *arg)
{
  blame_cause_t *cause;
  blame_cause_t *next;
  rt_blame_status_t status;

  blame_expire (blame, now);
  blame->options.rule->score (blame, endpoints);
  HASH_ITER (hh, blame->causes, cause, next)
  if (cause_must_block (cause, now))
    {
      cause->holds++;
      cause->blocked_until = cause_last_crash (cause)
                               + rt_blame_block_time (cause->holds);
      status = rt_blame_get_status (blame, now, cause->digest);
      blocked (arg, cause->digest, &status);
    }
}

static unsigned
cause_count_crashes (const blame_cause_t *cause)
{
  const blame_run_t *run;
  unsigned n = 0;

  DL_COUNT (cause->runs, run, n);
  return n;
}

/* Whether the newest crash at which the request was running is unconfirmed. */
static int
cause_is_unconfirmed (const blame_cause_t *cause)
{
  el_time_t last = cause_last_crash (cause);
  const blame_run_t *run;

  DL_FOREACH (cause->runs, run)
  if (run->crash->at == last)
    return !blame_crash_confirmed (run->crash);
  return 0;
}

/* Whether no request at its newest crash has far higher odds. */
static int
cause_is_prime_suspect (const blame_cause_t *cause)
{
  el_time_t last = cause_last_crash (cause);
  const blame_run_t *run;
  const blame_run_t *other;

  DL_FOREACH (cause->runs, run)
  if (run->crash->at == last)
    DL_FOREACH2 (run->crash->runs, other, crash_next)
  if (other->cause->odds * PRIME_SUSPECT_ODDS_RATIO > cause->odds)
    return 0;
  return 1;
}

/* Return the status of a request at NOW. */
rt_blame_status_t
blame_status (const blame_cause_t *cause, el_time_t now)
{
  rt_blame_status_t out
      = { .crashes = cause_count_crashes (cause),
          .odds = cause->odds,
          .blocked_until = cause->blocked_until,
          .holds = cause->holds,
          .unconfirmed = cause_is_unconfirmed (cause),
          .prime_suspect = cause_is_prime_suspect (cause) };

  if (now < cause->blocked_until)
    out.state = RT_BLAME_BLOCKED;
  else if (out.crashes || cause->blocked_until)
    out.state = RT_BLAME_SUSPECT;
  return out;
}

/** Return the status of a request at NOW; all zero if it is not tracked. */
rt_blame_status_t
rt_blame_get_status (const rt_blame_t *blame, el_time_t now,
                     rt_digest_t digest)
{
  const blame_cause_t *cause = blame_cause_find (blame, digest);

  return cause ? blame_status (cause, now) : (rt_blame_status_t){ 0 };
}
