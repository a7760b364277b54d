/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Members on a network of events: each message takes a time of its own, and
 * links, hosts and halls can be cut. Deterministic for a seed.
 */
#ifndef ELMARCH_MBR_NET_H
#define ELMARCH_MBR_NET_H

#include "coord.h"
#include "map.h"

/** Most identities over a run, replaced hosts included. */
#define NET_MOST 2048

typedef struct net net_t;

typedef struct net_host net_host_t;

struct net_host
{
  net_t *net;
  co_members_t *members;
  char address[32];
  char hall[32];
  co_incarnation_t incarnation;
  int down;          /* ended */
  int paused;        /* neither runs nor answers */
  int apart;         /* cut off from the others for now */
  uint64_t sent;     /* messages */
  unsigned leaving;  /* signs heard */
  uint64_t bytes;    /* of the messages sent */
  uint64_t revision; /* of the configuration, fetched when heard of */
  net_host_t *sync;  /* asked for all members; answers at the next step */
  UT_hash_handle hh;
};

struct net
{
  net_host_t hosts[NET_MOST];
  size_t n;
  net_host_t *by_incarnation;
  size_t seeds; /* how many addresses a host is told at its start */
  el_time_t now;
  el_timers_t timers;
  uint64_t rng;
  /** Bytes of a message; NULL counts none. */
  size_t (*size) (const co_gossip_t *gossip);
  /** Whether a message from A reaches B; NULL is always. */
  int (*link) (const net_host_t *a, const net_host_t *b);
};

net_t *net_new (uint64_t seed, size_t hosts, size_t halls);
void net_free (net_t *net);
void net_seen (net_host_t *host, uint64_t revision);
void net_run (net_t *net, el_time_t until);
net_host_t *net_replace (net_t *net, size_t host);
size_t net_sees (net_t *net, size_t host, co_mbr_state_t state);
int net_agrees (net_t *net, size_t live);
size_t net_named (net_t *net);
size_t net_unknown (net_t *net, size_t host);

#endif
