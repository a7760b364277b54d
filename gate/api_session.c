/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * HTTP API: sessions and the list of entry hosts.
 */
#include "libgate.h"

#define ENTRY_HOSTS_MAX 5
#define ENTRY_TTL_S 10
#define RETRY_AFTER_MS 1000

static void
session_token (const gt_gate_t *gate, el_str_t customer, uint64_t session,
               el_buf_t *out)
{
  co_token_t token = { .http = gate->options.listen,
                       .peer = gate->options.peer_listen,
                       .customer = customer,
                       .session = session,
                       .home = gate->incarnation };

  co_token_write (out, &token, gate->options.cluster_key);
}

/** Serves POST /v1/sessions: opens a session with this host as its home. */
void
gt_api_session_open (gt_gate_t *gate, h2o_req_t *req, el_str_t rest)
{
  gt_refusal_t refusal = { .status = 503,
                           .verdict = EL_NOT_RUN,
                           .code = "no-session",
                           .retry_after_ms = RETRY_AFTER_MS };
  el_buf_t token = { NULL, 0, 0 };
  gt_request_t request = { 0 };
  uint64_t session;
  el_err_t err;

  (void)rest;
  if (!gt_api_authenticate (gate, req, &request))
    return;
  if (co_ledger_open_session (gate->ledger, net_clock_now (&gate->clock),
                              request.customer, &session, &err))
    {
      refusal.message = err.msg;
      gt_caller_refuse (req, &refusal);
      return;
    }
  session_token (gate, request.customer, session, &token);
  gt_api_reply_json (
      req, 201,
      json_pack ("{s:s%,s:s%,s:I}", "session", token.ptr, token.len, "home",
                 gate->options.listen.ptr, gate->options.listen.len, "idle_s",
                 (json_int_t)(gate->options.session_idle / EL_SEC)));
  el_buf_free (&token);
}

/** Serves DELETE /v1/sessions/TOKEN: closes a session at the host that has
    it; other hosts refuse. */
void
gt_api_session_close (gt_gate_t *gate, h2o_req_t *req, el_str_t rest)
{
  gt_request_t request = { 0 };
  co_token_t token;
  co_session_t session;
  el_status_t status;
  el_err_t err;

  if (!gt_api_authenticate (gate, req, &request))
    return;
  if (co_token_read (rest, gate->options.cluster_key, &token, &err)
      || !el_str_eq (token.customer, request.customer))
    {
      gt_api_error (gate, req, 404, "not-found", "no such session");
      return;
    }
  session = co_token_session (&token);
  if (!co_incarnation_eq (&token.home, &gate->incarnation)
      && !co_ledger_has_session (gate->ledger, &session))
    {
      gt_api_error (gate, req, 409, "not-the-home",
                    "close the session at its home");
      return;
    }
  status = co_ledger_close_session (gate->ledger, &session);
  if (status == EL_CONFLICT)
    gt_api_error (gate, req, 409, "session-busy",
                  "a request of the session runs");
  else if (status)
    gt_api_error (gate, req, 404, "not-found", "no such session");
  else
    net_req_reply (req, 204, (el_str_t){ NULL, 0 }, EL_STR (""));
}

/** Serves GET /v1/entry-hosts: the addresses that a caller should use now and
    how long to cache them. A hash of the caller's address distributes callers
    over the hosts. */
void
gt_api_entry_hosts (gt_gate_t *gate, h2o_req_t *req, el_str_t rest)
{
  struct sockaddr_storage addr;
  socklen_t len
      = req->conn->callbacks->get_peername (req->conn, (void *)&addr);
  json_t *hosts = json_array ();

  (void)rest;
  pr_peers_list_entry_hosts (
      gate->peers, hosts, ENTRY_HOSTS_MAX,
      el_str_hash ((el_str_t){ (const char *)&addr, (size_t)len }));
  gt_api_reply_json (
      req, 200,
      json_pack ("{s:o,s:i}", "hosts", hosts, "keep_s", ENTRY_TTL_S));
}
