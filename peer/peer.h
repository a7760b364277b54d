/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Communication between hosts: membership, configuration, store updates,
 * engine reports, and requests for sessions of other hosts. The library
 * depends on the network and coordination libraries only; the rest of the host
 * is reached through the callbacks in pr_ops_t.
 */
#ifndef ELMARCH_PEER_H
#define ELMARCH_PEER_H

#include <rpc/rpc.h>

#include "coord.h"
#include "load.h"
#include "net.h"
#include "peer_proto.h"
#include "rpc.h"

/** Set or get a variable-length field of an XDR message. The bytes are not
    copied. */
#define PEER_BYTES_SET(at, field, s)                                          \
  ((at).field##_val = (char *)(uintptr_t)(s).ptr,                             \
   (at).field##_len = (u_int)(s).len)
#define PEER_BYTES_GET(at, field)                                             \
  ((el_str_t){ (at).field##_val, (at).field##_len })

typedef struct pr_peers pr_peers_t;

typedef void (*pr_done_cb) (void *arg);

/* Configuration received from the platform and from other hosts. */

typedef struct pr_config pr_config_t;
typedef struct pr_config_update pr_config_update_t;

typedef struct pr_config_counts
{
  uint64_t applied;
  uint64_t stale; /**< changes not applied, as a newer one was in force */
} pr_config_counts_t;

pr_config_t *pr_config_new (co_config_t *config);
int pr_config_is_ready (const pr_config_t *config);
const pr_config_counts_t *pr_config_counts (const pr_config_t *config);
pr_config_update_t *pr_config_update_begin (pr_config_t *config);
void pr_config_update_apply (pr_config_update_t *update, co_kind_t kind,
                             el_str_t name, uint64_t revision, json_t *spec);
void pr_config_update_finish (pr_config_update_t *update, uint64_t revision,
                              int complete);
void pr_config_update_free (pr_config_update_t *update);

/* Store updates and engine reports. */

/** A position in the history of the store. A store restored from an older copy
    starts a new epoch and reuses revision numbers, so revisions are ordered
    within one epoch only. */
typedef struct pr_store_position
{
  uint64_t epoch;
  uint64_t revision;
} pr_store_position_t;

int pr_store_position_cmp (pr_store_position_t a, pr_store_position_t b);

/** A key of the store, with its value or its removal. */
typedef struct pr_store_item
{
  el_str_t key;
  el_str_t value;
  uint64_t revision; /**< of its last change, in the epoch of the list */
  int gone;          /**< the last change removed the key */
} pr_store_item_t;

/** What a host asks another one for: the changes after a position or, to read
    all keys, the next page of them. */
typedef struct pr_store_query
{
  pr_store_position_t after; /**< changes: known up to it; pages: position of
                                the first page, or the known epoch */
  int read;                  /**< read all keys */
  el_str_t cursor;           /**< last key of the previous page */
  uint64_t sequence; /**< changes: of the last one that the same host sent in
                        this list; 0: none */
} pr_store_query_t;

/** Revisions between which keys may have been created and removed without the
    sender knowing them; none if FROM is not below TO. */
typedef struct pr_store_gap
{
  uint64_t from;
  uint64_t to;
} pr_store_gap_t;

typedef enum pr_update_state
{
  PR_UPDATE_NONE,    /**< nothing to offer yet */
  PR_UPDATE_CHANGES, /**< the changes after the position that was asked for */
  PR_UPDATE_PAGE,    /**< keys after the cursor */
  PR_UPDATE_READ_ALL /**< the changes are no longer known: read all keys */
} pr_update_state_t;

/** Contents of the store. */
typedef struct pr_store_update
{
  pr_update_state_t state;
  pr_store_item_t *items;
  size_t n;
  int more;               /**< there are further changes or pages */
  pr_store_position_t at; /**< changes: with its last piece the list includes
                             all up to it; pages: the keys are at least as new
                             as it */
  uint64_t sequence;      /**< of the last change in this piece of the list;
                             counted by the sender */
  pr_store_gap_t gap;
  uint64_t newest_page; /**< revision of the newest page that the sender read:
                           keys removed before it may be unknown to it */
  el_time_t as_of; /**< when the sender's data were complete, by this host's
                      clock; 0: never */
} pr_store_update_t;

/** UPDATE is NULL when the host did not answer. */
typedef void (*pr_store_update_cb) (void *arg,
                                    const pr_store_update_t *update);

/** State of an engine, as one host reports it to another. */
typedef struct pr_engine_report
{
  el_str_t id;
  uint64_t born; /**< start time of its instance; 0: unknown */
  double fill;   /**< fraction of its KV memory in use */
  double pace;   /**< slowdown relative to its accelerator type */
  double taken;  /**< running and queued requests, per slot */
  el_time_t age; /**< of fill, pace and taken */
  int silent;    /**< the engine does not answer health checks */
} pr_engine_report_t;

/** A request for tokens of an endpoint's rate limit, or for the trial of a
    suspect cause of crashes. */
typedef struct pr_loan_request
{
  uint64_t cause; /**< digest of the cause; 0: tokens are asked for */
  el_str_t endpoint;
  uint64_t born;       /**< start time of its instance; 0: unknown */
  uint64_t rate_milli; /**< the limit as the requester knows it, in thousandths
                          of a request per second */
  el_time_t since_ago; /**< time since it was first named */
  el_time_t heard_ago; /**< time since it was last named */
  unsigned wanted;
} pr_loan_request_t;

/** LOAN is NULL if the lender did not answer. */
typedef void (*pr_loan_cb) (void *arg, const co_loan_t *loan);

/** Most endpoints that one query of reach names. */
#define PR_REACH_MAX PEER_REACH_MAX

/** One start of an endpoint. */
typedef struct pr_instance
{
  el_str_t endpoint; /**< its id */
  uint64_t born;     /**< start time */
} pr_instance_t;

/** A query whether another host reaches endpoints of a service. */
typedef struct pr_reach_query
{
  el_str_t service;
  pr_instance_t instances[PR_REACH_MAX]; /**< none: any of the service */
  size_t n;
} pr_reach_query_t;

/** The answer to a query of reach. */
typedef struct pr_reach_answer
{
  int any;                   /**< the host reaches some endpoint */
  int reached[PR_REACH_MAX]; /**< for each endpoint of the query */
  size_t n;
} pr_reach_answer_t;

/** The answer of one of HOSTS that were asked; NULL if it did not answer. */
typedef void (*pr_reach_cb) (void *arg, unsigned hosts,
                             const pr_reach_answer_t *answer);

/** The sum of what the other hosts of the hall reported; NULL if the host that
    sums it up did not answer. */
typedef void (*pr_load_cb) (void *arg, const ld_report_t *others);

/* Requests for sessions of other hosts. */

/** The host that keeps a session: its home. */
typedef struct pr_session_home
{
  co_incarnation_t incarnation;
  el_str_t peer;
  el_str_t http;
} pr_session_home_t;

/** A service request forwarded to the home of its session. */
typedef struct pr_forward_request
{
  co_token_t token;
  pr_session_home_t where; /**< home of the session */
  uint64_t sequence;
  uint64_t digest;
  el_time_t deadline; /**< on this host's clock */
  int repeatable;
  unsigned hops; /**< times it was forwarded so far */
  el_str_t target;
  el_str_t method;
  el_str_t path;
  const net_header_t *headers;
  size_t nheaders;
  el_str_t body;
} pr_forward_request_t;

/** The outcome of a forwarded request. */
typedef struct pr_forward_result
{
  int answered; /**< 0: the home did not answer */
  el_verdict_t verdict;
  int status;
  const net_header_t *headers;
  size_t nheaders;
  el_str_t body;
} pr_forward_result_t;

typedef void (*pr_forward_result_cb) (void *arg,
                                      const pr_forward_result_t *result);

typedef enum pr_home_state
{
  PR_HOME_LIVE,   /**< the expected incarnation answered */
  PR_HOME_GONE,   /**< another incarnation answered at its address */
  PR_HOME_UNKNOWN /**< no answer */
} pr_home_state_t;

typedef void (*pr_home_state_cb) (void *arg, pr_home_state_t state);

/** Callbacks into the rest of the host. */
typedef struct pr_ops
{
  /** The number of live hosts changed. */
  void (*hosts) (void *arg, size_t live);
  /** Another host reported that an endpoint is leaving. */
  void (*leaving) (void *arg, el_str_t endpoint);
  /** Get what QUERY asks for, in pieces of limited size. The caller frees the
      list but not the strings. */
  void (*store_update) (void *arg, const pr_store_query_t *query,
                        pr_store_update_t *out);
  /** Another host, to which the store does not answer, wants this host to ask
      it. */
  void (*stand_in) (void *arg);
  /** The position up to which this host has seen the store's changes. */
  pr_store_position_t (*store_position) (void *arg);
  /** Another host is in this epoch of the store, which is later than the one
      seen here. */
  void (*epoch) (void *arg, uint64_t epoch);
  /** The time up to which all changes of the store are known here; 0: no data
      yet. */
  el_time_t (*store_known_until) (void *arg);
  /** Get the engine reports that this host got after AFTER, all recent ones if
      that is 0. The caller frees the list but not the strings. */
  size_t (*engines) (void *arg, el_time_t after, pr_engine_report_t **out);
  /** Another host sent engine reports. */
  void (*receive_engine_reports) (void *arg, const pr_engine_report_t *engines,
                                  size_t n);
  /** Another host sent a rumor that was not known here. */
  void (*rumor) (void *arg, const co_rumor_t *rumor);
  /** A host, possibly this one, asks for tokens of an endpoint's rate limit.
      IS_LENDER is whether this host is their lender; if not, another one is.
      Set OUT to what is lent. */
  void (*lend) (void *arg, const pr_loan_request_t *request, int is_lender,
                co_loan_t *out);
  /** Another host asks whether this one reaches some endpoints. DONE may be
      called before or after this returns. */
  void (*reach) (void *arg, const pr_reach_query_t *query, pr_reach_cb done,
                 void *done_arg);
  /** HOST, possibly this one, reports its load. Set OUT to the sum of what the
      other hosts of the hall reported. */
  void (*load) (void *arg, uint64_t host, uint64_t sequence,
                const ld_report_t *report, ld_report_t *out);
  /** Run a request forwarded by another host and reply to REQ with
      pr_forward_reply. REQUEST is NULL when the request is invalid or this
      host is not the home of its session. */
  void (*call) (void *arg, net_rpc_req_t *req,
                const pr_forward_request_t *request);
  /** Encode an answer stored in the ledger. OUT then owns all that it points
      to except strings. */
  void (*encode_answer) (void *arg, const void *answer, peer_answer *out);
  /** Decode an answer to be stored in the ledger, and return its size. */
  void *(*decode_answer) (void *arg, const peer_answer *from, size_t *bytes);
  /** A handover message from another host was processed. */
  void (*handover_received) (void *arg);
} pr_ops_t;

typedef struct pr_options
{
  net_clock_t *clock;
  el_str_t listen; /**< address for other hosts, ip:port */
  el_str_t seeds;  /**< addresses of other hosts, comma-separated */
  el_str_t http;   /**< address for callers, ip:port */
  el_str_t hall;
  el_str_t key;                 /**< shared by all hosts */
  co_incarnation_t incarnation; /**< of this host */
  uint64_t capacity;            /**< see co_member_t */
  uint64_t store_followers;     /**< hosts per hall that poll the store */
  el_time_t leave_hold;         /**< lifetime of a report that an endpoint is
                                   leaving */
  uint64_t seed; /**< of the random numbers; differs between hosts */
  pr_config_t *config;
  co_ledger_t *ledger;
  const pr_ops_t *ops;
  void *arg;
  el_account_t *account; /**< what the process holds; NULL: not limited */
} pr_options_t;

typedef struct pr_counts
{
  uint64_t refused; /**< invalid or unauthenticated messages */
  uint64_t messages;
  uint64_t bytes;
} pr_counts_t;

pr_peers_t *pr_peers_new (const pr_options_t *options, el_err_t *err);
void pr_peers_stop (pr_peers_t *peers);
const pr_counts_t *pr_peers_counts (const pr_peers_t *peers);
void pr_peers_drain (pr_peers_t *peers);
void pr_peers_set_withdrawn (pr_peers_t *peers, int withdrawn);
void pr_peers_announce_leaving (pr_peers_t *peers, el_str_t endpoint);

/* Membership. */
int pr_peers_is_top_ranked (const pr_peers_t *peers, size_t max);
int pr_peers_is_first_in_hall (const pr_peers_t *peers);
co_feed_t *pr_peers_feed (const pr_peers_t *peers);
size_t pr_peers_count_preferred (const pr_peers_t *peers);
size_t pr_peers_count_live (const pr_peers_t *peers);
size_t pr_peers_count_hall_live (const pr_peers_t *peers);
size_t pr_peers_count_in_force (const pr_peers_t *peers, uint64_t revision);
void pr_peers_list_entry_hosts (const pr_peers_t *peers, json_t *hosts,
                                size_t max, uint64_t spread);
typedef void (*pr_entry_cb) (void *arg, const co_member_t *member);
void pr_peers_visit_entries (const pr_peers_t *peers, pr_entry_cb visit,
                             void *arg);
int pr_peers_entry_is_live (const pr_peers_t *peers, el_str_t address);
void pr_peers_list_addresses (pr_peers_t *peers, el_str_t hall, json_t *list);
json_t *pr_peers_dump (const pr_peers_t *peers);

/* Store updates. */
void pr_peers_reply_pending (pr_peers_t *peers);
void pr_peers_request_update (pr_peers_t *peers, const co_member_t *host,
                              const pr_store_query_t *query, int stand_in,
                              pr_store_update_cb done, void *arg);

/* Rumors. */
void pr_peers_publish_rumor (pr_peers_t *peers, uint64_t id, el_time_t hold,
                             el_str_t body);
int pr_peers_rumors_known (const pr_peers_t *peers);

/* Rate limits. */
void pr_peers_borrow (pr_peers_t *peers, const pr_loan_request_t *request,
                      pr_loan_cb done, void *arg);
unsigned pr_peers_ask_reach (pr_peers_t *peers, const pr_reach_query_t *query,
                             pr_reach_cb done, void *arg);

/* Load. */
void pr_peers_report_load (pr_peers_t *peers, const ld_report_t *report,
                           pr_load_cb done, void *arg);
int pr_peers_hall_is_uneven (const pr_peers_t *peers);

/* Sessions. */
int pr_peers_find_home (pr_peers_t *peers, const co_token_t *token,
                        pr_session_home_t *out);
void pr_peers_check_home (pr_peers_t *peers, const pr_session_home_t *home,
                          pr_home_state_cb done, void *arg);
void pr_peers_forward (pr_peers_t *peers, const pr_forward_request_t *request,
                       pr_forward_result_cb done, void *arg);
void pr_forward_reply (net_rpc_req_t *req, const pr_forward_result_t *result);
void pr_peers_hand_over (pr_peers_t *peers, pr_done_cb done, void *arg);
void pr_peers_final_handover (pr_peers_t *peers, pr_done_cb done, void *arg);
const pr_session_home_t *pr_peers_successor (const pr_peers_t *peers);
net_header_t *pr_headers_decode (const peer_header *list, u_int n);
peer_header *pr_headers_encode (const net_header_t *headers, size_t n);

#endif
