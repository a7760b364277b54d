/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Layer placement: each empty engine is assigned the range of layers that its
 * hall needs most. Loaded engines keep their layers, except for redundant
 * replicas, which are moved if a hall lacks layers and no engine is empty.
 */
#include <string.h>

#include "relay.h"

#define LAYERS_MAX 256
#define HALLS_MAX 32
/* Replicas of the model that a hall's engines should be able to hold. Memory
   holds either KV cache or replicas of layers: with a single replica each
   loss of an engine stops the hall, with more replicas streams get preempted
   for lack of memory. */
#define MODEL_REPLICAS 1.25
/* Maximum KV cache reserved on an engine, as a fraction of what typical
   requests in all its slots need. Streams go to the fast engines first, and
   memory that no stream uses is better used for another layer, as chains
   become shorter and replicas more numerous. The load pattern that decides the
   value is a hall without its large engines. Fleets with little memory reserve
   less anyway. */
#define KV_RESERVE_SLOT_SHARE 0.75
/* The reserve is repeatedly reduced by this factor, down to one typical
   request. */
#define KV_RESERVE_DECAY 0.95

/** The accelerator type NAME; NULL if the model does not list it. */
const rt_card_t *
rt_model_card (const rt_model_t *model, el_str_t name)
{
  size_t i;

  for (i = 0; i < model->ncards; i++)
    if (el_str_eq (model->cards[i].name, name))
      return &model->cards[i];
  return NULL;
}

typedef struct layout_hall
{
  el_str_t name;
  double kv_reserve; /* KV cache reserved on each of its engines, in tokens */
} layout_hall_t;

typedef struct layout
{
  const rt_service_t *service;
  rt_fleet_t *fleet;
  layout_hall_t halls[HALLS_MAX];
  size_t nhalls;
  const rt_order_t *pending;
  size_t npending;
  rt_order_t *out;
  size_t n;
} layout_t;

/* Maximum number of layers that fit on a card with KV cache for KV_RESERVE
   tokens; at least one if one fits without any KV cache. */
static unsigned
card_layers (const rt_model_t *model, const rt_card_t *card, double kv_reserve)
{
  double kv_mb = kv_reserve * model->token_kv_mb / (double)model->layers;
  double n = card->memory_mb / (model->layer_mb + kv_mb);

  if (n >= model->layers)
    return model->layers;
  if (n >= 1)
    return (unsigned)n;
  return model->layer_mb < card->memory_mb;
}

static const rt_order_t *
order_for (const rt_order_t *orders, size_t n, const rt_target_t *target)
{
  size_t i;

  for (i = 0; i < n; i++)
    if (orders[i].target == target)
      return &orders[i];
  return NULL;
}

static void
cover_add (unsigned *cover, unsigned first, unsigned end)
{
  for (; first < end; first++)
    cover[first]++;
}

/* Counts for each layer the engines that hold or will hold it, in HALL or, if
   that is empty, in all halls. */
static void
layout_cover (const layout_t *layout, el_str_t hall, unsigned *cover)
{
  rt_target_t *target;
  const rt_order_t *order;

  memset (cover, 0, LAYERS_MAX * sizeof *cover);
  for (target = rt_fleet_first (layout->fleet); target;
       target = target->hh.next)
    {
      const rt_attrs_t *attrs = &target->attrs;

      if (!el_str_eq (attrs->service, layout->service->name)
          || rt_target_is_leaving (target) || target->avail.silent
          || (hall.len && !el_str_eq (attrs->hall, hall)))
        continue;
      order = order_for (layout->pending, layout->npending, target);
      if (!order)
        order = order_for (layout->out, layout->n, target);
      if (order)
        cover_add (cover, order->first, order->end);
      else if (attrs->end <= layout->service->model.layers)
        cover_add (cover, attrs->first, attrs->end);
    }
}

static int
target_is_empty (const layout_t *layout, const rt_target_t *target)
{
  return el_str_eq (target->attrs.service, layout->service->name)
         && !rt_target_is_leaving (target) && !target->avail.gone
         && target->attrs.end == target->attrs.first
         && !order_for (layout->pending, layout->npending, target)
         && !order_for (layout->out, layout->n, target);
}

/* The accelerator type of TARGET; NULL if it is not placed. */
static const rt_card_t *
layout_card (const layout_t *layout, const rt_target_t *target)
{
  if (rt_target_is_leaving (target)
      || !el_str_eq (target->attrs.service, layout->service->name))
    return NULL;
  return rt_model_card (&layout->service->model, target->attrs.card);
}

/* Total number of layers that the engines of a hall can hold with KV cache for
   KV_RESERVE tokens each. */
static unsigned
hall_layers (const layout_t *layout, el_str_t hall, double kv_reserve)
{
  rt_target_t *target;
  unsigned n = 0;

  for (target = rt_fleet_first (layout->fleet); target;
       target = target->hh.next)
    {
      const rt_card_t *card = layout_card (layout, target);

      if (card && el_str_eq (target->attrs.hall, hall))
        n += card_layers (&layout->service->model, card, kv_reserve);
    }
  return n;
}

/* Maximum KV cache reserved per engine, in tokens, by the largest number of
   slots. */
static double
hall_kv_reserve_max (const layout_t *layout, el_str_t hall)
{
  rt_target_t *target;
  uint64_t slots = 1;

  for (target = rt_fleet_first (layout->fleet); target;
       target = target->hh.next)
    if (layout_card (layout, target) && el_str_eq (target->attrs.hall, hall)
        && target->attrs.slots > slots)
      slots = target->attrs.slots;
  return KV_RESERVE_SLOT_SHARE * (double)slots
         * layout->service->model.typical_tokens;
}

/* The largest reserve, in steps of KV_RESERVE_DECAY, with which the hall can
   hold MODEL_REPLICAS of the model. */
static double
hall_kv_reserve (const layout_t *layout, el_str_t hall)
{
  const rt_model_t *model = &layout->service->model;
  double kv_reserve = hall_kv_reserve_max (layout, hall);

  while (kv_reserve > model->typical_tokens
         && hall_layers (layout, hall, kv_reserve)
                < MODEL_REPLICAS * model->layers)
    kv_reserve *= KV_RESERVE_DECAY;
  return kv_reserve;
}

static layout_hall_t *
layout_hall (layout_t *layout, el_str_t name)
{
  layout_hall_t *hall;
  size_t i;

  for (i = 0; i < layout->nhalls; i++)
    if (el_str_eq (layout->halls[i].name, name))
      return &layout->halls[i];
  if (layout->nhalls == HALLS_MAX)
    return &layout->halls[0];
  hall = &layout->halls[layout->nhalls++];
  hall->name = name;
  hall->kv_reserve = hall_kv_reserve (layout, name);
  return hall;
}

/* Number of layers for an engine; 0 if it is not placed. */
static unsigned
target_layers (layout_t *layout, const rt_target_t *target)
{
  const rt_card_t *card = layout_card (layout, target);

  if (!card)
    return 0;
  return card_layers (&layout->service->model, card,
                      layout_hall (layout, target->attrs.hall)->kv_reserve);
}

/* Whether the engines of a hall can hold the whole model. */
static int
hall_self_sufficient (layout_t *layout, el_str_t hall)
{
  return hall_layers (layout, hall, layout_hall (layout, hall)->kv_reserve)
         >= layout->service->model.layers;
}

/* Token latency per layer at an engine, including its share of the latency to
   the next engine. */
static double
layer_ms (const rt_model_t *model, const rt_card_t *card, unsigned n)
{
  return model->step_ms * card->step_scale / (double)model->layers
         + RT_HOP_MS / (double)n;
}

/* The empty engine with the lowest latency per layer, and the number of layers
   for it. Thus the fast engines form a hall's chain, and the others hold the
   replicas. */
static rt_target_t *
layout_fastest (layout_t *layout, unsigned *layers)
{
  rt_target_t *best = NULL;
  rt_target_t *target;
  double min_ms = 0;

  for (target = rt_fleet_first (layout->fleet); target;
       target = target->hh.next)
    {
      unsigned n = target_is_empty (layout, target)
                       ? target_layers (layout, target)
                       : 0;
      double ms;

      if (n == 0)
        continue;
      ms = layer_ms (&layout->service->model, layout_card (layout, target), n);
      if (best && ms >= min_ms)
        continue;
      best = target;
      *layers = n;
      min_ms = ms;
    }
  return best;
}

/* First layer of a new range of N layers: the first layer that no engine
   holds. If all are held, the range is a redundant replica and ends at the
   last of the layers that the fewest engines hold: large engines hold the
   first layers, so that replicas from the end can replace the most engines. */
static unsigned
range_begin (const unsigned *cover, unsigned layers, unsigned n)
{
  unsigned rarest = 0;
  unsigned last_rarest = 0;
  unsigned i;

  for (i = 0; i < layers; i++)
    {
      if (cover[i] < cover[rarest])
        rarest = i;
      if (cover[i] <= cover[last_rarest])
        last_rarest = i;
    }
  if (cover[rarest])
    return last_rarest + 1 > n ? last_rarest + 1 - n : 0;
  return rarest + n > layers ? layers - n : rarest;
}

/** Fills OUT with orders for empty engines. PENDING are orders given whose
    outcome is not known yet. Returns the number of new orders. */
size_t
rt_layout_assign (rt_fleet_t *fleet, const rt_service_t *service,
                  const rt_order_t *pending, size_t npending, rt_order_t *out,
                  size_t max_orders)
{
  layout_t layout = { .service = service,
                      .fleet = fleet,
                      .pending = pending,
                      .npending = npending,
                      .out = out };
  unsigned cover[LAYERS_MAX];
  rt_target_t *target;
  el_str_t hall;
  unsigned n;
  unsigned begin;

  if (service->model.layers == 0 || service->model.layers > LAYERS_MAX)
    return 0;
  while (layout.n < max_orders && (target = layout_fastest (&layout, &n)))
    {
      hall = target->attrs.hall;
      if (!hall_self_sufficient (&layout, hall))
        hall = (el_str_t){ NULL, 0 };
      layout_cover (&layout, hall, cover);
      begin = range_begin (cover, service->model.layers, n);
      out[layout.n++] = (rt_order_t){ target, begin, begin + n };
    }
  return layout.n;
}

/* Whether TARGET is redundant: other engines of its hall hold all its layers
   too. */
static int
target_is_redundant (const layout_t *layout, const rt_target_t *target,
                     const unsigned *cover)
{
  unsigned i;

  if (!el_str_eq (target->attrs.service, layout->service->name)
      || target->avail.gone || target->avail.silent
      || rt_target_is_leaving (target)
      || target->attrs.first == target->attrs.end
      || order_for (layout->pending, layout->npending, target)
      || order_for (layout->out, layout->n, target))
    return 0;
  for (i = target->attrs.first; i < target->attrs.end; i++)
    if (cover[i] < 2)
      return 0;
  return 1;
}

/* The first layer that no engine holds; LAYERS if all are held. */
static unsigned
cover_gap (const unsigned *cover, unsigned layers)
{
  unsigned from = 0;

  while (from < layers && cover[from])
    from++;
  return from;
}

/* The redundant engine of a hall that can fill most of the gap at FROM, and
   the number of layers for it; among equals the one in the fewest chains. */
static rt_target_t *
layout_pick_redundant (layout_t *layout, el_str_t hall, const unsigned *cover,
                       unsigned from, unsigned *layers)
{
  const rt_model_t *model = &layout->service->model;
  rt_target_t *best = NULL;
  rt_target_t *target;
  unsigned gap = 0;
  unsigned n;

  while (from + gap < model->layers && !cover[from + gap])
    gap++;
  *layers = 0;
  for (target = rt_fleet_first (layout->fleet); target;
       target = target->hh.next)
    {
      if (!el_str_eq (target->attrs.hall, hall)
          || !target_is_redundant (layout, target, cover))
        continue;
      n = target_layers (layout, target);
      if (n > gap)
        n = gap;
      if (n < *layers
          || (best && n == *layers && target->chains >= best->chains))
        continue;
      best = target;
      *layers = n;
    }
  if (best)
    *layers = target_layers (layout, best);
  return best;
}

static int
hall_pending (const layout_t *layout, el_str_t hall)
{
  size_t i;

  for (i = 0; i < layout->npending; i++)
    if (el_str_eq (layout->pending[i].target->attrs.hall, hall))
      return 1;
  return 0;
}

/* Whether TARGET is the first of its hall in the list of endpoints. */
static int
is_first_of_hall (const layout_t *layout, const rt_target_t *target)
{
  const rt_target_t *other;

  for (other = rt_fleet_first (layout->fleet); other != target;
       other = other->hh.next)
    if (el_str_eq (other->attrs.hall, target->attrs.hall))
      return 0;
  return 1;
}

static void
hall_repair (layout_t *layout, el_str_t hall, size_t max_orders)
{
  unsigned layers = layout->service->model.layers;
  unsigned cover[LAYERS_MAX];
  rt_target_t *target;
  unsigned from;
  unsigned n;

  if (hall_pending (layout, hall))
    return;
  while (layout->n < max_orders)
    {
      layout_cover (layout, hall, cover);
      from = cover_gap (cover, layers);
      if (from == layers || !hall_self_sufficient (layout, hall))
        return;
      target = layout_pick_redundant (layout, hall, cover, from, &n);
      if (!target)
        return;
      if (from + n > layers)
        from = layers - n;
      layout->out[layout->n++] = (rt_order_t){ target, from, from + n };
    }
}

/** Fills OUT with orders that move redundant replicas to layers that a hall
    lacks, for use when no engine is empty. Returns the number of orders. */
size_t
rt_layout_repair (rt_fleet_t *fleet, const rt_service_t *service,
                  const rt_order_t *pending, size_t npending, rt_order_t *out,
                  size_t max_orders)
{
  layout_t layout = { .service = service,
                      .fleet = fleet,
                      .pending = pending,
                      .npending = npending,
                      .out = out };
  rt_target_t *target;

  if (service->model.layers == 0 || service->model.layers > LAYERS_MAX)
    return 0;
  for (target = rt_fleet_first (fleet); target; target = target->hh.next)
    if (el_str_eq (target->attrs.service, service->name)
        && is_first_of_hall (&layout, target))
      hall_repair (&layout, target->attrs.hall, max_orders);
  return layout.n;
}
