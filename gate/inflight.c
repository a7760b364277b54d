/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Requests in flight: the ledger decides whether a validated request runs,
 * and the router's actions are carried out as HTTP exchanges with endpoints.
 */
#include <string.h>

#include "libgate.h"

static void inflight_call (gt_gate_t *, gt_inflight_t *, const rt_action_t *);
static void inflight_abandon (gt_gate_t *, gt_inflight_t *,
                              const rt_action_t *);
static void inflight_token (gt_gate_t *, gt_inflight_t *, const rt_action_t *);
static void inflight_end (gt_gate_t *, gt_inflight_t *, const rt_action_t *);
static void chat_send (gt_gate_t *, gt_inflight_t *, const rt_action_t *);
static void call_send (gt_gate_t *, gt_inflight_t *, const rt_action_t *);
static void chat_done (void *arg, const net_result_t *result);
static void call_done (void *arg, const net_result_t *result);

typedef void (*action_fn) (gt_gate_t *gate, gt_inflight_t *inflight,
                           const rt_action_t *action);

static const action_fn action_handlers[RT_ACTIONS] = {
  [RT_ACT_CALL] = inflight_call,
  [RT_ACT_ABANDON] = inflight_abandon,
  [RT_ACT_TOKEN] = inflight_token,
  [RT_ACT_END] = inflight_end,
};

static const action_fn senders[RT_REQUEST_TYPES] = {
  [RT_CHAT] = chat_send,
  [RT_CALL] = call_send,
};

#define ABANDON_TIMEOUT (2 * EL_SEC)

/* The reply to the caller for each ledger result that yields no answer. */
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

static gt_inflight_t *
inflight_find (gt_gate_t *gate, uint64_t id)
{
  gt_inflight_t *inflight;

  HASH_FIND (hh, gate->inflight, &id, sizeof id, inflight);
  return inflight;
}

static void
inflight_copy_call (gt_inflight_t *inflight, const gt_request_t *request)
{
  size_t i;

  inflight->method = el_str_dup (request->method);
  inflight->path = el_str_dup (request->path);
  inflight->body = el_str_dup (request->body);
  inflight->headers
      = el_alloc ((request->nheaders + 1) * sizeof *inflight->headers);
  inflight->nheaders = request->nheaders;
  for (i = 0; i < request->nheaders; i++)
    {
      inflight->headers[i].name = el_str_dup (request->headers[i].name);
      inflight->headers[i].value = el_str_dup (request->headers[i].value);
    }
}

void
gt_inflight_free (gt_inflight_t *inflight)
{
  size_t i;

  HASH_DEL (inflight->gate->inflight, inflight);
  el_account_give (&inflight->gate->account, EL_HOLD_LONG, inflight->held);
  if (inflight->exchange)
    net_client_cancel (inflight->exchange);
  for (i = 0; i < inflight->nheaders; i++)
    {
      el_str_free (&inflight->headers[i].name);
      el_str_free (&inflight->headers[i].value);
    }
  free (inflight->headers);
  el_str_free (&inflight->method);
  el_str_free (&inflight->path);
  el_str_free (&inflight->body);
  el_str_free (&inflight->endpoint);
  gt_answer_unref (inflight->answer);
  free (inflight);
}

static void
inflight_start (gt_gate_t *gate, const gt_request_t *request,
                gt_answer_t *answer)
{
  gt_inflight_t *inflight = el_alloc (sizeof *inflight);
  rt_event_t event = { .kind = RT_EV_REQUEST,
                       .work = request->type,
                       .customer = request->customer,
                       .target = request->target,
                       .prompt = request->prompt,
                       .resume = request->resume,
                       .nresume = request->nresume,
                       .max_tokens = request->max_tokens,
                       .deadline = request->deadline,
                       .repeatable = request->repeatable };

  inflight->id = gate->next_stream++;
  inflight->gate = gate;
  inflight->answer = gt_answer_ref (answer);
  inflight->in_session = request->in_session;
  inflight->session = co_token_session (&request->token);
  inflight->sequence = request->sequence;
  inflight->repeatable = request->repeatable;
  inflight->started = net_clock_now (&gate->clock);
  if (request->type == RT_CALL)
    inflight_copy_call (inflight, request);
  /* It may outlast its caller's connection. */
  inflight->held = request->body.len + request->prompt.len;
  el_account_add (&gate->account, EL_HOLD_LONG, inflight->held);
  HASH_ADD (hh, gate->inflight, id, sizeof inflight->id, inflight);
  answer->stream = inflight->id;
  event.stream = inflight->id;
  gt_router_event (gate, &event);
}

/** Runs a request, or joins the earlier one of which it is a duplicate.
    Returns a new reference to the answer, or NULL with *REFUSAL filled in. */
gt_answer_t *
gt_request_submit (gt_gate_t *gate, const gt_request_t *request,
                   gt_refusal_t *refusal)
{
  gt_answer_t *answer = gt_answer_new (gate, request);
  co_led_result_t ledger_result = CO_LED_RUN;
  co_session_t session = co_token_session (&request->token);
  void *first = NULL;

  if (request->in_session)
    ledger_result = co_ledger_begin_request (
        gate->ledger, net_clock_now (&gate->clock), &session,
        request->sequence, request->digest, answer, &first);
  if (ledger_result == CO_LED_RUN)
    {
      if (request->in_session)
        gt_answer_ref (answer); /* the ledger's reference */
      inflight_start (gate, request, answer);
      return answer;
    }
  gt_answer_unref (answer);
  if (ledger_result == CO_LED_JOIN || ledger_result == CO_LED_ANSWER)
    {
      gate->counts.joined++;
      return gt_answer_ref (first);
    }
  if (ledger_result == CO_LED_FORGOTTEN)
    gate->counts.forgotten++;
  *refusal = ledger_refusals[ledger_result];
  if (ledger_result == CO_LED_MOVED)
    refusal->owner = *pr_peers_successor (gate->peers);
  if (ledger_result == CO_LED_ELSEWHERE)
    refusal->owner
        = (pr_session_home_t){ request->token.home, request->token.peer,
                               request->token.http };
  refusal->redirect = refusal->owner.peer.len > 0;
  return NULL;
}

/** Carries out an action of the router. */
void
gt_inflight_action (void *arg, const rt_action_t *action)
{
  gt_gate_t *gate = arg;
  gt_inflight_t *inflight = inflight_find (gate, action->stream);

  if (gate->options.trace_fd >= 0)
    gt_trace (gate, rt_trace_action (action));
  if (inflight)
    action_handlers[action->kind](gate, inflight, action);
}

/* Checked again before a call is sent on a newly opened connection. */
static int
may_send (void *arg)
{
  const gt_inflight_t *inflight = arg;

  return rt_router_may_send (inflight->gate->router,
                             net_clock_now (&inflight->gate->clock),
                             inflight->endpoint);
}

static void
inflight_call (gt_gate_t *gate, gt_inflight_t *inflight,
               const rt_action_t *action)
{
  el_str_free (&inflight->endpoint);
  inflight->endpoint = el_str_dup (action->endpoint);
  inflight->call = action->call;
  senders[action->work](gate, inflight, action);
}

static void
chat_send (gt_gate_t *gate, gt_inflight_t *inflight, const rt_action_t *action)
{
  el_buf_t body = { NULL, 0, 0 };
  net_header_t type = { EL_STR ("content-type"), GT_JSON };
  net_request_t send = { .address = action->address,
                         .method = EL_STR ("POST"),
                         .path = gt_engine_http.call_path,
                         .headers = &type,
                         .nheaders = 1,
                         .allow = may_send,
                         .done = chat_done,
                         .arg = inflight };

  gt_engine_http.write_call (gate, action, &body);
  send.body = el_buf_str (&body);
  inflight->exchange = net_client_send (gate->client, &send);
  el_buf_free (&body);
}

/* A call that must not be retried gets a connection of its own: the endpoint
   may close a keep-alive connection just as the request is sent, and then it
   is not known whether the request ran. */
static void
call_send (gt_gate_t *gate, gt_inflight_t *inflight, const rt_action_t *action)
{
  net_request_t send = { .address = action->address,
                         .method = inflight->method,
                         .path = inflight->path,
                         .headers = inflight->headers,
                         .nheaders = inflight->nheaders,
                         .body = inflight->body,
                         .new_connection = !inflight->repeatable,
                         .keeps_body = 1,
                         .allow = may_send,
                         .done = call_done,
                         .arg = inflight };

  inflight->exchange = net_client_send (gate->client, &send);
}

static void
exchange_failed (const net_result_t *result, rt_event_t *event)
{
  event->kind = RT_EV_FAILED;
  event->verdict = result->verdict;
  event->fail = gt_net_failure (result->net);
}

/* Tells the other hosts when an endpoint reported that it is leaving. */
static void
report_leaving (gt_gate_t *gate, const gt_inflight_t *inflight,
                const rt_event_t *event)
{
  if (event->kind == RT_EV_FAILED && event->fail == RT_FAIL_LEAVING)
    pr_peers_announce_leaving (gate->peers, inflight->endpoint);
}

static void
chat_done (void *arg, const net_result_t *result)
{
  gt_inflight_t *inflight = arg;
  gt_gate_t *gate = inflight->gate;
  rt_event_t event = { .stream = inflight->id, .call = inflight->call };
  json_t *backing = NULL;

  inflight->exchange = NULL;
  if (result->net != NET_OK)
    exchange_failed (result, &event);
  else
    gt_engine_http.read_reply (gate, result, &event, &backing);
  report_leaving (gate, inflight, &event);
  gt_router_event (gate, &event);
  json_decref (backing);
}

static void
call_done (void *arg, const net_result_t *result)
{
  gt_inflight_t *inflight = arg;
  gt_gate_t *gate = inflight->gate;
  rt_event_t event = { .stream = inflight->id,
                       .call = inflight->call,
                       .echo = inflight->call };

  inflight->exchange = NULL;
  if (result->net != NET_OK)
    exchange_failed (result, &event);
  else if (gt_endpoint_refused (result, &event))
    {
      event.kind = RT_EV_FAILED;
      event.verdict = EL_NOT_RUN;
    }
  else
    {
      event.kind = RT_EV_REPLY;
      gt_answer_result (inflight->answer, result);
    }
  report_leaving (gate, inflight, &event);
  gt_router_event (gate, &event);
}

static void
abandon_done (void *arg, const net_result_t *result)
{
  (void)arg;
  (void)result;
}

/* Cancels the exchange of an attempt and, for a chat, tells the engine to
   discard the attempt. */
static void
inflight_abandon (gt_gate_t *gate, gt_inflight_t *inflight,
                  const rt_action_t *action)
{
  el_buf_t body = { NULL, 0, 0 };
  net_header_t type = { EL_STR ("content-type"), GT_JSON };
  net_request_t send = { .address = action->address,
                         .method = EL_STR ("POST"),
                         .path = gt_engine_http.abandon_path,
                         .headers = &type,
                         .nheaders = 1,
                         .timeout = ABANDON_TIMEOUT,
                         .done = abandon_done };

  if (inflight->exchange && inflight->call.attempt == action->call.attempt)
    {
      net_client_cancel (inflight->exchange);
      inflight->exchange = NULL;
    }
  if (action->work != RT_CHAT)
    return;
  gt_engine_http.write_abandon (gate, action, &body);
  send.body = el_buf_str (&body);
  net_client_send (gate->client, &send);
  el_buf_free (&body);
}

static void
inflight_token (gt_gate_t *gate, gt_inflight_t *inflight,
                const rt_action_t *action)
{
  if (inflight->answer->ntokens == 0)
    el_hist_add (&gate->counts.first_token,
                 net_clock_now (&gate->clock) - inflight->started);
  gt_answer_token (inflight->answer, action->token, action->text);
}

static void
inflight_end (gt_gate_t *gate, gt_inflight_t *inflight,
              const rt_action_t *action)
{
  gt_outcome_t outcome
      = { action->verdict, action->reason, action->retry_after_ms };

  EL_LOG (EL_LOG_DEBUG, "request_end", EL_FN ("stream", inflight->id),
          EL_FS ("target", inflight->answer->target),
          EL_FC ("verdict", el_verdict_name (outcome.verdict)),
          EL_FC ("reason", rt_reason_name (outcome.reason)),
          EL_FN ("tokens", action->tokens));
  gt_answer_finish (inflight->answer, &outcome);
  if (inflight->in_session)
    co_ledger_end_request (gate->ledger, net_clock_now (&gate->clock),
                           &inflight->session, inflight->sequence,
                           outcome.verdict,
                           gt_answer_bytes (inflight->answer));
  gt_inflight_free (inflight);
}
