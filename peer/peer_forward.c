/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Forwards requests of sessions whose home is another host.
 */
#include <stdlib.h>
#include <string.h>

#include "libpeer.h"

#define HOME_CHECK_TIMEOUT (500 * EL_MSEC)
/* Maximum number of successors followed to find a session's home. */
#define SUCCESSORS_MAX 16

/* A check of whether a home is live, pending its reply. */
typedef struct home_check
{
  co_incarnation_t home;
  pr_home_state_cb done;
  void *arg;
} home_check_t;

/* A forwarded request, pending the home's reply. */
typedef struct pending_forward
{
  pr_forward_result_cb done;
  void *arg;
} pending_forward_t;

static void
home_check_done (void *arg, int ok, int sent, el_str_t body)
{
  home_check_t *check = arg;
  pr_home_state_t state = PR_HOME_UNKNOWN;
  co_incarnation_t there;
  peer_gossip res;

  (void)sent;
  memset (&res, 0, sizeof res);
  if (ok && peer_xdr_decode ((xdrproc_t)xdr_peer_gossip, body, &res))
    {
      memcpy (there.byte, res.self.incarnation, CO_INCARNATION_BYTES);
      state = co_incarnation_eq (&there, &check->home) ? PR_HOME_LIVE
                                                       : PR_HOME_GONE;
    }
  xdr_free ((xdrproc_t)xdr_peer_gossip, (char *)&res);
  check->done (check->arg, state);
  free (check);
}

/** Whether a session's home is another host, returned in OUT: the host named
    in its token or, after handovers, the last live host in the sequence of its
    successors. */
int
pr_peers_find_home (pr_peers_t *peers, const co_token_t *token,
                    pr_session_home_t *out)
{
  static const co_incarnation_t none;
  co_session_t session = co_token_session (token);
  const co_member_t *member;
  int hops;

  if (co_incarnation_eq (&token->home, &peers->options.incarnation)
      || co_ledger_has_session (peers->options.ledger, &session))
    return 0;
  *out = (pr_session_home_t){ token->home, token->peer, token->http };
  member = co_members_find (peers->members, &token->home);
  for (hops = 0; member && hops < SUCCESSORS_MAX; hops++)
    {
      if (member->state <= CO_MBR_SUSPECT)
        *out = (pr_session_home_t){ member->incarnation, member->peer,
                                    member->http };
      if (co_incarnation_eq (&member->successor, &none))
        break;
      member = co_members_find (peers->members, &member->successor);
    }
  return 1;
}

/** Check whether the expected incarnation still answers at a home's address.
 */
void
pr_peers_check_home (pr_peers_t *peers, const pr_session_home_t *home,
                     pr_home_state_cb done, void *arg)
{
  home_check_t *check = el_alloc (sizeof *check);
  el_buf_t body = { NULL, 0, 0 };

  check->home = home->incarnation;
  check->done = done;
  check->arg = arg;
  peer_gossip_encode (peers, &home->incarnation, &body);
  net_rpc_call (peers->rpc, home->peer, PEER_GOSSIP, el_buf_str (&body),
                HOME_CHECK_TIMEOUT, home_check_done, check);
  el_buf_free (&body);
}

/** Decode headers; the strings point into LIST. */
net_header_t *
pr_headers_decode (const peer_header *list, u_int n)
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

/** Encode headers; the strings point into HEADERS. */
peer_header *
pr_headers_encode (const net_header_t *headers, size_t n)
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
  pending_forward_t *pending = arg;
  pr_forward_result_t result = { 0 };
  net_header_t *headers = NULL;
  peer_forward_res res;

  (void)sent;
  memset (&res, 0, sizeof res);
  if (ok && peer_xdr_decode ((xdrproc_t)xdr_peer_forward_res, body, &res))
    {
      headers = pr_headers_decode (res.headers.headers_val,
                                   res.headers.headers_len);
      result.answered = 1;
      result.verdict = (el_verdict_t)res.verdict;
      result.status = res.status;
      result.headers = headers;
      result.nheaders = res.headers.headers_len;
      result.body = (el_str_t){ res.body.body_val, res.body.body_len };
    }
  pending->done (pending->arg, &result);
  free (headers);
  xdr_free ((xdrproc_t)xdr_peer_forward_res, (char *)&res);
  free (pending);
}

/** Forward a request to its session's home and return the reply. If the home
    does not reply, it is unknown whether the request ran: an earlier attempt
    may have run there. */
void
pr_peers_forward (pr_peers_t *peers, const pr_forward_request_t *request,
                  pr_forward_result_cb done, void *arg)
{
  pending_forward_t *pending = el_alloc (sizeof *pending);
  el_time_t now = net_clock_now (peers->options.clock);
  el_buf_t token = { NULL, 0, 0 };
  el_buf_t body = { NULL, 0, 0 };
  peer_forward_args args;

  memset (&args, 0, sizeof args);
  pending->done = done;
  pending->arg = arg;
  co_token_write (&token, &request->token, peers->options.key);
  PEER_BYTES_SET (args.token, token, token);
  args.sequence = request->sequence;
  args.digest = request->digest;
  args.deadline_us = request->deadline > now ? request->deadline - now : 0;
  args.repeatable = request->repeatable;
  args.hops = request->hops + 1;
  PEER_BYTES_SET (args.target, target, request->target);
  PEER_BYTES_SET (args.method, method, request->method);
  PEER_BYTES_SET (args.path, path, request->path);
  PEER_BYTES_SET (args.body, body, request->body);
  args.headers.headers_val
      = pr_headers_encode (request->headers, request->nheaders);
  args.headers.headers_len = (u_int)request->nheaders;
  peer_xdr_encode ((xdrproc_t)xdr_peer_forward_args, &args, &body);
  net_rpc_call (peers->rpc, request->where.peer, PEER_FORWARD,
                el_buf_str (&body), args.deadline_us + EL_SEC, forward_done,
                pending);
  free (args.headers.headers_val);
  el_buf_free (&token);
  el_buf_free (&body);
}

/** Reply to a request that another host forwarded. */
void
pr_forward_reply (net_rpc_req_t *req, const pr_forward_result_t *result)
{
  el_buf_t out = { NULL, 0, 0 };
  peer_forward_res res;

  memset (&res, 0, sizeof res);
  res.verdict = result->verdict;
  res.status = result->status;
  res.headers.headers_val
      = pr_headers_encode (result->headers, result->nheaders);
  res.headers.headers_len = (u_int)result->nheaders;
  PEER_BYTES_SET (res.body, body, result->body);
  peer_xdr_encode ((xdrproc_t)xdr_peer_forward_res, &res, &out);
  net_rpc_reply (req, el_buf_str (&out));
  free (res.headers.headers_val);
  el_buf_free (&out);
}

/** Run a forwarded request of a session whose home is this host. */
void
peer_serve_forward (pr_peers_t *peers, net_rpc_req_t *req, el_str_t body)
{
  const pr_options_t *o = &peers->options;
  net_header_t *headers = NULL;
  peer_forward_args args;
  pr_forward_request_t request = { 0 };
  el_err_t err;

  memset (&args, 0, sizeof args);
  if (!peer_xdr_decode ((xdrproc_t)xdr_peer_forward_args, body, &args)
      || co_token_read (PEER_BYTES_GET (args.token, token), o->key,
                        &request.token, &err)
      || pr_peers_find_home (peers, &request.token, &request.where))
    {
      o->ops->call (o->arg, req, NULL);
      xdr_free ((xdrproc_t)xdr_peer_forward_args, (char *)&args);
      return;
    }
  headers
      = pr_headers_decode (args.headers.headers_val, args.headers.headers_len);
  request.sequence = args.sequence;
  request.digest = args.digest;
  request.deadline = net_clock_now (o->clock) + args.deadline_us;
  request.repeatable = args.repeatable;
  request.hops = args.hops;
  request.target = PEER_BYTES_GET (args.target, target);
  request.method = PEER_BYTES_GET (args.method, method);
  request.path = PEER_BYTES_GET (args.path, path);
  request.body = PEER_BYTES_GET (args.body, body);
  request.headers = headers;
  request.nheaders = args.headers.headers_len;
  o->ops->call (o->arg, req, &request);
  free (headers);
  xdr_free ((xdrproc_t)xdr_peer_forward_args, (char *)&args);
}
