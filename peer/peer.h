/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * What hosts say to each other: who is there, the configuration, news of the
 * store and of engines, requests for sessions of other hosts. It knows the
 * network, the coordination parts and itself; what else it needs, it asks by
 * the table that it is given when it is made.
 */
#ifndef ELMARCH_PEER_H
#define ELMARCH_PEER_H

#include <rpc/rpc.h>

#include "coord.h"
#include "net.h"
#include "peer_proto.h"
#include "rpc.h"

/** The bytes of a message's field, whose memory stays with its owner. */
#define PEER_BYTES_SET(at, field, s)                                          \
  ((at).field##_val = (char *)(uintptr_t)(s).ptr,                             \
   (at).field##_len = (u_int)(s).len)
#define PEER_BYTES_GET(at, field)                                             \
  ((el_str_t){ (at).field##_val, (at).field##_len })

typedef struct pr_peers pr_peers_t;

typedef void (*pr_done_cb) (void *arg);

/* The configuration in force, as the platform and other hosts tell of it. */

typedef struct pr_config pr_config_t;
typedef struct pr_sync pr_sync_t;

typedef struct pr_config_counts
{
  uint64_t applied;
  uint64_t stale; /**< changes that came after a newer one */
} pr_config_counts_t;

pr_config_t *pr_config_new (co_config_t *config);
int pr_config_ready (const pr_config_t *config);
const pr_config_counts_t *pr_config_counts (const pr_config_t *config);
pr_sync_t *pr_sync_begin (pr_config_t *config);
void pr_sync_item (pr_sync_t *sync, co_kind_t kind, el_str_t name,
                   uint64_t revision, json_t *spec);
void pr_sync_end (pr_sync_t *sync, uint64_t revision, int whole);
void pr_sync_drop (pr_sync_t *sync);

/* News of the store and of engines. */

/** A place in the history of the store. A store that goes on from an older
   copy begins an epoch and gives revisions out again: a revision has an order
    within its epoch only. */
typedef struct pr_position
{
  uint64_t epoch;
  uint64_t revision;
} pr_position_t;

int pr_position_cmp (pr_position_t a, pr_position_t b);

/** A key as the store has it. */
typedef struct pr_item
{
  el_str_t key;
  el_str_t value;
  uint64_t revision; /**< of its last change, in the epoch of its list */
  int gone;          /**< the change removed it */
} pr_item_t;

/** What one who follows the store was told: changes, or all there is when
    WHOLE. */
typedef struct pr_news
{
  pr_item_t *items;
  size_t n;
  int whole;
  pr_position_t at; /**< changes up to it were told */
  el_time_t as_of;  /**< by this host's clock */
} pr_news_t;

/** NEWS is NULL when nobody answered, or one that knows nothing itself. */
typedef void (*pr_news_cb) (void *arg, const pr_news_t *news);

/** How an engine does, as one host tells another. */
typedef struct pr_engine
{
  el_str_t id;
  uint64_t born; /**< of the start that told; 0: not known */
  double fill;   /**< share of its memory beside the layers in use */
  double pace;   /**< how much slower than its kind it runs */
  double taken;  /**< requests there, against its slots */
  el_time_t age; /**< of all three */
  int silent;    /**< it gives no sign of life */
} pr_engine_t;

/* Requests for sessions of other hosts. */

/** Where a session is at home. */
typedef struct pr_place
{
  co_incarnation_t incarnation;
  el_str_t peer;
  el_str_t http;
} pr_place_t;

/** A call to a service that another host is to run. */
typedef struct pr_call
{
  co_token_t token;
  pr_place_t where; /**< the host */
  uint64_t sequence;
  uint64_t digest;
  el_time_t deadline; /**< on this host's clock */
  int repeatable;
  unsigned hops; /**< hosts that forwarded it so far */
  el_str_t target;
  el_str_t method;
  el_str_t path;
  const net_header_t *headers;
  size_t nheaders;
  el_str_t body;
} pr_call_t;

/** The outcome of a forwarded call. */
typedef struct pr_called
{
  int answered; /**< 0: the home did not answer */
  el_verdict_t verdict;
  int status;
  const net_header_t *headers;
  size_t nheaders;
  el_str_t body;
} pr_called_t;

typedef void (*pr_called_cb) (void *arg, const pr_called_t *called);

typedef enum pr_home
{
  PR_HOME_LIVE,   /**< the home's incarnation answers */
  PR_HOME_GONE,   /**< another incarnation is at its address */
  PR_HOME_UNKNOWN /**< it can't be reached now */
} pr_home_t;

typedef void (*pr_home_cb) (void *arg, pr_home_t state);

/** What the peers need of the rest of a host. */
typedef struct pr_ops
{
  /** So many hosts are live. */
  void (*hosts) (void *arg, size_t live);
  /** An endpoint leaves, as another host has seen. */
  void (*leaving) (void *arg, el_str_t endpoint);
  /** Give what was seen of the store after a position; gives 0 when this host
      does not follow it, or lags behind that epoch. The list is freed by the
      caller, the strings stay. */
  int (*news) (void *arg, pr_position_t after, pr_news_t *out);
  /** Up to where this host has seen the store's changes. */
  pr_position_t (*position) (void *arg);
  /** Another host knows of an epoch of the store. */
  void (*epoch) (void *arg, uint64_t epoch);
  /** All changes of the store before this time are known here; 0: none. */
  el_time_t (*known) (void *arg);
  /** Give a list of engines, which the caller frees; the strings stay. */
  size_t (*engines) (void *arg, pr_engine_t **out);
  /** Another host told of engines. */
  void (*engines_heard) (void *arg, const pr_engine_t *engines, size_t n);
  /** Another host told a rumor that was not known here. */
  void (*rumor) (void *arg, const co_rumor_t *rumor);
  /** Run a call for another host and answer REQ by pr_call_answer; CALL is
      NULL when its session is not at home here. */
  void (*call) (void *arg, net_rpc_req_t *req, const pr_call_t *call);
  /** Put an answer that the ledger keeps into a message, which then owns what
      it points to but for strings. */
  void (*answer_write) (void *arg, const void *answer, peer_answer *out);
  /** Make an answer of a message; gives its size, too. */
  void *(*answer_read) (void *arg, const peer_answer *from, size_t *bytes);
  /** All sessions of a message were taken over. */
  void (*taken_over) (void *arg);
} pr_ops_t;

typedef struct pr_options
{
  net_clock_t *clock;
  el_str_t listen; /**< other hosts, ip:port */
  el_str_t seeds;  /**< other hosts' addresses, with commas */
  el_str_t http;   /**< where this host's callers connect, ip:port */
  el_str_t hall;
  el_str_t key;                 /**< shared by the hosts */
  co_incarnation_t incarnation; /**< of this host */
  uint64_t capacity;            /**< see co_member_t */
  uint64_t store_followers;     /**< hosts of a hall that follow the store */
  el_time_t leave_hold; /**< a sign that an endpoint leaves counts so long */
  uint64_t seed;        /**< hosts should differ in it */
  pr_config_t *config;
  co_ledger_t *ledger;
  const pr_ops_t *ops;
  void *arg;
} pr_options_t;

typedef struct pr_counts
{
  uint64_t refused; /**< messages that are not from a host of ours */
  uint64_t messages;
  uint64_t bytes;
} pr_counts_t;

pr_peers_t *pr_peers_new (const pr_options_t *options, el_err_t *err);
void pr_peers_stop (pr_peers_t *peers);
const pr_counts_t *pr_peers_counts (const pr_peers_t *peers);
void pr_peers_drain (pr_peers_t *peers);
void pr_peers_withdraw (pr_peers_t *peers, int withdrawn);
void pr_peers_endpoint_leaves (pr_peers_t *peers, el_str_t endpoint);

/* Who is there. */
int pr_peers_chosen (const pr_peers_t *peers, size_t most);
int pr_peers_leads (const pr_peers_t *peers);
int pr_peers_preferred (const pr_peers_t *peers);
size_t pr_peers_live (const pr_peers_t *peers);
size_t pr_peers_hall_live (const pr_peers_t *peers);
size_t pr_peers_in_force (const pr_peers_t *peers, uint64_t revision);
void pr_peers_entries (const pr_peers_t *peers, json_t *hosts, size_t most,
                       uint64_t spread);
void pr_peers_addresses (pr_peers_t *peers, el_str_t hall, json_t *list);
json_t *pr_peers_dump (const pr_peers_t *peers);

/* News. */
void pr_peers_heard (pr_peers_t *peers);
void pr_peers_blame_news (pr_peers_t *peers);
int pr_peers_ask_news (pr_peers_t *peers, pr_position_t after, unsigned old,
                       pr_news_cb done, void *arg);

/* Rumors. */
void pr_peers_tell (pr_peers_t *peers, uint64_t id, el_time_t hold,
                    el_str_t body);
int pr_peers_rumors_known (const pr_peers_t *peers);

/* Sessions. */
int pr_peers_where (pr_peers_t *peers, const co_token_t *token,
                    pr_place_t *out);
void pr_peers_ask_home (pr_peers_t *peers, const pr_place_t *where,
                        pr_home_cb done, void *arg);
void pr_peers_forward (pr_peers_t *peers, const pr_call_t *call,
                       pr_called_cb done, void *arg);
void pr_call_answer (net_rpc_req_t *req, const pr_called_t *called);
void pr_peers_hand_over (pr_peers_t *peers, pr_done_cb done, void *arg);
void pr_peers_farewell (pr_peers_t *peers, pr_done_cb done, void *arg);
const pr_place_t *pr_peers_successor (const pr_peers_t *peers);
net_header_t *pr_headers_read (const peer_header *list, u_int n);
peer_header *pr_headers_write (const net_header_t *headers, size_t n);

#endif
