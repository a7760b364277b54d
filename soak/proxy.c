/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * A loopback proxy whose links can be delayed, held in one or both directions,
 * and reset. Held bytes are delivered when the fault ends, as after a network
 * partition.
 */
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include <uv.h>

#include "map.h"
#include "net.h"
#include "soak.h"

#define BACKLOG 128
#define FLUSH_INTERVAL_MS 5
#define READ_BUFFER_BYTES 65536

typedef struct px_chunk
{
  uv_write_t req;
  el_buf_t bytes;
  el_time_t due;
  struct px_chunk *next;
} px_chunk_t;

typedef struct px_conn px_conn_t;

/* One socket of a connection, and the bytes that wait to be written to it. */
typedef struct px_socket
{
  uv_tcp_t tcp;
  px_conn_t *conn;
  sk_direction_t direction; /* of the bytes written to it */
  px_chunk_t *queue;
  int eof; /* no more bytes will be queued */
  int shutdown_sent;
  int connected;
} px_socket_t;

typedef struct px_link
{
  sk_proxy_t *proxy;
  uv_tcp_t listener;
  struct sockaddr_in listen;
  struct sockaddr_in target;
  /* set by other threads */
  atomic_int held[2];
  atomic_uint delay_ms;
  atomic_int reset;
} px_link_t;

struct px_conn
{
  px_link_t *link;
  px_socket_t socket[2]; /* by the direction of the bytes written to it */
  uv_connect_t connect;
  int handles;
  int closing;
  px_conn_t *prev;
  px_conn_t *next;
};

struct sk_proxy
{
  uv_loop_t loop;
  pthread_t thread;
  uv_timer_t flush_timer;
  px_link_t links[SK_LINKS];
  px_conn_t *conns;
  atomic_int stop; /* set by another thread */
};

static void
on_closed (uv_handle_t *handle)
{
  px_socket_t *socket = handle->data;
  px_conn_t *conn = socket->conn;
  px_chunk_t *chunk;

  while ((chunk = socket->queue))
    {
      LL_DELETE (socket->queue, chunk);
      el_buf_free (&chunk->bytes);
      free (chunk);
    }
  if (--conn->handles == 0)
    free (conn);
}

/* Close both sockets; with RESET the peers see a reset. */
static void
conn_close (px_conn_t *conn, int reset)
{
  unsigned w;

  if (conn->closing)
    return;
  conn->closing = 1;
  DL_DELETE (conn->link->proxy->conns, conn);
  for (w = 0; w < 2; w++)
    if (!reset || uv_tcp_close_reset (&conn->socket[w].tcp, on_closed))
      uv_close ((uv_handle_t *)&conn->socket[w].tcp, on_closed);
}

static void
on_written (uv_write_t *req, int status)
{
  px_chunk_t *chunk = (px_chunk_t *)req;

  (void)status;
  el_buf_free (&chunk->bytes);
  free (chunk);
}

static void
on_shutdown (uv_shutdown_t *req, int status)
{
  (void)status;
  free (req);
}

/* Write the bytes that are due to one socket. */
static void
socket_flush (px_socket_t *socket, el_time_t now)
{
  const px_link_t *link = socket->conn->link;
  px_chunk_t *chunk;
  uv_buf_t buf;

  if (!socket->connected || link->held[socket->direction])
    return;
  while ((chunk = socket->queue) && chunk->due <= now)
    {
      LL_DELETE (socket->queue, chunk);
      buf = uv_buf_init (chunk->bytes.ptr, (unsigned)chunk->bytes.len);
      uv_write (&chunk->req, (uv_stream_t *)&socket->tcp, &buf, 1, on_written);
    }
  if (socket->eof && !socket->queue && !socket->shutdown_sent)
    {
      socket->shutdown_sent = 1;
      uv_shutdown (el_alloc (sizeof (uv_shutdown_t)),
                   (uv_stream_t *)&socket->tcp, on_shutdown);
    }
}

static void
on_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
  static char buffer[READ_BUFFER_BYTES];

  (void)handle;
  (void)suggested;
  *buf = uv_buf_init (buffer, sizeof buffer);
}

static void
on_read (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  px_socket_t *from = stream->data;
  px_conn_t *conn = from->conn;
  px_socket_t *to
      = &conn->socket[from->direction == SK_UPSTREAM ? SK_DOWNSTREAM
                                                     : SK_UPSTREAM];
  el_time_t now = sk_now ();
  px_chunk_t *chunk;

  if (n == 0 || conn->closing)
    return;
  if (n < 0 && n != UV_EOF)
    {
      conn_close (conn, 1);
      return;
    }
  if (n > 0)
    {
      chunk = el_alloc (sizeof *chunk);
      el_buf_add (&chunk->bytes, (el_str_t){ buf->base, (size_t)n });
      chunk->due = now + conn->link->delay_ms * EL_MSEC;
      LL_APPEND (to->queue, chunk);
    }
  else
    to->eof = 1;
  socket_flush (to, now);
}

static void
on_connect (uv_connect_t *req, int status)
{
  px_conn_t *conn = req->data;
  px_socket_t *up = &conn->socket[SK_UPSTREAM];

  if (conn->closing)
    return;
  if (status)
    {
      conn_close (conn, 1);
      return;
    }
  up->connected = 1;
  uv_tcp_nodelay (&up->tcp, 1);
  uv_read_start ((uv_stream_t *)&up->tcp, on_alloc, on_read);
  socket_flush (up, sk_now ());
}

static void
on_connection (uv_stream_t *listener, int status)
{
  px_link_t *link = listener->data;
  px_conn_t *conn;
  unsigned w;

  if (status)
    return;
  conn = el_alloc (sizeof *conn);
  conn->link = link;
  conn->handles = 2;
  DL_APPEND (link->proxy->conns, conn);
  for (w = 0; w < 2; w++)
    {
      conn->socket[w].conn = conn;
      conn->socket[w].direction = (sk_direction_t)w;
      uv_tcp_init (&link->proxy->loop, &conn->socket[w].tcp);
      conn->socket[w].tcp.data = &conn->socket[w];
    }
  uv_accept (listener, (uv_stream_t *)&conn->socket[SK_DOWNSTREAM].tcp);
  conn->socket[SK_DOWNSTREAM].connected = 1;
  uv_tcp_nodelay (&conn->socket[SK_DOWNSTREAM].tcp, 1);
  uv_read_start ((uv_stream_t *)&conn->socket[SK_DOWNSTREAM].tcp, on_alloc,
                 on_read);
  conn->connect.data = conn;
  if (uv_tcp_connect (&conn->connect, &conn->socket[SK_UPSTREAM].tcp,
                      (struct sockaddr *)&link->target, on_connect))
    conn_close (conn, 1);
}

/* Carry out what other threads requested, and write what is due. */
static void
on_flush (uv_timer_t *timer)
{
  sk_proxy_t *proxy = timer->data;
  el_time_t now = sk_now ();
  px_conn_t *conn;
  px_conn_t *next;
  unsigned i;

  DL_FOREACH_SAFE (proxy->conns, conn, next)
  {
    if (conn->link->reset)
      {
        conn_close (conn, 1);
        continue;
      }
    socket_flush (&conn->socket[SK_UPSTREAM], now);
    socket_flush (&conn->socket[SK_DOWNSTREAM], now);
    if (conn->socket[SK_UPSTREAM].shutdown_sent
        && conn->socket[SK_DOWNSTREAM].shutdown_sent)
      conn_close (conn, 0);
  }
  for (i = 0; i < SK_LINKS; i++)
    proxy->links[i].reset = 0;
  if (proxy->stop)
    uv_stop (&proxy->loop);
}

/** Create a proxy without links. */
sk_proxy_t *
sk_proxy_new (void)
{
  sk_proxy_t *proxy = el_alloc (sizeof *proxy);

  uv_loop_init (&proxy->loop);
  uv_timer_init (&proxy->loop, &proxy->flush_timer);
  proxy->flush_timer.data = proxy;
  return proxy;
}

/** Add LINK: connections to LISTEN are forwarded to TARGET. */
void
sk_proxy_add (sk_proxy_t *proxy, unsigned link, const char *listen,
              const char *target)
{
  px_link_t *l = &proxy->links[link];

  l->proxy = proxy;
  net_address_parse (el_str (listen), &l->listen);
  net_address_parse (el_str (target), &l->target);
  uv_tcp_init (&proxy->loop, &l->listener);
  l->listener.data = l;
  if (uv_tcp_bind (&l->listener, (struct sockaddr *)&l->listen, 0)
      || uv_listen ((uv_stream_t *)&l->listener, BACKLOG, on_connection))
    abort ();
}

static void *
proxy_run (void *arg)
{
  sk_proxy_t *proxy = arg;

  uv_run (&proxy->loop, UV_RUN_DEFAULT);
  return NULL;
}

/** Start the thread that forwards bytes. */
void
sk_proxy_start (sk_proxy_t *proxy)
{
  uv_timer_start (&proxy->flush_timer, on_flush, FLUSH_INTERVAL_MS,
                  FLUSH_INTERVAL_MS);
  pthread_create (&proxy->thread, NULL, proxy_run, proxy);
}

/** Hold the bytes of one direction of a link, or release them. */
void
sk_proxy_hold (sk_proxy_t *proxy, unsigned link, sk_direction_t direction,
               int on)
{
  proxy->links[link].held[direction] = on;
}

/** Delay bytes on a link by MS milliseconds. */
void
sk_proxy_delay (sk_proxy_t *proxy, unsigned link, unsigned ms)
{
  proxy->links[link].delay_ms = ms;
}

/** Reset all connections of a link. */
void
sk_proxy_reset (sk_proxy_t *proxy, unsigned link)
{
  proxy->links[link].reset = 1;
}

/** Stop the thread, close all connections and free the proxy. */
void
sk_proxy_free (sk_proxy_t *proxy)
{
  unsigned i;

  proxy->stop = 1;
  pthread_join (proxy->thread, NULL);
  while (proxy->conns)
    conn_close (proxy->conns, 0);
  for (i = 0; i < SK_LINKS; i++)
    uv_close ((uv_handle_t *)&proxy->links[i].listener, NULL);
  uv_close ((uv_handle_t *)&proxy->flush_timer, NULL);
  uv_run (&proxy->loop, UV_RUN_DEFAULT);
  uv_loop_close (&proxy->loop);
  free (proxy);
}
