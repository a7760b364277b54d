/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Internal interfaces of the gateway.
 */
#ifndef ELMARCH_LIBGATE_H
#define ELMARCH_LIBGATE_H

#include "gate.h"
#include "map.h"
#include "net.h"
#include "peer.h"
#include "route.h"
#include "rpc.h"
#include "store.h"

#define GT_JSON EL_STR ("application/json")

typedef struct gt_answer gt_answer_t;
typedef struct gt_reader gt_reader_t;
typedef struct gt_inflight gt_inflight_t;
typedef struct gt_platform gt_platform_t;

/* Waits for an answer; wake is called whenever the answer has changed. */
struct gt_reader
{
  void (*wake) (gt_reader_t *reader);
  gt_answer_t *answer;
  gt_reader_t *prev;
  gt_reader_t *next;
};

typedef struct gt_token
{
  uint64_t id;
  size_t offset; /* of its text in the answer's text */
  size_t len;
} gt_token_t;

/* How a request ended, as reported to its caller. */
typedef struct gt_outcome
{
  el_verdict_t verdict;
  rt_reason_t reason;
  uint64_t retry_after_ms;
} gt_outcome_t;

/* The answer to one request, reference-counted and shared by all its
   readers. */
struct gt_answer
{
  unsigned refs;
  rt_request_type_t type;
  uint64_t stream;
  el_str_t target;
  int in_session;
  int keep_running; /* not cancelled when its last reader leaves */
  int ended;
  gt_outcome_t outcome;
  gt_reader_t *readers;
  int dirty; /* in the gateway's list of answers with readers to wake */
  gt_answer_t *dirty_next;
  el_timer_t unread_timer; /* cancels a session's stream without readers */
  gt_gate_t *gate;
  /* chat */
  size_t nresumed; /* tokens that the caller already had */
  gt_token_t *tokens;
  size_t ntokens;
  size_t cap_tokens;
  el_buf_t text;
  /* call */
  int status;
  net_header_t *headers;
  size_t nheaders;
  el_buf_t body;
};

/* A caller's request, parsed and validated. */
typedef struct gt_request
{
  rt_request_type_t type;
  el_str_t customer;
  el_str_t target;
  int repeatable;
  el_time_t deadline; /* absolute, on the gateway's clock */
  int in_session;
  co_token_t token;
  pr_session_home_t owner; /* host that has the session, if not this one */
  unsigned hops;           /* number of hosts that forwarded it so far */
  uint64_t sequence;
  uint64_t digest;
  /* chat */
  el_str_t prompt;
  const uint64_t *resume;
  size_t nresume;
  uint64_t max_tokens;
  int stream;
  /* call */
  el_str_t method;
  el_str_t path;
  const net_header_t *headers;
  size_t nheaders;
  el_str_t body;
} gt_request_t;

/* An error reply, or a redirection to the host that has the session. */
typedef struct gt_refusal
{
  int status;
  el_verdict_t verdict;
  const char *code;
  const char *message;
  uint64_t retry_after_ms;
  int redirect;            /* no error: another host has the session */
  pr_session_home_t owner; /* that host */
} gt_refusal_t;

/* A request in flight. */
struct gt_inflight
{
  uint64_t id; /* hash key: the router's stream number */
  gt_gate_t *gate;
  gt_answer_t *answer;
  int in_session;
  co_session_t session;
  uint64_t sequence;
  net_exchange_t *exchange;
  rt_call_id_t call;
  int repeatable;
  el_str_t endpoint;
  el_str_t method;
  el_str_t path;
  net_header_t *headers;
  size_t nheaders;
  el_str_t body;
  uint64_t held; /* of the account: its body or prompt */
  el_time_t started;
  UT_hash_handle hh;
};

typedef struct gt_counts
{
  uint64_t http_requests;
  uint64_t denied;         /* requests whose authentication failed */
  uint64_t bad_requests;   /* malformed or over a limit */
  uint64_t joined;         /* duplicates that share the first one's answer */
  uint64_t forgotten;      /* refused because they may have run already */
  uint64_t forwarded;      /* to the host that has the session */
  uint64_t home_gone;      /* the session's home did not answer */
  uint64_t trace_lost;     /* lines of the trace not written completely */
  uint64_t platform_calls; /* of all kinds; a watch counts once */
  uint64_t platform_failures;
  el_hist_t first_token; /* microseconds */
} gt_counts_t;

struct gt_gate
{
  gt_options_t options;
  el_account_t account;
  net_server_counts_t server_counts;
  net_clock_t clock;
  net_server_t *server;
  net_client_t *client;
  rt_router_t *router;
  co_ledger_t *ledger;
  co_config_t *config;
  pr_config_t *sync;
  co_incarnation_t incarnation;
  char incarnation_hex[CO_INCARNATION_HEX + 1];
  gt_inflight_t *inflight;
  uint64_t next_stream;
  uint64_t next_change_id;
  gt_answer_t *dirty;
  pr_peers_t *peers;
  st_follow_t *store_follower; /* source of store changes for other hosts; may
                                  be NULL */
  gt_relay_hooks_t relay_hooks;
  gt_platform_t *platform;
  gt_counts_t counts;
  el_metrics_t metrics;
  uint64_t gauge_active;
  uint64_t gauge_queued;
  uint64_t gauge_sessions;
  uint64_t gauge_entries;
  uint64_t gauge_bytes;
  uint64_t gauge_revision;
  el_timer_t expire;
  uint64_t open_responses; /* responses not sent completely */
  int draining;
  int trace_partial; /* the last write ended within a line */
  int handing_over;  /* sessions are being handed to the successor */
  el_time_t drain_deadline;
  int drain_over; /* requests that outlast the drain were ended */
  gt_drained_cb drained;
  void *drained_arg;
};

/* Router events, the trace and random numbers. */
void gt_router_event (gt_gate_t *gate, const rt_event_t *event);
void gt_trace (gt_gate_t *gate, json_t *line);
uint64_t gt_random (gt_gate_t *gate);

/* Answers and their readers. */
gt_answer_t *gt_answer_new (gt_gate_t *gate, const gt_request_t *request);
gt_answer_t *gt_answer_ref (gt_answer_t *answer);
void gt_answer_unref (gt_answer_t *answer);
void gt_answer_attach (gt_answer_t *answer, gt_reader_t *reader);
void gt_answer_detach (gt_reader_t *reader);
void gt_answer_token (gt_answer_t *answer, uint64_t id, el_str_t text);
void gt_answer_result (gt_answer_t *answer, const net_result_t *result);
void gt_answer_finish (gt_answer_t *answer, const gt_outcome_t *outcome);
size_t gt_answer_bytes (const gt_answer_t *answer);
void gt_answer_flush (gt_gate_t *gate);
int gt_header_is_forwarded (el_str_t name);

/* Requests in flight. */
gt_answer_t *gt_request_submit (gt_gate_t *gate, const gt_request_t *request,
                                gt_refusal_t *refusal);
void gt_inflight_action (void *arg, const rt_action_t *action);
void gt_inflight_free (gt_inflight_t *inflight);

/* The protocol between the gateway and engines. */
typedef struct gt_engine_protocol
{
  el_str_t call_path;
  el_str_t abandon_path;
  void (*write_call) (const gt_gate_t *gate, const rt_action_t *action,
                      el_buf_t *body);
  void (*write_abandon) (const gt_gate_t *gate, const rt_action_t *action,
                         el_buf_t *body);
  /* Fills EVENT from RESULT. Strings of EVENT point into *BACKING, which the
     caller releases. */
  void (*read_reply) (const gt_gate_t *gate, const net_result_t *result,
                      rt_event_t *event, json_t **backing);
} gt_engine_protocol_t;

extern const gt_engine_protocol_t gt_engine_http;
rt_failure_t gt_net_failure (net_outcome_t net);
int gt_endpoint_refused (const net_result_t *result, rt_event_t *event);

/* Responses to callers. */
void gt_caller_serve (gt_gate_t *gate, h2o_req_t *req, gt_answer_t *answer,
                      int stream, size_t position);
void gt_caller_refuse (h2o_req_t *req, const gt_refusal_t *refusal);
void gt_refusal_from_outcome (const gt_outcome_t *outcome, gt_refusal_t *out);
json_t *gt_refusal_json (const gt_refusal_t *refusal);

/* Size of a buffer for any 64-bit number in decimal, with the final NUL. */
#define GT_NUMBER_MAX 24

/** The headers that give an answer's verdict and retry delay. Their values
    may point into the struct, which must not be copied. */
typedef struct gt_verdict_header_set
{
  net_header_t headers[3];
  size_t n;
  char seconds[GT_NUMBER_MAX];
  char ms[GT_NUMBER_MAX];
} gt_verdict_header_set_t;

void gt_verdict_headers (el_verdict_t verdict, uint64_t retry_after_ms,
                         gt_verdict_header_set_t *out);

/* Requests that are answered after an asynchronous operation; the caller may
   disconnect before it completes. */
typedef struct gt_deferred gt_deferred_t;

gt_deferred_t *gt_deferred_new (h2o_req_t *req);
h2o_req_t *gt_deferred_finish (gt_deferred_t *deferred);

/* The HTTP API. */
void gt_api_handle (void *arg, h2o_req_t *req);
int gt_api_authenticate (gt_gate_t *gate, h2o_req_t *req,
                         gt_request_t *request);
int gt_api_deadline (gt_gate_t *gate, h2o_req_t *req, el_time_t *deadline);
void gt_api_error (gt_gate_t *gate, h2o_req_t *req, int status,
                   const char *code, const char *message);
void gt_api_reply_json (h2o_req_t *req, int status, json_t *json);
void gt_api_chat (gt_gate_t *gate, h2o_req_t *req, el_str_t rest);
void gt_api_call (gt_gate_t *gate, h2o_req_t *req, el_str_t rest);
void gt_api_session_open (gt_gate_t *gate, h2o_req_t *req, el_str_t rest);
void gt_api_session_close (gt_gate_t *gate, h2o_req_t *req, el_str_t rest);
void gt_api_entry_hosts (gt_gate_t *gate, h2o_req_t *req, el_str_t rest);
void gt_api_resources (gt_gate_t *gate, h2o_req_t *req, el_str_t rest);
void gt_api_dump (gt_gate_t *gate, h2o_req_t *req, el_str_t rest);
void gt_api_load (gt_gate_t *gate, h2o_req_t *req, el_str_t rest);
void gt_api_blocked (gt_gate_t *gate, h2o_req_t *req, el_str_t rest);
void gt_api_unblock (gt_gate_t *gate, h2o_req_t *req, el_str_t rest);
void gt_api_metrics (gt_gate_t *gate, h2o_req_t *req, el_str_t rest);

/* The client of the platform. */
typedef enum gt_put
{
  GT_PUT_ACCEPTED, /* the platform has stored the change */
  GT_PUT_CONFLICT, /* the expected revision is not the current one */
  GT_PUT_NOT_RUN,  /* the platform is unreachable: nothing was written */
  GT_PUT_UNKNOWN   /* it may have been or may still be written; retry it
                       with the same id */
} gt_put_t;

typedef void (*gt_put_cb) (void *arg, gt_put_t outcome, uint64_t revision);

typedef struct gt_change
{
  co_kind_t kind;
  el_str_t name;
  json_t *spec; /* NULL deletes the resource */
  el_str_t id;
  uint64_t expected; /* current revision; 0 if the resource is new */
} gt_change_t;

gt_platform_t *gt_platform_new (gt_gate_t *gate);
void gt_platform_put (gt_platform_t *platform, const gt_change_t *change,
                      gt_put_cb done, void *arg);
void gt_platform_stop (gt_platform_t *platform);

/* Sessions held by other hosts. */
void gt_session_peer_ops (pr_options_t *options, gt_gate_t *gate);
void gt_session_forward (gt_gate_t *gate, const gt_request_t *request,
                         pr_forward_result_cb done, void *arg);

/* account.c */
void gt_account_metrics (gt_gate_t *gate);
json_t *gt_account_dump (const gt_gate_t *gate);

#endif
