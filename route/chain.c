/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Selects a chain of engines: the shortest path through the model's layers,
 * over the layers that the engines hold. An engine may run any part of its
 * range, so the search runs over layers and halls rather than over engines.
 */
#include <float.h>
#include <stdlib.h>
#include <string.h>

#include "libchain.h"

#define LAYERS_MAX 256
#define HALLS_MAX 32
/* Cost of leaving the hall, in milliseconds of token latency, beyond the
   network latency. It applies while the link between the halls has capacity
   for every stream to cross it once, and rises in proportion beyond that, as
   all streams share the link. */
#define CROSSING_MS 4.0
/* Maximum jitter of the cost, as a fraction, so that hosts do not all choose
   the same engines. */
#define COST_JITTER 0.15
/* Cost factor of a part that already has the stream's KV cache. */
#define KEPT_PART_FACTOR 0.3
/* A live engine answers a health check within this time. One that has not
   answered is avoided if there is another. */
#define CHECK_GRACE (10 * EL_MSEC)

/* The cheapest path to a layer that ends in a hall. */
typedef struct chain_node
{
  double cost;
  const struct chain_candidate *candidate; /* runs the last part of the path */
  unsigned from;                           /* first layer of that part */
  unsigned from_hall; /* hall in which the path reached that layer */
} chain_node_t;

/* Which engines a search may use. */
typedef enum chain_level
{
  LEVEL_ROOM,    /* no reason to avoid them, and room for the stream */
  LEVEL_HEALTHY, /* no reason to avoid them */
  LEVEL_USABLE,  /* also those with an overdue health check, those that another
                    host found silent, and those that a suspect request may
                    crash */
  LEVEL_ANY      /* also those that are a last resort */
} chain_level_t;

typedef struct chain_search
{
  /* Chain to reroute, whose parts cost less; NULL: none. */
  const rt_chain_t *old;
  /* Engine of the first part if that part is kept; it runs no other part. */
  const rt_target_t *kept_engine;
  const rt_target_t *required_first; /* engine of the first part; NULL: any */
  chain_level_t level;
  el_time_t now;
  double tokens;      /* expected length of the stream */
  double crossing_ms; /* cost of leaving a hall */
  unsigned layers;
  el_str_t halls[HALLS_MAX];
  unsigned nhalls;
  chain_candidate_t *candidates;
  size_t ncandidates;
  unsigned char boundary[LAYERS_MAX + 1]; /* whether a part may end there */
  chain_node_t node[LAYERS_MAX + 1][HALLS_MAX];
} chain_search_t;

/* Whether the engine of part I also runs an earlier part of the chain. */
static int
chain_engine_used_before (const rt_chain_t *chain, size_t i)
{
  size_t k;

  for (k = 0; k < i; k++)
    if (chain->part[k].target == chain->part[i].target)
      return 1;
  return 0;
}

/** Whether the parts run every layer once and in order, and no engine
    twice. */
int
rt_chain_valid (const rt_chain_t *chain, unsigned layers)
{
  unsigned at = 0;
  size_t i;

  for (i = 0; i < chain->n; i++)
    {
      const rt_attrs_t *attrs = &chain->part[i].target->attrs;

      if (chain_engine_used_before (chain, i) || chain->part[i].from != at
          || chain->part[i].to <= at || chain->part[i].from < attrs->first
          || chain->part[i].to > attrs->end)
        return 0;
      at = chain->part[i].to;
    }
  return chain->n > 0 && at == layers;
}

static unsigned
search_hall (chain_search_t *search, el_str_t hall)
{
  unsigned i;

  for (i = 0; i < search->nhalls; i++)
    if (el_str_eq (search->halls[i], hall))
      return i;
  if (search->nhalls == HALLS_MAX)
    return HALLS_MAX - 1;
  search->halls[search->nhalls] = hall;
  return search->nhalls++;
}

static double
search_jitter (const rt_target_t *target, uint64_t draw)
{
  uint64_t mixed = XXH3_64bits_withSeed (target->attrs.id.ptr,
                                         target->attrs.id.len, draw);

  return 1 + COST_JITTER * (double)(mixed % 1000) / 1000;
}

/* What a search knows of the engines of one kind. */
typedef struct chain_kind
{
  const rt_card_t *card; /* NULL: they are not searched */
  unsigned hall;
} chain_kind_t;

/* Returns a list by the kinds' index, which the caller frees. */
static chain_kind_t *
kinds_read (chain_search_t *search, const rt_fleet_t *fleet,
            const rt_service_t *service)
{
  rt_kind_t *const *kinds;
  size_t n = rt_fleet_kinds (fleet, &kinds);
  chain_kind_t *out = el_alloc ((n + 1) * sizeof *out);
  size_t i;

  for (i = 0; i < n; i++)
    {
      if (!el_str_eq (kinds[i]->service, service->name))
        continue;
      out[i].card = rt_model_card (&service->model, kinds[i]->card);
      if (out[i].card)
        out[i].hall = search_hall (search, kinds[i]->hall);
    }
  return out;
}

static void
search_add_candidate (chain_search_t *search, const rt_fleet_t *fleet,
                      const rt_model_t *model, const chain_kind_t *kind,
                      rt_target_t *target)
{
  chain_candidate_t *c = &search->candidates[search->ncandidates++];

  c->target = target;
  c->card = kind->card;
  c->hall = kind->hall;
  c->estimate = rt_estimate (fleet, model, kind->card, target, search->tokens,
                             search->now);
  c->layer_ms = model->step_ms * kind->card->step_scale / (double)model->layers
                * c->estimate.step_factor
                * search_jitter (target, search->now);
  c->required = target == search->kept_engine
                || target == search->required_first
                || (search->old && rt_chain_has (search->old, target));
  c->may_begin = rt_limit_admits (&target->limit, search->now);
  if (search->level == LEVEL_ROOM)
    {
      c->may_begin = c->may_begin && c->estimate.slot_room >= 1;
      search->ncandidates -= c->estimate.kv_room < 1;
    }
}

/* Cost of leaving a hall. The token rate is known only a few seconds after the
   start; until then the link is assumed to have capacity for all streams. */
static double
crossing_ms (const rt_model_t *model, const rt_fleet_t *fleet, el_time_t now)
{
  double link_load = rt_fleet_token_rate (fleet, now) * model->link_ms
                     * (double)EL_MSEC / (double)EL_SEC;

  return model->inter_hall_ms + CROSSING_MS * (link_load > 1 ? link_load : 1);
}

static int
search_admits (const chain_search_t *search, const rt_target_t *target)
{
  rt_avail_level_t avail_level
      = rt_avail_level_at (&target->avail, search->now);

  if (search->level == LEVEL_ANY)
    return avail_level != RT_AVAIL_NONE;
  if (avail_level > RT_AVAIL_DOUBTFUL)
    return 0;
  if (avail_level == RT_AVAIL_DOUBTFUL && target != search->required_first)
    return search->level == LEVEL_USABLE;
  if (search->level == LEVEL_USABLE)
    return 1;
  return !target->reported_silent
         && (!target->asked || search->now < target->asked + CHECK_GRACE);
}

static void
search_init (chain_search_t *search, rt_fleet_t *fleet, el_time_t now,
             const rt_service_t *service, const rt_tried_t *tried)
{
  const rt_model_t *model = &service->model;
  chain_kind_t *kinds;
  rt_target_t *target;
  unsigned at;
  unsigned h;
  size_t i;

  search->candidates
      = el_alloc ((rt_fleet_count (fleet) + 1) * sizeof *search->candidates);
  search->layers = model->layers;
  search->crossing_ms = crossing_ms (model, fleet, now);
  search->now = now;
  kinds = kinds_read (search, fleet, service);
  for (target = rt_fleet_first (fleet); target; target = target->hh.next)
    if (kinds[target->kind->index].card
        && target->attrs.end > target->attrs.first
        && target->attrs.end <= model->layers && search_admits (search, target)
        && !rt_tried_has (tried, target))
      search_add_candidate (search, fleet, model, &kinds[target->kind->index],
                            target);
  free (kinds);
  search->ncandidates = chain_reduce (search->candidates, search->ncandidates);
  for (i = 0; i < search->ncandidates; i++)
    {
      search->boundary[search->candidates[i].target->attrs.first] = 1;
      search->boundary[search->candidates[i].target->attrs.end] = 1;
    }
  for (at = 0; at <= search->layers; at++)
    for (h = 0; h < search->nhalls; h++)
      search->node[at][h].cost = DBL_MAX;
}

/* Cost of running the layers from FROM to TO at C. A part that already has the
   stream's KV cache skips the prefill. */
static double
part_cost (const chain_search_t *search, const chain_candidate_t *c,
           unsigned from, unsigned to)
{
  double step = (to - from) * c->layer_ms;

  if (rt_chain_find_part (search->old, c->target, from, to))
    return step * KEPT_PART_FACTOR;
  return step + PREFILL_WAIT_WEIGHT * c->estimate.prefill_wait_ms;
}

static void
search_extend (chain_search_t *search, const chain_candidate_t *c, unsigned at,
               unsigned hall)
{
  const rt_attrs_t *attrs = &c->target->attrs;
  double base_cost = search->node[at][hall].cost + RT_HOP_MS;
  unsigned to;

  if (c->hall != hall)
    base_cost += search->crossing_ms;
  if (at == 0)
    base_cost += c->estimate.slot_wait_ms;
  for (to = at + 1; to <= attrs->end; to++)
    {
      chain_node_t *node = &search->node[to][c->hall];
      double cost = base_cost + part_cost (search, c, at, to);

      if (!search->boundary[to] || cost >= node->cost)
        continue;
      *node = (chain_node_t){
        .cost = cost, .candidate = c, .from = at, .from_hall = hall
      };
    }
}

/* Whether TARGET runs the layers just before AT, or the kept first part. It is
   then not used at AT, as an engine runs only one part. */
static int
search_engine_in_use (const chain_search_t *search, unsigned at, unsigned hall,
                      const rt_target_t *target)
{
  const chain_candidate_t *candidate = search->node[at][hall].candidate;

  return target == search->kept_engine
         || (candidate && candidate->target == target);
}

/* For each layer, the candidates that hold it: those of layer L are LIST[I]
   for I from FROM[L] to FROM[L + 1]. */
typedef struct chain_index
{
  size_t from[LAYERS_MAX + 2];
  const chain_candidate_t **list;
} chain_index_t;

static void
index_build (const chain_search_t *search, chain_index_t *index)
{
  size_t at[LAYERS_MAX + 1];
  unsigned layer;
  size_t i;

  memset (index, 0, sizeof *index);
  for (i = 0; i < search->ncandidates; i++)
    for (layer = search->candidates[i].target->attrs.first;
         layer < search->candidates[i].target->attrs.end; layer++)
      index->from[layer + 1]++;
  for (layer = 0; layer <= LAYERS_MAX; layer++)
    index->from[layer + 1] += index->from[layer];
  memcpy (at, index->from, sizeof at);
  index->list
      = el_alloc ((index->from[LAYERS_MAX + 1] + 1) * sizeof *index->list);
  for (i = 0; i < search->ncandidates; i++)
    for (layer = search->candidates[i].target->attrs.first;
         layer < search->candidates[i].target->attrs.end; layer++)
      index->list[at[layer]++] = &search->candidates[i];
}

static void
search_run (chain_search_t *search, unsigned begin)
{
  chain_index_t index;
  unsigned at;
  unsigned h;
  size_t i;

  index_build (search, &index);
  for (at = begin; at < search->layers; at++)
    for (h = 0; h < search->nhalls; h++)
      {
        if (search->node[at][h].cost == DBL_MAX)
          continue;
        for (i = index.from[at]; i < index.from[at + 1]; i++)
          if ((at
               || (index.list[i]->may_begin
                   && (!search->required_first
                       || index.list[i]->target == search->required_first)))
              && !search_engine_in_use (search, at, h, index.list[i]->target))
            search_extend (search, index.list[i], at, h);
      }
  free (index.list);
}

/* Appends the parts of the cheapest path from layer BEGIN to OUT. Returns 0 if
   there is no path or it has too many parts. */
static int
search_backtrack (const chain_search_t *search, unsigned begin,
                  rt_chain_t *out)
{
  struct rt_chain_part reversed[RT_CHAIN_MAX];
  unsigned at = search->layers;
  unsigned best = 0;
  unsigned h;
  size_t n = 0;

  for (h = 1; h < search->nhalls; h++)
    if (search->node[at][h].cost < search->node[at][best].cost)
      best = h;
  if (search->node[at][best].cost == DBL_MAX)
    return 0;
  while (at > begin)
    {
      const chain_node_t *node = &search->node[at][best];

      if (n == RT_CHAIN_MAX)
        return 0;
      if (node->candidate->estimate.fill > out->fill)
        out->fill = node->candidate->estimate.fill;
      if (n == 0 || node->candidate->estimate.kv_room < out->room)
        out->room = node->candidate->estimate.kv_room;
      if (node->from == 0 && node->candidate->estimate.slot_room < out->room)
        out->room = node->candidate->estimate.slot_room;
      reversed[n++] = (struct rt_chain_part){
        .target = node->candidate->target, .from = node->from, .to = at
      };
      at = node->from;
      best = node->from_hall;
    }
  if (out->n + n > RT_CHAIN_MAX)
    return 0;
  while (n)
    out->part[out->n++] = reversed[--n];
  return 1;
}

/* Merges parts of the same engine. An engine holds one contiguous range, so it
   can also run the layers in between, and then occurs once. */
static void
chain_collapse (rt_chain_t *chain)
{
  size_t i;
  size_t k;

  for (i = 0; i < chain->n; i++)
    for (k = chain->n - 1; k > i; k--)
      if (chain->part[k].target == chain->part[i].target)
        {
          chain->part[i].to = chain->part[k].to;
          memmove (&chain->part[i + 1], &chain->part[k + 1],
                   (chain->n - k - 1) * sizeof *chain->part);
          chain->n -= k - i;
          break;
        }
}

/* Returns 1 if the search found a valid chain, which it stores in OUT. OUT is
   empty otherwise. */
static int
search_result (const chain_search_t *search, unsigned begin, rt_chain_t *out)
{
  if (search_backtrack (search, begin, out))
    {
      chain_collapse (out);
      if (rt_chain_valid (out, search->layers))
        return 1;
    }
  out->n = 0;
  return 0;
}

/* Searches for a chain for a new stream. */
static int
chain_search (chain_search_t *search, rt_fleet_t *fleet, el_time_t now,
              const rt_chain_query_t *query, rt_chain_t *out)
{
  unsigned start = search_hall (search, query->hall);

  search_init (search, fleet, now, query->service, query->tried);
  search->node[0][start].cost = 0;
  search_run (search, 0);
  return search_result (search, 0, out);
}

static void
search_free (chain_search_t *search)
{
  free (search->candidates);
  free (search);
}

/* Searches for a chain of engines that LEVEL admits. */
static int
chain_pick (rt_fleet_t *fleet, el_time_t now, const rt_chain_query_t *query,
            chain_level_t level, rt_chain_t *out)
{
  chain_search_t *search = el_alloc (sizeof *search);
  int found;

  memset (out, 0, sizeof *out);
  out->tokens = query->tokens;
  search->tokens = query->tokens;
  search->required_first = query->first;
  search->level = level;
  found = chain_search (search, fleet, now, query, out);
  search_free (search);
  return found;
}

/** Selects a chain for a new stream. Returns 0 if the engines do not hold all
    layers. Engines to be avoided are used only if there is no chain without
    them. */
int
rt_chain_pick (rt_fleet_t *fleet, el_time_t now, const rt_chain_query_t *query,
               rt_chain_t *out)
{
  chain_level_t level = query->prefer_room ? LEVEL_ROOM : LEVEL_HEALTHY;
  int found = 0;

  for (; level <= LEVEL_ANY && !found; level++)
    found = chain_pick (fleet, now, query, level, out);
  return found;
}

static int
compare_times (const void *a, const void *b)
{
  el_time_t x = *(const el_time_t *)a;
  el_time_t y = *(const el_time_t *)b;

  return (x > y) - (x < y);
}

/* Lists the times at which backoffs of the service's engines end, in ascending
   order. */
static size_t
backoff_ends (const rt_fleet_t *fleet, el_time_t now, el_str_t service,
              el_time_t **out)
{
  const rt_target_t *target;
  size_t n = 0;

  *out = el_alloc ((rt_fleet_count (fleet) + 1) * sizeof **out);
  for (target = rt_fleet_first (fleet); target; target = target->hh.next)
    if (el_str_eq (target->attrs.service, service)
        && rt_avail_reason_at (&target->avail, now) == RT_UNAVAIL_BACKOFF)
      (*out)[n++] = target->avail.backoff_until;
  qsort (*out, n, sizeof **out, compare_times);
  return n;
}

/** The time at which enough backoffs have ended for a chain to exist; 0 if
    there is one now, or if there is none even after all of them. Each backoff
    that ends only adds engines, so that binary search finds the time: 11
    searches for 1,900 engines in backoff. */
el_time_t
rt_chain_available_at (rt_fleet_t *fleet, el_time_t now,
                       const rt_chain_query_t *query)
{
  rt_chain_t chain;
  el_time_t *ends;
  el_time_t available_at = 0;
  size_t n = backoff_ends (fleet, now, query->service->name, &ends);
  size_t from = 0;
  size_t to = n;

  if (n && !chain_pick (fleet, now, query, LEVEL_ANY, &chain)
      && chain_pick (fleet, ends[n - 1], query, LEVEL_ANY, &chain))
    {
      while (from + 1 < to)
        {
          size_t middle = (from + to) / 2;

          if (chain_pick (fleet, ends[middle - 1], query, LEVEL_ANY, &chain))
            to = middle;
          else
            from = middle;
        }
      available_at = ends[to - 1];
    }
  free (ends);
  return available_at;
}

/* Searches for a chain that keeps the first part of the old one. */
static int
chain_search_around (chain_search_t *search, rt_fleet_t *fleet, el_time_t now,
                     const rt_service_t *service, const rt_tried_t *tried,
                     rt_chain_t *out)
{
  const rt_chain_t *old = search->old;
  const struct rt_chain_part *first = &old->part[0];
  unsigned start;
  size_t i;

  memset (out, 0, sizeof *out);
  out->tokens = old->tokens;
  search->kept_engine = first->target;
  search->tokens = old->tokens;
  start = search_hall (search, first->target->attrs.hall);
  search_init (search, fleet, now, service, tried);
  for (i = 0; i < old->n; i++)
    search->boundary[old->part[i].to] = 1;
  out->part[0] = *first;
  out->n = 1;
  search->node[first->to][start].cost = 0;
  search_run (search, first->to);
  return search_result (search, first->to, out);
}

/** Selects a chain that keeps OLD's first part and avoids the engines in
    TRIED. Other parts of OLD are kept where possible. Returns 0 if there is
    none. */
int
rt_chain_reroute (rt_fleet_t *fleet, el_time_t now,
                  const rt_service_t *service, const rt_chain_t *old,
                  const rt_tried_t *tried, rt_chain_t *out)
{
  chain_search_t *search;
  chain_level_t level;
  int found = 0;

  out->n = 0;
  if (old->n < 2 || rt_tried_has (tried, old->part[0].target))
    return 0;
  for (level = LEVEL_HEALTHY; level <= LEVEL_USABLE && !found; level++)
    {
      search = el_alloc (sizeof *search);
      search->old = old;
      search->level = level;
      found = chain_search_around (search, fleet, now, service, tried, out);
      search_free (search);
    }
  return found;
}
