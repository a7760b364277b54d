/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Asks a few other hosts whether they reach endpoints that this host does not.
 */
#include <stdlib.h>
#include <string.h>

#include "libpeer.h"

/* Hosts that are asked, drawn at random. A cut may concern most hosts: that
   all of a few reach no endpoint would say little. */
#define HOSTS_ASKED 8
/* A connection opens within a few milliseconds or not within a tenth of a
   second; the rest is for the messages. */
#define REACH_TIMEOUT (150 * EL_MSEC)

/* An outstanding call, or one of another host. */
typedef struct reach_call
{
  pr_reach_cb done;
  void *arg;
  unsigned hosts;
  net_rpc_req_t *req;
} reach_call_t;

static void
reach_done (void *arg, int ok, int sent, el_str_t body)
{
  reach_call_t *call = arg;
  pr_reach_answer_t answer = { 0 };
  peer_reach_res res;

  (void)sent;
  memset (&res, 0, sizeof res);
  ok = ok && peer_xdr_decode ((xdrproc_t)xdr_peer_reach_res, body, &res);
  answer.any = res.any;
  for (; ok && answer.n < res.reached.reached_len; answer.n++)
    answer.reached[answer.n] = res.reached.reached_val[answer.n];
  call->done (call->arg, call->hosts, ok ? &answer : NULL);
  xdr_free ((xdrproc_t)xdr_peer_reach_res, (char *)&res);
  free (call);
}

/** Asks other hosts and returns their number. DONE is called once for each of
    them. */
unsigned
pr_peers_ask_reach (pr_peers_t *peers, const pr_reach_query_t *query,
                    pr_reach_cb done, void *arg)
{
  const co_member_t *hosts[HOSTS_ASKED];
  size_t n = co_members_sample (peers->members, hosts, HOSTS_ASKED);
  peer_instance instances[PR_REACH_MAX];
  peer_reach_args args = { .instances = { (u_int)query->n, instances } };
  el_buf_t body = { NULL, 0, 0 };
  reach_call_t *call;
  size_t i;

  PEER_BYTES_SET (args.service, service, query->service);
  for (i = 0; i < query->n; i++)
    {
      PEER_BYTES_SET (instances[i].endpoint, endpoint,
                      query->instances[i].endpoint);
      instances[i].born = query->instances[i].born;
    }
  peer_xdr_encode ((xdrproc_t)xdr_peer_reach_args, &args, &body);
  for (i = 0; i < n; i++)
    {
      call = el_alloc (sizeof *call);
      call->done = done;
      call->arg = arg;
      call->hosts = (unsigned)n;
      net_rpc_call_udp (peers->rpc, hosts[i]->peer, PEER_REACH,
                        el_buf_str (&body), REACH_TIMEOUT, reach_done, call);
    }
  el_buf_free (&body);
  return (unsigned)n;
}

/* Replies to another host. Without an answer there is no reply, so that the
   call times out. */
static void
reach_answered (void *arg, unsigned hosts, const pr_reach_answer_t *answer)
{
  reach_call_t *call = arg;
  bool_t reached[PR_REACH_MAX];
  peer_reach_res res = { 0 };
  el_buf_t out = { NULL, 0, 0 };

  (void)hosts;
  if (answer)
    {
      res.any = answer->any;
      res.reached.reached_val = reached;
      for (; res.reached.reached_len < answer->n; res.reached.reached_len++)
        reached[res.reached.reached_len]
            = answer->reached[res.reached.reached_len];
      peer_xdr_encode ((xdrproc_t)xdr_peer_reach_res, &res, &out);
    }
  net_rpc_reply (call->req, el_buf_str (&out));
  el_buf_free (&out);
  free (call);
}

/** Finds out which endpoints this host reaches, for another one. */
void
peer_serve_reach (pr_peers_t *peers, net_rpc_req_t *req, el_str_t body)
{
  reach_call_t *call = el_alloc (sizeof *call);
  pr_reach_query_t query = { 0 };
  peer_reach_args args;

  call->req = req;
  memset (&args, 0, sizeof args);
  if (peer_xdr_decode ((xdrproc_t)xdr_peer_reach_args, body, &args))
    {
      query.service = PEER_BYTES_GET (args.service, service);
      for (; query.n < args.instances.instances_len; query.n++)
        query.instances[query.n] = (pr_instance_t){
          .endpoint = PEER_BYTES_GET (
              args.instances.instances_val[query.n].endpoint, endpoint),
          .born = args.instances.instances_val[query.n].born
        };
      peers->options.ops->reach (peers->options.arg, &query, reach_answered,
                                 call);
    }
  else
    {
      peers->counts.refused++;
      reach_answered (call, 1, NULL);
    }
  xdr_free ((xdrproc_t)xdr_peer_reach_args, (char *)&args);
}
