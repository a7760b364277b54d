/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Orders that engines end after. What an operator says of a card may be wrong,
 * and each engine of its kind falls under the order that was worked out from
 * it, starts again empty, and is given the same one: all of them, every few
 * seconds, for ever.
 */
#include <string.h>

#include "relay.h"

/* Engines that ended under an order before another one showed it: one or two
   may have ended for a reason of their own. */
#define FAILURES_MAX 3

/** What an order is known by: as many layers on such a card, whichever they
    are. */
rt_digest_t
rt_order_digest (el_str_t key, const rt_order_t *order)
{
  const unsigned layers = order->end - order->first;
  const rt_asked_t asked
      = { .method = EL_STR ("order"),
          .host = order->target->facts.service,
          .path = order->target->facts.card,
          .body = { (const char *)&layers, sizeof layers } };

  return rt_digest (key, &asked);
}

static rt_fall_t *
failure_find (rt_falls_t *failures, rt_digest_t digest)
{
  size_t i;

  for (i = 0; i < RT_FALLS; i++)
    if (failures->list[i].digest == digest)
      return &failures->list[i];
  return NULL;
}

/** An engine ended under its order; gives 1 when no other
    should be given that order. */
int
rt_falls_ended (rt_falls_t *failures, rt_digest_t digest)
{
  rt_fall_t *failure = failure_find (failures, digest);

  if (!failure)
    {
      failure = &failures->list[failures->next++ % RT_FALLS];
      *failure = (rt_fall_t){ .digest = digest };
    }
  return ++failure->n == FAILURES_MAX;
}

/** An engine shows what it was ordered. */
void
rt_falls_done (rt_falls_t *failures, rt_digest_t digest)
{
  rt_fall_t *failure = failure_find (failures, digest);

  if (failure)
    *failure = (rt_fall_t){ 0 };
}
