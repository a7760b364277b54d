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

/* Lift the block of a cause that ran well at AT, if the block began before.
   Return 0 if there was none. */
static int
cause_unblock (blame_cause_t *cause, el_time_t at)
{
  if (!cause->blocked_until
      || at + rt_blame_block_time (cause->holds) <= cause->blocked_until)
    return 0;
  cause->blocked_until = 0;
  return 1;
}

/* DIGEST ran well at AT: the others of SET are blocked without it, if SET
   contains it. Return 0 if not. */
static int
set_narrow (rt_blame_t *blame, blame_cause_t *set, rt_digest_t digest,
            el_time_t at)
{
  rt_block_t rest = *set->set;
  el_time_t blocked_until = set->blocked_until;
  unsigned holds = set->holds;
  blame_cause_t *cause;

  if (!rt_block_remove (&rest, digest) || !cause_unblock (set, at))
    return 0;
  cause = blame_block_get (blame, &rest, set->customer->key);
  if (cause->blocked_until < blocked_until)
    {
      cause->blocked_until = blocked_until;
      cause->holds = holds;
      cause->last_report_at = set->last_report_at;
    }
  return 1;
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
  if (cause->set && set_narrow (blame, cause, digest, at))
    narrowed = 1;
  return narrowed;
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
  if (cause->kind != RT_CAUSE_REQUEST)
    rt_blame_prove (blame, digest, at);
  if (!rumor_id)
    rumor_id = cause_rumor_id (cause);
  cause_exonerate (cause, at);
  cause_unblock (cause, at);
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
