/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Clears causes that ran well, or on behalf of an operator.
 */
#include "libblame.h"

/* Stop counting crashes up to AT against the cause. */
static void
cause_exonerate (blame_cause_t *cause, el_time_t at)
{
  blame_run_t *run;
  blame_run_t *next;

  cause->cleared_at = at;
  cause->odds = 0;
  DL_FOREACH_SAFE (cause->runs, run, next)
  if (run->crash->at <= at)
    blame_run_free (run);
}

/* Return an identifier of the newest crash of this cause that other hosts
   know, or else of its block. */
static uint64_t
cause_rumor_id (const blame_cause_t *cause)
{
  const blame_run_t *run;
  const blame_crash_t *newest = NULL;

  DL_FOREACH (cause->runs, run)
  if ((run->ran < RT_BLAME_SHORT_RUN || cause->runs->next)
      && (!newest || run->crash->at > newest->at))
    newest = run->crash;
  return newest ? newest->key : cause->blocked_until;
}

/* Whether the cause was blocked before AT. */
static int
cause_blocked_before (const blame_cause_t *cause, el_time_t at)
{
  return cause->blocked_until
         && at + rt_blame_block_time (cause->holds) > cause->blocked_until;
}

/* Block the causes of SET without DIGEST in its place. */
static void
set_narrow (rt_blame_t *blame, blame_cause_t *set, rt_digest_t digest)
{
  rt_block_t rest = *set->set;
  el_time_t blocked_until = set->blocked_until;
  blame_cause_t *cause;

  set->blocked_until = 0;
  rt_block_remove (&rest, digest);
  cause = blame_block_get (blame, &rest, set->customer->key);
  if (cause->blocked_until < blocked_until)
    {
      cause->blocked_until = blocked_until;
      cause->holds = set->holds;
      cause->taken_for_new = set->taken_for_new;
      cause->last_report_at = set->last_report_at;
    }
}

static int
set_contains (const blame_cause_t *set, rt_digest_t digest)
{
  rt_block_t rest;

  if (!set->set)
    return 0;
  rest = *set->set;
  return rt_block_remove (&rest, digest);
}

/* Narrow the sets that contain DIGEST. Return 0 if there is none. */
static int
sets_narrow (rt_blame_t *blame, rt_digest_t digest, el_time_t at)
{
  blame_cause_t *cause;
  blame_cause_t *next;
  int narrowed = 0;

  if (!blame->nsets)
    return 0;
  HASH_ITER (hh, blame->causes, cause, next)
  if (set_contains (cause, digest) && cause_blocked_before (cause, at))
    {
      set_narrow (blame, cause, digest);
      narrowed = 1;
    }
  return narrowed;
}

/* DIGEST ran well before: lift the block that took it for new, and narrow the
   sets that contain it. Return 0 if there is none. */
int
blame_unblock_new (rt_blame_t *blame, rt_digest_t digest)
{
  blame_cause_t *cause = blame_cause_find (blame, digest);
  blame_cause_t *next;
  int lifted = cause && cause->blocked_until && cause->taken_for_new;

  if (lifted)
    cause->blocked_until = 0;
  HASH_ITER (hh, blame->causes, cause, next)
  if (cause->blocked_until && cause->taken_for_new
      && set_contains (cause, digest))
    {
      set_narrow (blame, cause, digest);
      lifted = 1;
    }
  return lifted;
}

/** A request that has the cause ran well at AT: earlier crashes no longer
    count against it, and a block that began before AT is lifted. A request as
    a cause ran well if it completed, a part of a prompt if the response began.
    Return an identifier, the same at all hosts, of what other hosts must clear
    it of, or 0 if there is nothing to clear. */
uint64_t
rt_blame_completed (rt_blame_t *blame, rt_digest_t digest, el_time_t at)
{
  blame_cause_t *cause = blame_cause_find (blame, digest);
  uint64_t rumor_id = sets_narrow (blame, digest, at) ? at : 0;

  if (!cause || at <= cause->cleared_at)
    return rumor_id;
  if (cause->kind != RT_CAUSE_REQUEST && blame->options.max_proven)
    blame_proven_add (blame, digest, at);
  if (!rumor_id)
    rumor_id = cause_rumor_id (cause);
  cause_exonerate (cause, at);
  if (cause_blocked_before (cause, at))
    cause->blocked_until = 0;
  return rumor_id;
}

/* Clear the causes that can't be told apart from CAUSE, which would be blocked
   in its place. */
static void
class_clear (rt_blame_t *blame, const blame_cause_t *cause, el_time_t at)
{
  uint64_t class_id = blame_class_id (cause);
  blame_cause_t *other;
  blame_cause_t *next;

  HASH_ITER (hh, blame->causes, other, next)
  if (other != cause && other->runs && blame_class_id (other) == class_id)
    cause_exonerate (other, at);
}

/** Clear the cause on behalf of an operator. Return 0 if it is not tracked or
    has already been cleared since. */
int
rt_blame_clear (rt_blame_t *blame, rt_digest_t digest, el_time_t at)
{
  blame_cause_t *cause = blame_cause_find (blame, digest);
  size_t i;

  if (!cause || at <= cause->cleared_at)
    return 0;
  for (i = 0; cause->set && i < cause->set->n; i++)
    rt_blame_clear (blame, cause->set->causes[i], at);
  if (cause->runs)
    class_clear (blame, cause, at);
  cause_exonerate (cause, at);
  cause->blocked_until = 0;
  cause->holds = 0;
  return 1;
}
