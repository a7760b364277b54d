/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Calls to services: a single request to a single endpoint.
 */
#include "librt.h"

static rt_reason_t call_start (rt_stream_t *, el_time_t);
static void call_reply (rt_stream_t *, el_time_t, const rt_event_t *);
static void call_release (rt_stream_t *, el_time_t, int);
static rt_retry_budget_t *call_budget (rt_stream_t *);
static el_time_t call_available_at (const rt_stream_t *, el_time_t);

const rt_request_ops_t rt_call_ops = {
  .start = call_start,
  .reply = call_reply,
  .release = call_release,
  .budget = call_budget,
  .available_at = call_available_at,
};

static rt_reason_t
call_start (rt_stream_t *stream, el_time_t now)
{
  rt_router_t *router = stream->router;
  rt_service_entry_t *service = rt_service_find (router, stream->target);
  rt_action_t action = { 0 };
  rt_endpoint_t *ep;

  if (!service)
    return RT_NOT_FOUND;
  ep = rt_choose_worker (router, now, service, stream->avoid);
  if (!ep)
    return RT_NO_ROUTE;
  stream->route = el_alloc (sizeof *stream->route + sizeof (rt_hop_t));
  stream->route->nhops = 1;
  stream->route->hops[0].endpoint = el_str_dup (el_str (ep->key));
  stream->route->hops[0].address = el_str_dup (ep->address);
  stream->attempt++;
  stream->hop = 0;
  action.final = 1;
  rt_stream_send_call (stream, now, &stream->route->hops[0], &action);
  return RT_DONE;
}

static void
call_reply (rt_stream_t *stream, el_time_t now, const rt_event_t *event)
{
  (void)event;
  rt_stream_end (stream, now, RT_DONE);
}

static void
call_release (rt_stream_t *stream, el_time_t now, int abandon)
{
  rt_action_t action
      = { .kind = RT_ACT_ABANDON, .stream = stream->id, .work = stream->work };

  (void)now;
  if (!stream->route)
    return;
  if (abandon)
    {
      action.call.stream = stream->id;
      action.call.attempt = stream->attempt;
      action.endpoint = stream->route->hops[0].endpoint;
      action.address = stream->route->hops[0].address;
      rt_emit_action (stream->router, &action);
    }
  rt_route_free (stream->route);
  stream->route = NULL;
}

static rt_retry_budget_t *
call_budget (rt_stream_t *stream)
{
  rt_service_entry_t *service
      = rt_service_find (stream->router, stream->target);

  return service ? &service->budget : NULL;
}

static el_time_t
call_available_at (const rt_stream_t *stream, el_time_t now)
{
  const rt_service_entry_t *service
      = rt_service_find (stream->router, stream->target);
  el_time_t first = EL_TIME_NEVER;
  size_t i;

  for (i = 0; service && i < service->spec.nendpoints; i++)
    {
      const rt_endpoint_t *ep
          = rt_endpoint_find (stream->router, service->spec.endpoints[i]);
      el_time_t available_at
          = ep ? rt_endpoint_available_at (ep, now) : EL_TIME_NEVER;

      if (available_at < first)
        first = available_at;
    }
  return first == EL_TIME_NEVER ? 0 : first;
}
