/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Chains in use: their engines, and the load that they add to them.
 */
#include "relay.h"

/** Whether CHAIN includes TARGET. */
int
rt_chain_has (const rt_chain_t *chain, const rt_target_t *target)
{
  size_t i;

  for (i = 0; i < chain->n; i++)
    if (chain->part[i].target == target)
      return 1;
  return 0;
}

/** The engine of CHAIN at ADDRESS; NULL if there is none. */
rt_target_t *
rt_chain_engine_at (const rt_chain_t *chain, el_str_t address)
{
  size_t i;

  for (i = 0; i < chain->n; i++)
    if (el_str_eq (chain->part[i].target->attrs.address, address))
      return chain->part[i].target;
  return NULL;
}

/** The part of CHAIN in which TARGET runs exactly the layers from FROM to TO;
    NULL if there is none. CHAIN may be NULL. */
const struct rt_chain_part *
rt_chain_find_part (const rt_chain_t *chain, const rt_target_t *target,
                    unsigned from, unsigned to)
{
  size_t i;

  for (i = 0; chain && i < chain->n; i++)
    if (chain->part[i].target == target && chain->part[i].from == from
        && chain->part[i].to == to)
      return &chain->part[i];
  return NULL;
}

/** Whether CHAIN includes an engine outside the hall of its first engine. */
int
rt_chain_crosses_halls (const rt_chain_t *chain)
{
  size_t i;

  for (i = 1; i < chain->n; i++)
    if (!el_str_eq (chain->part[i].target->attrs.hall,
                    chain->part[0].target->attrs.hall))
      return 1;
  return 0;
}

static double
part_layers (const struct rt_chain_part *part)
{
  return part->to - part->from;
}

/** Begins the use of CHAIN: takes references to its engines and adds its load
    to them. Each part has TO_PREFILL tokens to prefill, except the parts that
    OLD has too, which keep their progress. OLD may be NULL. */
void
rt_chain_acquire (rt_chain_t *chain, const rt_chain_t *old, double to_prefill)
{
  size_t i;

  chain->prefilling = 1;
  for (i = 0; i < chain->n; i++)
    {
      struct rt_chain_part *part = &chain->part[i];
      const struct rt_chain_part *kept
          = rt_chain_find_part (old, part->target, part->from, part->to);

      part->to_prefill = kept ? kept->to_prefill : to_prefill;
      rt_target_ref (part->target)->chains++;
      part->target->kv_held += chain->tokens * part_layers (part);
      part->target->to_prefill += part->to_prefill * part_layers (part);
    }
}

/* Marks all parts as prefilled and removes their prefill load. */
static void
chain_prefilled (rt_chain_t *chain)
{
  size_t i;

  for (i = 0; chain->prefilling && i < chain->n; i++)
    {
      struct rt_chain_part *part = &chain->part[i];

      part->target->to_prefill -= part->to_prefill * part_layers (part);
      part->to_prefill = 0;
    }
  chain->prefilling = 0;
}

/** Records that an event of the stream arrived at NOW: all engines are alive
    and have completed their prefill. */
void
rt_chain_progress (rt_chain_t *chain, el_time_t now)
{
  size_t i;

  chain_prefilled (chain);
  for (i = 0; i < chain->n; i++)
    chain->part[i].target->last_event_at = now;
}

/** Of the engines of CHAIN that OLD does not include, the one with the most KV
    cache of this host's streams; NULL if there is none. */
rt_target_t *
rt_chain_fullest (const rt_chain_t *chain, const rt_chain_t *old)
{
  rt_target_t *fullest = NULL;
  size_t i;

  for (i = 0; i < chain->n; i++)
    {
      rt_target_t *target = chain->part[i].target;

      if (!rt_chain_has (old, target)
          && (!fullest || target->kv_held > fullest->kv_held))
        fullest = target;
    }
  return fullest;
}

/** Ends the use of CHAIN: removes its load and releases its engines. */
void
rt_chain_release (rt_chain_t *chain)
{
  size_t i;

  chain_prefilled (chain);
  for (i = 0; i < chain->n; i++)
    {
      struct rt_chain_part *part = &chain->part[i];

      part->target->chains--;
      part->target->kv_held -= chain->tokens * part_layers (part);
      rt_target_unref (part->target);
    }
  chain->n = 0;
}
