/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Internals of the parts that speak with other hosts.
 */
#ifndef ELMARCH_LIBPEER_H
#define ELMARCH_LIBPEER_H

#include "map.h"
#include "peer.h"

/* When a sign that an endpoint leaves was last passed on. */
typedef struct peer_sign
{
  char endpoint[CO_NAME_MAX + 1];
  el_time_t at;
  UT_hash_handle hh;
} peer_sign_t;

typedef struct peer_handover peer_handover_t;

/* A host whose news failed while the store answered. */
typedef struct peer_blame
{
  co_incarnation_t incarnation;
  el_time_t until;
} peer_blame_t;

/* Most hosts that are blamed at once; further ones take the oldest's place. */
#define PEER_BLAMES 8

struct pr_peers
{
  pr_options_t options;
  net_rpc_t *rpc;
  co_members_t *members;
  co_rumors_t *rumors;
  el_timer_t rumors_tick;
  int rumors_known; /* another host has told those that it knows */
  pr_counts_t counts;
  el_timer_t tick;
  uint64_t random; /* of el_random */
  size_t live;     /* as the holder was last told */
  int fetching;
  struct peer_asker *askers;
  co_incarnation_t asked; /* whom this host asked last */
  peer_blame_t blames[PEER_BLAMES];
  unsigned next_blame;
  peer_sign_t *signs;
  peer_handover_t *handover;
  pr_place_t successor;
  int handed; /* the successor may have taken something over */
};

struct pr_config
{
  co_config_t *config;
  int ready;         /* there is a configuration to serve with */
  uint64_t history;  /* all removals after this revision are known */
  pr_peers_t *peers; /* told what was seen */
  pr_config_counts_t counts;
};

typedef void (*peer_serve_fn) (pr_peers_t *peers, net_rpc_req_t *req,
                               el_str_t body);

/* XDR of one value, to and from bytes. */
void peer_xdr_write (xdrproc_t proc, void *value, el_buf_t *out);
int peer_xdr_read (xdrproc_t proc, el_str_t body, void *value);

/* peer_gossip.c */
void peer_gossip_write (pr_peers_t *peers, const co_incarnation_t *to,
                        el_buf_t *out);
void peer_probe (void *arg, uint64_t id, el_str_t address, el_str_t via);
void peer_serve_gossip (pr_peers_t *peers, net_rpc_req_t *req, el_str_t body);
void peer_serve_relay (pr_peers_t *peers, net_rpc_req_t *req, el_str_t body);
void peer_ticked (pr_peers_t *peers);
void peer_member_write (const co_member_t *from, peer_member *to);
int peer_member_read (const peer_member *from, co_member_t *to);
void peer_change_write (const co_change_t *from, peer_member_change *to);
int peer_change_read (const peer_member_change *from, co_change_t *to);

/* peer_sync.c */
void peer_sync (void *arg, el_str_t address);
void peer_serve_members (pr_peers_t *peers, net_rpc_req_t *req, el_str_t body);

/* peer.c */
void peer_seen (pr_peers_t *peers, uint64_t revision);

/* peer_fetch.c */
void peer_fetch (pr_peers_t *peers, const co_member_t *from);
void peer_serve_fetch (pr_peers_t *peers, net_rpc_req_t *req, el_str_t body);

/* peer_forward.c */
void peer_serve_forward (pr_peers_t *peers, net_rpc_req_t *req, el_str_t body);

/* peer_news.c */
void peer_serve_news (pr_peers_t *peers, net_rpc_req_t *req, el_str_t body);

/* peer_rumor.c */
void peer_rumors_open (pr_peers_t *peers);
void peer_rumors_armed (pr_peers_t *peers);
void peer_rumors_compare (pr_peers_t *peers, el_str_t address,
                          uint64_t digest);
void peer_serve_rumors (pr_peers_t *peers, net_rpc_req_t *req, el_str_t body);

/* peer_handover.c */
void peer_serve_handover (pr_peers_t *peers, net_rpc_req_t *req,
                          el_str_t body);

#endif
