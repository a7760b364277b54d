/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * HTTP API: dispatch of requests by path and method, authentication, and what
 * all handlers share.
 */
#include <stdio.h>
#include <string.h>

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include "libgate.h"

#define SHA256_BYTES 32
#define BEARER EL_STR ("Bearer ")
#define DEADLINE_MAX_MS 3600000
#define STARTING_RETRY_MS 500

typedef enum api_role
{
  ROLE_ANY,
  ROLE_OPERATOR
} api_role_t;

typedef void (*api_handler_fn) (gt_gate_t *gate, h2o_req_t *req,
                                el_str_t rest);

/* The dispatch table; the first match is called. ROLE_ANY checks nothing here:
   handlers that need a customer authenticate it themselves. */
static const struct
{
  const char *method; /* NULL: any */
  el_str_t prefix;
  int exact;
  api_role_t role;
  api_handler_fn serve;
} handlers[] = {
  { "POST", EL_STR ("/v1/chat/completions"), 1, ROLE_ANY, gt_api_chat },
  { "GET", EL_STR ("/v1/entry-hosts"), 1, ROLE_ANY, gt_api_entry_hosts },
  { "POST", EL_STR ("/v1/sessions"), 1, ROLE_ANY, gt_api_session_open },
  { "DELETE", EL_STR ("/v1/sessions/"), 0, ROLE_ANY, gt_api_session_close },
  { NULL, EL_STR ("/services/"), 0, ROLE_ANY, gt_api_call },
  { "GET", EL_STR ("/admin/v1/dump"), 1, ROLE_OPERATOR, gt_api_dump },
  { "GET", EL_STR ("/metrics"), 1, ROLE_ANY, gt_api_metrics },
  { "GET", EL_STR ("/admin/v1/load"), 1, ROLE_OPERATOR, gt_api_load },
  { "GET", EL_STR ("/admin/v1/blocked"), 1, ROLE_OPERATOR, gt_api_blocked },
  { "DELETE", EL_STR ("/admin/v1/blocked/"), 0, ROLE_OPERATOR,
    gt_api_unblock },
  { NULL, EL_STR ("/admin/v1/"), 0, ROLE_OPERATOR, gt_api_resources },
};

/** Rejects a request before it reaches the ledger or the router: this arrival
    has run nothing. In a session it may be a duplicate of a request that ran,
    which is not known here, so the verdict is that it may have run. */
void
gt_api_error (gt_gate_t *gate, h2o_req_t *req, int status, const char *code,
              const char *message)
{
  gt_refusal_t refusal = {
    .status = status, .verdict = EL_NOT_RUN, .code = code, .message = message
  };

  if (net_req_header (req, "x-elmarch-session").len)
    refusal.verdict = EL_MAY_HAVE_RUN;
  if (status == 503)
    refusal.retry_after_ms = STARTING_RETRY_MS;
  if (status == 401)
    gate->counts.denied++;
  else
    gate->counts.bad_requests++;
  gt_caller_refuse (req, &refusal);
}

/** Answers with JSON. Takes over the reference to JSON. */
void
gt_api_reply_json (h2o_req_t *req, int status, json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT);

  net_req_reply (req, status, GT_JSON, el_str (text));
  free (text);
  json_decref (json);
}

static el_str_t
bearer_key (const h2o_req_t *req)
{
  el_str_t value = net_req_header (req, "authorization");

  if (!el_str_starts_with (value, BEARER))
    return (el_str_t){ NULL, 0 };
  return el_str_after (value, BEARER.len);
}

static void
sha256_hex (el_str_t data, char out[2 * SHA256_BYTES + 1])
{
  unsigned char hash[SHA256_BYTES];
  size_t i;

  EVP_Digest (data.ptr, data.len, hash, NULL, EVP_sha256 (), NULL);
  for (i = 0; i < SHA256_BYTES; i++)
    snprintf (out + 2 * i, 3, "%02x", hash[i]);
}

/* Authenticates by session token. The token replaces the API key, because
   clients do not send the authorization header to another host that they are
   redirected to. */
static int
authenticate_token (gt_gate_t *gate, h2o_req_t *req, gt_request_t *request)
{
  el_str_t text = net_req_header (req, "x-elmarch-session");
  el_err_t err;

  if (co_token_read (text, gate->options.cluster_key, &request->token, &err))
    {
      gt_api_error (gate, req, 400, "bad-session", err.msg);
      return 0;
    }
  if (request->customer.len
      && !el_str_eq (request->customer, request->token.customer))
    {
      gt_api_error (gate, req, 403, "foreign-session",
                    "the session is another customer's");
      return 0;
    }
  request->customer = request->token.customer;
  if (!co_config_get (gate->config, CO_CUSTOMER, request->customer))
    {
      gt_api_error (gate, req, 401, "unknown-customer",
                    "the session's customer is no longer known");
      return 0;
    }
  if (!el_str_to_u64 (net_req_header (req, "x-elmarch-sequence"),
                      &request->sequence)
      || request->sequence == 0)
    {
      gt_api_error (gate, req, 400, "bad-sequence",
                    "x-elmarch-sequence: takes a whole number from 1");
      return 0;
    }
  request->in_session = 1;
  return 1;
}

/** Authenticates the customer by API key or session token. Returns 0 after
    replying with an error; nothing runs for an unknown customer. */
int
gt_api_authenticate (gt_gate_t *gate, h2o_req_t *req, gt_request_t *request)
{
  char hash[2 * SHA256_BYTES + 1];
  el_str_t key = bearer_key (req);

  if (!pr_config_is_ready (gate->sync))
    {
      gt_api_error (gate, req, 503, "starting",
                    "this host has no configuration yet; use another");
      return 0;
    }
  if (key.len)
    {
      sha256_hex (key, hash);
      rt_router_authenticate (gate->router, el_str (hash), &request->customer);
    }
  if (!request->customer.len
      && (key.len || !net_req_header (req, "x-elmarch-session").len))
    {
      gt_api_error (gate, req, 401, "unknown-customer",
                    "authorization: takes Bearer and a customer's key");
      return 0;
    }
  if (net_req_header (req, "x-elmarch-session").len
      || net_req_header (req, "x-elmarch-sequence").len)
    return authenticate_token (gate, req, request);
  return 1;
}

/** Reads the request's deadline. Returns 0 after replying with an error. */
int
gt_api_deadline (gt_gate_t *gate, h2o_req_t *req, el_time_t *deadline)
{
  el_str_t text = net_req_header (req, "x-elmarch-deadline-ms");
  uint64_t ms;

  *deadline = net_clock_now (&gate->clock) + gate->options.deadline;
  if (!text.len)
    return 1;
  if (!el_str_to_u64 (text, &ms) || ms == 0 || ms > DEADLINE_MAX_MS)
    {
      gt_api_error (gate, req, 400, "bad-deadline",
                    "x-elmarch-deadline-ms: takes 1 to 3600000");
      return 0;
    }
  *deadline = net_clock_now (&gate->clock) + ms * EL_MSEC;
  return 1;
}

static int
operator_authenticated (const gt_gate_t *gate, const h2o_req_t *req)
{
  el_str_t key = bearer_key (req);
  el_str_t expected = gate->options.operator_key;

  return key.len == expected.len
         && CRYPTO_memcmp (key.ptr, expected.ptr, expected.len) == 0;
}

/** Dispatches one request to its handler. */
void
gt_api_handle (void *arg, h2o_req_t *req)
{
  gt_gate_t *gate = arg;
  el_str_t method = net_req_method (req);
  el_str_t path = net_req_path (req);
  int path_found = 0;
  size_t i;

  gate->counts.http_requests++;
  for (i = 0; i < sizeof handlers / sizeof *handlers; i++)
    {
      if (!el_str_starts_with (path, handlers[i].prefix)
          || (handlers[i].exact && path.len != handlers[i].prefix.len))
        continue;
      path_found = 1;
      if (handlers[i].method
          && !el_str_eq (method, el_str (handlers[i].method)))
        continue;
      if (handlers[i].role == ROLE_OPERATOR
          && !operator_authenticated (gate, req))
        {
          gt_api_error (gate, req, 401, "not-an-operator",
                        "authorization: takes Bearer and the operators' "
                        "key");
          return;
        }
      handlers[i].serve (gate, req,
                         el_str_after (path, handlers[i].prefix.len));
      return;
    }
  if (path_found)
    gt_api_error (gate, req, 405, "bad-method",
                  "this address does not take the method");
  else
    gt_api_error (gate, req, 404, "not-found", "no such address");
}
