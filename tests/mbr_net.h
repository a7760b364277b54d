/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Discrete-event simulation of the membership protocol: each message has a
 * random latency, and links, hosts and halls can be cut off. Deterministic for
 * a given seed.
 */
#ifndef ELMARCH_MBR_NET_H
#define ELMARCH_MBR_NET_H

#include "coord.h"
#include "map.h"

/** Maximum number of incarnations in one run, replaced hosts included. */
#define MBR_NET_HOSTS_MAX 2048

typedef struct mbr_net mbr_net_t;

typedef struct mbr_net_host mbr_net_host_t;

struct mbr_net_host
{
  mbr_net_t *net;
  co_members_t *members;
  char address[32];
  char hall[32];
  co_incarnation_t incarnation;
  int down;                 /* its process has exited */
  int paused;               /* neither runs nor answers */
  int isolated;             /* cut off from all others */
  uint64_t sent;            /* messages sent */
  uint64_t sent_far;        /* of these, to hosts of other halls */
  unsigned leaving_notices; /* endpoint-leaving notices received */
  uint64_t bytes;           /* size of the messages sent */
  uint64_t revision; /* of the configuration; fetched when gossip names a newer
                        one */
  uint64_t capacity;
  el_time_t starts_at; /* it neither runs nor answers before */
  void *owner;         /* of a simulation built on this one */
  UT_hash_handle hh;
};

struct mbr_net
{
  mbr_net_host_t hosts[MBR_NET_HOSTS_MAX];
  size_t n;
  mbr_net_host_t *by_incarnation;
  size_t seeds; /* number of seed addresses given to a starting host */
  el_time_t now;
  el_timers_t timers;
  uint64_t rng;
  /** Returns the size of a message in bytes; NULL counts nothing. */
  size_t (*size) (const co_gossip_t *gossip);
  /** Carries a list of N members from A to B and calls ARRIVE with ARG, which
      frees it; NULL: it arrives at once. */
  void (*carry_list) (mbr_net_host_t *a, mbr_net_host_t *b, size_t n,
                      void (*arrive) (void *arg, el_time_t now), void *arg);
  /** Whether a message from A reaches B; NULL delivers all. */
  int (*link) (const mbr_net_host_t *a, const mbr_net_host_t *b);
};

mbr_net_t *mbr_net_new (uint64_t seed, size_t hosts, size_t halls);
mbr_net_t *mbr_net_new_with (uint64_t seed, size_t hosts, size_t halls,
                             uint64_t (*capacity) (size_t host));
int mbr_net_passes (const mbr_net_host_t *a, const mbr_net_host_t *b);
void mbr_net_free (mbr_net_t *net);
uint64_t mbr_net_random (mbr_net_t *net);
void mbr_net_set_revision (mbr_net_host_t *host, uint64_t revision);
void mbr_net_run (mbr_net_t *net, el_time_t until);
mbr_net_host_t *mbr_net_replace_host (mbr_net_t *net, size_t host);
size_t mbr_net_count_state (mbr_net_t *net, size_t host, co_mbr_state_t state);
int mbr_net_is_converged (mbr_net_t *net, size_t live);
size_t mbr_net_count_dead_offered (mbr_net_t *net);
size_t mbr_net_count_not_offering (mbr_net_t *net, size_t host);

#endif
