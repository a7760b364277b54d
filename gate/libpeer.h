/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Internals of the parts that speak with other hosts.
 */
#ifndef ELMARCH_LIBPEER_H
#define ELMARCH_LIBPEER_H

#include <rpc/rpc.h>

#include "libgate.h"
#include "peer_proto.h"
#include "rpc.h"

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

struct gt_peers
{
  gt_gate_t *gate;
  net_rpc_t *rpc;
  co_members_t *members;
  el_timer_t tick;
  size_t live; /* as the router was last told */
  int fetching;
  gt_follow_t *follow; /* news for other hosts; NULL without */
  struct peer_asker *askers;
  el_time_t asked_at;     /* when another host asked for news last */
  co_incarnation_t asked; /* whom this host asked last */
  peer_blame_t blames[PEER_BLAMES];
  unsigned next_blame;
  gt_engine_talk_t engines; /* who tells and hears how engines do */
  peer_sign_t *signs;
  peer_handover_t *handover;
  gt_place_t successor;
  int handed; /* the successor may have taken something over */
};

typedef void (*peer_serve_fn) (gt_peers_t *peers, net_rpc_req_t *req,
                               el_str_t body);

/* XDR of one value, to and from bytes. */
void peer_xdr_write (xdrproc_t proc, void *value, el_buf_t *out);
int peer_xdr_read (xdrproc_t proc, el_str_t body, void *value);

#define PEER_BYTES_SET(at, field, s)                                          \
  ((at).field##_val = (char *)(uintptr_t)(s).ptr,                             \
   (at).field##_len = (u_int)(s).len)
#define PEER_BYTES_GET(at, field)                                             \
  ((el_str_t){ (at).field##_val, (at).field##_len })

/* peer_gossip.c */
void peer_gossip_write (gt_peers_t *peers, const co_incarnation_t *to,
                        el_buf_t *out);
void peer_probe (void *arg, uint64_t id, el_str_t address, el_str_t via);
void peer_serve_gossip (gt_peers_t *peers, net_rpc_req_t *req, el_str_t body);
void peer_serve_relay (gt_peers_t *peers, net_rpc_req_t *req, el_str_t body);
void peer_ticked (gt_peers_t *peers);
void peer_member_write (const co_member_t *from, peer_member *to);
int peer_member_read (const peer_member *from, co_member_t *to);

/* peer_sync.c */
void peer_sync (void *arg, el_str_t address);
void peer_serve_members (gt_peers_t *peers, net_rpc_req_t *req, el_str_t body);

/* peer_fetch.c */
void peer_fetch (gt_peers_t *peers, const co_member_t *from);
void peer_serve_fetch (gt_peers_t *peers, net_rpc_req_t *req, el_str_t body);

/* peer_forward.c */
void peer_serve_forward (gt_peers_t *peers, net_rpc_req_t *req, el_str_t body);
net_header_t *peer_headers_read (const peer_header *list, u_int n);
peer_header *peer_headers_write (const net_header_t *headers, size_t n);

/* peer_news.c */
void peer_serve_news (gt_peers_t *peers, net_rpc_req_t *req, el_str_t body);

/* peer_handover.c */
void peer_serve_handover (gt_peers_t *peers, net_rpc_req_t *req,
                          el_str_t body);

#endif
