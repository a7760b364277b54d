/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * What callers send. Each read of a connection passes here before the library
 * sees it: heads and bodies are kept within their limits, and a body is read
 * only once the process has room for all of it. While a request is processed,
 * its connection is read no further than it takes to see that the caller
 * leaves.
 */
#define _GNU_SOURCE /* POLLRDHUP */
#include <poll.h>
#include <stdlib.h>
#include <string.h>

#include "libnet.h"

/* A body up to this length is short. */
#define SHORT_BODY_MAX 32768
/* Input that the price of a connection covers, in bytes. */
#define INPUT_FREE_BYTES NET_COPIED_BODY_MAX
#define SHORT_COPIES 2
/* Longest time that a body waits for room. */
#define WAIT_MAX_MS 1000
#define WAIT_POLL_MS 50
/* While others wait for room, a body arrives at this rate at least, and a
   response is read within this time. */
#define RATE_BYTES 16384
#define RATE_MS 1000
/* Interval at which connections that are not read are checked for a
   disconnect, and number checked at a time. */
#define BLIND_POLL_MS 100
#define BLIND_POLLS 64
#define UNREAD_POLL_MS 500
/* HTTP/2: how often what a connection has sent may be held, what its streams
   and a request take beside that, and the longest rest without one. The
   library does not tell which streams are open, so that a connection is closed
   once what it has sent beside the bodies of requests that ended exceeds the
   maximum. */
#define HTTP2_COPIES 3
#define HTTP2_CONN_BYTES 262144
#define HTTP2_REQUEST_BYTES 8192
#define HTTP2_SENT_MAX ((uint64_t)4 << 20)
#define HTTP2_REST_MS 60000

static void caller_read (h2o_socket_t *sock, const char *err);
static void ahead_read (h2o_socket_t *sock, const char *err);

static uint64_t
server_now (const net_server_t *server)
{
  return uv_now (server->options.loop);
}

/** Have the server's sweep run within WAIT_MS. */
void
net_caller_wake (net_server_t *server, uint64_t wait_ms)
{
  uint64_t due = server_now (server) + wait_ms;

  if (server->sweep.heap_index && server->sweep_ms <= due)
    return;
  server->sweep_ms = due;
  net_clock_set (&server->clock, &server->sweep, wait_ms * EL_MSEC);
}

/* How long a connection may be in a phase without progress; 0: any time. */
static uint64_t
phase_limit (const net_server_t *server, net_phase_t phase)
{
  switch (phase)
    {
    case NET_RESTING:
    case NET_BODY:
      return server->limits.idle_ms;
    case NET_HEAD:
      return server->limits.head_ms;
    case NET_WAITING:
      return WAIT_POLL_MS;
    case NET_HTTP2:
      return HTTP2_REST_MS;
    default:
      return 0;
    }
}

static void
caller_enter (net_caller_t *caller, net_phase_t phase)
{
  net_server_t *server = caller->server;
  uint64_t limit = phase_limit (server, phase);

  DL_DELETE (server->callers[caller->phase], caller);
  DL_APPEND (server->callers[phase], caller);
  caller->phase = phase;
  caller->since_ms = server_now (server);
  if (limit)
    net_caller_wake (server, limit);
}

/* Sets what CALLER holds of a kind. Returns 0 if there is no room for it. */
static int
caller_hold (net_caller_t *caller, el_hold_t kind, uint64_t bytes)
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

/* Sets what a long body takes, which may be more than was announced: requests
   that follow are in the same input. */
static void
caller_set_long (net_caller_t *caller, uint64_t bytes)
{
  uint64_t *held = &caller->held[EL_HOLD_LONG];

  if (caller_hold (caller, EL_HOLD_LONG, bytes))
    return;
  el_account_add (caller->server->options.account, EL_HOLD_LONG,
                  bytes - *held);
  *held = bytes;
}

static void
caller_release (net_caller_t *caller)
{
  net_caller_hold_answer (caller, 0);
  caller_hold (caller, EL_HOLD_LONG, 0);
  caller_hold (caller, EL_HOLD_SHORT, 0);
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
      caller->since_ms = server_now (server);
      net_caller_wake (server, UNREAD_POLL_MS);
    }
  else if (!bytes)
    server->nunread--;
  *held = bytes;
}

/** Whether the process has room for one more short request. */
int
net_server_has_room (const net_server_t *server)
{
  const el_account_t *account = server->options.account;

  return !account
         || el_account_room (account, EL_HOLD_SHORT) >= NET_COPIED_BODY_MAX;
}

/* Has the library close a connection. */
static void
caller_close (net_caller_t *caller, const char *reason)
{
  h2o_socket_cb read = caller->read;

  h2o_socket_read_stop (caller->sock);
  read (caller->sock, reason);
}

/* Making room. */

/* Of FOUND and the callers in PHASE whose requests arrive too slowly, the one
   that holds most. */
static net_caller_t *
slowest_of (net_server_t *server, net_phase_t phase, net_caller_t *found,
            uint64_t now_ms)
{
  net_caller_t *caller;

  DL_FOREACH (server->callers[phase], caller)
  if (!caller->requests && now_ms - caller->mark_ms >= RATE_MS
      && (!found || caller->held[EL_HOLD_LONG] > found->held[EL_HOLD_LONG]))
    found = caller;
  return found;
}

static void
refuse_slow (net_caller_t *caller, const char *reason)
{
  caller->server->counts->refused_slow++;
  if (caller->phase == NET_HTTP2)
    caller_close (caller, reason);
  else
    net_refuse (caller, 408, reason);
}

/* Refuses a body that arrives too slowly while others wait for room. */
static int
reclaim_body (net_server_t *server)
{
  uint64_t now_ms = server_now (server);
  net_caller_t *caller = slowest_of (server, NET_BODY, NULL, now_ms);

  caller = slowest_of (server, NET_HTTP2, caller, now_ms);
  if (caller)
    refuse_slow (caller, "body arrives too slowly");
  return caller != NULL;
}

/** Close the connection that can best be missed. Returns 0 if each one is in
    use. */
int
net_intake_make_room (net_server_t *server)
{
  net_caller_t *caller = server->callers[NET_RESTING];

  if (net_refuse_close_oldest (server))
    return 1;
  if (!caller)
    return reclaim_body (server) && net_refuse_close_oldest (server);
  server->counts->evicted++;
  net_refuse_log (server, caller, "connection_closed", 0,
                  "room for another one");
  caller_close (caller, "evicted");
  return 1;
}

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

/* Refuses a request for which there is no room. */
static int
refuse_room (net_caller_t *caller, const char *reason)
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
  return caller_hold (caller, EL_HOLD_SHORT, bytes)
         || (reclaim_body (caller->server)
             && caller_hold (caller, EL_HOLD_SHORT, bytes))
         || refuse_room (caller, "no room");
}

/* Enlarges the input once, so that it does not move while the body arrives. */
static void
intake_begin_body (net_caller_t *caller)
{
  h2o_socket_t *sock = caller->sock;
  size_t want = caller->head_len + caller->body_len;

  if (sock->input->size < want)
    h2o_buffer_reserve (&sock->input, want - sock->input->size);
  caller_enter (caller, NET_BODY);
  caller->mark_ms = caller->since_ms;
  caller->mark = sock->input->size;
  caller->seen = sock->input->size;
}

static int
intake_hold_long (net_caller_t *caller)
{
  if (!caller_hold (caller, EL_HOLD_LONG, caller->body_len * NET_BODY_COPIES))
    return 0;
  caller_hold (caller, EL_HOLD_SHORT, 0);
  intake_begin_body (caller);
  return 1;
}

static int
intake_wait (net_caller_t *caller)
{
  caller->server->counts->waited++;
  h2o_socket_read_stop (caller->sock);
  caller_enter (caller, NET_WAITING);
  return 0;
}

/* Whether a body of up to LENGTH bytes may be read now. */
static int
intake_admit (net_caller_t *caller, size_t length)
{
  caller->body_len = length;
  if (length > SHORT_BODY_MAX)
    return (!caller->server->callers[NET_WAITING] && intake_hold_long (caller))
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

  if ((head.len ? head.len : input.len) > limits->head
      || (caller->phase == NET_HEAD
          && input.len > limits->head + SHORT_BODY_MAX))
    return refuse_head (caller);
  if (!head.len)
    {
      if (!intake_hold_short (caller, caller->sock->input->capacity))
        return 0;
      if (caller->phase != NET_HEAD)
        caller_enter (caller, NET_HEAD);
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

static int
intake_body (net_caller_t *caller)
{
  size_t size = caller->sock->input->size;
  uint64_t now = server_now (caller->server);

  caller->since_ms = now;
  if (size < caller->mark || size - caller->mark >= RATE_BYTES)
    {
      caller->mark_ms = now;
      caller->mark = size;
    }
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
    caller->began_ms = server_now (caller->server);
  if (!caller->head_len)
    return intake_head (caller);
  return intake_body (caller);
}

/* Sets what a connection with HTTP/2 holds: all that it has sent, but for the
   bodies of requests that ended. */
static void
http2_hold (net_caller_t *caller)
{
  caller->since_ms = server_now (caller->server);
  caller->mark_ms = caller->since_ms;
  if (caller->http2_sent <= HTTP2_SENT_MAX
      && caller_hold (caller, EL_HOLD_LONG,
                      HTTP2_CONN_BYTES + caller->http2_sent * HTTP2_COPIES
                          + caller->requests * HTTP2_REQUEST_BYTES))
    return;
  caller->server->counts->refused_http2++;
  net_refuse_log (caller->server, caller, "connection_closed", 0,
                  "no room for its streams");
  caller_close (caller, "no room");
}

/* Puts the intake before the library's reading again. The library starts to
   read after each response, and when it changes to HTTP/2. */
static void
caller_settle (net_caller_t *caller)
{
  h2o_socket_t *sock = caller->sock;
  h2o_socket_cb read = sock->_cb.read;

  if (!read || read == caller_read || read == ahead_read)
    return;
  if (caller->read && read != caller->read && caller->phase != NET_HTTP2)
    {
      caller_release (caller);
      caller->http2_sent = sock->bytes_read;
      caller_enter (caller, NET_HTTP2);
    }
  caller->read = read;
  sock->_cb.read = caller_read;
  if (caller->phase == NET_HTTP2)
    {
      http2_hold (caller);
      return;
    }
  caller->head_len = 0;
  caller_enter (caller, NET_RESTING);
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
caller_pass (net_caller_t *caller)
{
  caller->read (caller->sock, NULL);
  if (!caller->sock)
    return;
  caller_settle (caller);
  if (caller->sock && body_is_too_long (caller))
    refuse_body (caller);
}

static void
caller_read (h2o_socket_t *sock, const char *err)
{
  net_caller_t *caller = sock->on_close.data;

  if (err)
    {
      caller_close (caller, err);
      return;
    }
  if (caller->phase == NET_HTTP2)
    {
      caller->http2_sent += sock->bytes_read;
      caller_pass (caller);
      if (caller->sock)
        http2_hold (caller);
    }
  else if (caller_intake (caller))
    caller_pass (caller);
}

/* The socket is closed; the connection is freed once libuv has closed it. */
static void
caller_closed (void *arg)
{
  net_caller_t *caller = arg;
  net_server_t *server = caller->server;

  caller_release (caller);
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
  caller->since_ms = server_now (server);
  DL_APPEND (server->callers[NET_RESTING], caller);
  net_caller_wake (server, server->limits.idle_ms);
  caller->sock
      = h2o_uv_socket_create ((uv_stream_t *)&caller->tcp, (uv_close_cb)free);
  caller->sock->on_close.cb = caller_closed;
  caller->sock->on_close.data = caller;
  h2o_accept (&server->accept, caller->sock);
  if (caller->sock)
    caller_settle (caller);
}

/* Requests that are processed. */

/** Return the connection of a request. */
net_caller_t *
net_caller_of (const h2o_req_t *req)
{
  return req->conn->callbacks->get_socket (req->conn)->on_close.data;
}

/** The library has read a request. */
void
net_caller_begin (net_caller_t *caller, h2o_req_t *req)
{
  caller->requests++;
  if (caller->phase == NET_HTTP2)
    return;
  if (caller->held[EL_HOLD_LONG])
    caller_set_long (caller, caller->sock->input->size
                                 + req->entity.len * (NET_BODY_COPIES - 1));
  caller->head_len = 0;
  caller_enter (caller, NET_SERVING);
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
      caller->http2_sent
          -= length < caller->http2_sent ? length : caller->http2_sent;
      return;
    }
  caller_release (caller);
  server->nblind -= (size_t)caller->blind;
  caller->blind = 0;
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
  net_caller_wake (caller->server, BLIND_POLL_MS);
}

static void
ahead_read (h2o_socket_t *sock, const char *err)
{
  net_caller_t *caller = sock->on_close.data;

  if (err)
    {
      h2o_socket_read_stop (sock);
      if (caller->watch)
        net_watch_gone (caller->watch, sock);
    }
  else if (sock->input->size > INPUT_FREE_BYTES)
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
  if (caller->sock->input->size > INPUT_FREE_BYTES)
    caller_blind (caller);
  else
    h2o_socket_read_start (caller->sock, ahead_read);
}

/* Sweep. */

static void
blind_check (struct pollfd *polls, net_caller_t **callers, nfds_t n)
{
  nfds_t i;

  if (poll (polls, n, 0) <= 0)
    return;
  for (i = 0; i < n; i++)
    if (polls[i].revents & (POLLRDHUP | POLLHUP | POLLERR) && callers[i]->sock
        && callers[i]->blind)
      {
        callers[i]->server->nblind--;
        callers[i]->blind = 0;
        if (callers[i]->watch)
          net_watch_gone (callers[i]->watch, callers[i]->sock);
      }
}

/* Checks the connections that are not read for a disconnect. A few at a time,
   as what follows a disconnect may close others. */
static void
sweep_blind (net_server_t *server)
{
  struct pollfd polls[BLIND_POLLS];
  net_caller_t *callers[BLIND_POLLS];
  net_caller_t *caller = server->callers[NET_SERVING];
  nfds_t n = 0;
  size_t left;

  for (left = server->nblind; caller && left && n < BLIND_POLLS;
       caller = caller->next)
    if (caller->blind)
      {
        polls[n] = (struct pollfd){ h2o_socket_get_fd (caller->sock),
                                    POLLRDHUP, 0 };
        callers[n++] = caller;
        left--;
      }
  /* The next sweep begins with others. */
  for (left = 0; left < n; left++)
    {
      DL_DELETE (server->callers[NET_SERVING], callers[left]);
      DL_APPEND (server->callers[NET_SERVING], callers[left]);
    }
  blind_check (polls, callers, n);
}

static int
room_is_short (const net_server_t *server)
{
  const el_account_t *account = server->options.account;

  return server->callers[NET_WAITING]
         || el_account_room (account, EL_HOLD_ANSWER) < account->bytes_max / 8;
}

/* Closes a connection whose caller does not read its response. */
static void
sweep_unread (net_server_t *server, uint64_t now_ms)
{
  uint64_t limit = room_is_short (server) ? RATE_MS : server->limits.idle_ms;
  net_caller_t *caller;
  net_caller_t *next;
  size_t queued;

  DL_FOREACH_SAFE (server->callers[NET_SERVING], caller, next)
  {
    if (!caller->held[EL_HOLD_ANSWER])
      continue;
    queued = uv_stream_get_write_queue_size ((uv_stream_t *)&caller->tcp);
    if (queued != caller->seen || !queued)
      {
        caller->seen = queued;
        caller->since_ms = now_ms;
      }
    else if (now_ms - caller->since_ms >= limit)
      {
        server->counts->unread++;
        net_refuse_log (server, caller, "connection_closed", 0,
                        "response is not read");
        caller->since_ms = now_ms;
        shutdown (h2o_socket_get_fd (caller->sock), SHUT_RDWR);
      }
  }
}

/* Admits the bodies that wait, in order, and refuses those that waited too
   long. */
static void
sweep_waiting (net_server_t *server, uint64_t now_ms)
{
  net_caller_t *caller;

  while ((caller = server->callers[NET_WAITING]))
    {
      if (intake_hold_long (caller))
        {
          h2o_socket_read_start (caller->sock, caller_read);
          caller_pass (caller);
        }
      else if (now_ms - caller->since_ms >= WAIT_MAX_MS)
        refuse_room (caller, "no room for the body");
      else if (!reclaim_body (server))
        return;
    }
}

static void
expire (net_caller_t *caller, net_phase_t phase)
{
  if (phase == NET_RESTING || phase == NET_HTTP2)
    caller_close (caller, "idle");
  else
    refuse_slow (caller,
                 phase == NET_HEAD ? "head takes too long" : "body stopped");
}

/* Ends what is over its limit in PHASE. Returns how soon the next one may
   be. */
static uint64_t
sweep_phase (net_server_t *server, net_phase_t phase, uint64_t now_ms)
{
  uint64_t limit = phase_limit (server, phase);
  uint64_t least = limit;
  net_caller_t *caller;
  net_caller_t *next;
  uint64_t age;

  DL_FOREACH_SAFE (server->callers[phase], caller, next)
  {
    age = now_ms - (phase == NET_HEAD ? caller->began_ms : caller->since_ms);
    if (caller->requests)
      continue;
    if (age >= limit)
      expire (caller, phase);
    else if (limit - age < least)
      least = limit - age;
    if (age < limit && phase == NET_RESTING)
      break;
  }
  return server->callers[phase] ? least : UINT64_MAX;
}

static void
least_of (uint64_t *least, uint64_t wait)
{
  if (wait < *least)
    *least = wait;
}

static void
server_sweep (void *arg, el_time_t at)
{
  net_server_t *server = arg;
  uint64_t now_ms = server_now (server);
  uint64_t wait = UINT64_MAX;

  (void)at;
  least_of (&wait, sweep_phase (server, NET_RESTING, now_ms));
  least_of (&wait, sweep_phase (server, NET_HEAD, now_ms));
  least_of (&wait, sweep_phase (server, NET_BODY, now_ms));
  least_of (&wait, sweep_phase (server, NET_HTTP2, now_ms));
  sweep_waiting (server, now_ms);
  if (server->callers[NET_WAITING])
    least_of (&wait, WAIT_POLL_MS);
  if (server->nunread)
    sweep_unread (server, now_ms);
  if (server->nunread)
    least_of (&wait, UNREAD_POLL_MS);
  if (server->nblind)
    sweep_blind (server);
  if (server->nblind)
    least_of (&wait, BLIND_POLL_MS);
  least_of (&wait, net_refuse_sweep (server, now_ms));
  if (wait != UINT64_MAX)
    net_caller_wake (server, wait);
}

/* Runs before the loop waits for input. */
static void
server_settle (uv_prepare_t *prepare)
{
  net_server_t *server = prepare->data;
  net_caller_t *caller;

  while ((caller = server->unsettled))
    {
      LL_DELETE2 (server->unsettled, caller, next_unsettled);
      caller->unsettled = 0;
      caller_settle (caller);
    }
}

/** Prepare a server for connections. */
void
net_intake_open (net_server_t *server)
{
  net_clock_init (&server->clock, server->options.loop);
  server->sweep.cb = server_sweep;
  server->sweep.arg = server;
  uv_prepare_init (server->options.loop, &server->settle);
  server->settle.data = server;
  uv_prepare_start (&server->settle, server_settle);
  uv_unref ((uv_handle_t *)&server->settle);
}
