/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The gateway of one host: an HTTP server for callers and operators, clients
 * of endpoints and of the platform, and RPC between hosts, built around one
 * router and one ledger.
 */
#ifndef ELMARCH_GATE_H
#define ELMARCH_GATE_H

#include <uv.h>

#include "base.h"
#include "coord.h"
#include "net.h"
#include "gate_relay.h"
#include "store.h"

typedef struct gt_gate gt_gate_t;

typedef struct gt_options
{
  uv_loop_t *loop;
  el_str_t listen;       /**< address for callers and operators, ip:port */
  el_str_t peer_listen;  /**< address for other hosts, ip:port */
  el_str_t peers;        /**< peer addresses of other hosts, comma-separated */
  el_str_t hall;         /**< hall of this host */
  el_str_t entry;        /**< address for callers of relayed requests;
                              empty: same as listen */
  el_str_t platform;     /**< address of the platform, ip:port; empty: this
                              host gets its configuration elsewhere */
  el_str_t cluster_key;  /**< secret shared by all hosts */
  el_str_t operator_key; /**< bearer key that authenticates operators */
  uint64_t capacity;     /**< see co_member_t */
  uint64_t store_followers; /**< number of hosts of a hall that read the
                                 store directly */
  uint64_t max_active;
  uint64_t max_queue;
  uint64_t max_body;    /**< maximum size of a request body, bytes */
  uint64_t memory;      /**< of the process, bytes */
  uint64_t descriptors; /**< files and connections that the process may have
                             open */
  uint64_t max_sessions;
  uint64_t max_entries;   /**< requests remembered per session */
  uint64_t max_answers;   /**< total size of remembered answers, bytes */
  el_time_t deadline;     /**< time limit of a request that sets none */
  el_time_t call_limit;   /**< time limit of one call to a pipeline stage */
  el_time_t session_idle; /**< an unused session expires after this time */
  el_time_t session_hold; /**< a session's stream without readers is
                               cancelled after this time */
  el_time_t leave_hold;   /**< for how long an endpoint counts as leaving after
                               a report that it is leaving */
  el_time_t drain_limit;  /**< longest wait for running requests at a stop */
  uint64_t seed;
  int trace_fd; /**< descriptor the trace is written to; -1: none */
} gt_options_t;

typedef void (*gt_drained_cb) (void *arg);

/** Callbacks into the relay: the state of engines and relayed requests that
    is exchanged with other hosts and shown to operators. Any of them may be
    NULL. */
typedef struct gt_relay_hooks
{
  /** Returns the state of engines known here, for other hosts. The caller
      frees the list but not its strings. */
  size_t (*list_engines) (void *arg, el_time_t after,
                          pr_engine_report_t **out);
  /** Another host sent the state of its engines. */
  void (*engines_received) (void *arg, const pr_engine_report_t *reports,
                            size_t n);
  /** A rumor that was not known here arrived from another host. */
  void (*rumor) (void *arg, const co_rumor_t *rumor);
  /** Lends tokens of an endpoint's rate limit; see pr_ops_t. */
  void (*lend) (void *arg, const pr_loan_request_t *request, int is_lender,
                co_loan_t *out);
  /** Finds out for another host whether this one reaches some endpoints; see
      pr_ops_t. */
  void (*reach) (void *arg, const pr_reach_query_t *query, pr_reach_cb done,
                 void *done_arg);
  /** Another host, or this one, reports its load; see pr_ops_t. */
  void (*load) (void *arg, uint64_t host, uint64_t sequence,
                const ld_report_t *report, ld_report_t *out);
  /** The load and the requests that wait. */
  json_t *(*load_state) (void *arg);
  /** Lists the requests that are blocked, or suspected of crashing
      endpoints. */
  json_t *(*suspects) (void *arg);
  /** Lists the endpoints that get no new requests. */
  json_t *(*closed) (void *arg);
  /** Unblocks a request; returns 0 if it is unknown. */
  int (*unblock) (void *arg, rt_digest_t digest);
  void *arg;
} gt_relay_hooks_t;

gt_gate_t *gt_gate_new (const gt_options_t *options, el_err_t *err);
void gt_gate_drain (gt_gate_t *gate, gt_drained_cb done, void *arg);
json_t *gt_gate_dump (gt_gate_t *gate);
net_clock_t *gt_gate_clock (gt_gate_t *gate);
el_account_t *gt_gate_account (gt_gate_t *gate);
net_server_counts_t *gt_gate_server_counts (gt_gate_t *gate);
net_client_t *gt_gate_client (gt_gate_t *gate);
el_metrics_t *gt_gate_metrics (gt_gate_t *gate);
void gt_gate_set_follower (gt_gate_t *gate, st_follow_t *follow);
void gt_gate_updates_available (gt_gate_t *gate);
void gt_gate_set_relay_hooks (gt_gate_t *gate,
                              const gt_relay_hooks_t *relay_hooks);
void gt_gate_publish_rumor (gt_gate_t *gate, uint64_t id, el_time_t hold,
                            el_str_t body);
void gt_gate_borrow (gt_gate_t *gate, const pr_loan_request_t *request,
                     pr_loan_cb done, void *arg);
unsigned gt_gate_ask_reach (gt_gate_t *gate, const pr_reach_query_t *query,
                            pr_reach_cb done, void *arg);
void gt_gate_report_load (gt_gate_t *gate, const ld_report_t *report,
                          pr_load_cb done, void *arg);
int gt_gate_hall_is_uneven (const gt_gate_t *gate);
int gt_gate_rumors_received (const gt_gate_t *gate);
uint64_t gt_gate_incarnation_number (const gt_gate_t *gate);
int gt_gate_is_hall_leader (const gt_gate_t *gate);
co_feed_t *gt_gate_feed (const gt_gate_t *gate);
void gt_gate_request_update (gt_gate_t *gate, const co_member_t *host,
                             const pr_store_query_t *query, int stand_in,
                             pr_store_update_cb done, void *arg);
void gt_gate_withdraw (gt_gate_t *gate, int withdrawn);
size_t gt_gate_live_hosts (const gt_gate_t *gate);
size_t gt_gate_hall_live_hosts (const gt_gate_t *gate);
size_t gt_gate_count_preferred (const gt_gate_t *gate);
void gt_gate_visit_entries (const gt_gate_t *gate, pr_entry_cb visit,
                            void *arg);
int gt_gate_entry_is_live (const gt_gate_t *gate, el_str_t address);
void gt_gate_entry_addresses (gt_gate_t *gate, el_str_t hall, json_t *list);

#endif
