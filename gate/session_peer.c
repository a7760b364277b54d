/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Implements the callbacks that the peer protocol needs from this host: calls
 * for sessions that are held here, transfer of stored answers, and changes of
 * the store and of engines.
 */
#include <stdlib.h>
#include <string.h>

#include "libgate.h"

/* Enough for home, successor, and back to the host where the request runs. */
#define HOPS_MAX 3
/* When another host may ask again for tokens of a limit. */
#define NO_RELAY_WAIT EL_SEC

/* A call that runs here for another host. */
typedef struct remote_call
{
  gt_reader_t reader;
  net_rpc_req_t *req;
} remote_call_t;

static void ops_hosts (void *arg, size_t live);
static void ops_leaving (void *arg, el_str_t endpoint);
static void ops_update (void *arg, const pr_store_query_t *query,
                        pr_store_update_t *out);
static void ops_stand_in (void *arg);
static pr_store_position_t ops_position (void *arg);
static void ops_epoch (void *arg, uint64_t epoch);
static el_time_t ops_known (void *arg);
static size_t ops_engines (void *arg, el_time_t after,
                           pr_engine_report_t **out);
static void ops_engine_reports (void *arg, const pr_engine_report_t *engines,
                                size_t n);
static void ops_rumor (void *arg, const co_rumor_t *rumor);
static void ops_reach (void *arg, const pr_reach_query_t *query,
                       pr_reach_cb done, void *done_arg);
static void ops_lend (void *arg, const pr_loan_request_t *request,
                      int is_lender, co_loan_t *out);
static void ops_load (void *arg, uint64_t host, uint64_t sequence,
                      const ld_report_t *report, ld_report_t *out);
static void ops_call (void *arg, net_rpc_req_t *req,
                      const pr_forward_request_t *call);
static void ops_encode_answer (void *arg, const void *answer, peer_answer *to);
static void *ops_decode_answer (void *arg, const peer_answer *from,
                                size_t *bytes);
static void ops_handover_received (void *arg);

static const pr_ops_t ops = {
  .hosts = ops_hosts,
  .leaving = ops_leaving,
  .store_update = ops_update,
  .stand_in = ops_stand_in,
  .store_position = ops_position,
  .epoch = ops_epoch,
  .store_known_until = ops_known,
  .engines = ops_engines,
  .receive_engine_reports = ops_engine_reports,
  .rumor = ops_rumor,
  .lend = ops_lend,
  .reach = ops_reach,
  .load = ops_load,
  .call = ops_call,
  .encode_answer = ops_encode_answer,
  .decode_answer = ops_decode_answer,
  .handover_received = ops_handover_received,
};

static const gt_refusal_t home_gone
    = { .status = 409,
        .verdict = EL_MAY_HAVE_RUN,
        .code = "home-gone",
        .message = "the session's home is another incarnation" };

/** Registers GATE's callbacks in the options of the peer protocol. */
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

static void
ops_update (void *arg, const pr_store_query_t *query, pr_store_update_t *out)
{
  const gt_gate_t *gate = arg;

  *out = (pr_store_update_t){ 0 };
  if (gate->store_follower)
    st_follow_update (gate->store_follower, query, out);
}

static void
ops_stand_in (void *arg)
{
  const gt_gate_t *gate = arg;

  if (gate->store_follower)
    st_follow_stand_in (gate->store_follower);
}

static pr_store_position_t
ops_position (void *arg)
{
  const gt_gate_t *gate = arg;

  return gate->store_follower ? st_follow_position (gate->store_follower)
                              : (pr_store_position_t){ 0 };
}

static void
ops_epoch (void *arg, uint64_t epoch)
{
  const gt_gate_t *gate = arg;

  if (gate->store_follower)
    st_follow_observe_epoch (gate->store_follower, epoch);
}

static el_time_t
ops_known (void *arg)
{
  const gt_gate_t *gate = arg;

  return gate->store_follower ? st_follow_synced_at (gate->store_follower) : 0;
}

static size_t
ops_engines (void *arg, el_time_t after, pr_engine_report_t **out)
{
  gt_gate_t *gate = arg;

  if (!gate->relay_hooks.list_engines)
    return 0;
  return gate->relay_hooks.list_engines (gate->relay_hooks.arg, after, out);
}

static void
ops_engine_reports (void *arg, const pr_engine_report_t *engines, size_t n)
{
  gt_gate_t *gate = arg;

  if (gate->relay_hooks.engines_received)
    gate->relay_hooks.engines_received (gate->relay_hooks.arg, engines, n);
}

static void
ops_rumor (void *arg, const co_rumor_t *rumor)
{
  gt_gate_t *gate = arg;

  if (gate->relay_hooks.rumor)
    gate->relay_hooks.rumor (gate->relay_hooks.arg, rumor);
}

static void
ops_lend (void *arg, const pr_loan_request_t *request, int is_lender,
          co_loan_t *out)
{
  gt_gate_t *gate = arg;

  *out = (co_loan_t){ .wait = NO_RELAY_WAIT };
  if (gate->relay_hooks.lend)
    gate->relay_hooks.lend (gate->relay_hooks.arg, request, is_lender, out);
}

static void
ops_reach (void *arg, const pr_reach_query_t *query, pr_reach_cb done,
           void *done_arg)
{
  gt_gate_t *gate = arg;

  if (gate->relay_hooks.reach)
    gate->relay_hooks.reach (gate->relay_hooks.arg, query, done, done_arg);
  else
    done (done_arg, 1, NULL);
}

/* Includes the retry headers: without them, a caller whose call was forwarded
   from another host would not learn when to retry, even while all endpoints
   are in backoff for 60 s. */
static void
reply_refusal (net_rpc_req_t *req, const gt_refusal_t *refusal)
{
  net_header_t headers[4] = { { EL_STR ("content-type"), GT_JSON } };
  gt_verdict_header_set_t head;
  json_t *json = gt_refusal_json (refusal);
  char *text = json_dumps (json, JSON_COMPACT);
  pr_forward_result_t forwarded = { .verdict = refusal->verdict,
                                    .status = refusal->status,
                                    .headers = headers,
                                    .nheaders = 1,
                                    .body = el_str (text) };

  gt_verdict_headers (refusal->verdict, refusal->retry_after_ms, &head);
  memcpy (headers + 1, head.headers, head.n * sizeof *headers);
  forwarded.nheaders += head.n;
  pr_forward_reply (req, &forwarded);
  free (text);
  json_decref (json);
}

/* Replies with the endpoint's response and its verdict. */
static void
reply_answer (net_rpc_req_t *req, const gt_answer_t *answer)
{
  pr_forward_result_t forwarded = { .verdict = answer->outcome.verdict,
                                    .status = answer->status,
                                    .nheaders = answer->nheaders + 1,
                                    .body = el_buf_str (&answer->body) };
  net_header_t *headers = el_alloc (forwarded.nheaders * sizeof *headers);

  memcpy (headers, answer->headers, answer->nheaders * sizeof *headers);
  headers[answer->nheaders]
      = (net_header_t){ EL_STR ("x-elmarch-verdict"),
                        el_str (el_verdict_name (answer->outcome.verdict)) };
  forwarded.headers = headers;
  pr_forward_reply (req, &forwarded);
  free (headers);
}

static void
remote_call_wake (gt_reader_t *reader)
{
  remote_call_t *remote_call
      = H2O_STRUCT_FROM_MEMBER (remote_call_t, reader, reader);
  const gt_answer_t *answer = reader->answer;
  gt_refusal_t refusal;

  if (!answer->ended)
    return;
  if (answer->outcome.reason == RT_DONE)
    reply_answer (remote_call->req, answer);
  else
    {
      gt_refusal_from_outcome (&answer->outcome, &refusal);
      reply_refusal (remote_call->req, &refusal);
    }
  gt_answer_detach (reader);
  free (remote_call);
}

/* Passes on the answer to a call that this host forwarded for another one. */
static void
forward_done (void *arg, const pr_forward_result_t *forwarded)
{
  if (forwarded->answered)
    pr_forward_reply (arg, forwarded);
  else
    reply_refusal (arg, &home_gone);
}

static void
call_to_request (const pr_forward_request_t *call, gt_request_t *request)
{
  *request = (gt_request_t){ .type = RT_CALL,
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
ops_load (void *arg, uint64_t host, uint64_t sequence,
          const ld_report_t *report, ld_report_t *out)
{
  const gt_gate_t *gate = arg;

  *out = (ld_report_t){ 0 };
  if (gate->relay_hooks.load)
    gate->relay_hooks.load (gate->relay_hooks.arg, host, sequence, report,
                            out);
}

static void
ops_call (void *arg, net_rpc_req_t *req, const pr_forward_request_t *call)
{
  gt_gate_t *gate = arg;
  gt_refusal_t refusal = { .redirect = 0 };
  gt_answer_t *answer;
  remote_call_t *remote_call;
  gt_request_t request;

  if (!call)
    {
      reply_refusal (req, &home_gone);
      return;
    }
  call_to_request (call, &request);
  answer = gt_request_submit (gate, &request, &refusal);
  if (!answer && refusal.redirect && call->hops < HOPS_MAX)
    {
      request.owner = refusal.owner;
      gt_session_forward (gate, &request, forward_done, req);
      return;
    }
  if (!answer)
    {
      reply_refusal (req, &refusal);
      return;
    }
  remote_call = el_alloc (sizeof *remote_call);
  remote_call->reader.wake = remote_call_wake;
  remote_call->req = req;
  gt_answer_attach (answer, &remote_call->reader);
  gt_answer_unref (answer);
}

/** Forwards REQUEST to the host that has its session. */
void
gt_session_forward (gt_gate_t *gate, const gt_request_t *request,
                    pr_forward_result_cb done, void *arg)
{
  const pr_forward_request_t call = { .token = request->token,
                                      .where = request->owner,
                                      .sequence = request->sequence,
                                      .digest = request->digest,
                                      .deadline = request->deadline,
                                      .repeatable = request->repeatable,
                                      .hops = request->hops,
                                      .target = request->target,
                                      .method = request->method,
                                      .path = request->path,
                                      .headers = request->headers,
                                      .nheaders = request->nheaders,
                                      .body = request->body };

  pr_peers_forward (gate->peers, &call, done, arg);
}

static void
ops_encode_answer (void *arg, const void *answer, peer_answer *to)
{
  const gt_answer_t *from = answer;
  size_t i;

  (void)arg;
  memset (to, 0, sizeof *to);
  to->chat = from->type == RT_CHAT;
  to->verdict = from->outcome.verdict;
  to->reason = from->outcome.reason;
  to->stream = from->stream;
  to->base = from->nresumed;
  to->status = from->status;
  PEER_BYTES_SET (to->target, target, from->target);
  PEER_BYTES_SET (to->text, text, from->text);
  PEER_BYTES_SET (to->body, body, from->body);
  to->tokens.tokens_val = el_alloc ((from->ntokens + 1) * sizeof (peer_token));
  to->tokens.tokens_len = (u_int)from->ntokens;
  for (i = 0; i < from->ntokens; i++)
    to->tokens.tokens_val[i]
        = (peer_token){ from->tokens[i].id, from->tokens[i].len };
  to->headers.headers_val = pr_headers_encode (from->headers, from->nheaders);
  to->headers.headers_len = (u_int)from->nheaders;
}

static void *
ops_decode_answer (void *arg, const peer_answer *from, size_t *bytes)
{
  gt_request_t request
      = { .type = from->chat ? RT_CHAT : RT_CALL, .in_session = 1 };
  net_result_t result = { .status = from->status };
  gt_outcome_t outcome
      = { (el_verdict_t)from->verdict, (rt_reason_t)from->reason, 0 };
  net_header_t *headers;
  gt_answer_t *answer;
  el_str_t text = PEER_BYTES_GET (from->text, text);
  u_int i;

  request.target = PEER_BYTES_GET (from->target, target);
  request.nresume = from->base;
  answer = gt_answer_new (arg, &request);
  answer->stream = from->stream;
  for (i = 0; i < from->tokens.tokens_len; i++)
    {
      const peer_token *token = &from->tokens.tokens_val[i];
      size_t len = token->len < text.len ? token->len : text.len;

      gt_answer_token (answer, token->id, (el_str_t){ text.ptr, len });
      text = el_str_after (text, len);
    }
  headers = pr_headers_decode (from->headers.headers_val,
                               from->headers.headers_len);
  result.headers = headers;
  result.nheaders = from->headers.headers_len;
  result.body = PEER_BYTES_GET (from->body, body);
  gt_answer_result (answer, &result);
  gt_answer_finish (answer, &outcome);
  free (headers);
  *bytes = gt_answer_bytes (answer);
  return answer;
}

static void
ops_handover_received (void *arg)
{
  gt_answer_flush (arg);
}
