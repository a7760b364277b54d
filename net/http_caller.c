/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Connections of callers: their phases, what they hold, and what is read of
 * them while a request is processed.
 */
#include "libnet.h"

/** The time in ms, on the loop's clock. */
uint64_t
net_server_now (const net_server_t *server)
{
  return uv_now (server->options.loop);
}

/** Have the server's sweep run within WAIT_MS. */
void
net_caller_wake (net_server_t *server, uint64_t wait_ms)
{
  uint64_t due = net_server_now (server) + wait_ms;

  if (server->sweep.heap_index && server->sweep_ms <= due)
    return;
  server->sweep_ms = due;
  net_clock_set (&server->clock, &server->sweep, wait_ms * EL_MSEC);
}

/** Begin a phase of a connection. */
void
net_caller_enter (net_caller_t *caller, net_phase_t phase)
{
  net_server_t *server = caller->server;
  uint64_t limit = server->phase_ms[phase];

  DL_DELETE (server->callers[caller->phase], caller);
  DL_APPEND (server->callers[phase], caller);
  caller->phase = phase;
  caller->since_ms = net_server_now (server);
  caller->taken_ms = caller->since_ms;
  if (limit)
    net_caller_wake (server, limit);
}

/** Set what CALLER holds of a kind. Returns 0 if there is no room for it. */
int
net_caller_hold (net_caller_t *caller, el_hold_t kind, uint64_t bytes)
{
  el_account_t *account = caller->server->options.account;
  uint64_t *held = &caller->held[kind];

  if (account && bytes > *held
      && !el_account_take (account, kind, bytes - *held))
    return 0;
  if (account && bytes < *held)
    el_account_give (account, kind, *held - bytes);
  *held = bytes;
  return 1;
}

/* Sets what CALLER holds of a kind, whether or not there is room. */
static void
caller_set (net_caller_t *caller, el_hold_t kind, uint64_t bytes)
{
  uint64_t *held = &caller->held[kind];

  if (net_caller_hold (caller, kind, bytes))
    return;
  el_account_add (caller->server->options.account, kind, bytes - *held);
  *held = bytes;
}

/** Give back all that CALLER holds. */
void
net_caller_release (net_caller_t *caller)
{
  net_caller_hold_answer (caller, 0);
  net_caller_hold (caller, EL_HOLD_LONG, 0);
  net_caller_hold (caller, EL_HOLD_SHORT, 0);
}

/** Set what the response to a caller's request takes; it is made already, so
    that it is held with or without room. */
void
net_caller_hold_answer (net_caller_t *caller, uint64_t bytes)
{
  net_server_t *server = caller->server;
  uint64_t *held = &caller->held[EL_HOLD_ANSWER];

  if (!server->options.account || bytes == *held)
    return;
  if (bytes > *held)
    el_account_add (server->options.account, EL_HOLD_ANSWER, bytes - *held);
  else
    el_account_give (server->options.account, EL_HOLD_ANSWER, *held - bytes);
  if (!*held)
    {
      server->nunread++;
      caller->taken_ms = net_server_now (server);
      net_caller_wake (server, NET_UNREAD_POLL_MS);
    }
  else if (!bytes)
    server->nunread--;
  *held = bytes;
}

/** Add to what the responses to a caller take. */
void
net_caller_add_answer (net_caller_t *caller, uint64_t bytes)
{
  net_caller_hold_answer (caller, caller->held[EL_HOLD_ANSWER] + bytes);
}

/** Whether the process has room for one more short request. */
int
net_server_has_room (const net_server_t *server)
{
  const el_account_t *account = server->options.account;

  return !account || !el_account_is_full (account);
}

/** Have the library close a connection. */
void
net_caller_close (net_caller_t *caller, const char *reason)
{
  h2o_socket_cb read = caller->read;

  h2o_socket_read_stop (caller->sock);
  read (caller->sock, reason);
}

/* Requests that are processed. */

/** Return the connection of a request. */
net_caller_t *
net_caller_of (const h2o_req_t *req)
{
  return req->conn->callbacks->get_socket (req->conn)->on_close.data;
}

/* What the input takes while a request is processed. It may hold more than the
   request: what was sent ahead, or room from an earlier, longer one. */
static void
caller_hold_input (net_caller_t *caller, size_t body)
{
  const h2o_buffer_t *input = caller->sock->input;

  if (caller->held[EL_HOLD_LONG])
    caller_set (caller, EL_HOLD_LONG,
                input->size + body * (NET_BODY_COPIES - 1));
  else if (input->capacity > NET_COPIED_BODY_MAX
           && input->capacity > caller->held[EL_HOLD_SHORT])
    caller_set (caller, EL_HOLD_SHORT, input->capacity);
}

/** The library has read a request. */
void
net_caller_begin (net_caller_t *caller, h2o_req_t *req)
{
  caller->requests++;
  if (caller->phase == NET_HTTP2)
    return;
  caller_hold_input (caller, req->entity.len);
  caller->head_len = 0;
  net_caller_enter (caller, NET_SERVING);
}

/** A request with a body of LENGTH bytes is about to be freed: its response is
    sent, or it failed. */
void
net_caller_end (net_caller_t *caller, size_t length)
{
  net_server_t *server = caller->server;

  caller->requests--;
  if (caller->phase == NET_HTTP2)
    {
      if (!caller->requests)
        net_caller_hold_answer (caller, 0);
      caller->http2_sent
          -= length < caller->http2_sent ? length : caller->http2_sent;
      return;
    }
  net_caller_release (caller);
  server->nblind -= (size_t)caller->blind;
  caller->blind = 0;
  if (server->callers[NET_WAITING])
    net_caller_wake (server, 0);
  if (caller->unsettled)
    return;
  caller->unsettled = 1;
  LL_PREPEND2 (server->unsettled, caller, next_unsettled);
}

static void
caller_blind (net_caller_t *caller)
{
  if (caller->blind)
    return;
  caller->blind = 1;
  caller->server->nblind++;
  net_caller_wake (caller->server, NET_BLIND_POLL_MS);
}

/** Takes what arrives while a request is processed. */
void
net_ahead_read (h2o_socket_t *sock, const char *err)
{
  net_caller_t *caller = sock->on_close.data;

  if (err)
    {
      h2o_socket_read_stop (sock);
      if (caller->watch)
        net_watch_gone (caller->watch, sock);
    }
  else if (sock->input->size > NET_COPIED_BODY_MAX)
    {
      caller->server->counts->paused++;
      h2o_socket_read_stop (sock);
      caller_blind (caller);
    }
}

/** Watch for the caller's disconnect while its request is processed. A
    connection that has sent much is not read for that. */
void
net_caller_watch (net_caller_t *caller, server_watch_t *watch)
{
  caller->watch = watch;
  if (caller->sock->input->size > NET_COPIED_BODY_MAX)
    caller_blind (caller);
  else
    h2o_socket_read_start (caller->sock, net_ahead_read);
}
