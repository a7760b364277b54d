/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Borrowing of tokens of an endpoint's rate limit, and of the trial of a
 * suspect cause, from the host that lends them.
 */
#include <stdlib.h>
#include <string.h>

#include "libpeer.h"

/* A call to another host takes about a millisecond. The request of a caller
   may be waiting for the answer. */
#define LOAN_TIMEOUT (50 * EL_MSEC)
/* When to ask again after a host answered that it is not the lender. */
#define OTHER_LENDER_WAIT (200 * EL_MSEC)

/* An outstanding call. */
typedef struct loan_call
{
  pr_loan_cb done;
  void *arg;
} loan_call_t;

/* The lender, in this host's view. */
static const co_member_t *
loan_lender (const pr_peers_t *peers, const pr_loan_request_t *request)
{
  return co_members_pick_by_draw (
      peers->members, request->cause
                          ? request->cause
                          : el_str_hash (request->endpoint) ^ request->born);
}

static int
member_is_self (const pr_peers_t *peers, const co_member_t *member)
{
  return member
         && memcmp (member->incarnation.byte, peers->options.incarnation.byte,
                    CO_INCARNATION_BYTES)
                == 0;
}

static void
loan_done (void *arg, int ok, int sent, el_str_t body)
{
  loan_call_t *call = arg;
  peer_loan_res res;
  co_loan_t loan;

  (void)sent;
  memset (&res, 0, sizeof res);
  ok = ok && peer_xdr_decode ((xdrproc_t)xdr_peer_loan_res, body, &res);
  loan = (co_loan_t){ .tokens = res.tokens, .wait = res.wait_us };
  call->done (call->arg, ok ? &loan : NULL);
  free (call);
}

/** Asks the lender for tokens. DONE is called with the answer, or with NULL if
    there is none; before the function returns if this host is the lender. */
void
pr_peers_borrow (pr_peers_t *peers, const pr_loan_request_t *request,
                 pr_loan_cb done, void *arg)
{
  const co_member_t *lender = loan_lender (peers, request);
  int self = member_is_self (peers, lender);
  peer_loan_args args
      = { .born = request->cause ? request->cause : request->born,
          .rate_milli = request->rate_milli,
          .since_ago_us = request->since_ago,
          .heard_ago_us = request->heard_ago,
          .wanted = request->wanted };
  el_buf_t body = { NULL, 0, 0 };
  loan_call_t *call;
  co_loan_t loan;

  peers->options.ops->lend (peers->options.arg, request, self, &loan);
  if (self || !lender)
    {
      done (arg, self ? &loan : NULL);
      return;
    }
  call = el_alloc (sizeof *call);
  call->done = done;
  call->arg = arg;
  PEER_BYTES_SET (args.endpoint, endpoint, request->endpoint);
  peer_xdr_encode ((xdrproc_t)xdr_peer_loan_args, &args, &body);
  net_rpc_call_udp (peers->rpc, lender->peer, PEER_LOAN, el_buf_str (&body),
                    LOAN_TIMEOUT, loan_done, call);
  el_buf_free (&body);
}

/** Reply to a host that asks for tokens. */
void
peer_serve_loan (pr_peers_t *peers, net_rpc_req_t *req, el_str_t body)
{
  el_buf_t out = { NULL, 0, 0 };
  peer_loan_args args;
  peer_loan_res res;
  pr_loan_request_t request;
  co_loan_t loan = { .wait = OTHER_LENDER_WAIT };

  memset (&args, 0, sizeof args);
  if (peer_xdr_decode ((xdrproc_t)xdr_peer_loan_args, body, &args))
    {
      request = (pr_loan_request_t){
        .endpoint = PEER_BYTES_GET (args.endpoint, endpoint),
        .born = args.born,
        .rate_milli = args.rate_milli,
        .since_ago = args.since_ago_us,
        .heard_ago = args.heard_ago_us,
        .wanted = args.wanted,
      };
      if (!request.endpoint.len)
        request.cause = args.born;
      peers->options.ops->lend (
          peers->options.arg, &request,
          member_is_self (peers, loan_lender (peers, &request)), &loan);
    }
  else
    peers->counts.refused++;
  res = (peer_loan_res){ .tokens = loan.tokens, .wait_us = loan.wait };
  peer_xdr_encode ((xdrproc_t)xdr_peer_loan_res, &res, &out);
  net_rpc_reply (req, el_buf_str (&out));
  xdr_free ((xdrproc_t)xdr_peer_loan_args, (char *)&args);
  el_buf_free (&out);
}
