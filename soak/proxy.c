/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * A loopback proxy whose links are delayed, held one way or both, and reset.
 * What is held goes on when the fault ends, as after a partition.
 */
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include <uv.h>

#include "map.h"
#include "net.h"
#include "soak.h"

#define BACKLOG 128
#define PUMP_MS 5
#define CHUNK 65536

typedef struct px_piece
{
  uv_write_t req;
  el_buf_t bytes;
  el_time_t due;
  struct px_piece *next;
} px_piece_t;

typedef struct px_conn px_conn_t;

/* One end of a connection, and what waits to be written to it. */
typedef struct px_end
{
  uv_tcp_t tcp;
  px_conn_t *conn;
  sk_way_t way; /* of the bytes that are written to it */
  px_piece_t *queue;
  int ended; /* nothing more comes to be written */
  int shut;
  int open;
} px_end_t;

typedef struct px_link
{
  sk_proxy_t *proxy;
  uv_tcp_t listener;
  struct sockaddr_in listen;
  struct sockaddr_in target;
  /* set by other threads */
  atomic_int hold[2];
  atomic_uint delay_ms;
  atomic_int reset;
} px_link_t;

struct px_conn
{
  px_link_t *link;
  px_end_t end[2]; /* by the way of what is written to it */
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
  uv_timer_t pump;
  px_link_t links[SK_LINKS];
  px_conn_t *conns;
  atomic_int stop; /* set by another thread */
};

static void
end_closed (uv_handle_t *handle)
{
  px_end_t *end = handle->data;
  px_conn_t *conn = end->conn;
  px_piece_t *piece;

  while ((piece = end->queue))
    {
      LL_DELETE (end->queue, piece);
      el_buf_free (&piece->bytes);
      free (piece);
    }
  if (--conn->handles == 0)
    free (conn);
}

/* End both sides; with RESET the peers see a reset. */
static void
conn_close (px_conn_t *conn, int reset)
{
  unsigned w;

  if (conn->closing)
    return;
  conn->closing = 1;
  DL_DELETE (conn->link->proxy->conns, conn);
  for (w = 0; w < 2; w++)
    if (!reset || uv_tcp_close_reset (&conn->end[w].tcp, end_closed))
      uv_close ((uv_handle_t *)&conn->end[w].tcp, end_closed);
}

static void
piece_written (uv_write_t *req, int status)
{
  px_piece_t *piece = (px_piece_t *)req;

  (void)status;
  el_buf_free (&piece->bytes);
  free (piece);
}

static void
end_shut (uv_shutdown_t *req, int status)
{
  (void)status;
  free (req);
}

/* Write what is due to one end. */
static void
end_pump (px_end_t *end, el_time_t now)
{
  const px_link_t *link = end->conn->link;
  px_piece_t *piece;
  uv_buf_t buf;

  if (!end->open || link->hold[end->way])
    return;
  while ((piece = end->queue) && piece->due <= now)
    {
      LL_DELETE (end->queue, piece);
      buf = uv_buf_init (piece->bytes.ptr, (unsigned)piece->bytes.len);
      uv_write (&piece->req, (uv_stream_t *)&end->tcp, &buf, 1, piece_written);
    }
  if (end->ended && !end->queue && !end->shut)
    {
      end->shut = 1;
      uv_shutdown (el_alloc (sizeof (uv_shutdown_t)), (uv_stream_t *)&end->tcp,
                   end_shut);
    }
}

static void
on_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
  static char chunk[CHUNK];

  (void)handle;
  (void)suggested;
  *buf = uv_buf_init (chunk, sizeof chunk);
}

static void
on_read (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  px_end_t *from = stream->data;
  px_conn_t *conn = from->conn;
  px_end_t *to = &conn->end[from->way == SK_UP ? SK_DOWN : SK_UP];
  el_time_t now = sk_now ();
  px_piece_t *piece;

  if (n == 0 || conn->closing)
    return;
  if (n < 0 && n != UV_EOF)
    {
      conn_close (conn, 1);
      return;
    }
  if (n > 0)
    {
      piece = el_alloc (sizeof *piece);
      el_buf_add (&piece->bytes, (el_str_t){ buf->base, (size_t)n });
      piece->due = now + conn->link->delay_ms * EL_MSEC;
      LL_APPEND (to->queue, piece);
    }
  else
    to->ended = 1;
  end_pump (to, now);
}

static void
on_connect (uv_connect_t *req, int status)
{
  px_conn_t *conn = req->data;
  px_end_t *up = &conn->end[SK_UP];

  if (conn->closing)
    return;
  if (status)
    {
      conn_close (conn, 1);
      return;
    }
  up->open = 1;
  uv_tcp_nodelay (&up->tcp, 1);
  uv_read_start ((uv_stream_t *)&up->tcp, on_alloc, on_read);
  end_pump (up, sk_now ());
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
      conn->end[w].conn = conn;
      conn->end[w].way = (sk_way_t)w;
      uv_tcp_init (&link->proxy->loop, &conn->end[w].tcp);
      conn->end[w].tcp.data = &conn->end[w];
    }
  uv_accept (listener, (uv_stream_t *)&conn->end[SK_DOWN].tcp);
  conn->end[SK_DOWN].open = 1;
  uv_tcp_nodelay (&conn->end[SK_DOWN].tcp, 1);
  uv_read_start ((uv_stream_t *)&conn->end[SK_DOWN].tcp, on_alloc, on_read);
  conn->connect.data = conn;
  if (uv_tcp_connect (&conn->connect, &conn->end[SK_UP].tcp,
                      (struct sockaddr *)&link->target, on_connect))
    conn_close (conn, 1);
}

/* What other threads asked for, and what is due. */
static void
on_pump (uv_timer_t *timer)
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
    end_pump (&conn->end[SK_UP], now);
    end_pump (&conn->end[SK_DOWN], now);
    if (conn->end[SK_UP].shut && conn->end[SK_DOWN].shut)
      conn_close (conn, 0);
  }
  for (i = 0; i < SK_LINKS; i++)
    proxy->links[i].reset = 0;
  if (proxy->stop)
    uv_stop (&proxy->loop);
}

/** A proxy without links. */
sk_proxy_t *
sk_proxy_new (void)
{
  sk_proxy_t *proxy = el_alloc (sizeof *proxy);

  uv_loop_init (&proxy->loop);
  uv_timer_init (&proxy->loop, &proxy->pump);
  proxy->pump.data = proxy;
  return proxy;
}

/** Stand in LINK: what connects to LISTEN reaches TARGET. */
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

/** Begin to pass bytes on. */
void
sk_proxy_start (sk_proxy_t *proxy)
{
  uv_timer_start (&proxy->pump, on_pump, PUMP_MS, PUMP_MS);
  pthread_create (&proxy->thread, NULL, proxy_run, proxy);
}

/** Hold what goes one way over a link, or let it go on. */
void
sk_proxy_hold (sk_proxy_t *proxy, unsigned link, sk_way_t way, int on)
{
  proxy->links[link].hold[way] = on;
}

/** Have what goes over a link take MS longer. */
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

/** End the thread and all connections. */
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
  uv_close ((uv_handle_t *)&proxy->pump, NULL);
  uv_run (&proxy->loop, UV_RUN_DEFAULT);
  uv_loop_close (&proxy->loop);
  free (proxy);
}
