/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Requests of the HTTP/1.1 client. Each is sent once, on an idle or a new
 * connection, and ends with one result. The client never retries a request,
 * and it distinguishes a connection that was not established from one that
 * was lost and from one that was closed cleanly.
 */
#include <stdlib.h>
#include <string.h>

#include "libnet.h"

/* Maximum size of a response's body, in bytes, when the caller sets no
   limit. */
#define RESPONSE_MAX_DEFAULT ((size_t)16 << 20)
/* A timer that fires later than this was delayed because the process was
   stalled. */
#define TIMER_SLACK (5 * EL_MSEC)
/* A response up to this length is not drawn from the account. */
#define FREE_BODY_BYTES 4096
/* Steps in which a response of unknown length is drawn. */
#define HOLD_STEP ((uint64_t)65536)
/* Interval at which it is looked whether there is room. */
#define ROOM_POLL_INTERVAL (20 * EL_MSEC)

/* Bodies. */

/** Draw what the headers and the kept part of the body take from the account.
    Returns 0 if there is no room. */
int
net_exchange_hold (net_exchange_t *ex)
{
  el_account_t *account = ex->client->account;
  uint64_t length = ex->headers_size + ex->part;
  uint64_t step = length - ex->held;

  if (!account || length <= FREE_BODY_BYTES || length <= ex->held)
    return 1;
  if (step < HOLD_STEP)
    step = HOLD_STEP;
  if (!el_account_take (account, EL_HOLD_ANSWER, step))
    return 0;
  ex->held += step;
  return 1;
}

static void
exchange_release (net_exchange_t *ex)
{
  if (ex->held)
    el_account_give (ex->client->account, EL_HOLD_ANSWER, ex->held);
  ex->held = 0;
  ex->client->waiting -= (size_t)ex->waiting;
  ex->waiting = 0;
}

/* Goes on to read the bodies for which there is room. */
static void
client_room (void *arg, el_time_t now)
{
  net_client_t *client = arg;
  net_exchange_t *ex;

  (void)now;
  DL_FOREACH (client->open, ex)
  if (ex->waiting && net_exchange_hold (ex))
    {
      ex->waiting = 0;
      client->waiting--;
      net_conn_resume (ex->conn);
    }
  if (client->waiting)
    net_clock_set (client->clock, &client->room, ROOM_POLL_INTERVAL);
}

/** Read no more of the response until there is room for its body. */
void
net_exchange_wait (net_exchange_t *ex)
{
  net_client_t *client = ex->client;

  if (ex->waiting)
    return;
  ex->waiting = 1;
  client->counts.waited++;
  if (!client->waiting++)
    net_clock_set (client->clock, &client->room, ROOM_POLL_INTERVAL);
}

/** Create a client; it lives as long as the process. */
net_client_t *
net_client_new (net_clock_t *clock)
{
  net_client_t *client = el_alloc (sizeof *client);

  client->clock = clock;
  client->room.cb = client_room;
  client->room.arg = client;
  return client;
}

/** Have the client draw on ACCOUNT. */
void
net_client_set_account (net_client_t *client, el_account_t *account)
{
  client->account = account;
}

/** Return the client's counters. */
const net_client_counts_t *
net_client_counts (const net_client_t *client)
{
  return &client->counts;
}

/* Exchanges. */

/** Free the headers received so far. */
void
net_exchange_clear_headers (net_exchange_t *ex)
{
  size_t i;

  for (i = 0; i < ex->nheaders; i++)
    {
      el_str_free (&ex->headers[i].name);
      el_str_free (&ex->headers[i].value);
    }
  free (ex->headers);
  ex->headers = NULL;
  ex->nheaders = 0;
  ex->cap_headers = 0;
}

static void
exchange_free (net_exchange_t *ex)
{
  net_clock_cancel (ex->client->clock, &ex->timer);
  DL_DELETE (ex->client->open, ex);
  exchange_release (ex);
  net_exchange_clear_headers (ex);
  el_str_free (&ex->id);
  el_buf_free (&ex->request);
  el_buf_free (&ex->name);
  el_buf_free (&ex->value);
  el_buf_free (&ex->body);
  free (ex);
}

/** End an exchange; its connection must be closed or idle. */
void
net_exchange_end (net_exchange_t *ex, net_outcome_t net)
{
  net_result_t result = { .net = net,
                          .status = ex->status,
                          .conn = ex->conn_number,
                          .carried = ex->carried,
                          .by_close = net == NET_OK && ex->by_close,
                          .headers = ex->headers,
                          .nheaders = ex->nheaders,
                          .body = el_buf_str (&ex->body) };

  result.verdict = net == NET_OK ? EL_RAN
                   : ex->sent    ? EL_MAY_HAVE_RUN
                                 : EL_NOT_RUN;
  ex->done (ex->arg, &result);
  exchange_free (ex);
}

/** End an exchange and close its connection, if any. */
void
net_exchange_fail (net_exchange_t *ex, net_outcome_t net)
{
  net_conn_t *conn = ex->conn;

  ex->conn = NULL;
  if (conn)
    net_conn_close (conn);
  net_exchange_end (ex, net);
}

/* After a stall, timers run before incoming data is read: the response may
   have arrived already. The exchange is given a little more time, once. */
static void
exchange_timeout (void *arg, el_time_t now)
{
  net_exchange_t *ex = arg;

  if (now > ex->timer.due + TIMER_SLACK && !ex->stalled)
    {
      ex->stalled = 1;
      net_clock_set (ex->client->clock, &ex->timer, TIMER_SLACK);
      return;
    }
  net_exchange_fail (ex, NET_TIMEOUT);
}

static void
exchange_connect_failed (void *arg, el_time_t now)
{
  (void)now;
  net_exchange_fail (arg, NET_CONNECT_FAILED);
}

/** Fail an exchange with NET_CONNECT_FAILED, after net_client_send has
    returned. */
void
net_exchange_fail_connect (net_exchange_t *ex)
{
  ex->timer.cb = exchange_connect_failed;
  net_clock_set (ex->client->clock, &ex->timer, 0);
}

/* Sending. */

static net_pool_t *
pool_get (net_client_t *client, el_str_t address)
{
  struct sockaddr_in addr;
  net_pool_t *pool;

  HASH_FIND (hh, client->pools, address.ptr, (unsigned)address.len, pool);
  if (pool)
    return pool;
  if (!net_address_parse (address, &addr) || address.len >= NET_ADDRESS_MAX)
    return NULL;
  pool = el_alloc (sizeof *pool);
  memcpy (pool->address, address.ptr, address.len);
  pool->addr = addr;
  HASH_ADD_KEYPTR (hh, client->pools, pool->address, (unsigned)address.len,
                   pool);
  return pool;
}

/* Take the most recently used idle connection that has not carried the
   request's id, unless it was idle too long for this request. */
static net_conn_t *
pool_take (net_pool_t *pool, const net_request_t *request, el_time_t now)
{
  net_conn_t *conn = pool->idle;

  if (request->new_connection)
    return NULL;
  while (conn && net_conn_has_carried (conn, request->id))
    conn = conn->next;
  if (!conn
      || (request->max_idle && now - conn->idle_since > request->max_idle))
    return NULL;
  net_conn_take_idle (conn);
  net_clock_cancel (conn->client->clock, &conn->idle);
  return conn;
}

static void
request_write (el_buf_t *out, const net_request_t *request)
{
  size_t i;

  el_buf_add (out, request->method);
  el_buf_add (out, EL_STR (" "));
  el_buf_add (out, request->path);
  el_buf_add (out, EL_STR (" HTTP/1.1\r\nhost: "));
  el_buf_add (out, request->host.len ? request->host : request->address);
  for (i = 0; i < request->nheaders; i++)
    {
      el_buf_add (out, EL_STR ("\r\n"));
      el_buf_add (out, request->headers[i].name);
      el_buf_add (out, EL_STR (": "));
      el_buf_add (out, request->headers[i].value);
    }
  if (request->body.len || !el_str_eq (request->method, EL_STR ("GET")))
    el_buf_printf (out, "\r\ncontent-length: %zu", request->body.len);
  el_buf_add (out, EL_STR ("\r\n\r\n"));
  el_buf_add (out, request->body);
}

/** Send a request. Its result is passed to its done callback. */
net_exchange_t *
net_client_send (net_client_t *client, const net_request_t *request)
{
  net_exchange_t *ex = el_alloc (sizeof *ex);
  net_pool_t *pool = pool_get (client, request->address);
  net_conn_t *conn;

  ex->client = client;
  DL_PREPEND (client->open, ex);
  ex->done = request->done;
  ex->allow = request->allow;
  ex->head = request->head;
  ex->body_part = request->body_part;
  ex->on_cancel = request->on_cancel;
  ex->arg = request->arg;
  ex->max_response
      = request->max_response ? request->max_response : RESPONSE_MAX_DEFAULT;
  ex->keeps_body = request->keeps_body;
  ex->id_header = request->id_header;
  ex->id = el_str_dup (request->id);
  ex->id_required = request->id_required;
  ex->is_head = el_str_eq (request->method, EL_STR ("HEAD"));
  request_write (&ex->request, request);
  ex->timer.arg = ex;
  ex->timer.cb = exchange_timeout;
  client->counts.requests++;
  if (!pool)
    {
      net_exchange_fail_connect (ex);
      return ex;
    }
  if (request->timeout)
    net_clock_set (client->clock, &ex->timer, request->timeout);
  conn = pool_take (pool, request, net_clock_now (client->clock));
  if (conn)
    net_conn_begin (conn, ex);
  else
    net_conn_open (pool, ex);
  return ex;
}

/** Cancel an exchange and close its connection. Of its callbacks, only
    on_cancel is called. */
void
net_client_cancel (net_exchange_t *ex)
{
  net_conn_t *conn = ex->conn;

  ex->conn = NULL;
  if (conn)
    net_conn_close (conn);
  if (ex->on_cancel)
    ex->on_cancel (ex->arg);
  exchange_free (ex);
}

/** Replace the callbacks of an exchange that has not ended. */
void
net_exchange_set_callbacks (net_exchange_t *ex, net_head_cb head,
                            net_body_part_cb body_part, net_result_cb done)
{
  ex->head = head;
  ex->body_part = body_part;
  ex->done = done;
}

/** Have the body of an exchange, whose head is being handled, kept until it is
    whole, as keeps_body of the request does. */
void
net_exchange_keep_body (net_exchange_t *ex)
{
  ex->keeps_body = 1;
}

/** State that the receiver of the body's parts keeps LENGTH bytes of them. */
void
net_exchange_set_kept (net_exchange_t *ex, uint64_t length)
{
  ex->part = length;
}

/** Return whether any byte of the request may have left this host. */
int
net_exchange_is_sent (const net_exchange_t *ex)
{
  return ex->sent;
}

/** Return whether a header is called NAME, which is in lower case. */
int
net_header_is (const net_header_t *header, el_str_t name)
{
  return h2o_lcstris (header->name.ptr, header->name.len, name.ptr, name.len);
}

/** Return the value of a response header, NAME in lower case; empty when
    missing. */
el_str_t
net_result_header (const net_result_t *result, const char *name)
{
  size_t i;

  for (i = 0; i < result->nheaders; i++)
    if (net_header_is (&result->headers[i], el_str (name)))
      return result->headers[i].value;
  return (el_str_t){ NULL, 0 };
}

/** Copy a result without its body, so that it outlives the callback. */
void
net_result_copy (const net_result_t *result, net_result_t *out)
{
  net_header_t *headers = el_alloc (result->nheaders * sizeof *headers);
  size_t i;

  *out = *result;
  out->body = (el_str_t){ NULL, 0 };
  out->headers = headers;
  for (i = 0; i < result->nheaders; i++)
    headers[i] = (net_header_t){ el_str_dup (result->headers[i].name),
                                 el_str_dup (result->headers[i].value) };
}

/** Free a copy. */
void
net_result_free (net_result_t *result)
{
  net_header_t *headers = (net_header_t *)(uintptr_t)result->headers;
  size_t i;

  for (i = 0; i < result->nheaders; i++)
    {
      el_str_free (&headers[i].name);
      el_str_free (&headers[i].value);
    }
  free (headers);
  *result = (net_result_t){ 0 };
}
