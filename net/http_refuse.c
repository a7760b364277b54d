/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Responses to requests that are not read to their end. Closing a connection
 * with unread input resets it, and the client may lose the response. So the
 * connection is taken from the library, the response is sent, and what still
 * arrives is dropped, for a limited time and up to a limit.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "libnet.h"

#define LINGER_MS 2000
#define LINGER_BYTES ((size_t)8 << 20)
#define LINGERS_MAX 64
#define RESPONSE_MAX 512
/* Log lines a second, at most. */
#define LOG_LINES_MAX 10
#define LOG_INTERVAL_MS 1000
#define PEER_MAX 64

struct net_linger
{
  uv_tcp_t tcp;
  uv_write_t write;
  uv_shutdown_t shutdown;
  net_server_t *server;
  uint64_t until_ms;
  size_t dropped;
  char response[RESPONSE_MAX];
  net_linger_t *prev;
  net_linger_t *next;
};

static char sink[NET_READ_BYTES];

static void
linger_closed (uv_handle_t *handle)
{
  free (handle->data);
}

static void
linger_close (net_linger_t *linger)
{
  net_server_t *server = linger->server;

  if (uv_is_closing ((uv_handle_t *)&linger->tcp))
    return;
  DL_DELETE (server->lingers, linger);
  if (server->options.account)
    el_account_conn_give (server->options.account, server->options.kind);
  uv_close ((uv_handle_t *)&linger->tcp, linger_closed);
}

static void
linger_alloc (uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
  (void)handle;
  (void)size;
  *buf = uv_buf_init (sink, sizeof sink);
}

static void
linger_read (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  net_linger_t *linger = stream->data;

  (void)buf;
  if (n > 0)
    linger->dropped += (size_t)n;
  if (n < 0 || linger->dropped > LINGER_BYTES)
    linger_close (linger);
}

static void
linger_written (uv_write_t *req, int status)
{
  net_linger_t *linger = req->handle->data;

  if (status == 0)
    uv_shutdown (&linger->shutdown, req->handle, NULL);
}

/* Sends a response on FD and closes it once the client has. */
static void
linger_start (net_server_t *server, int fd, int status, const char *reason)
{
  net_linger_t *linger = el_alloc (sizeof *linger);
  uv_buf_t buf;
  int len;

  linger->server = server;
  uv_tcp_init (server->options.loop, &linger->tcp);
  linger->tcp.data = linger;
  if (uv_tcp_open (&linger->tcp, fd))
    {
      close (fd);
      uv_close ((uv_handle_t *)&linger->tcp, linger_closed);
      return;
    }
  if (server->options.account)
    el_account_conn_add (server->options.account, server->options.kind);
  DL_APPEND (server->lingers, linger);
  len = snprintf (linger->response, sizeof linger->response,
                  "HTTP/1.1 %d %s\r\nconnection: close\r\n%s"
                  "content-type: text/plain\r\ncontent-length: %zu\r\n\r\n%s",
                  status, net_status_reason (status),
                  status == 503 ? "retry-after: 1\r\n" : "", strlen (reason),
                  reason);
  buf = uv_buf_init (linger->response, (unsigned)len);
  linger->until_ms = uv_now (server->options.loop) + LINGER_MS;
  uv_write (&linger->write, (uv_stream_t *)&linger->tcp, &buf, 1,
            linger_written);
  uv_read_start ((uv_stream_t *)&linger->tcp, linger_alloc, linger_read);
  net_caller_wake (server, LINGER_MS);
}

static size_t
lingers_count (const net_server_t *server)
{
  net_linger_t *linger;
  size_t n;

  DL_COUNT (server->lingers, linger, n);
  return n;
}

/** Refuse the request that CALLER is sending: it has not run, and its
    connection ends. */
void
net_refuse (net_caller_t *caller, int status, const char *reason)
{
  net_server_t *server = caller->server;
  h2o_socket_t *sock = caller->sock;
  h2o_socket_cb read = caller->read;
  int fd;

  net_refuse_log (server, caller, "request_refused", status, reason);
  if (lingers_count (server) >= LINGERS_MAX)
    net_refuse_close_oldest (server);
  fd = dup (h2o_socket_get_fd (sock));
  h2o_socket_read_stop (sock);
  read (sock, reason);
  if (fd >= 0)
    linger_start (server, fd, status, reason);
}

/** Close the connection whose refusal is oldest. Returns 0 if there is
    none. */
int
net_refuse_close_oldest (net_server_t *server)
{
  if (!server->lingers)
    return 0;
  linger_close (server->lingers);
  return 1;
}

/** Close connections whose clients had time enough to read a refusal. Returns
    how soon the next one is due, in ms. */
uint64_t
net_refuse_sweep (net_server_t *server, uint64_t now_ms)
{
  while (server->lingers && server->lingers->until_ms <= now_ms)
    linger_close (server->lingers);
  return server->lingers ? server->lingers->until_ms - now_ms : UINT64_MAX;
}

static void
peer_name (const net_caller_t *caller, char *out, size_t size)
{
  struct sockaddr_in addr;
  int len = sizeof addr;
  char ip[INET_ADDRSTRLEN];

  snprintf (out, size, "-");
  if (caller
      && uv_tcp_getpeername (&caller->tcp, (struct sockaddr *)&addr, &len) == 0
      && uv_ip4_name (&addr, ip, sizeof ip) == 0)
    snprintf (out, size, "%s:%u", ip, (unsigned)ntohs (addr.sin_port));
}

/** Log what was done to a caller; the lines of a second are limited. */
void
net_refuse_log (net_server_t *server, const net_caller_t *caller,
                const char *event, int status, const char *reason)
{
  const el_account_t *account = server->options.account;
  uint64_t now_ms = uv_now (server->options.loop);
  char peer[PEER_MAX];

  if (now_ms - server->log_ms >= LOG_INTERVAL_MS)
    {
      server->log_ms = now_ms;
      server->log_lines = 0;
    }
  if (server->log_lines >= LOG_LINES_MAX)
    {
      server->log_suppressed++;
      return;
    }
  server->log_lines++;
  peer_name (caller, peer, sizeof peer);
  EL_LOG (EL_LOG_WARN, event, EL_FS ("door", server->options.address),
          EL_FC ("peer", peer), EL_FN ("status", status),
          EL_FC ("reason", reason),
          EL_FN ("age_ms", caller ? now_ms - caller->since_ms : 0),
          EL_FN ("held", account ? account->bytes : 0),
          EL_FN ("held_max", account ? account->bytes_max : 0),
          EL_FN ("connections", account ? account->conns : 0),
          EL_FN ("suppressed", server->log_suppressed));
  server->log_suppressed = 0;
}
