/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The choice of route: two pipelines drawn by weight, the one with fewer
 * tokens to come for its weight wins. Drawing two rather than looking at all
 * keeps the cost flat and, with load news that is local to a host, keeps
 * hosts from running to the same pipeline.
 */
#include "librt.h"

/* Draws before all pipelines are looked at in turn. */
#define PICK_DRAWS 8

static int
pipeline_usable (const rt_router_t *router, el_time_t now,
                 const rt_pipeline_t *pipe, el_str_t avoid, int any)
{
  const rt_endpoint_t *ep;
  size_t i;

  for (i = 0; i < pipe->nstages; i++)
    {
      if (!any && el_str_eq (pipe->stages[i].endpoint, avoid))
        return 0;
      ep = rt_endpoint_find (router, pipe->stages[i].endpoint);
      if (!ep || !rt_endpoint_usable (ep, now, any))
        return 0;
    }
  return 1;
}

static rt_pipeline_t *
pipeline_draw (rt_router_t *router, const rt_deployment_t *dep)
{
  uint64_t at = rt_random (router) % dep->cumulative[dep->npipes - 1];
  size_t low = 0;
  size_t high = dep->npipes - 1;
  size_t mid;

  while (low < high)
    {
      mid = (low + high) / 2;
      if (dep->cumulative[mid] > at)
        high = mid;
      else
        low = mid + 1;
    }
  return dep->pipes[low];
}

/* Whether A has fewer tokens to come for its weight than B. */
static int
pipeline_lighter (const rt_pipeline_t *a, const rt_pipeline_t *b)
{
  return (a->load + 1) * b->weight < (b->load + 1) * a->weight;
}

static rt_pipeline_t *
pipeline_scan (const rt_router_t *router, el_time_t now,
               const rt_deployment_t *dep, el_str_t avoid, int any)
{
  rt_pipeline_t *best = NULL;
  size_t i;

  for (i = 0; i < dep->npipes; i++)
    if (pipeline_usable (router, now, dep->pipes[i], avoid, any)
        && (!best || pipeline_lighter (dep->pipes[i], best)))
      best = dep->pipes[i];
  return best;
}

/** Choose a pipeline, one without the endpoint AVOID when there is any; NULL
    when none can be used. Endpoints that are set aside are used only when
    nothing else is left, so that no group empties. */
rt_pipeline_t *
rt_pick_pipeline (rt_router_t *router, el_time_t now,
                  const rt_deployment_t *dep, el_str_t avoid)
{
  rt_pipeline_t *best = NULL;
  rt_pipeline_t *pipe;
  int found = 0;
  int i;

  if (dep->npipes == 0)
    return NULL;
  for (i = 0; i < PICK_DRAWS && found < 2; i++)
    {
      pipe = pipeline_draw (router, dep);
      if (!pipeline_usable (router, now, pipe, avoid, 0))
        continue;
      found++;
      if (!best || pipeline_lighter (pipe, best))
        best = pipe;
    }
  if (!best)
    best = pipeline_scan (router, now, dep, avoid, 0);
  if (!best)
    best = pipeline_scan (router, now, dep, avoid, 1);
  return best;
}

/** Choose the worker of a service with the fewest calls in flight, ties at
    random; rules as for pipelines. */
rt_endpoint_t *
rt_pick_worker (rt_router_t *router, el_time_t now,
                const rt_service_t *service, el_str_t avoid)
{
  size_t n = service->spec.nendpoints;
  size_t start = n ? rt_random (router) % n : 0;
  rt_endpoint_t *best = NULL;
  rt_endpoint_t *ep;
  el_str_t name;
  size_t i;
  int any;

  for (any = 0; any < 2 && !best; any++)
    for (i = 0; i < n; i++)
      {
        name = service->spec.endpoints[(start + i) % n];
        ep = rt_endpoint_find (router, name);
        if (!ep || (!any && el_str_eq (name, avoid))
            || !rt_endpoint_usable (ep, now, any))
          continue;
        if (!best || ep->in_flight < best->in_flight)
          best = ep;
      }
  return best;
}
