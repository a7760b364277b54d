/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Simulation of rumor spreading between hosts.
 */
#include "rumor_net.h"

#include <stdlib.h>
#include <string.h>

#define LATENCY_MAX (5 * EL_MSEC)
#define RETRANSMIT_DELAY (200 * EL_MSEC)
#define SYNC_PERIOD (500 * EL_MSEC)
#define RUMOR_LIFETIME (600 * EL_SEC)
#define STEP_TIME EL_MSEC
#define FANOUT 6
#define RUMOR_BODY EL_STR ("what all should know soon")

/* A message in transit: rumors, or a digest for anti-entropy. */
typedef struct rumor_msg
{
  el_timer_t timer;
  rumor_host_t *from;
  rumor_host_t *to;
  co_rumor_t list[CO_RUMORS_BATCH_MAX];
  size_t n;
  int retransmit; /* send once more if it is lost */
  int has_digest;
  uint64_t digest;
} rumor_msg_t;

static void msg_arrive (void *arg, el_time_t now);

static double
random_fraction (rumor_net_t *net)
{
  return (double)(el_random (&net->rng) >> 11) / (double)(1ULL << 53);
}

static rumor_host_t *
random_other_host (rumor_net_t *net, const rumor_host_t *but)
{
  rumor_host_t *host;

  do
    host = &net->hosts[el_random (&net->rng) % net->n];
  while (host == but);
  return host;
}

static void
msg_send (rumor_msg_t *msg, el_time_t delay)
{
  rumor_net_t *net = msg->from->net;

  msg->timer = (el_timer_t){ .cb = msg_arrive, .arg = msg };
  el_timers_set (
      &net->timers, &msg->timer,
      net->now + delay + 1
          + (el_time_t)(random_fraction (net) * (double)LATENCY_MAX));
}

static void
receive_visit (void *arg, const co_rumor_t *rumor)
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

  if (msg->from->isolated || msg->to->isolated
      || random_fraction (net) < net->loss)
    {
      if (msg->retransmit)
        {
          msg->retransmit = 0;
          msg_send (msg, RETRANSMIT_DELAY);
        }
      else
        free (msg);
      return;
    }
  for (i = 0; i < msg->n; i++)
    co_rumors_receive (msg->to->rumors, now, &msg->list[i]);
  if (msg->has_digest
      && co_rumors_needs_sync (msg->to->rumors, now, msg->digest))
    co_rumors_visit (msg->from->rumors, receive_visit, msg->to);
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
      msg->to = random_other_host (net, host);
      msg->retransmit = 1;
      msg->n = n;
      for (i = 0; i < n; i++)
        {
          msg->list[i] = list[i];
          msg->list[i].body = RUMOR_BODY;
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
  host->nheard++;
  if (!host->first_heard_at)
    host->first_heard_at = host->net->now;
}

static void
host_open (rumor_net_t *net, rumor_host_t *host)
{
  const co_rumors_options_t options = { .max_rumors = 1024,
                                        .batch_delay = 5 * EL_MSEC,
                                        .send = host_send,
                                        .received = host_heard,
                                        .arg = host };

  host->net = net;
  host->rumors = co_rumors_new (&options);
  host->next_sync
      = net->now + (el_time_t)(random_fraction (net) * (double)SYNC_PERIOD);
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

/** Publishes a rumor from a host. */
void
rumor_net_publish (rumor_net_t *net, size_t host, uint64_t id)
{
  const co_rumor_t rumor = { .id = id,
                             .at = net->now,
                             .until = net->now + RUMOR_LIFETIME,
                             .body = RUMOR_BODY };

  co_rumors_publish (net->hosts[host].rumors, net->now, &rumor);
  host_heard (&net->hosts[host], &rumor);
}

/** Restarts a host, which then knows no rumors. */
void
rumor_net_restart_host (rumor_net_t *net, size_t host)
{
  co_rumors_free (net->hosts[host].rumors);
  net->hosts[host].first_heard_at = 0;
  net->hosts[host].nheard = 0;
  host_open (net, &net->hosts[host]);
}

/* Sends the digest of a host to a random peer, and the peer's digest back, as
   probes and their answers do. */
static void
host_sync (rumor_host_t *host)
{
  rumor_net_t *net = host->net;
  rumor_host_t *other = random_other_host (net, host);
  rumor_msg_t *msg;
  int reply;

  host->next_sync = net->now + SYNC_PERIOD;
  for (reply = 0; reply < 2; reply++)
    {
      msg = calloc (1, sizeof *msg);
      msg->from = reply ? other : host;
      msg->to = reply ? host : other;
      msg->has_digest = 1;
      msg->digest = co_rumors_digest (msg->from->rumors);
      msg_send (msg, 0);
    }
}

/** Runs the simulation until a given time. */
void
rumor_net_run (rumor_net_t *net, el_time_t until)
{
  size_t i;

  for (; net->now < until; net->now += STEP_TIME)
    {
      el_timers_run (&net->timers, net->now);
      for (i = 0; i < net->n; i++)
        {
          if (co_rumors_next_due (net->hosts[i].rumors) <= net->now)
            co_rumors_tick (net->hosts[i].rumors, net->now);
          if (net->hosts[i].next_sync <= net->now)
            host_sync (&net->hosts[i]);
        }
    }
}

/** Returns how many hosts have heard at least a given number of rumors. */
size_t
rumor_net_count_informed (const rumor_net_t *net, size_t rumors)
{
  size_t n = 0;
  size_t i;

  for (i = 0; i < net->n; i++)
    n += net->hosts[i].nheard >= rumors;
  return n;
}

static int
compare_times (const void *a, const void *b)
{
  const el_time_t *x = a;
  const el_time_t *y = b;

  return *x < *y ? -1 : *x > *y;
}

/** Returns the time by which a fraction Q of the hosts had heard their first
    rumor; EL_TIME_NEVER if they had not. */
el_time_t
rumor_net_quantile (const rumor_net_t *net, double q)
{
  el_time_t times[RUMOR_HOSTS_MAX];
  size_t i;

  for (i = 0; i < net->n; i++)
    times[i] = net->hosts[i].first_heard_at ? net->hosts[i].first_heard_at
                                            : EL_TIME_NEVER;
  qsort (times, net->n, sizeof *times, compare_times);
  return times[(size_t)(q * (double)(net->n - 1))];
}
