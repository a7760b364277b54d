/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Connections of the HTTP/1.1 client: connecting, writing, parsing of
 * responses with http_parser, and keeping idle connections open for as long as
 * the endpoint allows, less a margin.
 */
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>

#include "libnet.h"

/* Connect timeout: an address that is no longer in use does not answer. */
#define CONNECT_TIMEOUT (1 * EL_SEC)
/* TCP_USER_TIMEOUT: how long the peer may leave sent data unacknowledged. */
#define USER_TIMEOUT_MS 2000
/* Reads are as long as this if the account is nearly exhausted. */
#define READ_BYTES_MIN 4096
#define READ_ROOM_MIN ((uint64_t)1 << 20)
/* Idle connections close while less than this part of the process's
   connections is free. */
#define FREE_CONNS_PART 8
/* Interim (1xx) responses before the final one, at most. */
#define INTERIM_MAX 8
/* Ids that a connection remembers. It carries no more requests than that. */
#define IDS_MAX 256
/* Memory for ids is allocated in steps of so many. */
#define IDS_STEP 16

typedef struct conn_write
{
  uv_write_t req;
  net_conn_t *conn;
  el_buf_t bytes;
} conn_write_t;

static int on_body (http_parser *parser, const char *at, size_t len);
static int on_message_complete (http_parser *parser);

static const http_parser_settings parser_settings = {
  .on_message_begin = net_head_begin,
  .on_header_field = net_head_field,
  .on_header_value = net_head_value,
  .on_headers_complete = net_head_complete,
  .on_body = on_body,
  .on_message_complete = on_message_complete,
};

static void
conn_closed (uv_handle_t *handle)
{
  net_conn_t *conn = handle->data;

  free (conn->ids);
  free (conn);
}

/** Take a connection out of its pool. */
void
net_conn_take_idle (net_conn_t *conn)
{
  DL_DELETE (conn->pool->idle, conn);
  DL_DELETE2 (conn->client->idle, conn, idle_prev, idle_next);
  conn->pooled = 0;
}

/** Close a connection and detach it from its pool and its exchange. */
void
net_conn_close (net_conn_t *conn)
{
  if (conn->closing)
    return;
  conn->closing = 1;
  if (conn->pooled)
    net_conn_take_idle (conn);
  if (conn->client->account)
    el_account_conn_give (conn->client->account, EL_CONN_OWN);
  net_clock_cancel (conn->client->clock, &conn->idle);
  conn->exchange = NULL;
  uv_close ((uv_handle_t *)&conn->tcp, conn_closed);
}

static void
conn_idle_timeout (void *arg, el_time_t now)
{
  (void)now;
  net_conn_close (arg);
}

/* Writing. */

static void
conn_written (uv_write_t *req, int status)
{
  conn_write_t *write = (conn_write_t *)req;
  net_conn_t *conn = write->conn;

  conn->writing--;
  el_buf_free (&write->bytes);
  free (write);
  if (status && !conn->closing && conn->exchange)
    net_exchange_fail (conn->exchange, NET_CONNECTION_LOST);
}

/* An exchange is sent once, so that the write takes its bytes over. */
static void
conn_write (net_conn_t *conn, net_exchange_t *ex)
{
  uv_buf_t buf = uv_buf_init (ex->request.ptr, (unsigned)ex->request.len);
  conn_write_t *write;
  int n;

  ex->sent = 1;
  n = uv_try_write ((uv_stream_t *)&conn->tcp, &buf, 1);
  if (n == (int)ex->request.len)
    {
      el_buf_free (&ex->request);
      return;
    }
  write = el_alloc (sizeof *write);
  write->conn = conn;
  write->bytes = ex->request;
  ex->request = (el_buf_t){ NULL, 0, 0 };
  if (n > 0)
    {
      buf.base += n;
      buf.len -= (size_t)n;
    }
  conn->writing++;
  uv_write (&write->req, (uv_stream_t *)&conn->tcp, &buf, 1, conn_written);
}

/** Whether a request with ID was sent on CONN; never for an empty id. */
int
net_conn_has_carried (const net_conn_t *conn, el_str_t id)
{
  uint64_t hash = el_str_hash (id);
  size_t i;

  for (i = 0; id.len && i < conn->nids; i++)
    if (conn->ids[i] == hash)
      return 1;
  return 0;
}

static void
conn_remember (net_conn_t *conn, el_str_t id)
{
  if (!id.len)
    return;
  if (conn->nids % IDS_STEP == 0)
    conn->ids = el_grow (conn->ids, conn->nids + IDS_STEP, sizeof *conn->ids);
  conn->ids[conn->nids++] = el_str_hash (id);
}

/* Reading. */

static int
on_body (http_parser *parser, const char *at, size_t len)
{
  net_conn_t *conn = parser->data;
  net_exchange_t *ex = conn->exchange;

  int taken = ex->body_part || ex->body.len + len <= ex->max_response;

  if (ex->keeps_body && !ex->announced)
    ex->part += len;
  if (ex->body_part)
    taken = ex->body_part (ex->arg, (el_str_t){ at, len });
  else if (taken)
    el_buf_add (&ex->body, (el_str_t){ at, len });
  if (conn->exchange != ex)
    return -1;
  if (!taken)
    {
      conn->client->counts.too_long++;
      EL_LOG (EL_LOG_WARN, "answer_too_long",
              EL_FC ("address", conn->pool->address),
              EL_FN ("max", ex->max_response));
      net_exchange_fail (ex, NET_TOO_BIG);
    }
  return taken ? 0 : -1;
}

static int
on_message_complete (http_parser *parser)
{
  net_conn_t *conn = parser->data;

  if (conn->exchange->head_received)
    {
      conn->exchange->complete = 1;
      http_parser_pause (parser, 1);
      return 0;
    }
  return ++conn->exchange->interim > INTERIM_MAX ? -1 : 0;
}

static void
conn_make_idle (net_conn_t *conn)
{
  if (conn->nids >= IDS_MAX)
    {
      conn->client->counts.retired++;
      conn->keep = 0;
    }
  if (conn->keep == 0)
    {
      net_conn_close (conn);
      return;
    }
  conn->idle_since = net_clock_now (conn->client->clock);
  conn->idle.cb = conn_idle_timeout;
  conn->pooled = 1;
  DL_PREPEND (conn->pool->idle, conn);
  DL_APPEND2 (conn->client->idle, conn, idle_prev, idle_next);
  net_clock_set (conn->client->clock, &conn->idle, conn->keep);
}

/* The response is complete. Surplus bytes, or a request that was not sent
   completely, make the connection unusable for another request. */
static void
conn_complete (net_conn_t *conn, int surplus)
{
  net_exchange_t *ex = conn->exchange;
  int keep = http_should_keep_alive (&conn->parser);

  ex->conn = NULL;
  conn->exchange = NULL;
  if (surplus)
    conn->client->counts.surplus++;
  if (surplus || !keep || conn->writing)
    net_conn_close (conn);
  else
    conn_make_idle (conn);
  net_exchange_end (ex, NET_OK);
}

static void
conn_parse (net_conn_t *conn, const char *bytes, size_t len)
{
  size_t used;

  used = http_parser_execute (&conn->parser, &parser_settings, bytes, len);
  if (conn->closing || !conn->exchange)
    return;
  if (conn->exchange->complete)
    conn_complete (conn, used < len);
  else if (HTTP_PARSER_ERRNO (&conn->parser) != HPE_OK)
    net_exchange_fail (conn->exchange, NET_CONNECTION_LOST);
}

/* libuv reports an end of file when data and a reset arrive together, as it
   does not read the error then. A response without a length is not complete if
   the connection was reset. */
static int
conn_closed_cleanly (net_conn_t *conn)
{
  uv_os_fd_t fd;
  char byte;

  return uv_fileno ((uv_handle_t *)&conn->tcp, &fd) == 0
         && recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static void
on_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
  net_conn_t *conn = handle->data;
  const el_account_t *account = conn->client->account;
  int nearly_full
      = account && el_account_room (account, EL_HOLD_ANSWER) < READ_ROOM_MIN;

  (void)suggested;
  *buf = uv_buf_init (conn->client->read,
                      nearly_full ? READ_BYTES_MIN : NET_READ_BYTES);
}

/* Reads no further if there is no room for the response of CONN's exchange. */
static void
conn_check_room (net_conn_t *conn)
{
  if (conn->closing || !conn->exchange || conn->exchange->waiting
      || net_exchange_hold (conn->exchange))
    return;
  net_exchange_wait (conn->exchange);
  uv_read_stop ((uv_stream_t *)&conn->tcp);
}

static void
on_read (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  net_conn_t *conn = stream->data;

  if (n == 0 || conn->closing)
    return;
  if (!conn->exchange)
    {
      if (n > 0)
        conn->client->counts.surplus++;
      net_conn_close (conn);
      return;
    }
  if (n > 0)
    {
      conn_parse (conn, buf->base, (size_t)n);
      conn_check_room (conn);
    }
  else if (n == UV_EOF && conn->exchange->head_received
           && conn_closed_cleanly (conn))
    {
      /* The end of the connection may be the end of the response. */
      conn->keep = 0;
      conn->exchange->by_close = 1;
      conn_parse (conn, NULL, 0);
      if (!conn->closing && conn->exchange)
        net_exchange_fail (conn->exchange, NET_CONNECTION_LOST);
    }
  else
    net_exchange_fail (conn->exchange, NET_CONNECTION_LOST);
}

/** Go on to read. */
void
net_conn_resume (net_conn_t *conn)
{
  uv_read_start ((uv_stream_t *)&conn->tcp, on_alloc, on_read);
}

/* Connecting. */

/* The caller withheld the request; the connection can be reused. */
static void
conn_withheld (net_conn_t *conn)
{
  net_exchange_t *ex = conn->exchange;

  ex->conn = NULL;
  conn->exchange = NULL;
  conn->keep = NET_IDLE_DEFAULT;
  conn_make_idle (conn);
  net_exchange_end (ex, NET_WITHHELD);
}

/** Send an exchange's request on an established connection. */
void
net_conn_begin (net_conn_t *conn, net_exchange_t *ex)
{
  conn->exchange = ex;
  ex->conn = conn;
  ex->conn_number = conn->number;
  ex->carried = conn->sent++;
  conn_remember (conn, ex->id);
  http_parser_init (&conn->parser, HTTP_RESPONSE);
  conn->parser.data = conn;
  conn_write (conn, ex);
}

static void
conn_connect_timeout (void *arg, el_time_t now)
{
  net_conn_t *conn = arg;

  (void)now;
  if (conn->exchange)
    net_exchange_fail (conn->exchange, NET_CONNECT_FAILED);
}

static void
on_connect (uv_connect_t *req, int status)
{
  net_conn_t *conn = req->data;
  unsigned limit = USER_TIMEOUT_MS;
  uv_os_fd_t fd;

  if (conn->closing)
    return;
  net_clock_cancel (conn->client->clock, &conn->idle);
  if (status)
    {
      net_exchange_fail (conn->exchange,
                         status == UV_ECONNREFUSED || status == UV_ECONNRESET
                             ? NET_CONNECT_REFUSED
                             : NET_CONNECT_FAILED);
      return;
    }
  uv_tcp_nodelay (&conn->tcp, 1);
  if (uv_fileno ((uv_handle_t *)&conn->tcp, &fd) == 0)
    setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof limit);
  uv_read_start ((uv_stream_t *)&conn->tcp, on_alloc, on_read);
  if (conn->exchange->allow && !conn->exchange->allow (conn->exchange->arg))
    conn_withheld (conn);
  else
    net_conn_begin (conn, conn->exchange);
}

/* Idle connections give way to others before the process has no descriptors
   left. */
static void
client_make_room (net_client_t *client)
{
  const el_account_t *account = client->account;

  while (client->idle
         && account->conns
                >= account->conns_max - account->conns_max / FREE_CONNS_PART)
    {
      client->counts.evicted++;
      net_conn_close (client->idle);
    }
}

/** Open a connection for an exchange, which is sent once it is established. */
void
net_conn_open (net_pool_t *pool, net_exchange_t *ex)
{
  net_client_t *client = ex->client;
  net_conn_t *conn = el_alloc (sizeof *conn);
  int rc;

  conn->client = client;
  conn->pool = pool;
  conn->exchange = ex;
  ex->conn = conn;
  conn->number = ++client->counts.opened;
  if (client->account)
    {
      client_make_room (client);
      el_account_conn_add (client->account, EL_CONN_OWN);
    }
  uv_tcp_init (client->clock->loop, &conn->tcp);
  conn->tcp.data = conn;
  conn->connect.data = conn;
  conn->idle.arg = conn;
  conn->idle.cb = conn_connect_timeout;
  rc = uv_tcp_connect (&conn->connect, &conn->tcp,
                       (struct sockaddr *)&pool->addr, on_connect);
  if (rc == 0)
    {
      net_clock_set (client->clock, &conn->idle, CONNECT_TIMEOUT);
      return;
    }
  net_exchange_fail_connect (ex);
}
