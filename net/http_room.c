/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Making room for others: requests that arrive too slowly, connections whose
 * callers do not read, and those that rest give way.
 */
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "libnet.h"

/* A connection whose response was not read for so long gives way to a new
   one. */
#define CONN_STALL_MS 500

static uint64_t
caller_held (const net_caller_t *caller)
{
  return caller->held[EL_HOLD_LONG] + caller->held[EL_HOLD_SHORT];
}

/* Of FOUND and the callers in PHASE whose requests arrive too slowly, the one
   that holds most. */
static net_caller_t *
slowest_of (net_server_t *server, net_phase_t phase, net_caller_t *found,
            uint64_t now_ms)
{
  net_caller_t *caller;

  DL_FOREACH (server->callers[phase], caller)
  if (!caller->requests && now_ms - caller->mark_ms >= NET_RATE_MS
      && (!found || caller_held (caller) > caller_held (found)))
    found = caller;
  return found;
}

/** Refuse a request that takes too long to arrive. */
void
net_refuse_slow (net_caller_t *caller, const char *reason)
{
  caller->server->counts->refused_slow++;
  if (caller->phase == NET_HTTP2)
    net_caller_close (caller, reason);
  else
    net_refuse (caller, 408, reason);
}

/** Refuse the request that holds most of those that arrive too slowly. Returns
    0 if there is none. */
int
net_reclaim_body (net_server_t *server)
{
  uint64_t now_ms = net_server_now (server);
  net_caller_t *caller = slowest_of (server, NET_BODY, NULL, now_ms);

  caller = slowest_of (server, NET_HEAD, caller, now_ms);
  caller = slowest_of (server, NET_HTTP2, caller, now_ms);
  if (caller)
    net_refuse_slow (caller, "body arrives too slowly");
  return caller != NULL;
}

/* Bytes of responses that the caller's system has not acknowledged, if any
   wait to be sent. */
static size_t
caller_unsent (const net_caller_t *caller)
{
  size_t unsent
      = uv_stream_get_write_queue_size ((const uv_stream_t *)&caller->tcp);
  int on_the_way = 0;

  if (unsent
      && ioctl (h2o_socket_get_fd (caller->sock), SIOCOUTQ, &on_the_way) == 0)
    unsent += (size_t)on_the_way;
  return unsent;
}

/* Whether nothing of a response was taken for LIMIT_MS. */
static int
caller_is_stalled (net_caller_t *caller, uint64_t limit_ms, uint64_t now_ms)
{
  size_t unsent = caller_unsent (caller);

  if (unsent && unsent == caller->unsent)
    return now_ms - caller->taken_ms >= limit_ms;
  caller->unsent = unsent;
  caller->taken_ms = now_ms;
  return 0;
}

/* Of FOUND and the callers in PHASE that do not read, the one that has read
   nothing for longest. */
static net_caller_t *
stalled_of (net_server_t *server, net_phase_t phase, net_caller_t *found,
            uint64_t limit_ms)
{
  uint64_t now_ms = net_server_now (server);
  net_caller_t *caller;

  DL_FOREACH (server->callers[phase], caller)
  if (caller_is_stalled (caller, limit_ms, now_ms)
      && (!found || caller->taken_ms < found->taken_ms))
    found = caller;
  return found;
}

static void
close_unread (net_caller_t *caller)
{
  caller->server->counts->unread++;
  net_refuse_log (caller->server, caller, "connection_closed", 0,
                  "response is not read");
  caller->taken_ms = net_server_now (caller->server);
  shutdown (h2o_socket_get_fd (caller->sock), SHUT_RDWR);
}

/* Closes the connection of the caller that has read nothing for longest. */
static int
reclaim_unread (net_server_t *server)
{
  net_caller_t *caller = stalled_of (server, NET_SERVING, NULL, CONN_STALL_MS);

  caller = stalled_of (server, NET_HTTP2, caller, CONN_STALL_MS);
  if (caller)
    close_unread (caller);
  return caller != NULL;
}

/** Close the connections in PHASE whose callers have read nothing of their
    responses for LIMIT_MS. */
void
net_close_unread (net_server_t *server, net_phase_t phase, uint64_t limit_ms)
{
  uint64_t now_ms = net_server_now (server);
  net_caller_t *caller;

  DL_FOREACH (server->callers[phase], caller)
  if (caller_is_stalled (caller, limit_ms, now_ms))
    close_unread (caller);
}

/** Close the connection that can best be missed. Returns 0 if each one is in
    use. */
int
net_reclaim_conn (net_server_t *server)
{
  net_caller_t *caller = server->callers[NET_RESTING];

  if (net_refuse_close_oldest (server))
    return 1;
  if (!caller && net_reclaim_body (server))
    {
      net_refuse_close_oldest (server);
      return 1;
    }
  if (!caller)
    return reclaim_unread (server);
  server->counts->evicted++;
  net_refuse_log (server, caller, "connection_closed", 0,
                  "room for another one");
  net_caller_close (caller, "evicted");
  return 1;
}
