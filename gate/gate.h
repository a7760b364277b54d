/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The gate: one host's HTTP towards callers and operators, its clients
 * towards endpoints and the platform, and RPC between hosts, around one
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
  el_str_t listen;       /**< callers and operators, ip:port */
  el_str_t peer_listen;  /**< other hosts, ip:port */
  el_str_t peers;        /**< their peer addresses, with commas */
  el_str_t hall;         /**< where this host stands */
  el_str_t entry;        /**< where callers of relayed requests connect;
                              empty: as listen */
  el_str_t platform;     /**< the platform's address, ip:port; empty: this host
                              is configured otherwise */
  el_str_t cluster_key;  /**< shared by the hosts */
  el_str_t operator_key; /**< operators prove themselves with it */
  uint64_t capacity;     /**< see co_member_t */
  uint64_t store_followers; /**< hosts of a hall that follow the store
                                 themselves */
  uint64_t max_active;
  uint64_t max_queue;
  uint64_t max_body; /**< bytes of a caller's request */
  uint64_t max_sessions;
  uint64_t max_entries; /**< requests remembered for a session */
  uint64_t max_answers; /**< bytes of the answers remembered */
  el_time_t deadline;   /**< of a request that names none */
  el_time_t call_limit; /**< longest wait for one stage */
  el_time_t session_idle;
  el_time_t session_hold; /**< a stream goes on this long unread */
  el_time_t leave_hold;
  el_time_t drain_limit; /**< a stop waits this long for what runs */
  uint64_t seed;
  int trace_fd; /**< where the trace goes; -1 is nowhere */
} gt_options_t;

typedef void (*gt_drained_cb) (void *arg);

/** Who tells other hosts and operators what it knows of relayed requests and
    engines, and hears of them. */
typedef struct gt_relay_talk
{
  /** Gives a list, which the caller frees; its strings stay its own. */
  size_t (*tell) (void *arg, pr_engine_t **out);
  void (*hear) (void *arg, const pr_engine_t *news, size_t n);
  /** Another host told a rumor that was not known here. */
  void (*rumor) (void *arg, const co_rumor_t *rumor);
  /** The requests that are suspect or blocked. */
  json_t *(*suspects) (void *arg);
  /** The endpoints that nothing new goes to. */
  json_t *(*closed) (void *arg);
  /** Let a request in again; gives 0 when nothing is known of it. */
  int (*unblock) (void *arg, rt_digest_t digest);
  void *arg;
} gt_relay_talk_t;

gt_gate_t *gt_gate_new (const gt_options_t *options, el_err_t *err);
void gt_gate_drain (gt_gate_t *gate, gt_drained_cb done, void *arg);
json_t *gt_gate_dump (gt_gate_t *gate);
net_clock_t *gt_gate_clock (gt_gate_t *gate);
net_client_t *gt_gate_client (gt_gate_t *gate);
el_metrics_t *gt_gate_metrics (gt_gate_t *gate);
void gt_gate_follow (gt_gate_t *gate, gt_follow_t *follow);
void gt_gate_heard (gt_gate_t *gate);
void gt_gate_blame_news (gt_gate_t *gate);
void gt_gate_talk (gt_gate_t *gate, const gt_relay_talk_t *talk);
void gt_gate_tell (gt_gate_t *gate, uint64_t id, el_time_t hold,
                   el_str_t body);
int gt_gate_rumors_known (const gt_gate_t *gate);
uint64_t gt_gate_witness (const gt_gate_t *gate);
int gt_gate_leads (const gt_gate_t *gate);
int gt_gate_ask_news (gt_gate_t *gate, pr_position_t after, unsigned old,
                      pr_news_cb done, void *arg);
void gt_gate_withdraw (gt_gate_t *gate, int withdrawn);
size_t gt_gate_hosts (const gt_gate_t *gate);
size_t gt_gate_hall_hosts (const gt_gate_t *gate);
int gt_gate_preferred (const gt_gate_t *gate);
void gt_gate_entries (gt_gate_t *gate, el_str_t hall, json_t *list);

#endif
