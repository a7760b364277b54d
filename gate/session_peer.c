/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * What the other hosts ask of this one and hear from it: calls for sessions
 * at home here, answers that sessions keep, news of the store and of engines.
 */
#include <stdlib.h>
#include <string.h>

#include "libgate.h"

/* Home, successor, and back to where the request runs. */
#define HOPS_MAX 3

/* A call of another host that runs here. */
typedef struct served
{
  gt_reader_t reader;
  net_rpc_req_t *req;
} served_t;

static void ops_hosts (void *arg, size_t live);
static void ops_leaving (void *arg, el_str_t endpoint);
static int ops_news (void *arg, pr_position_t after, pr_news_t *out);
static pr_position_t ops_position (void *arg);
static void ops_epoch (void *arg, uint64_t epoch);
static el_time_t ops_known (void *arg);
static size_t ops_engines (void *arg, pr_engine_t **out);
static void ops_engines_heard (void *arg, const pr_engine_t *engines,
                               size_t n);
static void ops_rumor (void *arg, const co_rumor_t *rumor);
static void ops_call (void *arg, net_rpc_req_t *req, const pr_call_t *call);
static void ops_answer_write (void *arg, const void *answer, peer_answer *to);
static void *ops_answer_read (void *arg, const peer_answer *from,
                              size_t *bytes);
static void ops_taken_over (void *arg);

static const pr_ops_t ops = {
  .hosts = ops_hosts,
  .leaving = ops_leaving,
  .news = ops_news,
  .position = ops_position,
  .epoch = ops_epoch,
  .known = ops_known,
  .engines = ops_engines,
  .engines_heard = ops_engines_heard,
  .rumor = ops_rumor,
  .call = ops_call,
  .answer_write = ops_answer_write,
  .answer_read = ops_answer_read,
  .taken_over = ops_taken_over,
};

static const gt_refusal_t home_gone
    = { .status = 409,
        .verdict = EL_MAY_HAVE_RUN,
        .code = "home-gone",
        .message = "the session's home is another incarnation" };

/** Have the peers ask GATE. */
void
gt_session_peer_ops (pr_options_t *options, gt_gate_t *gate)
{
  options->ops = &ops;
  options->arg = gate;
}

static void
ops_hosts (void *arg, size_t live)
{
  rt_event_t event = { .kind = RT_EV_HOSTS, .hosts = live };

  gt_router_event (arg, &event);
}

static void
ops_leaving (void *arg, el_str_t endpoint)
{
  rt_event_t event
      = { .kind = RT_EV_LEAVING, .target = endpoint, .leaving = 1 };

  gt_router_event (arg, &event);
}

static int
ops_news (void *arg, pr_position_t after, pr_news_t *out)
{
  const gt_gate_t *gate = arg;

  return gate->follow && gt_follow_tell (gate->follow, after, out);
}

static pr_position_t
ops_position (void *arg)
{
  const gt_gate_t *gate = arg;

  return gate->follow ? gt_follow_position (gate->follow)
                      : (pr_position_t){ 0 };
}

static void
ops_epoch (void *arg, uint64_t epoch)
{
  const gt_gate_t *gate = arg;

  if (gate->follow)
    gt_follow_epoch (gate->follow, epoch);
}

static el_time_t
ops_known (void *arg)
{
  const gt_gate_t *gate = arg;

  return gate->follow ? gt_follow_known (gate->follow) : 0;
}

static size_t
ops_engines (void *arg, pr_engine_t **out)
{
  gt_gate_t *gate = arg;

  if (!gate->talk.tell)
    return 0;
  return gate->talk.tell (gate->talk.arg, out);
}

static void
ops_engines_heard (void *arg, const pr_engine_t *engines, size_t n)
{
  gt_gate_t *gate = arg;

  if (gate->talk.hear)
    gate->talk.hear (gate->talk.arg, engines, n);
}

static void
ops_rumor (void *arg, const co_rumor_t *rumor)
{
  gt_gate_t *gate = arg;

  if (gate->talk.rumor)
    gate->talk.rumor (gate->talk.arg, rumor);
}

/* When to come back is told with it: a caller through another host than its
   session's home was left without, also while all endpoints rested for 60 s.
 */
static void
call_refuse (net_rpc_req_t *req, const gt_refusal_t *refusal)
{
  net_header_t headers[4] = { { EL_STR ("content-type"), GT_JSON } };
  gt_verdict_head_t head;
  json_t *json = gt_refusal_json (refusal);
  char *text = json_dumps (json, JSON_COMPACT);
  pr_called_t called = { .verdict = refusal->verdict,
                         .status = refusal->status,
                         .headers = headers,
                         .nheaders = 1,
                         .body = el_str (text) };

  gt_verdict_headers (refusal->verdict, refusal->retry_after_ms, &head);
  memcpy (headers + 1, head.headers, head.n * sizeof *headers);
  called.nheaders += head.n;
  pr_call_answer (req, &called);
  free (text);
  json_decref (json);
}

/* Answer with what the endpoint gave, and with its verdict. */
static void
call_answer (net_rpc_req_t *req, const gt_answer_t *answer)
{
  pr_called_t called = { .verdict = answer->end.verdict,
                         .status = answer->status,
                         .nheaders = answer->nheaders + 1,
                         .body = el_buf_str (&answer->body) };
  net_header_t *headers = el_alloc (called.nheaders * sizeof *headers);

  memcpy (headers, answer->headers, answer->nheaders * sizeof *headers);
  headers[answer->nheaders]
      = (net_header_t){ EL_STR ("x-elmarch-verdict"),
                        el_str (el_verdict_name (answer->end.verdict)) };
  called.headers = headers;
  pr_call_answer (req, &called);
  free (headers);
}

static void
served_wake (gt_reader_t *reader)
{
  served_t *served = H2O_STRUCT_FROM_MEMBER (served_t, reader, reader);
  const gt_answer_t *answer = reader->answer;
  gt_refusal_t refusal;

  if (!answer->ended)
    return;
  if (answer->end.reason == RT_DONE)
    call_answer (served->req, answer);
  else
    {
      gt_refusal_of_end (&answer->end, &refusal);
      call_refuse (served->req, &refusal);
    }
  gt_answer_detach (reader);
  free (served);
}

/* Another host answered what was forwarded here: hand it on. */
static void
relayed_done (void *arg, const pr_called_t *called)
{
  if (called->answered)
    pr_call_answer (arg, called);
  else
    call_refuse (arg, &home_gone);
}

static void
call_ask (const pr_call_t *call, gt_ask_t *ask)
{
  *ask = (gt_ask_t){ .work = RT_CALL,
                     .customer = call->token.customer,
                     .target = call->target,
                     .repeatable = call->repeatable,
                     .deadline = call->deadline,
                     .in_session = 1,
                     .token = call->token,
                     .hops = call->hops,
                     .sequence = call->sequence,
                     .digest = call->digest,
                     .method = call->method,
                     .path = call->path,
                     .headers = call->headers,
                     .nheaders = call->nheaders,
                     .body = call->body };
}

static void
ops_call (void *arg, net_rpc_req_t *req, const pr_call_t *call)
{
  gt_gate_t *gate = arg;
  gt_refusal_t refusal = { .go = 0 };
  gt_answer_t *answer;
  served_t *served;
  gt_ask_t ask;

  if (!call)
    {
      call_refuse (req, &home_gone);
      return;
    }
  call_ask (call, &ask);
  answer = gt_flow_ask (gate, &ask, &refusal);
  if (!answer && refusal.go && call->hops < HOPS_MAX)
    {
      ask.where = refusal.where;
      gt_session_forward (gate, &ask, relayed_done, req);
      return;
    }
  if (!answer)
    {
      call_refuse (req, &refusal);
      return;
    }
  served = el_alloc (sizeof *served);
  served->reader.wake = served_wake;
  served->req = req;
  gt_answer_attach (answer, &served->reader);
  gt_answer_unref (answer);
}

/** Have the home of ASK's session run it. */
void
gt_session_forward (gt_gate_t *gate, const gt_ask_t *ask, pr_called_cb done,
                    void *arg)
{
  const pr_call_t call = { .token = ask->token,
                           .where = ask->where,
                           .sequence = ask->sequence,
                           .digest = ask->digest,
                           .deadline = ask->deadline,
                           .repeatable = ask->repeatable,
                           .hops = ask->hops,
                           .target = ask->target,
                           .method = ask->method,
                           .path = ask->path,
                           .headers = ask->headers,
                           .nheaders = ask->nheaders,
                           .body = ask->body };

  pr_peers_forward (gate->peers, &call, done, arg);
}

static void
ops_answer_write (void *arg, const void *answer, peer_answer *to)
{
  const gt_answer_t *from = answer;
  size_t i;

  (void)arg;
  memset (to, 0, sizeof *to);
  to->chat = from->work == RT_CHAT;
  to->verdict = from->end.verdict;
  to->reason = from->end.reason;
  to->stream = from->stream;
  to->base = from->base;
  to->status = from->status;
  PEER_BYTES_SET (to->target, target, from->target);
  PEER_BYTES_SET (to->text, text, from->text);
  PEER_BYTES_SET (to->body, body, from->body);
  to->tokens.tokens_val = el_alloc ((from->ntokens + 1) * sizeof (peer_token));
  to->tokens.tokens_len = (u_int)from->ntokens;
  for (i = 0; i < from->ntokens; i++)
    to->tokens.tokens_val[i]
        = (peer_token){ from->tokens[i].id, from->tokens[i].len };
  to->headers.headers_val = pr_headers_write (from->headers, from->nheaders);
  to->headers.headers_len = (u_int)from->nheaders;
}

static void *
ops_answer_read (void *arg, const peer_answer *from, size_t *bytes)
{
  gt_ask_t ask = { .work = from->chat ? RT_CHAT : RT_CALL, .in_session = 1 };
  net_result_t result = { .status = from->status };
  gt_end_t end = { (el_verdict_t)from->verdict, (rt_reason_t)from->reason, 0 };
  net_header_t *headers;
  gt_answer_t *answer;
  el_str_t text = PEER_BYTES_GET (from->text, text);
  u_int i;

  ask.target = PEER_BYTES_GET (from->target, target);
  ask.nresume = from->base;
  answer = gt_answer_new (arg, &ask);
  answer->stream = from->stream;
  for (i = 0; i < from->tokens.tokens_len; i++)
    {
      const peer_token *token = &from->tokens.tokens_val[i];
      size_t len = token->len < text.len ? token->len : text.len;

      gt_answer_token (answer, token->id, (el_str_t){ text.ptr, len });
      text = el_str_after (text, len);
    }
  headers
      = pr_headers_read (from->headers.headers_val, from->headers.headers_len);
  result.headers = headers;
  result.nheaders = from->headers.headers_len;
  result.body = PEER_BYTES_GET (from->body, body);
  gt_answer_result (answer, &result);
  gt_answer_end (answer, &end);
  free (headers);
  *bytes = gt_answer_bytes (answer);
  return answer;
}

static void
ops_taken_over (void *arg)
{
  gt_answer_flush (arg);
}
