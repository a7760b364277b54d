/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Calls to services: /services/NAME/PATH. Method, headers and body are passed
 * on to the endpoint.
 */
#include <string.h>

#include "libgate.h"

#define HEADERS_MAX 64

/* A call forwarded to the host that has its session. */
typedef struct forwarded_call
{
  gt_deferred_t *deferred;
  gt_gate_t *gate;
} forwarded_call_t;

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

/* Collects the headers for the endpoint, allocated in the pool of REQ. Returns
   0 if there are too many. */
static int
call_headers (h2o_req_t *req, gt_request_t *request)
{
  net_header_t *list
      = h2o_mem_alloc_pool (&req->pool, (HEADERS_MAX + 1) * sizeof *list);
  size_t n = 0;
  size_t i;

  for (i = 0; i < req->headers.size; i++)
    {
      const h2o_header_t *header = &req->headers.entries[i];
      el_str_t name = { header->name->base, header->name->len };

      if (!gt_header_is_forwarded (name))
        continue;
      if (n == HEADERS_MAX)
        return 0;
      list[n].name = name;
      list[n++].value = (el_str_t){ header->value.base, header->value.len };
    }
  list[n++]
      = (net_header_t){ EL_STR ("x-elmarch-customer"), request->customer };
  request->headers = list;
  request->nheaders = n;
  return 1;
}

static uint64_t
call_digest (const gt_request_t *request)
{
  return el_str_hash (request->target) ^ el_str_hash (request->path)
         ^ (el_str_hash (request->method) << 1)
         ^ (el_str_hash (request->body) << 2);
}

/* Splits the service name from the path that is sent to the endpoint, which
   includes the query. Returns 0 if the name is invalid. */
static int
call_parse_target (h2o_req_t *req, el_str_t rest, gt_request_t *request)
{
  size_t skip;

  request->target = el_str_cut (&rest, '/');
  skip = (size_t)(request->target.ptr + request->target.len - req->path.base);
  request->path = (el_str_t){ req->path.base + skip, req->path.len - skip };
  if (request->path.len == 0 || request->path.ptr[0] != '/')
    request->path = EL_STR ("/");
  return co_name_valid (request->target);
}

static void
call_forwarded (void *arg, const pr_forward_result_t *forwarded)
{
  forwarded_call_t *call = arg;
  gt_gate_t *gate = call->gate;
  h2o_req_t *req = gt_deferred_finish (call->deferred);
  gt_refusal_t refusal
      = { .status = 409,
          .verdict = EL_MAY_HAVE_RUN,
          .code = "home-gone",
          .message
          = "the session's home does not answer; the request may have run "
            "there" };
  size_t i;

  free (call);
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
call_forward (gt_gate_t *gate, h2o_req_t *req, const gt_request_t *request)
{
  forwarded_call_t *call = el_alloc (sizeof *call);

  gate->counts.forwarded++;
  call->gate = gate;
  call->deferred = gt_deferred_new (req);
  gt_session_forward (gate, request, call_forwarded, call);
}

/** Serves /services/NAME/PATH. */
void
gt_api_call (gt_gate_t *gate, h2o_req_t *req, el_str_t rest)
{
  gt_request_t request = { .type = RT_CALL };
  const co_service_t *service;
  gt_refusal_t refusal = { .redirect = 0 };
  gt_answer_t *answer;

  if (!gt_api_authenticate (gate, req, &request)
      || !gt_api_deadline (gate, req, &request.deadline))
    return;
  if (!call_parse_target (req, rest, &request)
      || !(service = rt_router_service (gate->router, request.target)))
    {
      gt_api_error (gate, req, 404, "not-found", "no such service");
      return;
    }
  request.method = net_req_method (req);
  request.body = net_req_body (req);
  request.repeatable
      = (service->repeatable || method_is_safe (request.method))
        && !el_str_eq (net_req_header (req, "x-elmarch-repeatable"),
                       EL_STR ("no"));
  if (!call_headers (req, &request))
    {
      gt_api_error (gate, req, 400, "too-many-headers",
                    "at most 64 headers are handed on");
      return;
    }
  request.digest = call_digest (&request);
  if (request.in_session
      && pr_peers_find_home (gate->peers, &request.token, &request.owner))
    {
      call_forward (gate, req, &request);
      return;
    }
  answer = gt_request_submit (gate, &request, &refusal);
  request.owner = refusal.owner;
  if (answer)
    gt_caller_serve (gate, req, answer, 0, 0);
  else if (refusal.redirect)
    call_forward (gate, req, &request);
  else
    gt_caller_refuse (req, &refusal);
}
