/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Rumors on a network of events.
 */
#include "rumor_net.h"

#include <stdlib.h>
#include <string.h>

#define LATENCY_MAX (5 * EL_MSEC)
#define RESEND_AFTER (200 * EL_MSEC)
#define COMPARE_EVERY (500 * EL_MSEC)
#define HOLD (600 * EL_SEC)
#define STEP EL_MSEC
#define FANOUT 6
#define BODY EL_STR ("what all should know soon")

/* A message on its way: rumors, or a question for all. */
typedef struct rumor_msg
{
  el_timer_t timer;
  rumor_host_t *from;
  rumor_host_t *to;
  co_rumor_t list[CO_RUMORS_BATCH_MAX];
  size_t n;
  int again; /* it is sent once more when it is lost */
  int compare;
  uint64_t digest;
} rumor_msg_t;

static void msg_arrive (void *arg, el_time_t now);

static double
net_chance (rumor_net_t *net)
{
  return (double)(el_random (&net->rng) >> 11) / (double)(1ULL << 53);
}

static rumor_host_t *
host_some (rumor_net_t *net, const rumor_host_t *but)
{
  rumor_host_t *host;

  do
    host = &net->hosts[el_random (&net->rng) % net->n];
  while (host == but);
  return host;
}

static void
msg_send (rumor_msg_t *msg, el_time_t wait)
{
  rumor_net_t *net = msg->from->net;

  msg->timer = (el_timer_t){ .cb = msg_arrive, .arg = msg };
  el_timers_set (&net->timers, &msg->timer,
                 net->now + wait + 1
                     + (el_time_t)(net_chance (net) * (double)LATENCY_MAX));
}

static void
take_visit (void *arg, const co_rumor_t *rumor)
{
  rumor_host_t *to = arg;

  co_rumors_receive (to->rumors, to->net->now, rumor);
}

static void
msg_arrive (void *arg, el_time_t now)
{
  rumor_msg_t *msg = arg;
  rumor_net_t *net = msg->from->net;
  size_t i;

  if (msg->from->cut || msg->to->cut || net_chance (net) < net->loss)
    {
      if (msg->again)
        {
          msg->again = 0;
          msg_send (msg, RESEND_AFTER);
        }
      else
        free (msg);
      return;
    }
  for (i = 0; i < msg->n; i++)
    co_rumors_receive (msg->to->rumors, now, &msg->list[i]);
  if (msg->compare && co_rumors_needs_sync (msg->to->rumors, now, msg->digest))
    co_rumors_visit (msg->from->rumors, take_visit, msg->to);
  free (msg);
}

static void
host_send (void *arg, const co_rumor_t *list, size_t n)
{
  rumor_host_t *host = arg;
  rumor_net_t *net = host->net;
  rumor_msg_t *msg;
  unsigned k;
  size_t i;

  for (k = 0; k < net->fanout && k + 1 < net->n; k++)
    {
      msg = calloc (1, sizeof *msg);
      msg->from = host;
      msg->to = host_some (net, host);
      msg->again = 1;
      msg->n = n;
      for (i = 0; i < n; i++)
        {
          msg->list[i] = list[i];
          msg->list[i].body = BODY;
          host->bytes += list[i].body.len;
        }
      msg_send (msg, 0);
    }
}

static void
host_heard (void *arg, const co_rumor_t *rumor)
{
  rumor_host_t *host = arg;

  (void)rumor;
  host->known++;
  if (!host->heard)
    host->heard = host->net->now;
}

static void
host_open (rumor_net_t *net, rumor_host_t *host)
{
  const co_rumors_options_t options = { .max_rumors = 1024,
                                        .batch_delay = 5 * EL_MSEC,
                                        .send = host_send,
                                        .heard = host_heard,
                                        .arg = host };

  host->net = net;
  host->rumors = co_rumors_new (&options);
  host->compare
      = net->now + (el_time_t)(net_chance (net) * (double)COMPARE_EVERY);
}

rumor_net_t *
rumor_net_new (uint64_t seed, size_t hosts, double loss)
{
  rumor_net_t *net = calloc (1, sizeof *net);
  size_t i;

  net->rng = seed | 1;
  net->now = 100 * EL_SEC;
  net->n = hosts;
  net->loss = loss;
  net->fanout = FANOUT;
  for (i = 0; i < hosts; i++)
    host_open (net, &net->hosts[i]);
  return net;
}

void
rumor_net_free (rumor_net_t *net)
{
  el_timer_t *timer;
  size_t i;

  while (net->timers.len)
    {
      timer = net->timers.heap[0];
      el_timers_cancel (&net->timers, timer);
      free (timer->arg);
    }
  el_timers_free (&net->timers);
  for (i = 0; i < net->n; i++)
    co_rumors_free (net->hosts[i].rumors);
  free (net);
}

/** A host tells a rumor of its own. */
void
rumor_net_tell (rumor_net_t *net, size_t host, uint64_t id)
{
  const co_rumor_t rumor
      = { .id = id, .at = net->now, .until = net->now + HOLD, .body = BODY };

  co_rumors_publish (net->hosts[host].rumors, net->now, &rumor);
  host_heard (&net->hosts[host], &rumor);
}

/** A host begins anew and knows nothing. */
void
rumor_net_restart (rumor_net_t *net, size_t host)
{
  co_rumors_free (net->hosts[host].rumors);
  net->hosts[host].heard = 0;
  net->hosts[host].known = 0;
  host_open (net, &net->hosts[host]);
}

/* Probes carry the digest, and the answer that of the other one. */
static void
host_compare (rumor_host_t *host)
{
  rumor_net_t *net = host->net;
  rumor_host_t *other = host_some (net, host);
  rumor_msg_t *msg;
  int back;

  host->compare = net->now + COMPARE_EVERY;
  for (back = 0; back < 2; back++)
    {
      msg = calloc (1, sizeof *msg);
      msg->from = back ? other : host;
      msg->to = back ? host : other;
      msg->compare = 1;
      msg->digest = co_rumors_digest (msg->from->rumors);
      msg_send (msg, 0);
    }
}

/** Run to a time. */
void
rumor_net_run (rumor_net_t *net, el_time_t until)
{
  size_t i;

  for (; net->now < until; net->now += STEP)
    {
      el_timers_run (&net->timers, net->now);
      for (i = 0; i < net->n; i++)
        {
          if (co_rumors_next_due (net->hosts[i].rumors) <= net->now)
            co_rumors_tick (net->hosts[i].rumors, net->now);
          if (net->hosts[i].compare <= net->now)
            host_compare (&net->hosts[i]);
        }
    }
}

/** Hosts that know so many rumors. */
size_t
rumor_net_know (const rumor_net_t *net, size_t rumors)
{
  size_t n = 0;
  size_t i;

  for (i = 0; i < net->n; i++)
    n += net->hosts[i].known >= rumors;
  return n;
}

static int
time_order (const void *a, const void *b)
{
  const el_time_t *x = a;
  const el_time_t *y = b;

  return *x < *y ? -1 : *x > *y;
}

/** By when a part of the hosts had heard the first rumor. */
el_time_t
rumor_net_quantile (const rumor_net_t *net, double q)
{
  el_time_t times[RUMOR_HOSTS_MOST];
  size_t i;

  for (i = 0; i < net->n; i++)
    times[i] = net->hosts[i].heard ? net->hosts[i].heard : EL_TIME_NEVER;
  qsort (times, net->n, sizeof *times, time_order);
  return times[(size_t)(q * (double)(net->n - 1))];
}
