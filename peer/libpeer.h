/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Declarations shared by the source files of the peer library.
 */
#ifndef ELMARCH_LIBPEER_H
#define ELMARCH_LIBPEER_H

#include "map.h"
#include "peer.h"

/* When this host last reported to the others that an endpoint is leaving;
   limits how often it does so. */
typedef struct peer_leaving_notice
{
  char endpoint[CO_NAME_MAX + 1];
  el_time_t at;
  UT_hash_handle hh;
} peer_leaving_notice_t;

typedef struct peer_handover peer_handover_t;

struct pr_peers
{
  pr_options_t options;
  net_rpc_t *rpc;
  co_members_t *members;
  co_rumors_t *rumors;
  el_timer_t rumors_timer;
  int rumors_known; /* another host's rumors are all known here */
  pr_counts_t counts;
  el_timer_t members_timer;
  uint64_t random;      /* state of el_random */
  size_t live_reported; /* live hosts, as last passed to ops->hosts */
  size_t live_logged;   /* live hosts, as last logged */
  el_time_t live_logged_at;
  int fetching; /* a request for configuration is pending */
  co_feed_t *feed;
  struct peer_pending_request *pending_requests; /* the newest first */
  el_timer_t pending_timer;
  co_incarnation_t reports_from; /* host of the last engine reports */
  uint64_t reports_at;           /* by its clock */
  uint64_t load_sequence;        /* of this host's last report of its load */
  peer_leaving_notice_t *leaving_notices;
  peer_handover_t *handover;
  pr_session_home_t successor;
  int handover_started; /* the successor may have received sessions */
};

struct pr_config
{
  co_config_t *config;
  int ready;               /* a configuration was received */
  uint64_t complete_since; /* all removals after this revision are known */
  pr_peers_t *peers;       /* announces the revision seen; may be NULL */
  pr_config_counts_t counts;
};

typedef void (*peer_serve_fn) (pr_peers_t *peers, net_rpc_req_t *req,
                               el_str_t body);

/* Encode and decode one XDR value. */
void peer_xdr_encode (xdrproc_t proc, void *value, el_buf_t *out);
int peer_xdr_decode (xdrproc_t proc, el_str_t body, void *value);

/* peer_gossip.c */
void peer_gossip_encode (pr_peers_t *peers, const co_incarnation_t *to,
                         el_buf_t *out);
void peer_probe (void *arg, uint64_t id, el_str_t address, el_str_t via);
void peer_serve_gossip (pr_peers_t *peers, net_rpc_req_t *req, el_str_t body);
void peer_serve_relay (pr_peers_t *peers, net_rpc_req_t *req, el_str_t body);
void peer_members_refresh (pr_peers_t *peers);
void peer_member_encode (const co_member_t *from, peer_member *to);
int peer_member_decode (const peer_member *from, co_member_t *to);
void peer_change_encode (const co_member_change_t *from,
                         peer_member_change *to);
int peer_change_decode (const peer_member_change *from,
                        co_member_change_t *to);

/* peer_members.c */
void peer_sync_members (void *arg, el_str_t address);
void peer_discover (void *arg, el_str_t address);
void peer_serve_members (pr_peers_t *peers, net_rpc_req_t *req, el_str_t body);

/* peer.c */
void peer_set_config_revision (pr_peers_t *peers, uint64_t revision);

/* peer_fetch.c */
void peer_fetch (pr_peers_t *peers, const co_member_t *from);
void peer_fetch_fill (const pr_config_t *config, uint64_t after,
                      peer_fetch_res *res);
void peer_fetch_free (peer_fetch_res *res);
void peer_serve_fetch (pr_peers_t *peers, net_rpc_req_t *req, el_str_t body);

/* peer_forward.c */
void peer_serve_forward (pr_peers_t *peers, net_rpc_req_t *req, el_str_t body);

/* peer_news.c */
void peer_news_init (pr_peers_t *peers);
void peer_serve_news (pr_peers_t *peers, net_rpc_req_t *req, el_str_t body);

/* peer_rumor.c */
void peer_rumors_init (pr_peers_t *peers);
void peer_rumors_schedule (pr_peers_t *peers);
void peer_rumors_compare (pr_peers_t *peers, el_str_t address,
                          uint64_t digest);
void peer_serve_rumors (pr_peers_t *peers, net_rpc_req_t *req, el_str_t body);

/* peer_loan.c */
void peer_serve_loan (pr_peers_t *peers, net_rpc_req_t *req, el_str_t body);

/* peer_reach.c */
void peer_serve_reach (pr_peers_t *peers, net_rpc_req_t *req, el_str_t body);

/* peer_load.c */
void peer_load_encode (const ld_report_t *report, peer_load *out);
int peer_load_decode (const peer_load *load, ld_report_t *out);
void peer_serve_load (pr_peers_t *peers, net_rpc_req_t *req, el_str_t body);

/* peer_handover.c */
void peer_serve_handover (pr_peers_t *peers, net_rpc_req_t *req,
                          el_str_t body);

#endif
