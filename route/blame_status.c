/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Decides from the scores and crashes which causes are suspect or blocked, and
 * what that means for a request.
 */
#include "libblame.h"

/* A cause is also blocked, at lower odds, when this many endpoints have
   crashed within EARLY_CRASH_TIME of its start there since it last ran well,
   and no other cause at the newest crash has higher odds. Where many
   endpoints crash for other reasons, the odds alone would let it crash six. */
#define EARLY_CRASHES_MAX 4
#define EARLY_CRASH_TIME (1 * EL_SEC)
/* The same for a part of a prompt that ran well before. */
#define PROVEN_CRASHES_MAX 8
/* A cause is a prime suspect if its odds are at least this fraction of the
   highest odds at its newest crash. */
#define PRIME_SUSPECT_ODDS_RATIO 0.3
/* A part of prompts is not blocked before it has this many crashes: many parts
   are shared by few requests, and two unrelated crashes may hit one of them.
 */
#define PART_CRASHES_MIN 3
/* Odds from which a cause is blocked, 10 to 1. */
#define BLOCK_ODDS 10.0
/* Odds from which requests that share a cause are sent one at a time. A single
   crash without a likelier explanation exceeds them. */
#define TRIAL_ODDS 3e-5
/* Classes that are blocked at once. */
#define CLASS_BATCH 16

/* Count the endpoints that crashed soon after a request with the cause began
   there, and before its response did, since the cause last ran well. */
static unsigned
cause_early_crashes (const blame_cause_t *cause)
{
  const blame_run_t *run;
  unsigned n = 0;

  DL_FOREACH (cause->runs, run)
  n += run->ran < EARLY_CRASH_TIME && !run->writing;
  return n;
}

static unsigned
cause_count_crashes (const blame_cause_t *cause)
{
  const blame_run_t *run;
  unsigned n = 0;

  DL_COUNT (cause->runs, run, n);
  return n;
}

/* Return the time of the newest crash of the cause, or 0. */
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

/* Whether no cause at its newest crash, at LAST, has higher odds. */
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

/* Return the time of the newest crash that all causes of SET have in common,
   or 0. */
static el_time_t
set_last_crash (const rt_blame_t *blame, const rt_block_t *set)
{
  const blame_cause_t *cause = blame_cause_find (blame, set->causes[0]);
  const blame_run_t *run;
  el_time_t last = 0;
  size_t i;

  DL_FOREACH (cause ? cause->runs : NULL, run)
  {
    for (i = 1; i < set->n; i++)
      {
        const blame_cause_t *other = blame_cause_find (blame, set->causes[i]);

        if (!other || !blame_run_find (other, run->crash))
          break;
      }
    if (i == set->n && run->crash->at > last)
      last = run->crash->at;
  }
  return last;
}

/* Block CAUSE from its newest crash, at LAST. */
static void
cause_block (blame_cause_t *cause, el_time_t now, el_time_t last,
             rt_blame_cause_cb blocked, void *arg)
{
  rt_block_t block = cause->set ? *cause->set
                                : rt_block_single (cause->kind, cause->digest);
  rt_blame_status_t status;

  block.taken_for_new = cause->taken_for_new;
  cause->holds++;
  cause->blocked_until = last + rt_blame_block_time (cause->holds);
  status = blame_status (cause, now);
  blocked (arg, &block, &status);
}

/* Block causes again that crashed another endpoint after their block ended. */
static void
block_again (rt_blame_t *blame, el_time_t now, rt_blame_cause_cb blocked,
             void *arg)
{
  blame_cause_t *cause;
  blame_cause_t *next;
  el_time_t last;

  HASH_ITER (hh, blame->causes, cause, next)
  {
    if (!cause->blocked_until || now < cause->blocked_until)
      continue;
    last = cause->set ? set_last_crash (blame, cause->set)
                      : cause_last_crash (cause);
    if (last > cause->blocked_until)
      cause_block (cause, now, last, blocked, arg);
  }
}

/* Whether the evidence against the leader of a class is sufficient. */
static int
leader_is_culprit (const rt_blame_t *blame, const blame_cause_t *leader)
{
  unsigned crashes_max = blame_is_proven (blame, leader->digest)
                             ? PROVEN_CRASHES_MAX
                             : EARLY_CRASHES_MAX;

  int is_part = leader->kind != RT_CAUSE_REQUEST;

  if (is_part
      && (leader->ambiguous || leader->one_request
          || cause_count_crashes (leader) < PART_CRASHES_MIN))
    return 0;
  /* A host that is learning takes new parts for as unlikely as those that ran
     well, and one of these that more requests have explains more crashes. */
  return (leader->odds >= BLOCK_ODDS
          && !(is_part && blame_is_learning (blame)
               && blame_ran_well (blame, leader->digest)))
         || (cause_early_crashes (leader) >= crashes_max
             && cause_is_likeliest (leader, cause_last_crash (leader)));
}

/* A class that is to be blocked. */
typedef struct class_verdict
{
  rt_block_t block;
  uint64_t customer;
  el_time_t last_crash;
  double odds;
} class_verdict_t;

/* Find classes that are to be blocked and are not yet; return their number, at
   most MAX. */
static size_t
classes_find_culprits (rt_blame_t *blame, class_verdict_t *out, size_t max)
{
  const blame_cause_t *cause;
  const blame_cause_t *next;
  const blame_cause_t *known;
  size_t n = 0;

  HASH_ITER (hh, blame->causes, cause, next)
  {
    if (n == max || !cause->runs || cause->leader != cause
        || !leader_is_culprit (blame, cause))
      continue;
    out[n].block = blame_class_block (cause);
    out[n].customer = cause->customer->key;
    out[n].last_crash = cause_last_crash (cause);
    out[n].odds = cause->odds;
    out[n].block.taken_for_new = cause->kind != RT_CAUSE_REQUEST
                                 && !blame_is_proven (blame, cause->digest);
    known = blame_cause_find (blame, out[n].block.id);
    n += !known || !known->blocked_until;
  }
  return n;
}

/* Block the classes that are to be blocked. A set that is added to the table
   may evict causes from it. */
static void
classes_block (rt_blame_t *blame, el_time_t now, rt_blame_cause_cb blocked,
               void *arg)
{
  class_verdict_t found[CLASS_BATCH];
  blame_cause_t *cause;
  size_t n;
  size_t i;

  do
    {
      n = classes_find_culprits (blame, found, CLASS_BATCH);
      for (i = 0; i < n; i++)
        {
          cause = blame_block_get (blame, &found[i].block, found[i].customer);
          cause->odds = found[i].odds;
          cause->taken_for_new = found[i].block.taken_for_new;
          if (cause->last_report_at < found[i].last_crash)
            cause->last_report_at = found[i].last_crash;
          cause_block (cause, now, found[i].last_crash, blocked, arg);
        }
    }
  while (n == CLASS_BATCH);
}

/** Score all causes anew and call BLOCKED for each that is blocked from now
    on; ENDPOINTS is the number of endpoints listed. */
void
rt_blame_update (rt_blame_t *blame, el_time_t now, size_t endpoints,
                 rt_blame_cause_cb blocked, void *arg)
{
  blame->updated_at = now;
  blame_expire (blame, now);
  blame->options.rule->score (blame, endpoints);
  block_again (blame, now, blocked, arg);
  classes_block (blame, now, blocked, arg);
}

/* Whether the newest crash of the cause is unconfirmed. */
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

/* Whether no cause at its newest crash has far higher odds. */
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

/* Return the status of a cause at NOW. */
rt_blame_status_t
blame_status (const blame_cause_t *cause, el_time_t now)
{
  rt_blame_status_t out = { .crashes = cause_count_crashes (cause),
                            .odds = cause->odds,
                            .blocked_until = cause->blocked_until,
                            .holds = cause->holds,
                            .unconfirmed = cause_is_unconfirmed (cause),
                            .prime_suspect = cause_is_prime_suspect (cause) };

  if (now < cause->blocked_until)
    {
      out.state = RT_BLAME_BLOCKED;
      out.cause = cause->digest;
      out.kind = cause->kind;
    }
  else if (out.crashes || cause->blocked_until)
    out.state = RT_BLAME_SUSPECT;
  return out;
}

/** Return the status of a cause at NOW; all zero if it is not tracked. */
rt_blame_status_t
rt_blame_get_status (const rt_blame_t *blame, el_time_t now,
                     rt_digest_t digest)
{
  const blame_cause_t *cause = blame_cause_find (blame, digest);

  return cause ? blame_status (cause, now) : (rt_blame_status_t){ 0 };
}

/* Adds to the status of a request what is known about something that it
   shares with others. */
static void
judge_shared (const blame_cause_t *cause, el_time_t now,
              rt_blame_status_t *out, double *trial_odds)
{
  rt_blame_status_t status = blame_status (cause, now);

  if (status.state == RT_BLAME_BLOCKED)
    {
      if (out->state == RT_BLAME_BLOCKED
          && out->blocked_until >= status.blocked_until)
        return;
      out->state = status.state;
      out->cause = status.cause;
      out->kind = status.kind;
      out->crashes = status.crashes;
      out->holds = status.holds;
      out->blocked_until = status.blocked_until;
    }
  else if (status.blocked_until || status.odds >= TRIAL_ODDS)
    {
      if (out->trial && status.odds < *trial_odds)
        return;
      *trial_odds = status.odds;
      out->trial = cause->digest;
      out->trial_crashes = status.crashes;
    }
}

/** Return what the reports say about a request with TRAITS at NOW. */
rt_blame_status_t
rt_blame_judge (const rt_blame_t *blame, el_time_t now,
                const rt_traits_t *traits)
{
  rt_blame_status_t out = rt_blame_get_status (blame, now, traits->digest);
  const blame_cause_t *cause;
  const blame_cause_t *next;
  double trial_odds = 0;
  size_t i;

  if (!blame->nshared || !traits->nparts)
    return out;
  for (i = 0; i < traits->nparts; i++)
    {
      cause = blame_cause_find (
          blame, rt_customer_part (traits->customer, traits->parts[i]));
      if (cause)
        judge_shared (cause, now, &out, &trial_odds);
      cause = blame_cause_find (blame, traits->parts[i]);
      if (cause)
        judge_shared (cause, now, &out, &trial_odds);
    }
  if (!blame->nsets)
    return out;
  HASH_ITER (hh, blame->causes, cause, next)
  if (cause->set && rt_block_has (cause->set, traits))
    judge_shared (cause, now, &out, &trial_odds);
  return out;
}
