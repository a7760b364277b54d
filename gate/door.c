/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The door: which part serves which address, who may ask, and what all
 * requests have in common.
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

typedef enum door_who
{
  WHO_ANY,
  WHO_OPERATOR
} door_who_t;

typedef void (*door_fn) (gt_gate_t *gate, h2o_req_t *req, el_str_t rest);

/* Parts that prove customers themselves are open to any here. */
static const struct
{
  const char *method; /* NULL takes all */
  el_str_t prefix;
  int exact;
  door_who_t who;
  door_fn serve;
} doors[] = {
  { "POST", EL_STR ("/v1/chat/completions"), 1, WHO_ANY, gt_door_chat },
  { "GET", EL_STR ("/v1/entry-hosts"), 1, WHO_ANY, gt_door_entry_hosts },
  { "POST", EL_STR ("/v1/sessions"), 1, WHO_ANY, gt_door_session_open },
  { "DELETE", EL_STR ("/v1/sessions/"), 0, WHO_ANY, gt_door_session_close },
  { NULL, EL_STR ("/services/"), 0, WHO_ANY, gt_door_call },
  { "GET", EL_STR ("/admin/v1/dump"), 1, WHO_OPERATOR, gt_door_dump },
  { "GET", EL_STR ("/metrics"), 1, WHO_ANY, gt_door_metrics },
  { "GET", EL_STR ("/admin/v1/blocked"), 1, WHO_OPERATOR, gt_door_blocked },
  { "DELETE", EL_STR ("/admin/v1/blocked/"), 0, WHO_OPERATOR,
    gt_door_unblock },
  { NULL, EL_STR ("/admin/v1/"), 0, WHO_OPERATOR, gt_door_resources },
};

/** Answer an error of the caller's: this arrival has run nothing. One that
    names a session may repeat an earlier arrival, which the door knows nothing
    of. */
void
gt_door_error (gt_gate_t *gate, h2o_req_t *req, int status, const char *code,
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

/** Answer with JSON; takes over the reference. */
void
gt_door_json (h2o_req_t *req, int status, json_t *json)
{
  char *text = json_dumps (json, JSON_COMPACT);

  net_req_reply (req, status, GT_JSON, el_str (text));
  free (text);
  json_decref (json);
}

static el_str_t
bearer (const h2o_req_t *req)
{
  el_str_t value = net_req_header (req, "authorization");

  if (!el_str_starts (value, BEARER))
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

/* The customer of a session's token, which stands for the key: clients do not
   send the key on to another host that they are pointed to. */
static int
token_customer (gt_gate_t *gate, h2o_req_t *req, gt_ask_t *ask)
{
  el_str_t text = net_req_header (req, "x-elmarch-session");
  el_err_t err;

  if (co_token_read (text, gate->options.cluster_key, &ask->token, &err))
    {
      gt_door_error (gate, req, 400, "bad-session", err.msg);
      return 0;
    }
  if (ask->customer.len && !el_str_eq (ask->customer, ask->token.customer))
    {
      gt_door_error (gate, req, 403, "foreign-session",
                     "the session is another customer's");
      return 0;
    }
  ask->customer = ask->token.customer;
  if (!co_config_get (gate->config, CO_CUSTOMER, ask->customer))
    {
      gt_door_error (gate, req, 401, "unknown-customer",
                     "the session's customer is no longer known");
      return 0;
    }
  if (!el_str_to_u64 (net_req_header (req, "x-elmarch-sequence"),
                      &ask->sequence)
      || ask->sequence == 0)
    {
      gt_door_error (gate, req, 400, "bad-sequence",
                     "x-elmarch-sequence: takes a whole number from 1");
      return 0;
    }
  ask->in_session = 1;
  return 1;
}

/** Find out who asks: the customer of the key or of the session's token. Gives
    0 after an answer that tells what is wrong; nothing is run for one who is
    not known. */
int
gt_door_customer (gt_gate_t *gate, h2o_req_t *req, gt_ask_t *ask)
{
  char hash[2 * SHA256_BYTES + 1];
  el_str_t key = bearer (req);

  if (!pr_config_ready (gate->sync))
    {
      gt_door_error (gate, req, 503, "starting",
                     "this host has no configuration yet; use another");
      return 0;
    }
  if (key.len)
    {
      sha256_hex (key, hash);
      rt_router_authenticate (gate->router, el_str (hash), &ask->customer);
    }
  if (!ask->customer.len
      && (key.len || !net_req_header (req, "x-elmarch-session").len))
    {
      gt_door_error (gate, req, 401, "unknown-customer",
                     "authorization: takes Bearer and a customer's key");
      return 0;
    }
  if (net_req_header (req, "x-elmarch-session").len
      || net_req_header (req, "x-elmarch-sequence").len)
    return token_customer (gate, req, ask);
  return 1;
}

/** When the request's time is over. Gives 0 after an answer that tells what
    is wrong. */
int
gt_door_deadline (gt_gate_t *gate, h2o_req_t *req, el_time_t *deadline)
{
  el_str_t text = net_req_header (req, "x-elmarch-deadline-ms");
  uint64_t ms;

  *deadline = net_clock_now (&gate->clock) + gate->options.deadline;
  if (!text.len)
    return 1;
  if (!el_str_to_u64 (text, &ms) || ms == 0 || ms > DEADLINE_MAX_MS)
    {
      gt_door_error (gate, req, 400, "bad-deadline",
                     "x-elmarch-deadline-ms: takes 1 to 3600000");
      return 0;
    }
  *deadline = net_clock_now (&gate->clock) + ms * EL_MSEC;
  return 1;
}

static int
operator_proved (const gt_gate_t *gate, const h2o_req_t *req)
{
  el_str_t key = bearer (req);
  el_str_t want = gate->options.operator_key;

  return key.len == want.len
         && CRYPTO_memcmp (key.ptr, want.ptr, want.len) == 0;
}

/** Serve one request. */
void
gt_door_handle (void *arg, h2o_req_t *req)
{
  gt_gate_t *gate = arg;
  el_str_t method = net_req_method (req);
  el_str_t path = net_req_path (req);
  int found = 0;
  size_t i;

  gate->counts.http_requests++;
  for (i = 0; i < sizeof doors / sizeof *doors; i++)
    {
      if (!el_str_starts (path, doors[i].prefix)
          || (doors[i].exact && path.len != doors[i].prefix.len))
        continue;
      found = 1;
      if (doors[i].method && !el_str_eq (method, el_str (doors[i].method)))
        continue;
      if (doors[i].who == WHO_OPERATOR && !operator_proved (gate, req))
        {
          gt_door_error (gate, req, 401, "not-an-operator",
                         "authorization: takes Bearer and the operators' "
                         "key");
          return;
        }
      doors[i].serve (gate, req, el_str_after (path, doors[i].prefix.len));
      return;
    }
  if (found)
    gt_door_error (gate, req, 405, "bad-method",
                   "this address does not take the method");
  else
    gt_door_error (gate, req, 404, "not-found", "no such address");
}
