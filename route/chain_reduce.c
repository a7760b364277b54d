/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Reduces the engines that a search for a chain looks at.
 */
#include "libchain.h"

/* Up to this many engines are all searched. Of more, those that hold the same
   layers on the same card in the same hall are replicas of each other, and the
   REPLICAS_SEARCHED cheapest of them are: a search then costs what the
   distinct ranges cost, not the engines. Several remain, as an engine runs
   only one part of a chain. */
#define CANDIDATES_ALL 512
#define REPLICAS_SEARCHED 2

/* Engines that hold the same layers on the same card in the same hall, and at
   all of which streams may begin, or at none. */
typedef struct chain_replicas
{
  struct chain_replicas_key
  {
    const rt_card_t *card;
    unsigned hall;
    unsigned first;
    unsigned end;
    unsigned may_begin; /* also fills the padding */
  } key;
  chain_candidate_t cheapest[REPLICAS_SEARCHED]; /* in order of cost */
  size_t n;
  UT_hash_handle hh;
} chain_replicas_t;

/* Cost of all layers that C holds, as one part. */
static double
candidate_cost (const chain_candidate_t *c)
{
  const rt_attrs_t *attrs = &c->target->attrs;

  return (attrs->end - attrs->first) * c->layer_ms
         + PREFILL_WAIT_WEIGHT * c->estimate.prefill_wait_ms
         + (attrs->first ? 0 : c->estimate.slot_wait_ms);
}

/* Keeps C if it is among the cheapest ones of its replicas. */
static void
replicas_add (chain_replicas_t *replicas, const chain_candidate_t *c)
{
  double cost = candidate_cost (c);
  size_t i = replicas->n;

  while (i > 0 && cost < candidate_cost (&replicas->cheapest[i - 1]))
    {
      if (i < REPLICAS_SEARCHED)
        replicas->cheapest[i] = replicas->cheapest[i - 1];
      i--;
    }
  if (i == REPLICAS_SEARCHED)
    return;
  replicas->cheapest[i] = *c;
  if (replicas->n < REPLICAS_SEARCHED)
    replicas->n++;
}

/** Reduces a list of N candidates to the required ones and the cheapest of
   each group of replicas; returns how many remain. */
size_t
chain_reduce (chain_candidate_t *list, size_t n)
{
  chain_replicas_t *all = NULL;
  chain_replicas_t *replicas;
  chain_replicas_t *next;
  size_t kept = 0;
  size_t i;

  if (n <= CANDIDATES_ALL)
    return n;
  for (i = 0; i < n; i++)
    {
      const chain_candidate_t *c = &list[i];
      const rt_attrs_t *attrs = &c->target->attrs;
      struct chain_replicas_key key = { .card = c->card,
                                        .hall = c->hall,
                                        .first = attrs->first,
                                        .end = attrs->end,
                                        .may_begin = (unsigned)c->may_begin };

      if (c->required)
        {
          list[kept++] = *c;
          continue;
        }
      HASH_FIND (hh, all, &key, sizeof key, replicas);
      if (!replicas)
        {
          replicas = el_alloc (sizeof *replicas);
          replicas->key = key;
          HASH_ADD (hh, all, key, sizeof key, replicas);
        }
      replicas_add (replicas, c);
    }
  HASH_ITER (hh, all, replicas, next)
  {
    for (i = 0; i < replicas->n; i++)
      list[kept++] = replicas->cheapest[i];
    HASH_DEL (all, replicas);
    free (replicas);
  }
  return kept;
}
