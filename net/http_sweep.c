/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * What happens to connections of callers in time: limits expire, bodies that
 * wait find room, and the disconnects of connections that are not read are
 * noticed.
 */
#define _GNU_SOURCE /* POLLRDHUP */
#include <poll.h>

#include "libnet.h"

/* Longest time that a body waits for room. */
#define WAIT_MAX_MS 1000
/* Connections that are not read, checked at a time for a disconnect. */
#define BLIND_POLLS 64
/* Room or connections are short while less than these parts of them are
   free. */
#define FREE_ROOM_PART 8
#define FREE_CONNS_PART 4
/* Longest rest of a connection with HTTP/2. */
#define HTTP2_REST_MS 60000

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
         || (account
             && el_account_room (account, EL_HOLD_ANSWER)
                    < account->bytes_max / FREE_ROOM_PART);
}

static int
connections_are_short (const net_server_t *server)
{
  const el_account_t *account = server->options.account;
  el_conn_kind_t kind = server->options.kind;

  return account
         && (account->conn[kind]
                 >= account->conn_max[kind]
                        - account->conn_max[kind] / FREE_CONNS_PART
             || account->conns >= account->conns_max
                                      - account->conns_max / FREE_CONNS_PART);
}

/* Closes the connections whose callers do not read their responses. */
static void
sweep_unread (net_server_t *server)
{
  uint64_t limit
      = room_is_short (server) ? NET_RATE_MS : server->limits.idle_ms;

  net_close_unread (server, NET_SERVING, limit);
  net_close_unread (server, NET_HTTP2, limit);
}

/** How soon responses that are not read are looked for again. */
uint64_t
net_unread_interval (const net_server_t *server)
{
  return server->nunread || connections_are_short (server)
             ? NET_UNREAD_POLL_MS
             : server->phase_ms[NET_SERVING];
}

/* Admits the bodies that wait, in order, and refuses those that waited too
   long. */
static void
sweep_waiting (net_server_t *server, uint64_t now_ms)
{
  net_caller_t *caller;

  while ((caller = server->callers[NET_WAITING]))
    {
      if (net_intake_hold_long (caller))
        net_intake_resume (caller);
      else if (now_ms - caller->since_ms >= WAIT_MAX_MS)
        net_refuse_room (caller, "no room for the body");
      else if (!net_reclaim_body (server))
        return;
    }
}

static void
expire (net_caller_t *caller, net_phase_t phase)
{
  if (phase == NET_RESTING || phase == NET_HTTP2)
    net_caller_close (caller, "idle");
  else
    net_refuse_slow (caller, phase == NET_HEAD ? "head takes too long"
                                               : "body stopped");
}

/* Ends what is over its limit in PHASE. Returns how soon the next one may
   be. */
static uint64_t
sweep_phase (net_server_t *server, net_phase_t phase, uint64_t now_ms)
{
  uint64_t limit = server->phase_ms[phase];
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
  uint64_t now_ms = net_server_now (server);
  uint64_t wait = UINT64_MAX;

  (void)at;
  least_of (&wait, sweep_phase (server, NET_RESTING, now_ms));
  least_of (&wait, sweep_phase (server, NET_HEAD, now_ms));
  least_of (&wait, sweep_phase (server, NET_BODY, now_ms));
  least_of (&wait, sweep_phase (server, NET_HTTP2, now_ms));
  sweep_waiting (server, now_ms);
  if (server->callers[NET_WAITING])
    least_of (&wait, NET_WAIT_POLL_MS);
  sweep_unread (server);
  if (server->callers[NET_SERVING] || server->nunread)
    least_of (&wait, net_unread_interval (server));
  if (server->nblind)
    sweep_blind (server);
  if (server->nblind)
    least_of (&wait, NET_BLIND_POLL_MS);
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
      net_intake_settle (caller);
    }
}

/** Apply the server's limits. */
void
net_sweep_set_limits (net_server_t *server)
{
  const net_limits_t *limits = &server->limits;

  server->phase_ms[NET_RESTING] = limits->idle_ms;
  server->phase_ms[NET_HEAD] = limits->head_ms;
  server->phase_ms[NET_BODY] = limits->idle_ms;
  server->phase_ms[NET_WAITING] = NET_WAIT_POLL_MS;
  server->phase_ms[NET_SERVING] = limits->idle_ms / 2;
  server->phase_ms[NET_HTTP2] = HTTP2_REST_MS;
  net_caller_wake (server, 0);
}

/** Prepare a server for connections. */
void
net_sweep_open (net_server_t *server)
{
  net_clock_init (&server->clock, server->options.loop);
  server->sweep.cb = server_sweep;
  server->sweep.arg = server;
  uv_prepare_init (server->options.loop, &server->settle);
  server->settle.data = server;
  uv_prepare_start (&server->settle, server_settle);
  uv_unref ((uv_handle_t *)&server->settle);
}
