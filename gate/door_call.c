/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Calls to plain services: /services/NAME/PATH, with method, headers and body
 * handed through.
 */
#include <string.h>

#include "libgate.h"

#define HEADERS_MAX 64

/* A call that its session's home answers. */
typedef struct call_wait
{
  gt_hold_t *hold;
  gt_gate_t *gate;
} call_wait_t;

static const el_str_t safe_methods[] = { EL_STR ("GET"), EL_STR ("HEAD") };

static int
method_is_safe (el_str_t method)
{
  size_t i;

  for (i = 0; i < sizeof safe_methods / sizeof *safe_methods; i++)
    if (el_str_eq (method, safe_methods[i]))
      return 1;
  return 0;
}

/* Headers for the endpoint, in the request's pool. */
static int
call_headers (h2o_req_t *req, gt_ask_t *ask)
{
  net_header_t *list
      = h2o_mem_alloc_pool (&req->pool, (HEADERS_MAX + 1) * sizeof *list);
  size_t n = 0;
  size_t i;

  for (i = 0; i < req->headers.size; i++)
    {
      const h2o_header_t *header = &req->headers.entries[i];
      el_str_t name = { header->name->base, header->name->len };

      if (!gt_header_passes (name))
        continue;
      if (n == HEADERS_MAX)
        return 0;
      list[n].name = name;
      list[n++].value = (el_str_t){ header->value.base, header->value.len };
    }
  list[n++] = (net_header_t){ EL_STR ("x-elmarch-customer"), ask->customer };
  ask->headers = list;
  ask->nheaders = n;
  return 1;
}

static uint64_t
call_digest (const gt_ask_t *ask)
{
  return el_str_hash (ask->target) ^ el_str_hash (ask->path)
         ^ (el_str_hash (ask->method) << 1) ^ (el_str_hash (ask->body) << 2);
}

/* The target, and the path as the endpoint gets it, with the query. */
static int
call_target (h2o_req_t *req, el_str_t rest, gt_ask_t *ask)
{
  size_t skip;

  ask->target = el_str_cut (&rest, '/');
  skip = (size_t)(ask->target.ptr + ask->target.len - req->path.base);
  ask->path = (el_str_t){ req->path.base + skip, req->path.len - skip };
  if (ask->path.len == 0 || ask->path.ptr[0] != '/')
    ask->path = EL_STR ("/");
  return co_name_valid (ask->target);
}

static void
call_forwarded (void *arg, const pr_called_t *forwarded)
{
  call_wait_t *wait = arg;
  gt_gate_t *gate = wait->gate;
  h2o_req_t *req = gt_hold_release (wait->hold);
  gt_refusal_t refusal
      = { .status = 409,
          .verdict = EL_MAY_HAVE_RUN,
          .code = "home-gone",
          .message
          = "the session's home does not answer; the request may have run "
            "there" };
  size_t i;

  free (wait);
  if (!forwarded->answered)
    gate->counts.home_gone++;
  if (!req)
    return;
  if (!forwarded->answered)
    {
      gt_caller_refuse (req, &refusal);
      return;
    }
  for (i = 0; i < forwarded->nheaders; i++)
    net_req_add_header (req, forwarded->headers[i].name,
                        forwarded->headers[i].value);
  net_req_reply (req, forwarded->status, (el_str_t){ NULL, 0 },
                 forwarded->body);
}

static void
call_forward (gt_gate_t *gate, h2o_req_t *req, const gt_ask_t *ask)
{
  call_wait_t *wait = el_alloc (sizeof *wait);

  gate->counts.forwarded++;
  wait->gate = gate;
  wait->hold = gt_hold_new (req);
  gt_session_forward (gate, ask, call_forwarded, wait);
}

/** Serve a call. */
void
gt_door_call (gt_gate_t *gate, h2o_req_t *req, el_str_t rest)
{
  gt_ask_t ask = { .work = RT_CALL };
  const co_service_t *service;
  gt_refusal_t refusal = { .go = 0 };
  gt_answer_t *answer;

  if (!gt_door_customer (gate, req, &ask)
      || !gt_door_deadline (gate, req, &ask.deadline))
    return;
  if (!call_target (req, rest, &ask)
      || !(service = rt_router_service (gate->router, ask.target)))
    {
      gt_door_error (gate, req, 404, "not-found", "no such service");
      return;
    }
  ask.method = net_req_method (req);
  ask.body = net_req_body (req);
  ask.repeatable = (service->repeatable || method_is_safe (ask.method))
                   && !el_str_eq (net_req_header (req, "x-elmarch-repeatable"),
                                  EL_STR ("no"));
  if (!call_headers (req, &ask))
    {
      gt_door_error (gate, req, 400, "too-many-headers",
                     "at most 64 headers are handed on");
      return;
    }
  ask.digest = call_digest (&ask);
  if (ask.in_session && pr_peers_where (gate->peers, &ask.token, &ask.where))
    {
      call_forward (gate, req, &ask);
      return;
    }
  answer = gt_flow_ask (gate, &ask, &refusal);
  ask.where = refusal.where;
  if (answer)
    gt_caller_serve (gate, req, answer, 0, 0);
  else if (refusal.go)
    call_forward (gate, req, &ask);
  else
    gt_caller_refuse (req, &refusal);
}
