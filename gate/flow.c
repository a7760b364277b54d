/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * From a checked request to the router and back: the ledger decides whether
 * it runs, the router's actions become exchanges with endpoints.
 */
#include <string.h>

#include "libgate.h"

static void flow_call (gt_gate_t *, gt_flow_t *, const rt_action_t *);
static void flow_abandon (gt_gate_t *, gt_flow_t *, const rt_action_t *);
static void flow_token (gt_gate_t *, gt_flow_t *, const rt_action_t *);
static void flow_end (gt_gate_t *, gt_flow_t *, const rt_action_t *);
static void chat_send (gt_gate_t *, gt_flow_t *, const rt_action_t *);
static void call_send (gt_gate_t *, gt_flow_t *, const rt_action_t *);
static void chat_done (void *arg, const net_result_t *result);
static void call_done (void *arg, const net_result_t *result);

typedef void (*flow_act_fn) (gt_gate_t *gate, gt_flow_t *flow,
                             const rt_action_t *action);

static const flow_act_fn acts[RT_ACTIONS] = {
  [RT_ACT_CALL] = flow_call,
  [RT_ACT_ABANDON] = flow_abandon,
  [RT_ACT_TOKEN] = flow_token,
  [RT_ACT_END] = flow_end,
};

static const flow_act_fn senders[RT_REQUEST_TYPES] = {
  [RT_CHAT] = chat_send,
  [RT_CALL] = call_send,
};

#define ABANDON_TIMEOUT (2 * EL_SEC)

/* What the ledger's word means for the one who asked, where it does not lead
   to an answer. */
static const gt_refusal_t ledger_refusals[] = {
  [CO_LED_FORGOTTEN] = { .status = 409,
                         .verdict = EL_MAY_HAVE_RUN,
                         .code = "forgotten",
                         .message = "this session's home no longer knows "
                                    "whether the request ran; it will not "
                                    "run again" },
  [CO_LED_MISMATCH] = { .status = 422,
                        .verdict = EL_NOT_RUN,
                        .code = "sequence-reused",
                        .message = "another request was sent under this "
                                   "sequence" },
  [CO_LED_SEALED] = { .status = 503,
                      .verdict = EL_NOT_RUN,
                      .code = "stopping",
                      .message = "this host is stopping; open a session "
                                 "elsewhere",
                      .retry_after_ms = 1000 },
  [CO_LED_FULL] = { .status = 429,
                    .verdict = EL_NOT_RUN,
                    .code = "session-full",
                    .message = "too many of the session's requests run at "
                               "once",
                    .retry_after_ms = 1000 },
  [CO_LED_MOVED] = { .status = 409,
                     .verdict = EL_MAY_HAVE_RUN,
                     .code = "moved",
                     .message = "the session was handed to another host" },
  [CO_LED_ELSEWHERE] = { .status = 409,
                         .verdict = EL_MAY_HAVE_RUN,
                         .code = "elsewhere",
                         .message = "the request runs at the session's "
                                    "former host" },
};

static gt_flow_t *
flow_find (gt_gate_t *gate, uint64_t id)
{
  gt_flow_t *flow;

  HASH_FIND (hh, gate->flows, &id, sizeof id, flow);
  return flow;
}

static void
flow_keep_call (gt_flow_t *flow, const gt_ask_t *ask)
{
  size_t i;

  flow->method = el_str_dup (ask->method);
  flow->path = el_str_dup (ask->path);
  flow->body = el_str_dup (ask->body);
  flow->headers = el_alloc ((ask->nheaders + 1) * sizeof *flow->headers);
  flow->nheaders = ask->nheaders;
  for (i = 0; i < ask->nheaders; i++)
    {
      flow->headers[i].name = el_str_dup (ask->headers[i].name);
      flow->headers[i].value = el_str_dup (ask->headers[i].value);
    }
}

void
gt_flow_free (gt_flow_t *flow)
{
  size_t i;

  HASH_DEL (flow->gate->flows, flow);
  if (flow->exchange)
    net_client_cancel (flow->exchange);
  for (i = 0; i < flow->nheaders; i++)
    {
      el_str_free (&flow->headers[i].name);
      el_str_free (&flow->headers[i].value);
    }
  free (flow->headers);
  el_str_free (&flow->method);
  el_str_free (&flow->path);
  el_str_free (&flow->body);
  el_str_free (&flow->endpoint);
  gt_answer_unref (flow->answer);
  free (flow);
}

static void
flow_start (gt_gate_t *gate, const gt_ask_t *ask, gt_answer_t *answer)
{
  gt_flow_t *flow = el_alloc (sizeof *flow);
  rt_event_t event = { .kind = RT_EV_REQUEST,
                       .work = ask->work,
                       .customer = ask->customer,
                       .target = ask->target,
                       .prompt = ask->prompt,
                       .resume = ask->resume,
                       .nresume = ask->nresume,
                       .max_tokens = ask->max_tokens,
                       .deadline = ask->deadline,
                       .repeatable = ask->repeatable };

  flow->id = gate->next_stream++;
  flow->gate = gate;
  flow->answer = gt_answer_ref (answer);
  flow->in_session = ask->in_session;
  flow->session = co_token_session (&ask->token);
  flow->sequence = ask->sequence;
  flow->repeatable = ask->repeatable;
  flow->started = net_clock_now (&gate->clock);
  if (ask->work == RT_CALL)
    flow_keep_call (flow, ask);
  HASH_ADD (hh, gate->flows, id, sizeof flow->id, flow);
  answer->stream = flow->id;
  event.stream = flow->id;
  gt_router_event (gate, &event);
}

/** Run a request, or join the one that it repeats. Gives the answer with a
    reference of the caller's, or NULL with the refusal. */
gt_answer_t *
gt_flow_ask (gt_gate_t *gate, const gt_ask_t *ask, gt_refusal_t *refusal)
{
  gt_answer_t *answer = gt_answer_new (gate, ask);
  co_led_result_t word = CO_LED_RUN;
  co_session_t session = co_token_session (&ask->token);
  void *first = NULL;

  if (ask->in_session)
    word = co_ledger_begin (gate->ledger, net_clock_now (&gate->clock),
                            &session, ask->sequence, ask->digest, answer,
                            &first);
  if (word == CO_LED_RUN)
    {
      if (ask->in_session)
        gt_answer_ref (answer); /* the ledger's */
      flow_start (gate, ask, answer);
      return answer;
    }
  gt_answer_unref (answer);
  if (word == CO_LED_JOIN || word == CO_LED_ANSWER)
    {
      gate->counts.joined++;
      return gt_answer_ref (first);
    }
  if (word == CO_LED_FORGOTTEN)
    gate->counts.forgotten++;
  *refusal = ledger_refusals[word];
  if (word == CO_LED_MOVED)
    refusal->where = *pr_peers_successor (gate->peers);
  if (word == CO_LED_ELSEWHERE)
    refusal->where
        = (pr_place_t){ ask->token.home, ask->token.peer, ask->token.http };
  refusal->go = refusal->where.peer.len > 0;
  return NULL;
}

/** The router's actions. */
void
gt_flow_act (void *arg, const rt_action_t *action)
{
  gt_gate_t *gate = arg;
  gt_flow_t *flow = flow_find (gate, action->stream);

  if (gate->options.trace_fd >= 0)
    gt_trace (gate, rt_trace_action (action));
  if (flow)
    acts[action->kind](gate, flow, action);
}

/* Asked before a call leaves on a connection that had to be made. */
static int
flow_may (void *arg)
{
  const gt_flow_t *flow = arg;

  return rt_router_may_send (
      flow->gate->router, net_clock_now (&flow->gate->clock), flow->endpoint);
}

static void
flow_call (gt_gate_t *gate, gt_flow_t *flow, const rt_action_t *action)
{
  el_str_free (&flow->endpoint);
  flow->endpoint = el_str_dup (action->endpoint);
  flow->call = action->call;
  senders[action->work](gate, flow, action);
}

static void
chat_send (gt_gate_t *gate, gt_flow_t *flow, const rt_action_t *action)
{
  el_buf_t body = { NULL, 0, 0 };
  net_header_t type = { EL_STR ("content-type"), GT_JSON };
  net_send_t send = { .address = action->address,
                      .method = EL_STR ("POST"),
                      .path = gt_engine_http.call_path,
                      .headers = &type,
                      .nheaders = 1,
                      .may = flow_may,
                      .done = chat_done,
                      .arg = flow };

  gt_engine_http.write_call (gate, action, &body);
  send.body = el_buf_str (&body);
  flow->exchange = net_client_send (gate->client, &send);
  el_buf_free (&body);
}

/* A call that may not be repeated gets a connection of its own: on a kept
   one the endpoint's close may cross with the request, and then it can't be
   told whether it ran. */
static void
call_send (gt_gate_t *gate, gt_flow_t *flow, const rt_action_t *action)
{
  net_send_t send = { .address = action->address,
                      .method = flow->method,
                      .path = flow->path,
                      .headers = flow->headers,
                      .nheaders = flow->nheaders,
                      .body = flow->body,
                      .fresh = !flow->repeatable,
                      .may = flow_may,
                      .done = call_done,
                      .arg = flow };

  flow->exchange = net_client_send (gate->client, &send);
}

static void
exchange_failed (const net_result_t *result, rt_event_t *event)
{
  event->kind = RT_EV_FAILED;
  event->verdict = result->verdict;
  event->fail = gt_net_fail (result->net);
}

/* The endpoint's own word that it leaves is told to the other hosts. */
static void
leaving_tell (gt_gate_t *gate, const gt_flow_t *flow, const rt_event_t *event)
{
  if (event->kind == RT_EV_FAILED && event->fail == RT_FAIL_LEAVING)
    pr_peers_endpoint_leaves (gate->peers, flow->endpoint);
}

static void
chat_done (void *arg, const net_result_t *result)
{
  gt_flow_t *flow = arg;
  gt_gate_t *gate = flow->gate;
  rt_event_t event = { .stream = flow->id, .call = flow->call };
  json_t *keep = NULL;

  flow->exchange = NULL;
  if (result->net != NET_OK)
    exchange_failed (result, &event);
  else
    gt_engine_http.read_reply (gate, result, &event, &keep);
  leaving_tell (gate, flow, &event);
  gt_router_event (gate, &event);
  json_decref (keep);
}

static void
call_done (void *arg, const net_result_t *result)
{
  gt_flow_t *flow = arg;
  gt_gate_t *gate = flow->gate;
  rt_event_t event
      = { .stream = flow->id, .call = flow->call, .echo = flow->call };

  flow->exchange = NULL;
  if (result->net != NET_OK)
    exchange_failed (result, &event);
  else if (gt_refused (result, &event))
    {
      event.kind = RT_EV_FAILED;
      event.verdict = EL_NOT_RUN;
    }
  else
    {
      event.kind = RT_EV_REPLY;
      gt_answer_result (flow->answer, result);
    }
  leaving_tell (gate, flow, &event);
  gt_router_event (gate, &event);
}

static void
abandon_done (void *arg, const net_result_t *result)
{
  (void)arg;
  (void)result;
}

/* Stop waiting for the attempt, and tell its engine to drop it. */
static void
flow_abandon (gt_gate_t *gate, gt_flow_t *flow, const rt_action_t *action)
{
  el_buf_t body = { NULL, 0, 0 };
  net_header_t type = { EL_STR ("content-type"), GT_JSON };
  net_send_t send = { .address = action->address,
                      .method = EL_STR ("POST"),
                      .path = gt_engine_http.abandon_path,
                      .headers = &type,
                      .nheaders = 1,
                      .timeout = ABANDON_TIMEOUT,
                      .done = abandon_done };

  if (flow->exchange && flow->call.attempt == action->call.attempt)
    {
      net_client_cancel (flow->exchange);
      flow->exchange = NULL;
    }
  if (action->work != RT_CHAT)
    return;
  gt_engine_http.write_abandon (gate, action, &body);
  send.body = el_buf_str (&body);
  net_client_send (gate->client, &send);
  el_buf_free (&body);
}

static void
flow_token (gt_gate_t *gate, gt_flow_t *flow, const rt_action_t *action)
{
  if (flow->answer->ntokens == 0)
    el_hist_add (&gate->counts.first_token,
                 net_clock_now (&gate->clock) - flow->started);
  gt_answer_token (flow->answer, action->token, action->text);
}

static void
flow_end (gt_gate_t *gate, gt_flow_t *flow, const rt_action_t *action)
{
  gt_end_t end = { action->verdict, action->reason, action->retry_after_ms };

  EL_LOG (EL_LOG_DEBUG, "request_end", EL_FN ("stream", flow->id),
          EL_FS ("target", flow->answer->target),
          EL_FC ("verdict", el_verdict_name (end.verdict)),
          EL_FC ("reason", rt_reason_name (end.reason)),
          EL_FN ("tokens", action->tokens));
  gt_answer_end (flow->answer, &end);
  if (flow->in_session)
    co_ledger_end (gate->ledger, net_clock_now (&gate->clock), &flow->session,
                   flow->sequence, end.verdict,
                   gt_answer_bytes (flow->answer));
  gt_flow_free (flow);
}
