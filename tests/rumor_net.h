/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Hosts that tell each other rumors over a network that delays, loses and
 * reorders messages. Deterministic for a seed.
 */
#ifndef ELMARCH_RUMOR_NET_H
#define ELMARCH_RUMOR_NET_H

#include "coord.h"

#define RUMOR_HOSTS_MOST 600

typedef struct rumor_host
{
  struct rumor_net *net;
  co_rumors_t *rumors;
  el_time_t heard;   /* the first rumor; 0: not yet */
  size_t known;      /* rumors heard */
  el_time_t compare; /* the next time that it compares itself with another */
  int cut;           /* neither sends nor is sent anything */
  uint64_t bytes;    /* of the bodies that it sent */
} rumor_host_t;

typedef struct rumor_net
{
  rumor_host_t hosts[RUMOR_HOSTS_MOST];
  size_t n;
  uint64_t rng;
  double loss;
  unsigned fanout;
  el_time_t now;
  el_timers_t timers;
} rumor_net_t;

rumor_net_t *rumor_net_new (uint64_t seed, size_t hosts, double loss);
void rumor_net_free (rumor_net_t *net);
void rumor_net_tell (rumor_net_t *net, size_t host, uint64_t id);
void rumor_net_restart (rumor_net_t *net, size_t host);
void rumor_net_run (rumor_net_t *net, el_time_t until);
size_t rumor_net_know (const rumor_net_t *net, size_t rumors);
el_time_t rumor_net_quantile (const rumor_net_t *net, double q);

#endif
