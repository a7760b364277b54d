/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Simulation of rumor spreading between hosts, over a network that delays,
 * loses and reorders messages. Deterministic for a given seed.
 */
#ifndef ELMARCH_RUMOR_NET_H
#define ELMARCH_RUMOR_NET_H

#include "coord.h"

#define RUMOR_HOSTS_MAX 600

typedef struct rumor_host
{
  struct rumor_net *net;
  co_rumors_t *rumors;
  el_time_t first_heard_at; /* time of the first rumor; 0 if none */
  size_t nheard;            /* rumors heard, its own included */
  el_time_t next_sync; /* next time to compare digests with a random peer */
  int isolated;        /* all messages to and from it are lost */
  uint64_t bytes;      /* of the rumor bodies that it sent */
} rumor_host_t;

typedef struct rumor_net
{
  rumor_host_t hosts[RUMOR_HOSTS_MAX];
  size_t n;
  uint64_t rng;
  double loss;     /* probability that a message is lost */
  unsigned fanout; /* hosts to which each new rumor is sent */
  el_time_t now;
  el_timers_t timers;
} rumor_net_t;

rumor_net_t *rumor_net_new (uint64_t seed, size_t hosts, double loss);
void rumor_net_free (rumor_net_t *net);
void rumor_net_publish (rumor_net_t *net, size_t host, uint64_t id);
void rumor_net_restart_host (rumor_net_t *net, size_t host);
void rumor_net_run (rumor_net_t *net, el_time_t until);
size_t rumor_net_count_informed (const rumor_net_t *net, size_t rumors);
el_time_t rumor_net_quantile (const rumor_net_t *net, double q);

#endif
