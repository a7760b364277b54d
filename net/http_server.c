/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The HTTP server: one h2o context on the caller's loop, for HTTP/1.1 and,
 * where the options say so, HTTP/2.
 */
#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>

#include "libnet.h"

#define BACKLOG 1024
/* The system's buffers of a connection, in bytes. What has arrived there, or
   is not sent yet, takes memory of the machine. */
#define SOCKET_BUFFER_BYTES 131072
#define IDLE_TIMEOUT_DEFAULT_MS 10000
/* Longest head if no limit is set, in bytes. */
#define HEAD_MAX_DEFAULT 65536
/* The library's own limits are out of the way of those that the intake
   keeps. */
#define LIBRARY_TIMEOUT_MS 86400000
#define LIBRARY_BODY_SLACK ((size_t)1 << 20)
#define HTTP2_VERSION 0x200
#define HTTP2_IDLE_MS 60000
/* A response up to this length is not drawn from the account. */
#define ANSWER_FREE_BYTES 16384
/* Interval at which writes on a connection that the caller has reset are
   ended. */
#define DROP_INTERVAL_MS 20

/* Detects that the caller disconnects while its request is being processed.
   Allocated from the request's pool; the socket points to it. */
struct server_watch
{
  net_caller_t *caller; /* NULL with HTTP/2 */
  uv_timer_t *drop;     /* set once the caller has reset its connection */
  net_req_watch_cb on_gone;
  void *arg;
};

/* Tells the intake that a request is freed. Allocated from its pool. */
typedef struct server_guard
{
  net_caller_t *caller;
  size_t length; /* of the body */
} server_guard_t;

typedef struct server_handler
{
  h2o_handler_t super;
  net_server_t *server;
} server_handler_t;

static const struct
{
  int status;
  const char *reason;
} status_texts[] = {
  { 200, "OK" },
  { 201, "Created" },
  { 202, "Accepted" },
  { 204, "No Content" },
  { 307, "Temporary Redirect" },
  { 400, "Bad Request" },
  { 401, "Unauthorized" },
  { 403, "Forbidden" },
  { 404, "Not Found" },
  { 405, "Method Not Allowed" },
  { 409, "Conflict" },
  { 408, "Request Timeout" },
  { 413, "Content Too Large" },
  { 422, "Unprocessable Content" },
  { 429, "Too Many Requests" },
  { 431, "Request Header Fields Too Large" },
  { 500, "Internal Server Error" },
  { 502, "Bad Gateway" },
  { 503, "Service Unavailable" },
  { 504, "Gateway Timeout" },
};

static void
guard_dispose (void *arg)
{
  server_guard_t *guard = arg;

  net_caller_end (guard->caller, guard->length);
}

static int
server_on_req (h2o_handler_t *self, h2o_req_t *req)
{
  net_server_t *server = ((server_handler_t *)self)->server;
  server_guard_t *guard
      = h2o_mem_alloc_shared (&req->pool, sizeof *guard, guard_dispose);

  guard->caller = net_caller_of (req);
  guard->length = req->entity.len;
  net_caller_begin (guard->caller, req);
  if (req->entity.len > server->limits.body)
    {
      server->counts->refused_body++;
      net_req_reply (req, 413, EL_STR ("text/plain"),
                     EL_STR ("body too long"));
    }
  else if (server->options.kind == EL_CONN_CALLER
           && !net_server_has_room (server))
    {
      server->counts->refused_room++;
      net_refuse_log (server, guard->caller, "request_refused", 503,
                      "no room");
      net_req_add_header (req, EL_STR ("retry-after"), EL_STR ("1"));
      net_req_reply (req, 503, EL_STR ("text/plain"), EL_STR ("no room"));
    }
  else
    server->options.handle (server->options.arg, req);
  return 0;
}

static void
server_on_connection (uv_stream_t *listener, int status)
{
  net_server_t *server = listener->data;
  el_account_t *account = server->options.account;
  net_caller_t *caller;
  int fits;

  if (status != 0)
    return;
  fits = !account || el_account_conn_fits (account, server->options.kind)
         || net_reclaim_conn (server);
  caller = el_alloc (sizeof *caller);
  caller->server = server;
  uv_tcp_init (listener->loop, &caller->tcp);
  if (uv_accept (listener, (uv_stream_t *)&caller->tcp) != 0 || !fits)
    {
      if (!fits)
        {
          server->counts->turned_away++;
          net_refuse_log (server, NULL, "connection_refused", 0,
                          "no connection left");
        }
      uv_close ((uv_handle_t *)&caller->tcp, (uv_close_cb)free);
      return;
    }
  uv_tcp_nodelay (&caller->tcp, 1);
  net_intake_accept (server, caller);
}

static void
server_config (net_server_t *server)
{
  h2o_hostconf_t *host;
  h2o_pathconf_t *path;
  server_handler_t *handler;

  h2o_config_init (&server->config);
  server->config.server_name = h2o_iovec_init (H2O_STRLIT ("elmarch"));
  server->config.max_request_entity_size
      = server->options.max_body + LIBRARY_BODY_SLACK;
  server->config.http1.req_timeout = LIBRARY_TIMEOUT_MS;
  server->config.http1.upgrade_to_http2 = server->options.http2;
  server->config.http2.idle_timeout = HTTP2_IDLE_MS;
  host = h2o_config_register_host (
      &server->config, h2o_iovec_init (H2O_STRLIT ("default")), 65535);
  path = h2o_config_register_path (host, "/", 0);
  handler = (server_handler_t *)h2o_create_handler (path, sizeof *handler);
  handler->super.on_req = server_on_req;
  handler->server = server;
  h2o_context_init (&server->context, server->options.loop, &server->config);
  server->accept.ctx = &server->context;
  server->accept.hosts = server->config.hosts;
}

/* Connections inherit these. A system without them is no reason not to
   listen. */
static void
listener_set_buffers (uv_tcp_t *listener)
{
  int receive = SOCKET_BUFFER_BYTES;
  int send = SOCKET_BUFFER_BYTES;

  uv_recv_buffer_size ((uv_handle_t *)listener, &receive);
  uv_send_buffer_size ((uv_handle_t *)listener, &send);
}

/** Start listening. Returns NULL, with the reason in ERR, when the address is
    not available. */
net_server_t *
net_server_new (const net_server_options_t *options, el_err_t *err)
{
  net_server_t *server;
  struct sockaddr_in addr;
  int rc;

  if (!net_address_parse (options->address, &addr))
    {
      el_err_set (err, EL_INVALID, "%.*s: takes ip:port",
                  (int)options->address.len, options->address.ptr);
      return NULL;
    }
  server = el_alloc (sizeof *server);
  server->options = *options;
  server->counts = options->counts ? options->counts : &server->own_counts;
  server->limits = (net_limits_t){ .head = HEAD_MAX_DEFAULT,
                                   .body = options->max_body,
                                   .idle_ms = options->idle_ms
                                                  ? options->idle_ms
                                                  : IDLE_TIMEOUT_DEFAULT_MS };
  server->limits.head_ms = server->limits.idle_ms;
  uv_tcp_init (options->loop, &server->listener);
  server->listener.data = server;
  rc = uv_tcp_bind (&server->listener, (struct sockaddr *)&addr, 0);
  if (rc == 0 && options->account)
    listener_set_buffers (&server->listener);
  if (rc == 0)
    rc = uv_listen ((uv_stream_t *)&server->listener, BACKLOG,
                    server_on_connection);
  if (rc)
    {
      el_err_set (err, EL_SYSTEM, "%.*s: %s", (int)options->address.len,
                  options->address.ptr, uv_strerror (rc));
      uv_close ((uv_handle_t *)&server->listener, (uv_close_cb)free);
      return NULL;
    }
  server_config (server);
  net_sweep_open (server);
  net_sweep_set_limits (server);
  return server;
}

/** Return the listening port. */
unsigned
net_server_port (const net_server_t *server)
{
  struct sockaddr_in addr;
  int len = sizeof addr;

  uv_tcp_getsockname (&server->listener, (struct sockaddr *)&addr, &len);
  return ntohs (addr.sin_port);
}

/** Stop accepting connections, and ask open ones to close after their current
    requests. */
void
net_server_stop (net_server_t *server)
{
  if (server->stopped)
    return;
  server->stopped = 1;
  uv_close ((uv_handle_t *)&server->listener, NULL);
  h2o_context_request_shutdown (&server->context);
}

/** Continue to serve, but have each response announce that its connection will
    be closed. */
void
net_server_drain_connections (net_server_t *server)
{
  h2o_context_request_shutdown (&server->context);
}

/** Set limits on what callers send; those that are 0 stay as they are, and a
    body is never longer than the options allow. */
void
net_server_set_limits (net_server_t *server, const net_limits_t *limits)
{
  net_limits_t *own = &server->limits;

  if (limits->head)
    own->head = limits->head;
  own->body = server->options.max_body;
  if (limits->body && limits->body < own->body)
    own->body = limits->body;
  if (limits->idle_ms)
    own->idle_ms = limits->idle_ms;
  own->head_ms = limits->head_ms ? limits->head_ms : own->idle_ms;
  net_sweep_set_limits (server);
}

/* Detecting disconnects. h2o does not read from a connection while its request
   is being processed, so the intake does. Incoming data stays in the
   connection's buffer, where h2o finds it once the response is sent. */

static h2o_iovec_t
pool_copy (h2o_mem_pool_t *pool, h2o_iovec_t v)
{
  return v.len ? h2o_strdup (pool, v.base, v.len) : v;
}

/* Further reading may move the buffer that the request's strings point into,
   so they are copied to the request's pool. A long body is not, as its
   connection is not read further. */
static void
req_copy_strings (h2o_req_t *req)
{
  size_t i;

  req->input.method = pool_copy (&req->pool, req->input.method);
  req->input.authority = pool_copy (&req->pool, req->input.authority);
  req->input.path = pool_copy (&req->pool, req->input.path);
  req->method = req->input.method;
  req->authority = req->input.authority;
  req->path = req->input.path;
  if (req->entity.len <= NET_COPIED_BODY_MAX)
    req->entity = pool_copy (&req->pool, req->entity);
  for (i = 0; i < req->headers.size; i++)
    {
      h2o_header_t *header = &req->headers.entries[i];

      if (!h2o_iovec_is_token (header->name))
        *header->name = pool_copy (&req->pool, *header->name);
      header->value = pool_copy (&req->pool, header->value);
    }
}

static void
watch_dispose (void *arg)
{
  server_watch_t *watch = arg;

  if (watch->drop)
    uv_close ((uv_handle_t *)watch->drop, (uv_close_cb)free);
  if (watch->caller)
    watch->caller->watch = NULL;
  watch->on_gone (watch->arg, 1);
}

/* Ends a write on a connection that the caller has reset: libuv refuses to
   begin it, and h2o waits for its end all the same. */
static void
watch_drop_write (uv_timer_t *timer)
{
  h2o_socket_t *sock = ((server_watch_t *)timer->data)->caller->sock;
  h2o_socket_cb written = sock ? sock->_cb.write : NULL;

  if (!written)
    return;
  sock->_cb.write = NULL;
  written (sock, h2o_socket_error_io);
}

static int
connection_is_reset (h2o_socket_t *sock)
{
  struct sockaddr_storage peer;
  socklen_t len = sizeof peer;

  return getpeername (h2o_socket_get_fd (sock), (struct sockaddr *)&peer, &len)
             < 0
         && errno == ENOTCONN;
}

static void
watch_drop (server_watch_t *watch, uv_loop_t *loop)
{
  watch->drop = el_alloc (sizeof *watch->drop);
  uv_timer_init (loop, watch->drop);
  watch->drop->data = watch;
  uv_timer_start (watch->drop, watch_drop_write, 0, DROP_INTERVAL_MS);
}

/** The caller whose request is watched has disconnected. */
void
net_watch_gone (server_watch_t *watch, h2o_socket_t *sock)
{
  if (!watch->drop && connection_is_reset (sock))
    watch_drop (watch, h2o_socket_get_loop (sock));
  watch->on_gone (watch->arg, 0);
}

/** Call ON_GONE when the caller disconnects before the response to REQ is sent
    (HTTP/1.1 only), and in any case once when REQ is about to be freed (FREED
    is 1 then). The request's strings do not move after this. */
void
net_req_watch (h2o_req_t *req, net_req_watch_cb on_gone, void *arg)
{
  server_watch_t *watch
      = h2o_mem_alloc_shared (&req->pool, sizeof *watch, watch_dispose);

  *watch = (server_watch_t){ .on_gone = on_gone, .arg = arg };
  req_copy_strings (req);
  if (req->version >= HTTP2_VERSION)
    return;
  watch->caller = net_caller_of (req);
  net_caller_watch (watch->caller, watch);
}

/** Return the method as sent. */
el_str_t
net_req_method (const h2o_req_t *req)
{
  return (el_str_t){ req->method.base, req->method.len };
}

/** Return the path as sent, without the query. */
el_str_t
net_req_path (const h2o_req_t *req)
{
  size_t len = req->query_at == SIZE_MAX ? req->path.len : req->query_at;

  return (el_str_t){ req->path.base, len };
}

/** Get the value of a field of the query; returns 0 when it is missing. */
int
net_req_query (const h2o_req_t *req, el_str_t name, el_str_t *value)
{
  el_str_t rest = { NULL, 0 };
  el_str_t pair;

  if (req->query_at != SIZE_MAX)
    rest = (el_str_t){ req->path.base + req->query_at + 1,
                       req->path.len - req->query_at - 1 };
  while (rest.len)
    {
      pair = el_str_cut (&rest, '&');
      if (el_str_eq (el_str_cut (&pair, '='), name))
        {
          *value = pair;
          return 1;
        }
    }
  return 0;
}

/** Return the value of a request header, NAME in lower case; empty when
    missing. */
el_str_t
net_req_header (const h2o_req_t *req, const char *name)
{
  size_t len = strlen (name);
  size_t i;

  for (i = 0; i < req->headers.size; i++)
    {
      const h2o_header_t *header = &req->headers.entries[i];

      if (h2o_lcstris (header->name->base, header->name->len, name, len))
        return (el_str_t){ header->value.base, header->value.len };
    }
  return (el_str_t){ NULL, 0 };
}

/** Return the body; empty without one. */
el_str_t
net_req_body (const h2o_req_t *req)
{
  return (el_str_t){ req->entity.base, req->entity.len };
}

/** Add a header to the response; the strings are copied. */
void
net_req_add_header (h2o_req_t *req, el_str_t name, el_str_t value)
{
  h2o_iovec_t n = h2o_strdup (&req->pool, name.ptr, name.len);
  h2o_iovec_t v = h2o_strdup (&req->pool, value.ptr, value.len);

  h2o_add_header_by_str (&req->pool, &req->res.headers, n.base, n.len, 1, NULL,
                         v.base, v.len);
}

/** Shut down the caller's connection: neither the unsent part of the response
    nor its end is sent. The response must still be ended, so that the request
    is freed. */
void
net_req_abort (h2o_req_t *req)
{
  h2o_socket_t *sock;

  req->http1_is_persistent = 0;
  if (req->version >= HTTP2_VERSION)
    return;
  sock = req->conn->callbacks->get_socket (req->conn);
  shutdown (h2o_socket_get_fd (sock), SHUT_RDWR);
}

/** State that the response to REQ, as far as it is not sent, takes BYTES. */
void
net_req_hold_answer (h2o_req_t *req, size_t bytes)
{
  net_caller_hold_answer (net_caller_of (req), bytes);
}

/** Whether the process has room for a response to REQ that waits until its
    caller reads. */
int
net_req_has_room (const h2o_req_t *req)
{
  return net_server_has_room (net_caller_of (req)->server);
}

/** Return the reason phrase of a status. */
const char *
net_status_reason (int status)
{
  size_t i;

  for (i = 0; i < sizeof status_texts / sizeof *status_texts; i++)
    if (status_texts[i].status == status)
      return status_texts[i].reason;
  return "Status";
}

/** Send a complete response; the strings are copied. */
void
net_req_reply (h2o_req_t *req, int status, el_str_t type, el_str_t body)
{
  req->res.status = status;
  req->res.reason = net_status_reason (status);
  if (type.len)
    net_req_add_header (req, EL_STR ("content-type"), type);
  if (body.len > ANSWER_FREE_BYTES)
    net_caller_add_answer (net_caller_of (req), body.len);
  h2o_send_inline (req, body.ptr, body.len);
}
