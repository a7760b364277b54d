/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Routes of chat streams. A route runs each layer of a deployment exactly
 * once, in order, on engines of one generation. rt_route_build is the only
 * function that creates routes of chat streams.
 */
#include <inttypes.h>

#include "librt.h"

static el_status_t
hop_build (const rt_router_t *router, const co_stage_t *stage, rt_hop_t *hop,
           el_err_t *err)
{
  rt_endpoint_t *ep = rt_endpoint_find (router, stage->endpoint);

  if (!ep || ep->role != CO_ENGINE)
    return el_err_set (err, EL_INVALID, "%.*s: not an engine",
                       (int)stage->endpoint.len, stage->endpoint.ptr);
  hop->endpoint = el_str_dup (stage->endpoint);
  hop->address = el_str_dup (ep->address);
  hop->first = stage->first;
  hop->last = stage->last;
  return EL_OK;
}

/** Build the route of PIPELINE. Returns NULL and sets ERR if its stages leave
    a gap, overlap, do not end at the deployment's last layer or name an
    endpoint that is not an engine. */
rt_route_t *
rt_route_build (const rt_router_t *router, const rt_deployment_t *deployment,
                const rt_pipeline_t *pipeline, el_err_t *err)
{
  size_t n = pipeline->nstages;
  rt_route_t *route = el_alloc (sizeof *route + n * sizeof *route->hops);
  uint64_t next = 0;
  size_t i;

  route->generation = deployment->generation;
  route->pipeline = el_str_dup (el_str (pipeline->key));
  for (i = 0; i < n; i++)
    {
      if (pipeline->stages[i].first != next || pipeline->stages[i].last < next)
        {
          el_err_set (err, EL_INVALID,
                      "stage %zu: starts at layer %" PRIu64
                      ", not at %" PRIu64,
                      i, pipeline->stages[i].first, next);
          rt_route_free (route);
          return NULL;
        }
      if (hop_build (router, &pipeline->stages[i], &route->hops[i], err))
        {
          rt_route_free (route);
          return NULL;
        }
      route->nhops++;
      next = pipeline->stages[i].last + 1;
    }
  if (next != deployment->layers)
    {
      el_err_set (err, EL_INVALID,
                  "stages end at layer %" PRIu64 " of %" PRIu64, next,
                  deployment->layers);
      rt_route_free (route);
      return NULL;
    }
  return route;
}

void
rt_route_free (rt_route_t *route)
{
  size_t i;

  if (!route)
    return;
  for (i = 0; i < route->nhops; i++)
    {
      el_str_free (&route->hops[i].endpoint);
      el_str_free (&route->hops[i].address);
    }
  el_str_free (&route->pipeline);
  free (route);
}
