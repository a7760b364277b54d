/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Discrete-event simulation of a common start.
 */
#include "feed_net.h"

#include <stdlib.h>
#include <string.h>

#define LATENCY (EL_MSEC / 4)
/* Hosts start within this time of each other. */
#define START_SPREAD (300 * EL_MSEC)
/* Size of an entry on the store's link and between hosts, in bytes. */
#define STORE_ENTRY_BYTES 480
#define HOST_ENTRY_BYTES 340
#define STORE_PAGE 200
#define HOST_PAGE 190
#define MEMBER_BYTES 130
/* Processor time on a whole core, in microseconds: to apply an entry, to send
   one, and for each message. */
#define APPLY_US 18
#define SEND_US 1.0
#define STORE_DECODE_US 6
#define MEMBER_US 3.0
#define MESSAGE_US 40.0
#define PROCESS_START_US 12000.0
#define LARGE_MBPS 1000.0
#define SMALL_MBPS 20.0
#define LARGE_SHARE 1.0
#define SMALL_SHARE 0.12
#define STORE_MBPS 1000.0
#define STORE_ANSWER (4 * EL_MSEC)
#define STORE_TIMEOUT (1500 * EL_MSEC)
#define HOST_TIMEOUT (1000 * EL_MSEC)
#define PENDING_MAX (500 * EL_MSEC)
#define HOST_RETRY (200 * EL_MSEC)
#define STORE_RETRY (500 * EL_MSEC)
#define OVERDUE (300 * EL_MSEC)
#define DISCOVERY (400 * EL_MSEC)

typedef struct feed_host
{
  feed_net_t *net;
  mbr_net_host_t *mbr;
  co_feed_t *feed;
  double mbps;
  double share;
  el_time_t up_free; /* when each is idle again */
  el_time_t down_free;
  el_time_t cpu_free;
  size_t known; /* entries applied, in order */
  el_time_t ready_at;
  int store_pending;
  int host_pending;
  uint64_t serial; /* of the last request to a host */
  el_time_t store_at;
  el_time_t host_at;
  el_timer_t timer;
  struct feed_request *waiting; /* requests pending here */
  size_t nchildren;
  struct feed_host **children;
  uint64_t sent;
} feed_host_t;

/* A request of one host to another, or its reply. */
typedef struct feed_request
{
  el_timer_t timer;
  feed_host_t *from;
  feed_host_t *to;
  uint64_t serial;
  size_t cursor;
  size_t n; /* entries of the reply */
  int more;
  int stand_in;
  el_time_t received_at;
  struct feed_request *next;
} feed_request_t;

struct feed_net
{
  feed_net_options_t options;
  mbr_net_t *mbr;
  feed_host_t *hosts;
  el_time_t store_free;
  uint64_t store_calls;
  uint64_t store_bytes;
  el_time_t began;
  struct message *messages;
};

static void host_run (void *arg, el_time_t now);

static el_time_t
later (el_time_t a, el_time_t b)
{
  return a > b ? a : b;
}

static el_time_t
transmit_time (double bytes, double mbps)
{
  return (el_time_t)(bytes * 8 / mbps);
}

static void
set_timer (feed_host_t *host, el_timer_t *timer,
           void (*cb) (void *, el_time_t), void *arg, el_time_t at)
{
  timer->cb = cb;
  timer->arg = arg;
  el_timers_set (&host->net->mbr->timers, timer,
                 later (at, host->net->mbr->now + 1));
}

/* A message on its way: it takes the sender's processor, both links and the
   receiver's processor, one after the other. */
typedef enum message_stage
{
  MESSAGE_SEND,
  MESSAGE_UP,
  MESSAGE_DOWN,
  MESSAGE_RECEIVE,
  MESSAGE_ARRIVED
} message_stage_t;

typedef struct message
{
  el_timer_t timer;
  message_stage_t stage;
  feed_host_t *from;
  feed_host_t *to;
  double bytes;
  double send_us;
  double receive_us;
  void (*arrive) (void *arg, el_time_t now);
  void *arg;
  struct message *prev;
  struct message *next;
} message_t;

/* Occupies a link or processor for WORK; returns when it is done. */
static el_time_t
occupy (el_time_t *idle_at, el_time_t now, el_time_t work)
{
  *idle_at = later (*idle_at, now) + work;
  return *idle_at;
}

static void
message_step (void *arg, el_time_t now)
{
  message_t *message = arg;
  feed_host_t *from = message->from;
  feed_host_t *to = message->to;
  feed_net_t *net = to->net;
  el_time_t at = now;

  switch (message->stage++)
    {
    case MESSAGE_SEND:
      at = occupy (&from->cpu_free, now,
                   (el_time_t)(message->send_us / from->share));
      break;
    case MESSAGE_UP:
      from->sent += (uint64_t)message->bytes;
      at = occupy (&from->up_free, now,
                   transmit_time (message->bytes, from->mbps));
      break;
    case MESSAGE_DOWN:
      at = LATENCY
           + occupy (&to->down_free, now,
                     transmit_time (message->bytes, to->mbps));
      break;
    case MESSAGE_RECEIVE:
      at = occupy (&to->cpu_free, now,
                   (el_time_t)(message->receive_us / to->share));
      break;
    case MESSAGE_ARRIVED:
      DL_DELETE (net->messages, message);
      message->arrive (message->arg, now);
      free (message);
      return;
    }
  set_timer (to, &message->timer, message_step, message, at);
}

/* Sends N items from one host to another. */
static void
message_send (feed_host_t *from, feed_host_t *to, message_t model)
{
  message_t *message = calloc (1, sizeof *message);

  *message = model;
  message->from = from;
  message->to = to;
  message->send_us += MESSAGE_US;
  message->receive_us += MESSAGE_US;
  DL_APPEND (to->net->messages, message);
  message_step (message, to->net->mbr->now);
}

static void
carry_list (mbr_net_host_t *a, mbr_net_host_t *b, size_t n,
            void (*arrive) (void *arg, el_time_t now), void *arg)
{
  message_send (a->owner, b->owner,
                (message_t){ .bytes = (double)n * MEMBER_BYTES,
                             .send_us = (double)n * SEND_US,
                             .receive_us = (double)n * MEMBER_US,
                             .arrive = arrive,
                             .arg = arg });
}

static void
host_wake (feed_host_t *host, el_time_t at)
{
  if (host->timer.heap_index && host->timer.due <= at)
    return;
  set_timer (host, &host->timer, host_run, host, at);
}

static void
count_child (feed_host_t *host, feed_host_t *child)
{
  size_t i;

  for (i = 0; i < host->nchildren; i++)
    if (host->children[i] == child)
      return;
  host->children = realloc (host->children,
                            (host->nchildren + 1) * sizeof *host->children);
  host->children[host->nchildren++] = child;
}

static void reply_arrive (void *arg, el_time_t now);

/* Replies to a request with the entries after its cursor, up to a page. */
static void
request_reply (feed_request_t *request)
{
  feed_host_t *host = request->to;

  request->n
      = host->known > request->cursor ? host->known - request->cursor : 0;
  if (request->n > HOST_PAGE)
    request->n = HOST_PAGE;
  request->more = request->cursor + request->n < host->net->options.entries;
  if (request->n)
    count_child (host, request->from);
  message_send (
      host, request->from,
      (message_t){ .bytes = 200 + (double)request->n * HOST_ENTRY_BYTES,
                   .send_us = (double)request->n * SEND_US,
                   .receive_us = (double)request->n * APPLY_US,
                   .arrive = reply_arrive,
                   .arg = request });
}

/* Replies to the requests for which there are entries now. */
static void
waiting_reply (feed_host_t *host)
{
  feed_request_t **at = &host->waiting;
  feed_request_t *request;

  while ((request = *at))
    if (host->known > request->cursor
        || host->net->mbr->now >= request->received_at + PENDING_MAX)
      {
        *at = request->next;
        request_reply (request);
      }
    else
      at = &request->next;
}

static void
host_progress (feed_host_t *host, size_t known)
{
  if (known <= host->known)
    return;
  host->known = known;
  if (known == host->net->options.entries)
    host->ready_at = host->net->mbr->now;
  waiting_reply (host);
}

static void
reply_arrive (void *arg, el_time_t now)
{
  feed_request_t *request = arg;
  feed_host_t *host = request->from;

  if (request->serial == host->serial && host->host_pending)
    {
      host->host_pending = 0;
      if (!request->n)
        host->host_at = now + HOST_RETRY;
      if (request->cursor == host->known)
        host_progress (host, request->cursor + request->n);
      co_feed_host_done (host->feed, now, &request->to->mbr->incarnation,
                         request->stand_in,
                         request->n ? CO_FEED_CURRENT : CO_FEED_STALE);
      host_wake (host, now);
    }
  free (request);
}

static void
request_expire (void *arg, el_time_t now)
{
  feed_request_t *request = arg;
  feed_host_t *host = request->from;

  (void)now;
  if (request->serial == host->serial && host->host_pending)
    {
      host->host_pending = 0;
      co_feed_host_done (host->feed, now, &request->to->mbr->incarnation,
                         request->stand_in, CO_FEED_NONE);
      host_wake (host, now);
    }
  free (request);
}

static void
request_arrive (void *arg, el_time_t now)
{
  feed_request_t *request = arg;
  feed_host_t *host = request->to;

  request->received_at = now;
  if (now < host->mbr->starts_at)
    {
      request_expire (request, now);
      return;
    }
  if (request->stand_in)
    {
      co_feed_stand_in (host->feed, now);
      host_wake (host, now);
    }
  request->next = host->waiting;
  host->waiting = request;
  waiting_reply (host);
}

static void
request_send (feed_host_t *host, feed_host_t *to, int stand_in)
{
  el_time_t now = host->net->mbr->now;
  feed_request_t *request = calloc (1, sizeof *request);
  feed_request_t *limit = calloc (1, sizeof *limit);

  host->host_pending = 1;
  host->serial++;
  request->from = host;
  request->to = to;
  request->serial = host->serial;
  request->cursor = host->known;
  request->stand_in = stand_in;
  *limit = *request;
  message_send (
      host, to,
      (message_t){ .bytes = 150, .arrive = request_arrive, .arg = request });
  set_timer (host, &limit->timer, request_expire, limit, now + HOST_TIMEOUT);
}

/* An answer of the store, or the time limit of a call. */
typedef struct store_call
{
  el_timer_t timer;
  feed_host_t *host;
  size_t cursor;
  size_t n;
  int ok;
} store_call_t;

static void
store_done (void *arg, el_time_t now)
{
  store_call_t *call = arg;
  feed_host_t *host = call->host;

  host->store_pending = 0;
  host->store_at = call->ok ? now : now + STORE_RETRY;
  if (call->ok && call->cursor == host->known)
    host_progress (host, call->cursor + call->n);
  co_feed_store_done (host->feed, now, call->ok);
  host_wake (host, now);
  free (call);
}

static void
store_overdue (void *arg, el_time_t now)
{
  store_call_t *call = arg;

  if (call->host->store_pending)
    {
      co_feed_store_overdue (call->host->feed);
      host_wake (call->host, now);
    }
  free (call);
}

static int
store_is_cut (const feed_host_t *host)
{
  const feed_net_t *net = host->net;

  return net->options.store_cut
         && (size_t)(host - net->hosts) < net->options.halls;
}

/* The page has arrived. */
static void
store_arrive (void *arg, el_time_t now)
{
  store_call_t *call = arg;
  feed_host_t *host = call->host;

  set_timer (
      host, &call->timer, store_done, call,
      occupy (&host->cpu_free, now,
              (el_time_t)((MESSAGE_US
                           + (double)call->n * (APPLY_US + STORE_DECODE_US))
                          / host->share)));
}

static void
store_call (feed_host_t *host)
{
  feed_net_t *net = host->net;
  el_time_t now = net->mbr->now;
  store_call_t *call = calloc (1, sizeof *call);
  store_call_t *overdue = calloc (1, sizeof *overdue);
  el_time_t at;
  double bytes;

  host->store_pending = 1;
  call->host = overdue->host = host;
  call->cursor = host->known;
  call->n = net->options.entries - host->known;
  if (call->n > STORE_PAGE)
    call->n = STORE_PAGE;
  net->store_calls++;
  bytes = (double)call->n * STORE_ENTRY_BYTES;
  net->store_bytes += (uint64_t)bytes;
  at = STORE_ANSWER
       + occupy (&net->store_free, now, transmit_time (bytes, STORE_MBPS));
  at += transmit_time (bytes, host->mbps);
  call->ok = !store_is_cut (host) && at < now + STORE_TIMEOUT;
  if (call->ok)
    set_timer (host, &call->timer, store_arrive, call, at);
  else
    set_timer (host, &call->timer, store_done, call, now + STORE_TIMEOUT);
  set_timer (host, &overdue->timer, store_overdue, overdue, now + OVERDUE);
}

static feed_host_t *
host_of (const feed_net_t *net, const co_member_t *member)
{
  mbr_net_host_t *host;

  HASH_FIND (hh, net->mbr->by_incarnation, member->incarnation.byte,
             CO_INCARNATION_BYTES, host);
  return host->owner;
}

/* The plans of the ways that are only compared. */
static void
way_plan (feed_host_t *host, co_feed_plan_t *plan)
{
  const feed_net_t *net = host->net;
  size_t index = (size_t)(host - net->hosts);
  size_t hall = index % net->options.halls;

  if (net->options.way == FEED_NET_TREE)
    return;
  *plan = (co_feed_plan_t){ .store = 1, .until = EL_TIME_NEVER };
  if (net->options.way == FEED_NET_ONE_SOURCE && index != hall)
    {
      plan->store = 0;
      plan->host = co_members_find (net->hosts[hall].mbr->members,
                                    &net->hosts[hall].mbr->incarnation);
    }
}

static void
host_run (void *arg, el_time_t now)
{
  feed_host_t *host = arg;
  co_feed_plan_t plan;

  if (now < host->mbr->starts_at || host->ready_at)
    return;
  co_feed_plan (host->feed, now, &plan);
  way_plan (host, &plan);
  if (plan.store && !host->store_pending)
    {
      if (now >= host->store_at)
        store_call (host);
      else
        plan.until = host->store_at < plan.until ? host->store_at : plan.until;
    }
  if (plan.host && !host->host_pending)
    {
      if (now >= host->host_at)
        request_send (host, host_of (host->net, plan.host), plan.stand_in);
      else
        plan.until = host->host_at < plan.until ? host->host_at : plan.until;
    }
  if (plan.until != EL_TIME_NEVER)
    host_wake (host, plan.until);
}

static size_t large_every;
static size_t large_halls;

static uint64_t
host_capacity (size_t host)
{
  size_t rank = host / large_halls;

  return large_every && rank % large_every == 0 ? (uint64_t)LARGE_MBPS
                                                : (uint64_t)SMALL_MBPS;
}

feed_net_t *
feed_net_new (const feed_net_options_t *options)
{
  feed_net_t *net = calloc (1, sizeof *net);
  size_t i;

  net->options = *options;
  large_every = options->large_every;
  large_halls = options->halls;
  net->mbr = mbr_net_new_with (options->seed, options->hosts, options->halls,
                               host_capacity);
  net->mbr->carry_list = carry_list;
  net->mbr->seeds = options->hosts < 3 ? options->hosts : 3;
  net->began = net->mbr->now;
  net->hosts = calloc (options->hosts, sizeof *net->hosts);
  for (i = 0; i < options->hosts; i++)
    {
      feed_host_t *host = &net->hosts[i];
      co_feed_options_t feed = { .readers = 1, .discovery = DISCOVERY };
      int large = host_capacity (i) > (uint64_t)SMALL_MBPS;

      host->net = net;
      host->mbr = &net->mbr->hosts[i];
      host->mbr->owner = host;
      host->mbps = large ? LARGE_MBPS : SMALL_MBPS;
      host->share = large ? LARGE_SHARE : SMALL_SHARE;
      host->mbr->starts_at = net->began
                             + mbr_net_random (net->mbr) % START_SPREAD
                             + (el_time_t)(PROCESS_START_US / host->share);
      feed.members = host->mbr->members;
      feed.born = host->mbr->starts_at;
      feed.seed = mbr_net_random (net->mbr);
      host->feed = co_feed_new (&feed);
      host_wake (host, host->mbr->starts_at);
    }
  return net;
}

/** Runs the simulation for SPAN, or until all hosts are ready. */
void
feed_net_run (feed_net_t *net, el_time_t span)
{
  el_time_t end = net->mbr->now + span;
  feed_net_result_t result = { 0 };
  size_t i;

  while (net->mbr->now < end && result.ready < net->options.hosts)
    {
      mbr_net_run (net->mbr, net->mbr->now + 100 * EL_MSEC);
      for (i = 0; i < net->options.hosts; i++)
        waiting_reply (&net->hosts[i]);
      feed_net_result (net, &result);
    }
}

static int
time_cmp (const void *a, const void *b)
{
  el_time_t x = *(const el_time_t *)a;
  el_time_t y = *(const el_time_t *)b;

  return (x > y) - (x < y);
}

void
feed_net_result (const feed_net_t *net, feed_net_result_t *out)
{
  size_t n = net->options.hosts;
  el_time_t *ready = calloc (n, sizeof *ready);
  size_t i;

  memset (out, 0, sizeof *out);
  out->store_calls = net->store_calls;
  out->store_bytes = net->store_bytes;
  for (i = 0; i < n; i++)
    {
      const feed_host_t *host = &net->hosts[i];
      uint64_t *sent
          = host->mbps > SMALL_MBPS ? &out->sent_large : &out->sent_small;

      if (host->ready_at)
        ready[out->ready++] = host->ready_at - net->began;
      if (host->nchildren > out->children_max)
        out->children_max = host->nchildren;
      if (host->sent > *sent)
        *sent = host->sent;
    }
  qsort (ready, out->ready, sizeof *ready, time_cmp);
  if (out->ready)
    {
      out->ready_p50 = ready[out->ready / 2];
      out->ready_p99 = ready[out->ready * 99 / 100];
      out->ready_last = ready[out->ready - 1];
    }
  free (ready);
}

void
feed_net_free (feed_net_t *net)
{
  message_t *message;
  size_t i;

  for (i = 0; i < net->options.hosts; i++)
    {
      feed_host_t *host = &net->hosts[i];

      el_timers_cancel (&net->mbr->timers, &host->timer);
      while (host->waiting)
        {
          feed_request_t *request = host->waiting;

          host->waiting = request->next;
          free (request);
        }
      free (host->children);
      co_feed_free (host->feed);
    }
  DL_FOREACH (net->messages, message)
  free (message->arg);
  mbr_net_free (net->mbr);
  free (net->hosts);
  free (net);
}
