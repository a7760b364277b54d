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

#define TOKENS_FIRST_CAP 32

static rt_reason_t chat_start (rt_stream_t *, el_time_t);
static void chat_reply (rt_stream_t *, el_time_t, const rt_event_t *);
static void chat_leave (rt_stream_t *, el_time_t, int);
static rt_budget_t *chat_budget (rt_stream_t *);
static el_time_t chat_opens (const rt_stream_t *, el_time_t);

const rt_work_ops_t rt_chat_ops = {
  .start = chat_start,
  .reply = chat_reply,
  .leave = chat_leave,
  .budget = chat_budget,
  .opens = chat_opens,
};

static uint64_t
tokens_to_come (const rt_stream_t *stream)
{
  return stream->max_tokens > stream->ntokens
             ? stream->max_tokens - stream->ntokens
             : 0;
}

/* Call the stage that the stream has come to. The first stage takes in what
   is new to the attempt: at its start all, later the last token. */
static void
chat_call (rt_stream_t *stream, el_time_t now, el_str_t hidden, int fresh)
{
  const rt_hop_t *hop = &stream->route->hops[stream->hop];
  rt_action_t action = { .hidden = hidden };

  if (stream->hop == 0 && fresh)
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
  rt_stream_call (stream, now, hop, &action);
}

/* The deployment of a model that can serve now, of the newest generation. */
static rt_deployment_t *
deployment_pick (rt_stream_t *stream, el_time_t now, rt_pipeline_t **pipe,
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
    found = rt_pick_pipeline (router, now, dep, stream->avoid);
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

  dep = deployment_pick (stream, now, &pipe, &known);
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
  pipe->load += tokens_to_come (stream);
  pipe->streams++;
  stream->attempt++;
  stream->hop = 0;
  chat_call (stream, now, (el_str_t){ NULL, 0 }, 1);
  return RT_DONE;
}

static void
token_add (rt_stream_t *stream, uint64_t token)
{
  if (stream->ntokens == stream->cap_tokens)
    {
      stream->cap_tokens
          = stream->cap_tokens ? 2 * stream->cap_tokens : TOKENS_FIRST_CAP;
      stream->tokens = el_grow (stream->tokens, stream->cap_tokens,
                                sizeof *stream->tokens);
    }
  stream->tokens[stream->ntokens++] = token;
}

static void
chat_token (rt_stream_t *stream, el_time_t now, const rt_event_t *event)
{
  rt_router_t *router = stream->router;
  rt_pipeline_t *pipe = rt_pipeline_find (router, stream->route->pipeline);
  rt_action_t action = { .kind = RT_ACT_TOKEN,
                         .token = event->token,
                         .text = event->text,
                         .tokens = stream->ntokens };

  if (pipe && pipe->load)
    pipe->load--;
  token_add (stream, event->token);
  stream->failures = 0;
  router->counts.tokens++;
  action.stream = stream->id;
  rt_act (router, &action);
  if (event->finish || stream->ntokens >= stream->max_tokens)
    {
      rt_stream_end (stream, now, event->finish ? RT_DONE : RT_LENGTH);
      return;
    }
  stream->hop = 0;
  chat_call (stream, now, (el_str_t){ NULL, 0 }, 0);
}

static void
chat_reply (rt_stream_t *stream, el_time_t now, const rt_event_t *event)
{
  int final = stream->hop + 1 == stream->route->nhops;

  if (final != event->has_token)
    {
      rt_stream_failed (stream, now, EL_RAN, RT_FAIL_CROSSED);
      return;
    }
  if (final)
    {
      chat_token (stream, now, event);
      return;
    }
  stream->hop++;
  chat_call (stream, now, event->hidden, 0);
}

/* Give back the route. ABANDON tells the engines that were called to drop
   what they cached for the attempt and to stop what they run of it. */
static void
chat_leave (rt_stream_t *stream, el_time_t now, int abandon)
{
  rt_router_t *router = stream->router;
  rt_route_t *route = stream->route;
  rt_pipeline_t *pipe;
  uint64_t rest = tokens_to_come (stream);
  size_t i;

  (void)now;
  if (!route)
    return;
  pipe = rt_pipeline_find (router, route->pipeline);
  if (pipe)
    {
      pipe->load -= rest < pipe->load ? rest : pipe->load;
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
      rt_act (router, &action);
    }
  rt_route_free (route);
  stream->route = NULL;
}

static rt_budget_t *
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
pipeline_opens (const rt_router_t *router, const rt_pipeline_t *pipe,
                el_time_t now)
{
  el_time_t last = 0;
  size_t i;

  for (i = 0; i < pipe->nstages; i++)
    {
      const rt_endpoint_t *ep
          = rt_endpoint_find (router, pipe->stages[i].endpoint);
      el_time_t opens = ep ? rt_endpoint_opens (ep, now) : EL_TIME_NEVER;

      if (opens > last)
        last = opens;
    }
  return last;
}

static el_time_t
chat_opens (const rt_stream_t *stream, el_time_t now)
{
  const rt_deployment_t *dep;
  el_time_t first = EL_TIME_NEVER;
  size_t i;

  for (dep = stream->router->deployments; dep; dep = dep->hh.next)
    for (i = 0; i < dep->npipes && el_str_eq (dep->model, stream->target); i++)
      {
        el_time_t opens = pipeline_opens (stream->router, dep->pipes[i], now);

        if (opens < first)
          first = opens;
      }
  return first == EL_TIME_NEVER ? 0 : first;
}
