/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Classes of parts of prompts that the reports can't tell apart, as they name
 * them at the same crashes, and what a block of a class covers.
 */
#include <stdlib.h>

#include "libblame.h"

/* Prior odds that a cause is a culprit: a request, a part of a prompt that has
   not run well yet, and one that has. */
#define REQUEST_PRIOR_ODDS 1e-6
#define PART_PRIOR_ODDS 1e-4
#define PROVEN_PRIOR_ODDS 1e-10

/* Return a hash of the crashes of CAUSE. Each request is a class of its own:
   two requests at the same crash began there at different times. */
uint64_t
blame_class_id (const blame_cause_t *cause)
{
  const blame_run_t *run;
  uint64_t id = cause->kind == RT_CAUSE_REQUEST ? cause->digest : 0;

  DL_FOREACH (cause->runs, run)
  id ^= XXH3_64bits (&run->crash->key, sizeof run->crash->key);
  return id;
}

/* Whether all crashes of CAUSE, a part of prompts, were those of one
   request. */
static int
cause_is_of_one_request (const blame_cause_t *cause)
{
  const blame_run_t *run;

  if (cause->kind == RT_CAUSE_REQUEST || !cause->runs)
    return 0;
  DL_FOREACH (cause->runs, run)
  if (run->nrequests > 1 || run->requests != cause->runs->requests)
    return 0;
  return 1;
}

/* Sum up the requests at the crashes of CAUSE. */
static void
cause_sum_requests (blame_cause_t *cause)
{
  const blame_run_t *run;
  uint64_t pair[2];

  cause->one_request = cause_is_of_one_request (cause);
  cause->request_id = 0;
  cause->nrequests = 0;
  DL_FOREACH (cause->runs, run)
  {
    pair[0] = run->crash->key;
    pair[1] = run->requests;
    cause->request_id ^= XXH3_64bits (pair, sizeof pair);
    cause->nrequests += run->nrequests;
  }
}

static double
cause_prior (const rt_blame_t *blame, const blame_cause_t *cause)
{
  if (cause->kind == RT_CAUSE_REQUEST)
    return REQUEST_PRIOR_ODDS;
  return blame_is_proven (blame, cause->digest) ? PROVEN_PRIOR_ODDS
                                                : PART_PRIOR_ODDS;
}

/* Whether LEFT is a likelier culprit than RIGHT, which has the same crashes;
   negative if RIGHT is, 0 if both are as likely. */
static int
cause_compare (const blame_cause_t *left, const blame_cause_t *right)
{
  if (left->prior != right->prior)
    return left->prior > right->prior ? 1 : -1;
  if (left->nrequests != right->nrequests)
    return left->nrequests < right->nrequests ? 1 : -1;
  return 0;
}

/* Add CAUSE to the class of LEADER. Return the leader of both. */
static blame_cause_t *
class_join (blame_cause_t *leader, blame_cause_t *cause)
{
  int order = cause_compare (cause, leader);

  if (order > 0)
    return cause;
  if (order == 0 && cause->request_id != leader->request_id)
    leader->ambiguous = 1;
  return leader;
}

/* Choose the leader of each class. */
void
blame_classes_build (rt_blame_t *blame)
{
  blame_cause_t *leaders = NULL;
  blame_cause_t *cause;
  blame_cause_t *next;
  blame_cause_t *leader;

  HASH_ITER (hh, blame->causes, cause, next)
  {
    cause->class_id = blame_class_id (cause);
    cause->prior = cause_prior (blame, cause);
    cause->ambiguous = 0;
    cause->leader = cause;
    cause_sum_requests (cause);
    if (!cause->runs)
      continue;
    HASH_FIND (hh_class, leaders, &cause->class_id, sizeof cause->class_id,
               leader);
    if (leader && class_join (leader, cause) == leader)
      continue;
    if (leader)
      HASH_DELETE (hh_class, leaders, leader);
    HASH_ADD (hh_class, leaders, class_id, sizeof cause->class_id, cause);
  }
  HASH_ITER (hh, blame->causes, cause, next)
  if (cause->runs)
    HASH_FIND (hh_class, leaders, &cause->class_id, sizeof cause->class_id,
               cause->leader);
  HASH_CLEAR (hh_class, leaders);
}

/* Give the members of each class the odds of their leader. */
void
blame_classes_share_odds (rt_blame_t *blame)
{
  blame_cause_t *cause;
  blame_cause_t *next;

  HASH_ITER (hh, blame->causes, cause, next)
  cause->odds = cause->leader->odds;
}

/* Add a cause to BLOCK. If there are too many, those with the lowest digests
   stay, so that all hosts choose the same. */
static void
block_add (rt_block_t *block, rt_digest_t cause)
{
  size_t i;
  size_t highest = 0;

  if (block->n < RT_BLOCK_CAUSES_MAX)
    {
      block->causes[block->n++] = cause;
      return;
    }
  for (i = 1; i < block->n; i++)
    if (block->causes[i] > block->causes[highest])
      highest = i;
  if (cause < block->causes[highest])
    block->causes[highest] = cause;
}

/* What to block for the class of LEADER: the causes of the narrowest kind that
   the same requests have and that are as likely. */
rt_block_t
blame_class_block (const blame_cause_t *leader)
{
  static const int width[RT_CAUSE_KINDS] = {
    [RT_CAUSE_REQUEST] = 0, [RT_CAUSE_CUSTOMER_PART] = 1, [RT_CAUSE_PART] = 2
  };
  rt_block_t block = { .n = 0 };
  const blame_run_t *run;
  const blame_cause_t *cause;

  DL_FOREACH2 (leader->runs->crash->runs, run, crash_next)
  {
    cause = run->cause;
    if (cause->leader != leader || cause->request_id != leader->request_id
        || cause->prior != leader->prior)
      continue;
    if (!block.n || width[cause->kind] < width[block.kind])
      block = (rt_block_t){ .kind = cause->kind };
    if (cause->kind == block.kind)
      block_add (&block, cause->digest);
  }
  rt_block_seal (&block);
  return block;
}

/** Return the block of a single cause. */
rt_block_t
rt_block_single (rt_cause_kind_t kind, rt_digest_t cause)
{
  return (
      rt_block_t){ .id = cause, .kind = kind, .causes = { cause }, .n = 1 };
}

static int
digest_compare (const void *a, const void *b)
{
  rt_digest_t left = *(const rt_digest_t *)a;
  rt_digest_t right = *(const rt_digest_t *)b;

  return (left > right) - (left < right);
}

/** Sort the causes of BLOCK and set its id, the same for all hosts. */
void
rt_block_seal (rt_block_t *block)
{
  qsort (block->causes, block->n, sizeof *block->causes, digest_compare);
  block->id = block->n == 1 ? block->causes[0]
                            : XXH3_64bits (block->causes,
                                           block->n * sizeof *block->causes);
}

/** Remove CAUSE from a set. Return 0 if it is not in it. */
int
rt_block_remove (rt_block_t *block, rt_digest_t cause)
{
  size_t kept = 0;
  size_t i;

  for (i = 0; i < block->n; i++)
    if (block->causes[i] != cause)
      block->causes[kept++] = block->causes[i];
  if (kept == block->n || !kept)
    return 0;
  block->n = kept;
  rt_block_seal (block);
  return 1;
}

/** The cause PART of a prompt in prompts of CUSTOMER only. */
rt_digest_t
rt_customer_part (uint64_t customer, rt_digest_t part)
{
  return XXH3_64bits_withSeed (&part, sizeof part, customer);
}

static int
traits_have (const rt_traits_t *traits, rt_digest_t cause)
{
  size_t i;

  if (traits->digest == cause)
    return 1;
  for (i = 0; i < traits->nparts; i++)
    if (traits->parts[i] == cause
        || rt_customer_part (traits->customer, traits->parts[i]) == cause)
      return 1;
  return 0;
}

/** Whether a request with TRAITS has all causes of BLOCK. */
int
rt_block_has (const rt_block_t *block, const rt_traits_t *traits)
{
  size_t i;

  for (i = 0; i < block->n; i++)
    if (!traits_have (traits, block->causes[i]))
      return 0;
  return block->n > 0;
}

/** The name of KIND, as in logs. */
const char *
rt_cause_kind_name (rt_cause_kind_t kind)
{
  static const char *const names[RT_CAUSE_KINDS]
      = { [RT_CAUSE_REQUEST] = "request",
          [RT_CAUSE_PART] = "part",
          [RT_CAUSE_CUSTOMER_PART] = "customer-part" };

  return names[kind];
}
