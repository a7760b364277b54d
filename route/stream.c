/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Chat streams: one token after another, each from a call to every stage of
 * the attempt's route in order. What was delivered is kept, so that another
 * attempt takes up where the one before it failed.
 */
#include "librt.h"

#define TOKENS_INITIAL_CAPACITY 32

static rt_reason_t chat_start (rt_stream_t *, el_time_t);
static void chat_reply (rt_stream_t *, el_time_t, const rt_event_t *);
static void chat_release (rt_stream_t *, el_time_t, int);
static rt_retry_budget_t *chat_budget (rt_stream_t *);
static el_time_t chat_available_at (const rt_stream_t *, el_time_t);

const rt_work_ops_t rt_chat_ops = {
  .start = chat_start,
  .reply = chat_reply,
  .release = chat_release,
  .budget = chat_budget,
  .available_at = chat_available_at,
};

static uint64_t
tokens_remaining (const rt_stream_t *stream)
{
  return stream->max_tokens > stream->ntokens
             ? stream->max_tokens - stream->ntokens
             : 0;
}

/* Call the stage that the stream has come to. The first stage takes in what
   is new to the attempt: at its start all, later the last token. */
static void
chat_call_stage (rt_stream_t *stream, el_time_t now, el_str_t hidden,
                 int first_step)
{
  const rt_hop_t *hop = &stream->route->hops[stream->hop];
  rt_action_t action = { .hidden = hidden };

  if (stream->hop == 0 && first_step)
    {
      action.prompt = stream->prompt;
      action.feed = stream->tokens;
      action.nfeed = stream->ntokens;
    }
  else if (stream->hop == 0)
    {
      action.feed = &stream->tokens[stream->ntokens - 1];
      action.nfeed = 1;
    }
  action.final = stream->hop + 1 == stream->route->nhops;
  rt_stream_send_call (stream, now, hop, &action);
}

/* The deployment of a model that can serve now, of the newest generation. */
static rt_deployment_t *
choose_deployment (rt_stream_t *stream, el_time_t now, rt_pipeline_t **pipe,
                   int *known)
{
  rt_router_t *router = stream->router;
  rt_deployment_t *best = NULL;
  rt_deployment_t *dep;
  rt_deployment_t *next;
  rt_pipeline_t *found;

  *known = 0;
  HASH_ITER (hh, router->deployments, dep, next)
  {
    if (!el_str_eq (dep->model, stream->target))
      continue;
    *known = 1;
    if (best && best->generation >= dep->generation)
      continue;
    found = rt_choose_pipeline (router, now, dep, stream->avoid);
    if (!found)
      continue;
    best = dep;
    *pipe = found;
  }
  return best;
}

static rt_reason_t
chat_start (rt_stream_t *stream, el_time_t now)
{
  rt_pipeline_t *pipe = NULL;
  rt_deployment_t *dep;
  el_err_t err;
  int known;

  dep = choose_deployment (stream, now, &pipe, &known);
  if (!known)
    return RT_NO_MODEL;
  if (!dep)
    return RT_NO_ROUTE;
  stream->route = rt_route_build (stream->router, dep, pipe, &err);
  if (!stream->route)
    {
      EL_LOG (EL_LOG_WARN, "route_refused", EL_FC ("pipeline", pipe->key),
              EL_FC ("reason", err.msg));
      return RT_NO_ROUTE;
    }
  if (stream->max_tokens == 0 || stream->max_tokens > dep->max_tokens)
    stream->max_tokens = dep->max_tokens;
  pipe->tokens_pending += tokens_remaining (stream);
  pipe->streams++;
  stream->attempt++;
  stream->hop = 0;
  chat_call_stage (stream, now, (el_str_t){ NULL, 0 }, 1);
  return RT_DONE;
}

static void
token_append (rt_stream_t *stream, uint64_t token)
{
  if (stream->ntokens == stream->tokens_capacity)
    {
      stream->tokens_capacity = stream->tokens_capacity
                                    ? 2 * stream->tokens_capacity
                                    : TOKENS_INITIAL_CAPACITY;
      stream->tokens = el_grow (stream->tokens, stream->tokens_capacity,
                                sizeof *stream->tokens);
    }
  stream->tokens[stream->ntokens++] = token;
}

static void
chat_deliver_token (rt_stream_t *stream, el_time_t now,
                    const rt_event_t *event)
{
  rt_router_t *router = stream->router;
  rt_pipeline_t *pipe = rt_pipeline_find (router, stream->route->pipeline);
  rt_action_t action = { .kind = RT_ACT_TOKEN,
                         .token = event->token,
                         .text = event->text,
                         .tokens = stream->ntokens };

  if (pipe && pipe->tokens_pending)
    pipe->tokens_pending--;
  token_append (stream, event->token);
  stream->failures = 0;
  router->counts.tokens++;
  action.stream = stream->id;
  rt_emit_action (router, &action);
  if (event->finish || stream->ntokens >= stream->max_tokens)
    {
      rt_stream_end (stream, now, event->finish ? RT_DONE : RT_LENGTH);
      return;
    }
  stream->hop = 0;
  chat_call_stage (stream, now, (el_str_t){ NULL, 0 }, 0);
}

static void
chat_reply (rt_stream_t *stream, el_time_t now, const rt_event_t *event)
{
  int final = stream->hop + 1 == stream->route->nhops;

  if (final != event->has_token)
    {
      rt_stream_call_failed (stream, now, EL_RAN, RT_FAIL_CROSSED);
      return;
    }
  if (final)
    {
      chat_deliver_token (stream, now, event);
      return;
    }
  stream->hop++;
  chat_call_stage (stream, now, event->hidden, 0);
}

/* Give back the route. ABANDON tells the engines that were called to drop
   what they cached for the attempt and to stop what they run of it. */
static void
chat_release (rt_stream_t *stream, el_time_t now, int abandon)
{
  rt_router_t *router = stream->router;
  rt_route_t *route = stream->route;
  rt_pipeline_t *pipe;
  uint64_t remaining = tokens_remaining (stream);
  size_t i;

  (void)now;
  if (!route)
    return;
  pipe = rt_pipeline_find (router, route->pipeline);
  if (pipe)
    {
      pipe->tokens_pending -= remaining < pipe->tokens_pending
                                  ? remaining
                                  : pipe->tokens_pending;
      pipe->streams -= pipe->streams > 0;
    }
  for (i = 0; abandon && i < route->nhops; i++)
    {
      rt_action_t action = { .kind = RT_ACT_ABANDON,
                             .stream = stream->id,
                             .work = stream->work,
                             .endpoint = route->hops[i].endpoint,
                             .address = route->hops[i].address };

      action.call = (rt_place_t){ .stream = stream->id,
                                  .attempt = stream->attempt,
                                  .step = stream->ntokens,
                                  .first = route->hops[i].first,
                                  .last = route->hops[i].last,
                                  .generation = route->generation };
      rt_emit_action (router, &action);
    }
  rt_route_free (route);
  stream->route = NULL;
}

static rt_retry_budget_t *
chat_budget (rt_stream_t *stream)
{
  rt_deployment_t *dep;
  rt_deployment_t *next;

  HASH_ITER (hh, stream->router->deployments, dep, next)
  if (el_str_eq (dep->model, stream->target))
    return &dep->budget;
  return NULL;
}

/* When the last of its stages may be used. */
static el_time_t
pipeline_available_at (const rt_router_t *router, const rt_pipeline_t *pipe,
                       el_time_t now)
{
  el_time_t last = 0;
  size_t i;

  for (i = 0; i < pipe->nstages; i++)
    {
      const rt_endpoint_t *ep
          = rt_endpoint_find (router, pipe->stages[i].endpoint);
      el_time_t available_at
          = ep ? rt_endpoint_available_at (ep, now) : EL_TIME_NEVER;

      if (available_at > last)
        last = available_at;
    }
  return last;
}

static el_time_t
chat_available_at (const rt_stream_t *stream, el_time_t now)
{
  const rt_deployment_t *dep;
  el_time_t first = EL_TIME_NEVER;
  size_t i;

  for (dep = stream->router->deployments; dep; dep = dep->hh.next)
    for (i = 0; i < dep->npipes && el_str_eq (dep->model, stream->target); i++)
      {
        el_time_t available_at
            = pipeline_available_at (stream->router, dep->pipes[i], now);

        if (available_at < first)
          first = available_at;
      }
  return first == EL_TIME_NEVER ? 0 : first;
}
