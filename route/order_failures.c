/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Detects layer orders that crash engines. If an accelerator type is
 * configured wrongly, its engines crash under the orders computed from it,
 * restart empty and would get the same order, so that all engines of that type
 * crash every few seconds, indefinitely.
 */
#include <string.h>

#include "relay.h"

/* Engine crashes under an order, without a success in between, after which it
   is withdrawn. One or two may have another cause. */
#define FAILURES_MAX 3

/** Digest of an order: covers the service, the accelerator type and the number
    of layers, but not which layers they are. */
rt_digest_t
rt_order_digest (el_str_t key, const rt_order_t *order)
{
  const unsigned layers = order->end - order->first;
  const rt_digest_input_t input
      = { .method = EL_STR ("order"),
          .host = order->target->attrs.service,
          .path = order->target->attrs.card,
          .body = { (const char *)&layers, sizeof layers } };

  return rt_digest (key, &input);
}

static rt_order_failure_t *
failure_find (rt_order_failures_t *failures, rt_digest_t digest)
{
  size_t i;

  for (i = 0; i < RT_ORDER_FAILURES; i++)
    if (failures->list[i].digest == digest)
      return &failures->list[i];
  return NULL;
}

/** Counts an engine that crashed under its order. Returns 1 if the order
    should not be given to any other engine from now on. */
int
rt_order_failures_add (rt_order_failures_t *failures, rt_digest_t digest)
{
  rt_order_failure_t *failure = failure_find (failures, digest);

  if (!failure)
    {
      failure = &failures->list[failures->next++ % RT_ORDER_FAILURES];
      *failure = (rt_order_failure_t){ .digest = digest };
    }
  return ++failure->n == FAILURES_MAX;
}

/** Resets the failures of an order that an engine carried out. */
void
rt_order_failures_clear (rt_order_failures_t *failures, rt_digest_t digest)
{
  rt_order_failure_t *failure = failure_find (failures, digest);

  if (failure)
    *failure = (rt_order_failure_t){ 0 };
}
