/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Selection of pipelines and workers. Of a few pipelines sampled at random,
 * the fastest one with spare capacity is chosen. Sampling keeps the cost
 * independent of the number of pipelines. Because each host knows only its own
 * load, it also keeps hosts from all choosing the same pipeline.
 */
#include "librt.h"

/* Maximum number of samples; if none is usable, all pipelines are examined. */
#define PICK_SAMPLES_MAX 16
/* Number of usable pipelines at which sampling stops. */
#define PICK_CANDIDATES_MAX 4

/* Which endpoints may be chosen, from the strictest level to the last
   resort. */
typedef enum pick_level
{
  PICK_HEALTHY, /* neither ejected nor the one that has just failed */
  PICK_EJECTED, /* also ejected ones */
  PICK_ANY,     /* also the one that has just failed */
  PICK_LEVELS
} pick_level_t;

static int
endpoint_eligible (const rt_endpoint_t *ep, el_time_t now, el_str_t avoid,
                   pick_level_t level)
{
  if (!ep || !rt_endpoint_usable (ep, now, level > PICK_HEALTHY))
    return 0;
  return level == PICK_ANY || !el_str_eq (el_str (ep->key), avoid);
}

/* A usable pipeline and the number of streams that it can serve concurrently.
 */
typedef struct candidate
{
  rt_pipeline_t *pipe; /* NULL if there is none */
  uint64_t capacity;
} candidate_t;

/* Fill in OUT. Returns 0 if an endpoint of the pipeline is not eligible. */
static int
candidate_init (const rt_router_t *router, el_time_t now, rt_pipeline_t *pipe,
                el_str_t avoid, pick_level_t level, candidate_t *out)
{
  const rt_endpoint_t *ep;
  size_t i;

  *out = (candidate_t){ pipe, 0 };
  for (i = 0; i < pipe->nstages; i++)
    {
      ep = rt_endpoint_find (router, pipe->stages[i].endpoint);
      if (!endpoint_eligible (ep, now, avoid, level))
        return 0;
      out->capacity += ep->capacity;
    }
  return 1;
}

/* Whether A is preferred to B. A pipeline with spare capacity is preferred to
   a full one; of two with spare capacity, the one with the higher weight, as
   it is faster; otherwise the one with fewer streams relative to its
   capacity. */
static int
candidate_better (const candidate_t *a, const candidate_t *b)
{
  uint64_t relative_load_a;
  uint64_t relative_load_b;
  int spare_a;
  int spare_b;

  if (!b->pipe)
    return 1;
  spare_a = a->pipe->streams < a->capacity;
  spare_b = b->pipe->streams < b->capacity;
  if (spare_a != spare_b)
    return spare_a;
  if (spare_a && a->pipe->weight != b->pipe->weight)
    return a->pipe->weight > b->pipe->weight;
  relative_load_a = (a->pipe->streams + 1) * b->capacity;
  relative_load_b = (b->pipe->streams + 1) * a->capacity;
  return relative_load_a < relative_load_b;
}

static rt_pipeline_t *
pipeline_sample (rt_router_t *router, const rt_deployment_t *dep)
{
  return dep->pipes[rt_random (router) % dep->npipes];
}

static rt_pipeline_t *
pipeline_scan (const rt_router_t *router, el_time_t now,
               const rt_deployment_t *dep, el_str_t avoid, pick_level_t level)
{
  candidate_t best = { NULL, 0 };
  candidate_t current;
  size_t i;

  for (i = 0; i < dep->npipes; i++)
    if (candidate_init (router, now, dep->pipes[i], avoid, level, &current)
        && candidate_better (&current, &best))
      best = current;
  return best.pipe;
}

/** Choose a pipeline, or return NULL if none is usable. If nothing else is
    left, ejected endpoints are used, and as a last resort AVOID, which has
    just failed: ejection must not leave a group without endpoints. */
rt_pipeline_t *
rt_choose_pipeline (rt_router_t *router, el_time_t now,
                    const rt_deployment_t *dep, el_str_t avoid)
{
  candidate_t best = { NULL, 0 };
  candidate_t current;
  int found = 0;
  int i;

  if (dep->npipes == 0)
    return NULL;
  for (i = 0; i < PICK_SAMPLES_MAX && found < PICK_CANDIDATES_MAX; i++)
    {
      if (!candidate_init (router, now, pipeline_sample (router, dep), avoid,
                           PICK_HEALTHY, &current))
        continue;
      found++;
      if (candidate_better (&current, &best))
        best = current;
    }
  for (i = PICK_HEALTHY; i < PICK_LEVELS && !best.pipe; i++)
    best.pipe = pipeline_scan (router, now, dep, avoid, (pick_level_t)i);
  return best.pipe;
}

/** Choose the worker of a service with the fewest calls in flight, starting
    the search at a random one to break ties. Ejected and just failed workers
    are treated as in rt_choose_pipeline. */
rt_endpoint_t *
rt_choose_worker (rt_router_t *router, el_time_t now,
                  const rt_service_entry_t *service, el_str_t avoid)
{
  size_t n = service->spec.nendpoints;
  size_t start = n ? rt_random (router) % n : 0;
  rt_endpoint_t *best = NULL;
  rt_endpoint_t *ep;
  el_str_t name;
  size_t i;
  int level;

  for (level = PICK_HEALTHY; level < PICK_LEVELS && !best; level++)
    for (i = 0; i < n; i++)
      {
        name = service->spec.endpoints[(start + i) % n];
        ep = rt_endpoint_find (router, name);
        if (!endpoint_eligible (ep, now, avoid, (pick_level_t)level))
          continue;
        if (!best || ep->in_flight < best->in_flight)
          best = ep;
      }
  return best;
}
