/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Internals of the gate package.
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
typedef struct gt_flow gt_flow_t;
typedef struct gt_platform gt_platform_t;

/* One who waits for an answer; its wake is called when there is news. */
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
  size_t offset; /* of its text */
  size_t len;
} gt_token_t;

/* How a request ended, as it is told to the one who asked. */
typedef struct gt_end
{
  el_verdict_t verdict;
  rt_reason_t reason;
  uint64_t retry_after_ms;
} gt_end_t;

/* The answer to one request, shared by those who wait for it. */
struct gt_answer
{
  unsigned refs;
  rt_request_type_t work;
  uint64_t stream;
  el_str_t target;
  int in_session;
  int keep; /* goes on without readers to its end */
  int ended;
  gt_end_t end;
  gt_reader_t *readers;
  int dirty;
  gt_answer_t *dirty_next;
  el_timer_t hold; /* a stream that nobody reads */
  gt_gate_t *gate;
  /* chat */
  size_t base; /* tokens that the caller brought */
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

/* What a caller asks, checked and typed. */
typedef struct gt_ask
{
  rt_request_type_t work;
  el_str_t customer;
  el_str_t target;
  int repeatable;
  el_time_t deadline; /* on the clock */
  int in_session;
  co_token_t token;
  pr_place_t where; /* when that is not here */
  unsigned hops;    /* hosts that forwarded it so far */
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
} gt_ask_t;

/* A refusal that needs no router. */
typedef struct gt_refusal
{
  int status;
  el_verdict_t verdict;
  const char *code;
  const char *message;
  uint64_t retry_after_ms;
  int go;           /* no refusal: another host has it */
  pr_place_t where; /* which one */
} gt_refusal_t;

/* A request that runs. */
struct gt_flow
{
  uint64_t id; /* key: the router's stream */
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
  el_time_t started;
  UT_hash_handle hh;
};

typedef struct gt_counts
{
  uint64_t http_requests;
  uint64_t denied;       /* unknown customers and operators */
  uint64_t bad_requests; /* broken or over a limit */
  uint64_t joined;       /* duplicates that got the first one's answer */
  uint64_t forgotten;    /* refused because it may have run */
  uint64_t forwarded;    /* to the session's home */
  uint64_t home_gone;    /* not forwarded: the home does not answer */
  uint64_t trace_lost;
  uint64_t platform_calls; /* all kinds, a watch as one */
  uint64_t platform_failures;
  el_hist_t first_token; /* microseconds */
} gt_counts_t;

struct gt_gate
{
  gt_options_t options;
  net_clock_t clock;
  net_server_t *server;
  net_client_t *client;
  rt_router_t *router;
  co_ledger_t *ledger;
  co_config_t *config;
  pr_config_t *sync;
  co_incarnation_t incarnation;
  char incarnation_hex[CO_INCARNATION_HEX + 1];
  gt_flow_t *flows;
  uint64_t next_stream;
  uint64_t next_change;
  gt_answer_t *dirty;
  pr_peers_t *peers;
  gt_follow_t *follow; /* news for other hosts; NULL without */
  gt_relay_talk_t talk;
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
  uint64_t callers; /* answers that are not wholly sent */
  int draining;
  int trace_cut; /* the last line of the trace is not whole */
  int handing;   /* sessions are on their way to a successor */
  el_time_t drain_until;
  gt_drained_cb drained;
  void *drained_arg;
};

/* gate.c */
void gt_router_event (gt_gate_t *gate, const rt_event_t *event);
void gt_trace (gt_gate_t *gate, json_t *line);
uint64_t gt_random (gt_gate_t *gate);

/* answer.c */
gt_answer_t *gt_answer_new (gt_gate_t *gate, const gt_ask_t *ask);
gt_answer_t *gt_answer_ref (gt_answer_t *answer);
void gt_answer_unref (gt_answer_t *answer);
void gt_answer_attach (gt_answer_t *answer, gt_reader_t *reader);
void gt_answer_detach (gt_reader_t *reader);
void gt_answer_token (gt_answer_t *answer, uint64_t id, el_str_t text);
void gt_answer_result (gt_answer_t *answer, const net_result_t *result);
void gt_answer_end (gt_answer_t *answer, const gt_end_t *end);
size_t gt_answer_bytes (const gt_answer_t *answer);
void gt_answer_flush (gt_gate_t *gate);
int gt_header_passes (el_str_t name);

/* flow.c */
gt_answer_t *gt_flow_ask (gt_gate_t *gate, const gt_ask_t *ask,
                          gt_refusal_t *refusal);
void gt_flow_act (void *arg, const rt_action_t *action);
void gt_flow_free (gt_flow_t *flow);

/* engine.c: the dialect that engines speak. */
typedef struct gt_engine_dialect
{
  el_str_t call_path;
  el_str_t abandon_path;
  void (*write_call) (const gt_gate_t *gate, const rt_action_t *action,
                      el_buf_t *body);
  void (*write_abandon) (const gt_gate_t *gate, const rt_action_t *action,
                         el_buf_t *body);
  /* Fill EVENT from RESULT; *KEEP holds the strings until it is freed. */
  void (*read_reply) (const gt_gate_t *gate, const net_result_t *result,
                      rt_event_t *event, json_t **keep);
} gt_engine_dialect_t;

extern const gt_engine_dialect_t gt_engine_http;
rt_failure_t gt_net_fail (net_outcome_t net);
int gt_refused (const net_result_t *result, rt_event_t *event);

/* caller.c */
void gt_caller_serve (gt_gate_t *gate, h2o_req_t *req, gt_answer_t *answer,
                      int stream, size_t position);
void gt_caller_refuse (h2o_req_t *req, const gt_refusal_t *refusal);
void gt_refusal_of_end (const gt_end_t *end, gt_refusal_t *out);
json_t *gt_refusal_json (const gt_refusal_t *refusal);

/* Digits of any number, with the final NUL. */
#define GT_NUMBER_MAX 24

/** The headers that tell an answer's verdict and when to come back; they lie
    in the struct. */
typedef struct gt_verdict_head
{
  net_header_t headers[3];
  size_t n;
  char seconds[GT_NUMBER_MAX];
  char ms[GT_NUMBER_MAX];
} gt_verdict_head_t;

void gt_verdict_headers (el_verdict_t verdict, uint64_t retry_after_ms,
                         gt_verdict_head_t *out);

/* hold.c: a request whose answer waits for news that the caller may not
   live to see. */
typedef struct gt_hold gt_hold_t;

gt_hold_t *gt_hold_new (h2o_req_t *req);
h2o_req_t *gt_hold_release (gt_hold_t *hold);

/* door.c and its parts. */
void gt_door_handle (void *arg, h2o_req_t *req);
int gt_door_customer (gt_gate_t *gate, h2o_req_t *req, gt_ask_t *ask);
int gt_door_deadline (gt_gate_t *gate, h2o_req_t *req, el_time_t *deadline);
void gt_door_error (gt_gate_t *gate, h2o_req_t *req, int status,
                    const char *code, const char *message);
void gt_door_json (h2o_req_t *req, int status, json_t *json);
void gt_door_chat (gt_gate_t *gate, h2o_req_t *req, el_str_t rest);
void gt_door_call (gt_gate_t *gate, h2o_req_t *req, el_str_t rest);
void gt_door_session_open (gt_gate_t *gate, h2o_req_t *req, el_str_t rest);
void gt_door_session_close (gt_gate_t *gate, h2o_req_t *req, el_str_t rest);
void gt_door_entry_hosts (gt_gate_t *gate, h2o_req_t *req, el_str_t rest);
void gt_door_resources (gt_gate_t *gate, h2o_req_t *req, el_str_t rest);
void gt_door_dump (gt_gate_t *gate, h2o_req_t *req, el_str_t rest);
void gt_door_blocked (gt_gate_t *gate, h2o_req_t *req, el_str_t rest);
void gt_door_unblock (gt_gate_t *gate, h2o_req_t *req, el_str_t rest);
void gt_door_metrics (gt_gate_t *gate, h2o_req_t *req, el_str_t rest);

/* platform.c */
typedef enum gt_put
{
  GT_PUT_ACCEPTED, /* the change is in the platform */
  GT_PUT_CONFLICT, /* another change came first */
  GT_PUT_NOT_RUN,  /* the platform can't be reached: nothing was written */
  GT_PUT_UNKNOWN   /* it may still be written; ask with the change's id */
} gt_put_t;

typedef void (*gt_put_cb) (void *arg, gt_put_t outcome, uint64_t revision);

typedef struct gt_change
{
  co_kind_t kind;
  el_str_t name;
  json_t *spec; /* NULL removes the resource */
  el_str_t id;
  uint64_t expected; /* the revision that it replaces; 0 is none */
} gt_change_t;

gt_platform_t *gt_platform_new (gt_gate_t *gate);
void gt_platform_put (gt_platform_t *platform, const gt_change_t *change,
                      gt_put_cb done, void *arg);
void gt_platform_stop (gt_platform_t *platform);

/* session_peer.c */
void gt_session_peer_ops (pr_options_t *options, gt_gate_t *gate);
void gt_session_forward (gt_gate_t *gate, const gt_ask_t *ask,
                         pr_called_cb done, void *arg);

#endif
