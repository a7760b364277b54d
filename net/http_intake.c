/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * What callers send. Each read of a connection passes here before the library
 * sees it: heads and bodies are kept within their limits, and a body is read
 * only once the process has room for all of it.
 */
#include <stdlib.h>
#include <string.h>

#include "libnet.h"

/* A body up to this length is short. */
#define SHORT_BODY_MAX 32768
#define SHORT_COPIES 2
/* What a head may be longer than the limit on its headers. */
#define REQUEST_LINE_BYTES 1024
/* HTTP/2: how often what a connection has sent may be held, and what its
   streams and a request take beside that. The library does not tell which
   streams are open, so that a connection is closed once what it has sent
   beside the bodies of requests that ended exceeds the maximum. */
#define HTTP2_COPIES 3
#define HTTP2_CONN_BYTES 262144
#define HTTP2_REQUEST_BYTES 8192
#define HTTP2_SENT_MAX ((uint64_t)4 << 20)

static void caller_read (h2o_socket_t *sock, const char *err);

/* Heads. */

typedef struct intake_head
{
  size_t len; /* 0: incomplete */
  uint64_t body;
  int chunked;
} intake_head_t;

/* The length of the head at the start of BYTES, or 0 if it has no end. */
static size_t
head_length (el_str_t bytes)
{
  const char *at = bytes.ptr;
  const char *end = bytes.ptr + bytes.len;

  while (at < end && (at = memchr (at, '\n', (size_t)(end - at))))
    {
      at++;
      if (at < end && *at == '\n')
        return (size_t)(at + 1 - bytes.ptr);
      if (at + 1 < end && at[0] == '\r' && at[1] == '\n')
        return (size_t)(at + 2 - bytes.ptr);
    }
  return 0;
}

/* The value of LINE if it is the header NAME, in lower case. */
static int
line_value (el_str_t line, el_str_t name, el_str_t *value)
{
  if (line.len <= name.len || line.ptr[name.len] != ':'
      || !h2o_lcstris (line.ptr, name.len, name.ptr, name.len))
    return 0;
  *value = el_str_after (line, name.len + 1);
  while (value->len && (*value->ptr == ' ' || *value->ptr == '\t'))
    *value = el_str_after (*value, 1);
  while (value->len && strchr (" \t\r", value->ptr[value->len - 1]))
    value->len--;
  return 1;
}

/* What the head says of the body. The library decides what the request is;
   this tells how much room it may take. */
static intake_head_t
head_read (el_str_t bytes)
{
  intake_head_t head = { .len = head_length (bytes) };
  el_str_t rest = { bytes.ptr, head.len };
  el_str_t line;
  el_str_t value;

  while (rest.len)
    {
      line = el_str_cut (&rest, '\n');
      if (line_value (line, EL_STR ("content-length"), &value))
        {
          if (!el_str_to_u64 (value, &head.body))
            head.body = UINT32_MAX;
        }
      else if (line_value (line, EL_STR ("transfer-encoding"), &value))
        head.chunked = 1;
    }
  return head;
}

/* Intake. */

static el_str_t
caller_input (const net_caller_t *caller)
{
  const h2o_buffer_t *input = caller->sock->input;

  return (el_str_t){ input->bytes, input->size };
}

/** Refuse a request for which there is no room. */
int
net_refuse_room (net_caller_t *caller, const char *reason)
{
  caller->server->counts->refused_room++;
  net_refuse (caller, 503, reason);
  return 0;
}

static int
refuse_body (net_caller_t *caller)
{
  caller->server->counts->refused_body++;
  net_refuse (caller, 413, "body too long");
  return 0;
}

static int
refuse_head (net_caller_t *caller)
{
  caller->server->counts->refused_head++;
  net_refuse (caller, 431, "head too long");
  return 0;
}

/* Takes room for heads and short bodies; slow bodies give way. */
static int
intake_hold_short (net_caller_t *caller, uint64_t bytes)
{
  if (bytes <= NET_COPIED_BODY_MAX)
    bytes = 0;
  return net_caller_hold (caller, EL_HOLD_SHORT, bytes)
         || (net_reclaim_body (caller->server)
             && net_caller_hold (caller, EL_HOLD_SHORT, bytes))
         || net_refuse_room (caller, "no room");
}

/* Enlarges the input once, so that it does not move while the body arrives. */
static void
intake_begin_body (net_caller_t *caller)
{
  h2o_socket_t *sock = caller->sock;
  size_t want = caller->head_len + caller->body_len;

  if (sock->input->size < want)
    h2o_buffer_reserve (&sock->input, want - sock->input->size);
  net_caller_enter (caller, NET_BODY);
  caller->mark_ms = caller->since_ms;
  caller->mark = sock->input->size;
}

/** Take room for the long body of CALLER. Returns 0 if there is none. */
int
net_intake_hold_long (net_caller_t *caller)
{
  if (!net_caller_hold (caller, EL_HOLD_LONG,
                        caller->body_len * NET_BODY_COPIES))
    return 0;
  net_caller_hold (caller, EL_HOLD_SHORT, 0);
  intake_begin_body (caller);
  return 1;
}

static int
intake_wait (net_caller_t *caller)
{
  caller->server->counts->waited++;
  h2o_socket_read_stop (caller->sock);
  net_caller_enter (caller, NET_WAITING);
  return 0;
}

/* Whether a body of up to LENGTH bytes may be read now. */
static int
intake_admit (net_caller_t *caller, size_t length)
{
  caller->body_len = length;
  if (length > SHORT_BODY_MAX)
    return (!caller->server->callers[NET_WAITING]
            && net_intake_hold_long (caller))
           || intake_wait (caller);
  if (!intake_hold_short (caller, length * SHORT_COPIES))
    return 0;
  intake_begin_body (caller);
  return 1;
}

static int
intake_head (net_caller_t *caller)
{
  const net_limits_t *limits = &caller->server->limits;
  el_str_t input = caller_input (caller);
  intake_head_t head = head_read (input);

  if ((head.len ? head.len : input.len) > limits->head + REQUEST_LINE_BYTES
      || (caller->phase == NET_HEAD
          && input.len > limits->head + SHORT_BODY_MAX))
    return refuse_head (caller);
  if (!head.len)
    {
      if (!intake_hold_short (caller, caller->sock->input->capacity))
        return 0;
      if (caller->phase != NET_HEAD)
        net_caller_enter (caller, NET_HEAD);
      return 1;
    }
  if (head.body > limits->body)
    return refuse_body (caller);
  if (!head.chunked
      && (!head.body
          || (head.body <= SHORT_BODY_MAX
              && input.len >= head.len + head.body)))
    return intake_hold_short (caller, head.body * SHORT_COPIES);
  caller->head_len = head.len;
  return intake_admit (caller, head.chunked ? SHORT_BODY_MAX : head.body);
}

/* Notes that CALLER has sent SIZE bytes of what it sends. */
static void
caller_progress (net_caller_t *caller, size_t size)
{
  caller->since_ms = net_server_now (caller->server);
  if (size >= caller->mark && size - caller->mark < NET_RATE_BYTES)
    return;
  caller->mark_ms = caller->since_ms;
  caller->mark = size;
}

static int
intake_body (net_caller_t *caller)
{
  size_t size = caller->sock->input->size;

  caller_progress (caller, size);
  /* A body in chunks counts as short until it is not. */
  return size <= caller->head_len + SHORT_BODY_MAX
         || caller->body_len > SHORT_BODY_MAX
         || intake_admit (caller, caller->server->limits.body);
}

/* Whether the library may process what has arrived. */
static int
caller_intake (net_caller_t *caller)
{
  if (caller->phase == NET_RESTING)
    {
      caller->began_ms = net_server_now (caller->server);
      caller->mark_ms = caller->began_ms;
    }
  if (!caller->head_len)
    return intake_head (caller);
  return intake_body (caller);
}

/* Sets what a connection with HTTP/2 holds: all that it has sent, but for the
   bodies of requests that ended. */
static void
http2_hold (net_caller_t *caller)
{
  caller_progress (caller, caller->http2_sent);
  if (caller->http2_sent <= HTTP2_SENT_MAX
      && net_caller_hold (caller, EL_HOLD_LONG,
                          HTTP2_CONN_BYTES + caller->http2_sent * HTTP2_COPIES
                              + caller->requests * HTTP2_REQUEST_BYTES))
    return;
  caller->server->counts->refused_http2++;
  net_refuse_log (caller->server, caller, "connection_closed", 0,
                  "no room for its streams");
  net_caller_close (caller, "no room");
}

/** Put the intake before the library's reading again. The library starts to
   read after each response, and when it changes to HTTP/2. */
void
net_intake_settle (net_caller_t *caller)
{
  h2o_socket_t *sock = caller->sock;
  h2o_socket_cb read = sock->_cb.read;

  if (!read || read == caller_read || read == net_ahead_read)
    return;
  if (caller->read && read != caller->read && caller->phase != NET_HTTP2)
    {
      net_caller_release (caller);
      caller->http2_sent = sock->bytes_read;
      net_caller_enter (caller, NET_HTTP2);
    }
  caller->read = read;
  sock->_cb.read = caller_read;
  if (caller->phase == NET_HTTP2)
    {
      http2_hold (caller);
      return;
    }
  caller->head_len = 0;
  net_caller_enter (caller, NET_RESTING);
  if (sock->input->size)
    caller_intake (caller);
}

/* Whether the body that is read is too long, once the library has taken its
   framing out. */
static int
body_is_too_long (const net_caller_t *caller)
{
  return caller->phase == NET_BODY
         && caller->sock->input->size
                > caller->head_len + caller->server->limits.body;
}

/* Lets the library process the input. */
static void
intake_pass (net_caller_t *caller)
{
  caller->read (caller->sock, NULL);
  if (!caller->sock)
    return;
  net_intake_settle (caller);
  if (caller->sock && body_is_too_long (caller))
    refuse_body (caller);
}

/** Go on to read a connection that has waited. */
void
net_intake_resume (net_caller_t *caller)
{
  h2o_socket_read_start (caller->sock, caller_read);
  intake_pass (caller);
}

static void
caller_read (h2o_socket_t *sock, const char *err)
{
  net_caller_t *caller = sock->on_close.data;

  if (err)
    {
      net_caller_close (caller, err);
      return;
    }
  if (caller->phase == NET_HTTP2)
    {
      caller->http2_sent += sock->bytes_read;
      intake_pass (caller);
      if (caller->sock)
        http2_hold (caller);
    }
  else if (caller_intake (caller))
    intake_pass (caller);
}

/* The socket is closed; the connection is freed once libuv has closed it. */
static void
caller_closed (void *arg)
{
  net_caller_t *caller = arg;
  net_server_t *server = caller->server;

  net_caller_release (caller);
  server->nblind -= (size_t)caller->blind;
  DL_DELETE (server->callers[caller->phase], caller);
  if (caller->unsettled)
    LL_DELETE2 (server->unsettled, caller, next_unsettled);
  if (server->options.account)
    el_account_conn_give (server->options.account, server->options.kind);
  caller->sock = NULL;
}

/** Begin to serve a connection that was accepted. */
void
net_intake_accept (net_server_t *server, net_caller_t *caller)
{
  if (server->options.account)
    el_account_conn_add (server->options.account, server->options.kind);
  caller->since_ms = net_server_now (server);
  DL_APPEND (server->callers[NET_RESTING], caller);
  net_caller_wake (server, net_unread_interval (server));
  caller->sock
      = h2o_uv_socket_create ((uv_stream_t *)&caller->tcp, (uv_close_cb)free);
  caller->sock->on_close.cb = caller_closed;
  caller->sock->on_close.data = caller;
  h2o_accept (&server->accept, caller->sock);
  if (caller->sock)
    net_intake_settle (caller);
}
