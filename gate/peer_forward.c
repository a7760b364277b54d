/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Requests for sessions whose home is another host.
 */
#include <stdlib.h>
#include <string.h>

#include "libpeer.h"

#define HOME_TIMEOUT (500 * EL_MSEC)
/* Home, successor, and back to where the request runs. */
#define HOPS_MAX 3
/* Hosts that took a session over one after another. */
#define SUCCESSORS_MAX 16

static const gt_refusal_t home_gone
    = { .status = 409,
        .verdict = EL_MAY_HAVE_RUN,
        .code = "home-gone",
        .message = "the session's home is another incarnation" };

/* Waits for the home's answer. */
typedef struct home_wait
{
  co_incarnation_t home;
  gt_home_cb done;
  void *arg;
} home_wait_t;

typedef struct forward_wait
{
  gt_forward_cb done;
  void *arg;
} forward_wait_t;

/* A forwarded request that runs here. */
typedef struct served
{
  gt_reader_t reader;
  net_rpc_req_t *req;
} served_t;

static void
home_done (void *arg, int ok, int sent, el_str_t body)
{
  home_wait_t *wait = arg;
  gt_home_t state = GT_HOME_UNKNOWN;
  co_incarnation_t there;
  peer_gossip res;

  (void)sent;
  memset (&res, 0, sizeof res);
  if (ok && peer_xdr_read ((xdrproc_t)xdr_peer_gossip, body, &res))
    {
      memcpy (there.byte, res.self.incarnation, CO_INCARNATION_BYTES);
      state = co_incarnation_eq (&there, &wait->home) ? GT_HOME_LIVE
                                                      : GT_HOME_GONE;
    }
  xdr_free ((xdrproc_t)xdr_peer_gossip, (char *)&res);
  wait->done (wait->arg, state);
  free (wait);
}

/** Whether a session is at home elsewhere, and where: at the host that its
    token names, or at the last of those that took its sessions over. */
int
gt_peers_where (gt_peers_t *peers, const co_token_t *token, gt_place_t *out)
{
  static const co_incarnation_t none;
  gt_gate_t *gate = peers->gate;
  co_session_t session = gt_token_session (token);
  const co_member_t *member;
  int hops;

  if (co_incarnation_eq (&token->home, &gate->incarnation)
      || co_ledger_holds (gate->ledger, &session))
    return 0;
  *out = (gt_place_t){ token->home, token->peer, token->http };
  member = co_members_find (peers->members, &token->home);
  for (hops = 0; member && hops < SUCCESSORS_MAX; hops++)
    {
      if (member->state <= CO_MBR_SUSPECT)
        *out = (gt_place_t){ member->incarnation, member->peer, member->http };
      if (co_incarnation_eq (&member->successor, &none))
        break;
      member = co_members_find (peers->members, &member->successor);
    }
  return 1;
}

/** Ask whether the incarnation that is expected at a place is still there. */
void
gt_peers_ask_home (gt_peers_t *peers, const gt_place_t *where, gt_home_cb done,
                   void *arg)
{
  home_wait_t *wait = el_alloc (sizeof *wait);
  el_buf_t body = { NULL, 0, 0 };

  wait->home = where->incarnation;
  wait->done = done;
  wait->arg = arg;
  peer_gossip_write (peers, &where->incarnation, &body);
  net_rpc_call (peers->rpc, where->peer, PEER_GOSSIP, el_buf_str (&body),
                HOME_TIMEOUT, home_done, wait);
  el_buf_free (&body);
}

/** Headers as they came; they point into LIST. */
net_header_t *
peer_headers_read (const peer_header *list, u_int n)
{
  net_header_t *headers = el_alloc ((n + 1) * sizeof *headers);
  u_int i;

  for (i = 0; i < n; i++)
    {
      headers[i].name
          = (el_str_t){ list[i].name.name_val, list[i].name.name_len };
      headers[i].value
          = (el_str_t){ list[i].value.value_val, list[i].value.value_len };
    }
  return headers;
}

/** Headers on their way; they point into HEADERS. */
peer_header *
peer_headers_write (const net_header_t *headers, size_t n)
{
  peer_header *list = el_alloc ((n + 1) * sizeof *list);
  size_t i;

  for (i = 0; i < n; i++)
    {
      list[i].name.name_val = (char *)(uintptr_t)headers[i].name.ptr;
      list[i].name.name_len = (u_int)headers[i].name.len;
      list[i].value.value_val = (char *)(uintptr_t)headers[i].value.ptr;
      list[i].value.value_len = (u_int)headers[i].value.len;
    }
  return list;
}

static void
forward_done (void *arg, int ok, int sent, el_str_t body)
{
  forward_wait_t *wait = arg;
  gt_forwarded_t forwarded = { 0 };
  net_header_t *headers = NULL;
  peer_forward_res res;

  (void)sent;
  memset (&res, 0, sizeof res);
  if (ok && peer_xdr_read ((xdrproc_t)xdr_peer_forward_res, body, &res))
    {
      headers = peer_headers_read (res.headers.headers_val,
                                   res.headers.headers_len);
      forwarded.answered = 1;
      forwarded.verdict = (el_verdict_t)res.verdict;
      forwarded.status = res.status;
      forwarded.headers = headers;
      forwarded.nheaders = res.headers.headers_len;
      forwarded.body = (el_str_t){ res.body.body_val, res.body.body_len };
    }
  wait->done (wait->arg, &forwarded);
  free (headers);
  xdr_free ((xdrproc_t)xdr_peer_forward_res, (char *)&res);
  free (wait);
}

/** Hand a call to its session's home and bring the answer back. Nothing is
    known of a call that the home does not answer: an earlier arrival of it
    may have run there. */
void
gt_peers_forward (gt_peers_t *peers, const gt_ask_t *ask, gt_forward_cb done,
                  void *arg)
{
  forward_wait_t *wait = el_alloc (sizeof *wait);
  el_time_t now = net_clock_now (&peers->gate->clock);
  el_buf_t token = { NULL, 0, 0 };
  el_buf_t body = { NULL, 0, 0 };
  peer_forward_args args;

  memset (&args, 0, sizeof args);
  wait->done = done;
  wait->arg = arg;
  co_token_write (&token, &ask->token, peers->gate->options.cluster_key);
  PEER_BYTES_SET (args.token, token, token);
  args.sequence = ask->sequence;
  args.digest = ask->digest;
  args.deadline_us = ask->deadline > now ? ask->deadline - now : 0;
  args.repeatable = ask->repeatable;
  args.hops = ask->hops + 1;
  PEER_BYTES_SET (args.target, target, ask->target);
  PEER_BYTES_SET (args.method, method, ask->method);
  PEER_BYTES_SET (args.path, path, ask->path);
  PEER_BYTES_SET (args.body, body, ask->body);
  args.headers.headers_val = peer_headers_write (ask->headers, ask->nheaders);
  args.headers.headers_len = (u_int)ask->nheaders;
  peer_xdr_write ((xdrproc_t)xdr_peer_forward_args, &args, &body);
  net_rpc_call (peers->rpc, ask->where.peer, PEER_FORWARD, el_buf_str (&body),
                args.deadline_us + EL_SEC, forward_done, wait);
  free (args.headers.headers_val);
  el_buf_free (&token);
  el_buf_free (&body);
}

static void
forward_reply (net_rpc_req_t *req, el_verdict_t verdict, int status,
               const net_header_t *headers, size_t nheaders, el_str_t body)
{
  el_buf_t out = { NULL, 0, 0 };
  peer_forward_res res;

  memset (&res, 0, sizeof res);
  res.verdict = verdict;
  res.status = status;
  res.headers.headers_val = peer_headers_write (headers, nheaders);
  res.headers.headers_len = (u_int)nheaders;
  PEER_BYTES_SET (res.body, body, body);
  peer_xdr_write ((xdrproc_t)xdr_peer_forward_res, &res, &out);
  net_rpc_reply (req, el_buf_str (&out));
  free (res.headers.headers_val);
  el_buf_free (&out);
}

static void
forward_refuse (net_rpc_req_t *req, const gt_refusal_t *refusal)
{
  net_header_t headers[] = {
    { EL_STR ("content-type"), GT_JSON },
    { EL_STR ("x-elmarch-verdict"),
      el_str (el_verdict_name (refusal->verdict)) },
  };
  json_t *json = gt_refusal_json (refusal);
  char *text = json_dumps (json, JSON_COMPACT);

  forward_reply (req, refusal->verdict, refusal->status, headers, 2,
                 el_str (text));
  free (text);
  json_decref (json);
}

static void
served_wake (gt_reader_t *reader)
{
  served_t *served = H2O_STRUCT_FROM_MEMBER (served_t, reader, reader);
  gt_answer_t *answer = reader->answer;
  net_header_t *headers;
  gt_refusal_t refusal;

  if (!answer->ended)
    return;
  if (answer->end.reason != RT_DONE)
    {
      gt_refusal_of_end (&answer->end, &refusal);
      forward_refuse (served->req, &refusal);
    }
  else
    {
      headers = el_alloc ((answer->nheaders + 1) * sizeof *headers);
      memcpy (headers, answer->headers, answer->nheaders * sizeof *headers);
      headers[answer->nheaders]
          = (net_header_t){ EL_STR ("x-elmarch-verdict"),
                            el_str (el_verdict_name (answer->end.verdict)) };
      forward_reply (served->req, answer->end.verdict, answer->status, headers,
                     answer->nheaders + 1, el_buf_str (&answer->body));
      free (headers);
    }
  gt_answer_detach (reader);
  free (served);
}

/* Another host answered what was forwarded here: hand it on. */
static void
relayed_done (void *arg, const gt_forwarded_t *forwarded)
{
  net_rpc_req_t *req = arg;

  if (forwarded->answered)
    forward_reply (req, forwarded->verdict, forwarded->status,
                   forwarded->headers, forwarded->nheaders, forwarded->body);
  else
    forward_refuse (req, &home_gone);
}

static void
forward_run (gt_peers_t *peers, net_rpc_req_t *req, const gt_ask_t *ask)
{
  gt_refusal_t refusal;
  gt_answer_t *answer = gt_flow_ask (peers->gate, ask, &refusal);
  served_t *served;

  if (!answer && refusal.go && ask->hops < HOPS_MAX)
    {
      gt_ask_t next = *ask;

      next.where = refusal.where;
      gt_peers_forward (peers, &next, relayed_done, req);
      return;
    }
  if (!answer)
    {
      forward_refuse (req, &refusal);
      return;
    }
  served = el_alloc (sizeof *served);
  served->reader.wake = served_wake;
  served->req = req;
  gt_answer_attach (answer, &served->reader);
  gt_answer_unref (answer);
}

/** Run a call for a session whose home is here. */
void
peer_serve_forward (gt_peers_t *peers, net_rpc_req_t *req, el_str_t body)
{
  gt_gate_t *gate = peers->gate;
  gt_ask_t ask = { .work = RT_CALL, .in_session = 1 };
  net_header_t *headers = NULL;
  peer_forward_args args;
  el_err_t err;

  memset (&args, 0, sizeof args);
  if (!peer_xdr_read ((xdrproc_t)xdr_peer_forward_args, body, &args)
      || co_token_read (
          (el_str_t){ args.token.token_val, args.token.token_len },
          gate->options.cluster_key, &ask.token, &err)
      || gt_peers_where (peers, &ask.token, &ask.where))
    {
      forward_refuse (req, &home_gone);
      xdr_free ((xdrproc_t)xdr_peer_forward_args, (char *)&args);
      return;
    }
  headers
      = peer_headers_read (args.headers.headers_val, args.headers.headers_len);
  ask.customer = ask.token.customer;
  ask.sequence = args.sequence;
  ask.digest = args.digest;
  ask.deadline = net_clock_now (&gate->clock) + args.deadline_us;
  ask.repeatable = args.repeatable;
  ask.hops = args.hops;
  ask.target = (el_str_t){ args.target.target_val, args.target.target_len };
  ask.method = (el_str_t){ args.method.method_val, args.method.method_len };
  ask.path = (el_str_t){ args.path.path_val, args.path.path_len };
  ask.body = (el_str_t){ args.body.body_val, args.body.body_len };
  ask.headers = headers;
  ask.nheaders = args.headers.headers_len;
  forward_run (peers, req, &ask);
  free (headers);
  xdr_free ((xdrproc_t)xdr_peer_forward_args, (char *)&args);
}
