/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The HTTP/1.1 client: kept connections for each address, answers whole or
 * piece by piece. It never sends a request twice, and tells a connection that
 * was not made from one that broke and from one that ended.
 */
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>

#include <http_parser.h>

#include "map.h"
#include "net.h"

#define ADDRESS_MAX 32
#define ANSWER_MAX ((size_t)16 << 20)
#define READ_BYTES 65536
/* Time for a connection to come up: an address that is gone says nothing. */
#define CONNECT_LIMIT (1 * EL_SEC)
/* How long the kernel waits for the peer to take what was sent. */
#define UNTAKEN_LIMIT_MS 2000
/* A timer that fires later than this was held up with the process. */
#define LATE (5 * EL_MSEC)
/* Kept for this long when the endpoint does not say how long it keeps; one
   that names no whole second may close at any moment. */
#define IDLE_UNSAID (500 * EL_MSEC)
#define IDLE_MOST (20 * EL_SEC)
/* A connection is left this long before the endpoint closes it. */
#define IDLE_MARGIN (400 * EL_MSEC)

typedef struct client_conn client_conn_t;
typedef struct client_pool client_pool_t;

/* One connection; its exchange is NULL while it is idle or closing. */
struct client_conn
{
  uv_tcp_t tcp;
  uv_connect_t connect;
  net_client_t *client;
  client_pool_t *pool;
  net_exchange_t *exchange;
  http_parser parser;
  el_timer_t idle;
  el_time_t idle_since;
  el_time_t keep; /* idle time that the endpoint grants */
  unsigned writing;
  int resting; /* in the pool's list */
  int closing;
  client_conn_t *prev;
  client_conn_t *next;
};

struct client_pool
{
  char address[ADDRESS_MAX];
  struct sockaddr_in addr;
  client_conn_t *idle; /* the one used last comes first */
  UT_hash_handle hh;
};

struct net_client
{
  net_clock_t *clock;
  client_pool_t *pools;
  net_exchange_t *open;
  net_client_counts_t counts;
  char read[READ_BYTES];
};

struct net_exchange
{
  net_client_t *client;
  client_conn_t *conn;
  net_result_cb done;
  net_head_cb head;
  net_piece_cb piece;
  void (*drop) (void *arg);
  void *arg;
  size_t max_answer;
  int is_head;
  int sent;
  int begun; /* the head of the answer was handed on */
  int whole;
  int late; /* its time was over while the process was held up */
  int status;
  el_buf_t request;
  net_header_t *headers;
  size_t nheaders;
  int in_value; /* the last part of the head was a header's value */
  el_buf_t name;
  el_buf_t value;
  el_buf_t body;
  el_timer_t timer;
  net_exchange_t *prev;
  net_exchange_t *next;
};

typedef struct client_write
{
  uv_write_t req;
  client_conn_t *conn;
  el_buf_t bytes;
} client_write_t;

static int on_message_begin (http_parser *parser);
static int on_header_field (http_parser *parser, const char *at, size_t len);
static int on_header_value (http_parser *parser, const char *at, size_t len);
static int on_headers_complete (http_parser *parser);
static int on_body (http_parser *parser, const char *at, size_t len);
static int on_message_complete (http_parser *parser);
static void conn_idle_over (void *arg, el_time_t now);

static const http_parser_settings parser_settings = {
  .on_message_begin = on_message_begin,
  .on_header_field = on_header_field,
  .on_header_value = on_header_value,
  .on_headers_complete = on_headers_complete,
  .on_body = on_body,
  .on_message_complete = on_message_complete,
};

net_client_t *
net_client_new (net_clock_t *clock)
{
  net_client_t *client = el_alloc (sizeof *client);

  client->clock = clock;
  return client;
}

/** What the client counted so far. */
const net_client_counts_t *
net_client_counts (const net_client_t *client)
{
  return &client->counts;
}

/* Connections. */

static void
conn_closed (uv_handle_t *handle)
{
  free (handle->data);
}

static void
conn_close (client_conn_t *conn)
{
  if (conn->closing)
    return;
  conn->closing = 1;
  if (conn->resting)
    DL_DELETE (conn->pool->idle, conn);
  net_clock_cancel (conn->client->clock, &conn->idle);
  conn->exchange = NULL;
  uv_close ((uv_handle_t *)&conn->tcp, conn_closed);
}

static void
conn_idle_over (void *arg, el_time_t now)
{
  (void)now;
  conn_close (arg);
}

static void
headers_free (net_exchange_t *ex)
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
}

static void
exchange_free (net_exchange_t *ex)
{
  net_clock_cancel (ex->client->clock, &ex->timer);
  DL_DELETE (ex->client->open, ex);
  headers_free (ex);
  el_buf_free (&ex->request);
  el_buf_free (&ex->name);
  el_buf_free (&ex->value);
  el_buf_free (&ex->body);
  free (ex);
}

/* End an exchange; its connection is either closed or already idle. */
static void
exchange_end (net_exchange_t *ex, net_outcome_t net)
{
  net_result_t result = { .net = net,
                          .status = ex->status,
                          .headers = ex->headers,
                          .nheaders = ex->nheaders,
                          .body = el_buf_str (&ex->body) };

  result.verdict = net == NET_OK ? EL_RAN
                   : ex->sent    ? EL_MAY_HAVE_RUN
                                 : EL_NOT_RUN;
  ex->done (ex->arg, &result);
  exchange_free (ex);
}

static void
exchange_fail (net_exchange_t *ex, net_outcome_t net)
{
  client_conn_t *conn = ex->conn;

  ex->conn = NULL;
  if (conn)
    conn_close (conn);
  exchange_end (ex, net);
}

/* A process that was held up runs its timers before it reads what came
   meanwhile: the answer may be there. */
static void
exchange_timeout (void *arg, el_time_t now)
{
  net_exchange_t *ex = arg;

  if (now > ex->timer.due + LATE && !ex->late)
    {
      ex->late = 1;
      net_clock_set (ex->client->clock, &ex->timer, LATE);
      return;
    }
  exchange_fail (ex, NET_TIMEOUT);
}

static void
exchange_refused (void *arg, el_time_t now)
{
  (void)now;
  exchange_fail (arg, NET_CONNECT);
}

static void
conn_connect_over (void *arg, el_time_t now)
{
  client_conn_t *conn = arg;

  (void)now;
  if (conn->exchange)
    exchange_fail (conn->exchange, NET_CONNECT);
}

/* Writing. */

static void
conn_written (uv_write_t *req, int status)
{
  client_write_t *write = (client_write_t *)req;
  client_conn_t *conn = write->conn;

  conn->writing--;
  el_buf_free (&write->bytes);
  free (write);
  if (status && !conn->closing && conn->exchange)
    exchange_fail (conn->exchange, NET_BROKEN);
}

static void
conn_write (client_conn_t *conn, net_exchange_t *ex)
{
  uv_buf_t buf = uv_buf_init (ex->request.ptr, (unsigned)ex->request.len);
  client_write_t *write;
  int n;

  ex->sent = 1;
  n = uv_try_write ((uv_stream_t *)&conn->tcp, &buf, 1);
  if (n == (int)ex->request.len)
    return;
  write = el_alloc (sizeof *write);
  write->conn = conn;
  el_buf_add (&write->bytes,
              el_str_after (el_buf_str (&ex->request), n > 0 ? (size_t)n : 0));
  buf = uv_buf_init (write->bytes.ptr, (unsigned)write->bytes.len);
  conn->writing++;
  uv_write (&write->req, (uv_stream_t *)&conn->tcp, &buf, 1, conn_written);
}

/* Reading. */

static int
on_message_begin (http_parser *parser)
{
  client_conn_t *conn = parser->data;

  if (!conn->exchange)
    return -1;
  headers_free (conn->exchange);
  conn->exchange->in_value = 0;
  el_buf_reset (&conn->exchange->name);
  el_buf_reset (&conn->exchange->value);
  return 0;
}

static void
header_take (net_exchange_t *ex)
{
  net_header_t *header;

  if (!ex->in_value)
    return;
  ex->headers = el_grow (ex->headers, ex->nheaders + 1, sizeof *ex->headers);
  header = &ex->headers[ex->nheaders++];
  header->name = el_str_dup (el_buf_str (&ex->name));
  header->value = el_str_dup (el_buf_str (&ex->value));
  el_buf_reset (&ex->name);
  el_buf_reset (&ex->value);
  ex->in_value = 0;
}

static int
on_header_field (http_parser *parser, const char *at, size_t len)
{
  net_exchange_t *ex = ((client_conn_t *)parser->data)->exchange;

  header_take (ex);
  el_buf_add (&ex->name, (el_str_t){ at, len });
  return 0;
}

static int
on_header_value (http_parser *parser, const char *at, size_t len)
{
  net_exchange_t *ex = ((client_conn_t *)parser->data)->exchange;

  ex->in_value = 1;
  el_buf_add (&ex->value, (el_str_t){ at, len });
  return 0;
}

/* How long the endpoint keeps a connection, from "timeout=SECONDS". */
static el_time_t
keep_read (el_str_t value)
{
  el_str_t part;
  uint64_t seconds;
  el_time_t keep;

  while (value.len)
    {
      part = el_str_cut (&value, ',');
      while (part.len && *part.ptr == ' ')
        part = el_str_after (part, 1);
      if (!el_str_starts (part, EL_STR ("timeout=")))
        continue;
      if (!el_str_to_u64 (el_str_after (part, 8), &seconds))
        break;
      keep = seconds * EL_SEC;
      if (keep > IDLE_MOST)
        keep = IDLE_MOST;
      return keep > IDLE_MARGIN ? keep - IDLE_MARGIN : 0;
    }
  return IDLE_UNSAID;
}

static int
on_headers_complete (http_parser *parser)
{
  client_conn_t *conn = parser->data;
  net_exchange_t *ex = conn->exchange;
  net_result_t result;

  header_take (ex);
  ex->status = (int)parser->status_code;
  if (ex->status < 200)
    return 0;
  result = (net_result_t){ .status = ex->status,
                           .headers = ex->headers,
                           .nheaders = ex->nheaders };
  conn->keep = keep_read (net_result_header (&result, "keep-alive"));
  ex->begun = 1;
  if (ex->head)
    ex->head (ex->arg, &result);
  if (conn->exchange != ex)
    return -1;
  return ex->is_head ? 1 : 0;
}

static int
on_body (http_parser *parser, const char *at, size_t len)
{
  client_conn_t *conn = parser->data;
  net_exchange_t *ex = conn->exchange;

  if (ex->piece)
    {
      ex->piece (ex->arg, (el_str_t){ at, len });
      return conn->exchange == ex ? 0 : -1;
    }
  if (ex->body.len + len > ex->max_answer)
    {
      exchange_fail (ex, NET_TOO_BIG);
      return -1;
    }
  el_buf_add (&ex->body, (el_str_t){ at, len });
  return 0;
}

static int
on_message_complete (http_parser *parser)
{
  client_conn_t *conn = parser->data;

  if (conn->exchange->begun)
    {
      conn->exchange->whole = 1;
      http_parser_pause (parser, 1);
    }
  return 0;
}

static void
conn_rest (client_conn_t *conn)
{
  if (conn->keep == 0)
    {
      conn_close (conn);
      return;
    }
  conn->idle_since = net_clock_now (conn->client->clock);
  conn->idle.cb = conn_idle_over;
  conn->resting = 1;
  DL_PREPEND (conn->pool->idle, conn);
  net_clock_set (conn->client->clock, &conn->idle, conn->keep);
}

/* The whole answer is there. Bytes behind it, or a request that is not
   wholly sent, make the connection useless for another. */
static void
conn_answered (client_conn_t *conn, int surplus)
{
  net_exchange_t *ex = conn->exchange;
  int keep = http_should_keep_alive (&conn->parser);

  ex->conn = NULL;
  conn->exchange = NULL;
  if (surplus)
    conn->client->counts.surplus++;
  if (surplus || !keep || conn->writing)
    conn_close (conn);
  else
    conn_rest (conn);
  exchange_end (ex, NET_OK);
}

static void
conn_parse (client_conn_t *conn, const char *bytes, size_t len)
{
  size_t used;

  used = http_parser_execute (&conn->parser, &parser_settings, bytes, len);
  if (conn->closing || !conn->exchange)
    return;
  if (conn->exchange->whole)
    conn_answered (conn, used < len);
  else if (HTTP_PARSER_ERRNO (&conn->parser) != HPE_OK)
    exchange_fail (conn->exchange, NET_BROKEN);
}

/* libuv reports an end where data and a reset arrive together: it does not
   read the error then. An answer without length that was reset is not whole.
 */
static int
conn_ended_well (client_conn_t *conn)
{
  uv_os_fd_t fd;
  char byte;

  return uv_fileno ((uv_handle_t *)&conn->tcp, &fd) == 0
         && recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static void
on_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
  client_conn_t *conn = handle->data;

  (void)suggested;
  *buf = uv_buf_init (conn->client->read, READ_BYTES);
}

static void
on_read (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  client_conn_t *conn = stream->data;

  if (n == 0 || conn->closing)
    return;
  if (!conn->exchange)
    {
      if (n > 0)
        conn->client->counts.surplus++;
      conn_close (conn);
      return;
    }
  if (n > 0)
    conn_parse (conn, buf->base, (size_t)n);
  else if (n == UV_EOF && conn->exchange->begun && conn_ended_well (conn))
    {
      /* The end of the connection may be the end of the answer. */
      conn->keep = 0;
      conn_parse (conn, NULL, 0);
      if (!conn->closing && conn->exchange)
        exchange_fail (conn->exchange, NET_BROKEN);
    }
  else
    exchange_fail (conn->exchange, NET_BROKEN);
}

/* Connecting. */

static void
conn_begin (client_conn_t *conn, net_exchange_t *ex)
{
  conn->exchange = ex;
  ex->conn = conn;
  http_parser_init (&conn->parser, HTTP_RESPONSE);
  conn->parser.data = conn;
  conn_write (conn, ex);
}

static void
on_connect (uv_connect_t *req, int status)
{
  client_conn_t *conn = req->data;
  unsigned limit = UNTAKEN_LIMIT_MS;
  uv_os_fd_t fd;

  if (conn->closing)
    return;
  net_clock_cancel (conn->client->clock, &conn->idle);
  if (status)
    {
      exchange_fail (conn->exchange, NET_CONNECT);
      return;
    }
  uv_tcp_nodelay (&conn->tcp, 1);
  if (uv_fileno ((uv_handle_t *)&conn->tcp, &fd) == 0)
    setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof limit);
  uv_read_start ((uv_stream_t *)&conn->tcp, on_alloc, on_read);
  conn_begin (conn, conn->exchange);
}

static void
conn_open (client_pool_t *pool, net_exchange_t *ex)
{
  net_client_t *client = ex->client;
  client_conn_t *conn = el_alloc (sizeof *conn);
  int rc;

  conn->client = client;
  conn->pool = pool;
  conn->exchange = ex;
  ex->conn = conn;
  client->counts.opened++;
  uv_tcp_init (client->clock->loop, &conn->tcp);
  conn->tcp.data = conn;
  conn->connect.data = conn;
  conn->idle.arg = conn;
  conn->idle.cb = conn_connect_over;
  rc = uv_tcp_connect (&conn->connect, &conn->tcp,
                       (struct sockaddr *)&pool->addr, on_connect);
  if (rc == 0)
    {
      net_clock_set (client->clock, &conn->idle, CONNECT_LIMIT);
      return;
    }
  ex->timer.cb = exchange_refused;
  net_clock_set (client->clock, &ex->timer, 0);
}

static client_pool_t *
pool_get (net_client_t *client, el_str_t address)
{
  struct sockaddr_in addr;
  client_pool_t *pool;

  HASH_FIND (hh, client->pools, address.ptr, (unsigned)address.len, pool);
  if (pool)
    return pool;
  if (!net_address_parse (address, &addr) || address.len >= ADDRESS_MAX)
    return NULL;
  pool = el_alloc (sizeof *pool);
  memcpy (pool->address, address.ptr, address.len);
  pool->addr = addr;
  HASH_ADD_KEYPTR (hh, client->pools, pool->address, (unsigned)address.len,
                   pool);
  return pool;
}

/* The connection used last, unless it rested too long for this request. */
static client_conn_t *
pool_take (client_pool_t *pool, const net_send_t *send, el_time_t now)
{
  client_conn_t *conn = pool->idle;

  if (!conn || send->fresh)
    return NULL;
  if (send->max_idle && now - conn->idle_since > send->max_idle)
    return NULL;
  DL_DELETE (pool->idle, conn);
  conn->resting = 0;
  net_clock_cancel (conn->client->clock, &conn->idle);
  return conn;
}

static void
request_write (el_buf_t *out, const net_send_t *send)
{
  size_t i;

  el_buf_add (out, send->method);
  el_buf_add (out, EL_STR (" "));
  el_buf_add (out, send->path);
  el_buf_add (out, EL_STR (" HTTP/1.1\r\nhost: "));
  el_buf_add (out, send->host.len ? send->host : send->address);
  for (i = 0; i < send->nheaders; i++)
    {
      el_buf_add (out, EL_STR ("\r\n"));
      el_buf_add (out, send->headers[i].name);
      el_buf_add (out, EL_STR (": "));
      el_buf_add (out, send->headers[i].value);
    }
  if (send->body.len || !el_str_eq (send->method, EL_STR ("GET")))
    el_buf_printf (out, "\r\ncontent-length: %zu", send->body.len);
  el_buf_add (out, EL_STR ("\r\n\r\n"));
  el_buf_add (out, send->body);
}

/** Send one request. */
net_exchange_t *
net_client_send (net_client_t *client, const net_send_t *send)
{
  net_exchange_t *ex = el_alloc (sizeof *ex);
  client_pool_t *pool = pool_get (client, send->address);
  client_conn_t *conn;

  ex->client = client;
  DL_PREPEND (client->open, ex);
  ex->done = send->done;
  ex->head = send->head;
  ex->piece = send->piece;
  ex->drop = send->drop;
  ex->arg = send->arg;
  ex->max_answer = send->max_answer ? send->max_answer : ANSWER_MAX;
  ex->is_head = el_str_eq (send->method, EL_STR ("HEAD"));
  request_write (&ex->request, send);
  ex->timer.arg = ex;
  ex->timer.cb = exchange_timeout;
  client->counts.requests++;
  if (!pool)
    {
      ex->timer.cb = exchange_refused;
      net_clock_set (client->clock, &ex->timer, 0);
      return ex;
    }
  if (send->timeout)
    net_clock_set (client->clock, &ex->timer, send->timeout);
  conn = pool_take (pool, send, net_clock_now (client->clock));
  if (conn)
    conn_begin (conn, ex);
  else
    conn_open (pool, ex);
  return ex;
}

/** Forget an exchange; its callbacks are not called any more, and what it
    began at the endpoint is broken off. */
void
net_client_cancel (net_exchange_t *ex)
{
  client_conn_t *conn = ex->conn;

  ex->conn = NULL;
  if (conn)
    conn_close (conn);
  if (ex->drop)
    ex->drop (ex->arg);
  exchange_free (ex);
}

/** The value of an answer's header, NAME in lower case; empty without. */
el_str_t
net_result_header (const net_result_t *result, const char *name)
{
  size_t len = strlen (name);
  size_t i;

  for (i = 0; i < result->nheaders; i++)
    if (h2o_lcstris (result->headers[i].name.ptr, result->headers[i].name.len,
                     name, len))
      return result->headers[i].value;
  return (el_str_t){ NULL, 0 };
}
