/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Internals of relayed requests.
 */
#ifndef ELMARCH_LIBRELAY_H
#define ELMARCH_LIBRELAY_H

#include "gate_relay.h"

/* The digits of a number of 64 bits and the end, with room. */
#define RELAY_NUMBER_MAX 24

/* One service, as far as this host counts for it. */
typedef struct relay_service
{
  char *name;
  rt_spend_t spend; /* the budget of repeats */
  uint64_t rest_us; /* time that its endpoints rested */
  UT_hash_handle hh;
} relay_service_t;

struct gt_relays
{
  gt_relay_options_t options;
  net_server_t *server;
  rt_rules_t *rules;
  el_time_t born;  /* when this process began */
  el_time_t known; /* the rules were in force at this time */
  relay_service_t *services;
  gt_relay_t *running;
  struct relay_check *checks;
  struct relay_blame *blame;
  struct relay_rest *rests;
  el_time_t heard; /* other hosts told what they know; 0: not yet */
  el_timer_t poll;
  unsigned poll_part;
  el_time_t answered_asked; /* when the newest check that was answered left */
  size_t nrunning;
  gt_relay_counts_t counts;
  uint64_t random;       /* of el_random */
  el_time_t usual_first; /* mean time to a stream's first event */
  el_time_t usual_gap;   /* mean time between events */
  int closed;            /* takes no new requests */
  uint64_t rules_due;    /* version that others have in force */
  el_time_t rules_due_until;
};

/* Splits an event stream into whole events; a part stays behind. */
typedef struct relay_events
{
  el_buf_t part;
} relay_events_t;

typedef void (*relay_event_cb) (void *arg, el_str_t event, int has_id,
                                uint64_t id);

/* One relayed request; freed with the caller's request. */
struct gt_relay
{
  gt_relays_t *relays;
  h2o_req_t *req;
  h2o_generator_t generator;
  rt_rules_t *rules;
  const rt_rule_t *rule;
  const rt_service_t *service;
  el_str_t customer;
  el_str_t id;
  el_time_t received;
  el_time_t deadline;
  el_timer_t over;
  int waiting; /* for the host's first configuration */
  int ended;   /* the caller's answer is complete, or the caller has gone */

  /* the attempt under way */
  net_exchange_t *exchange;
  rt_target_t *target; /* the endpoint, or the first engine of the line */
  rt_line_t line;
  el_time_t sent;
  el_time_t began;    /* the answer's head came: it runs there; 0 before */
  rt_digest_t digest; /* 0: not worked out yet */
  rt_course_t course;
  rt_tried_t tried;
  el_timer_t turn; /* a suspect waits for its turn */
  unsigned turns;
  unsigned waits; /* for an endpoint to go on at, since the last event */
  int refused;    /* its answer says that it did not run */
  int crossed;    /* its answer is to another request */
  rt_asks_t asks; /* what its answer asks of this host */
  int stream;     /* its answer is a stream that is passed on */
  double prompt;  /* tokens */
  double tokens;  /* that the stream will have, as far as can be guessed */

  /* the answer as far as it went to the caller */
  int begun;
  int sending;
  int finish; /* to be ended once what is under way is sent */
  int break_off;
  el_buf_t out;    /* next */
  el_buf_t flight; /* being sent */
  relay_events_t events;
  uint64_t last_id; /* of the events passed on */
  int has_id;
  el_time_t last_event;
  uint64_t nevents;
  el_time_t first_event; /* from the request to the first event */
  el_time_t longest_gap; /* between two events */

  /* looking for an engine that stands still */
  el_timer_t watch;
  net_exchange_t *ask;
  el_time_t still_since; /* the last event, or the sending */
  unsigned looks;
  unsigned moves;   /* tried since the last event */
  rt_tried_t avoid; /* engines that moves since then go around */
  rt_line_t next_line;

  gt_relay_t *prev;
  gt_relay_t *next;
};

/* relay_events.c */
void relay_events_add (relay_events_t *events, el_str_t bytes,
                       relay_event_cb each, void *arg);
void relay_events_reset (relay_events_t *events);

/* relay_head.c */

/* The headers of one attempt, with the memory of those that are made. */
typedef struct relay_head
{
  net_header_t *list;
  size_t n;
  char time_left[RELAY_NUMBER_MAX];
  char resume[RELAY_NUMBER_MAX];
  el_buf_t line;
} relay_head_t;

void relay_head_make (gt_relay_t *relay, el_time_t now, relay_head_t *head);
void relay_head_free (relay_head_t *head);

/* relay_try.c */
void relay_try (gt_relay_t *relay);
void relay_give_up (gt_relay_t *relay, const char *reason);
void relay_drop (gt_relay_t *relay);
void relay_abandon (gt_relay_t *relay);
int relay_may_resume (gt_relay_t *relay);
rt_target_t *relay_at_fault (gt_relay_t *relay, const net_result_t *result);

/* relay_wait.c */
int relay_wait_endpoint (gt_relay_t *relay);

/* relay_watch.c */
void relay_watch_begin (gt_relay_t *relay);
void relay_watch_event (gt_relay_t *relay, el_time_t gap);
void relay_watch_end (gt_relay_t *relay);
void relay_watch_silent (gt_relay_t *relay, rt_target_t *engine);
void relay_watch_slow (gt_relay_t *relay, rt_target_t *engine);
void relay_watch_given_up (gt_relay_t *relay, rt_target_t *engine);

/* relay_check.c */
void relay_check (gt_relays_t *relays, rt_target_t *engine);
void relay_check_poll (gt_relays_t *relays, rt_target_t *engine,
                       el_time_t since);
void relay_check_load (gt_relays_t *relays, rt_target_t *engine,
                       const rt_load_t *load, el_time_t at);

/* relay_blame.c */
void relay_blame_open (gt_relays_t *relays);
void relay_blame_close (gt_relays_t *relays);
void relay_blame_broken (gt_relay_t *relay, rt_target_t *target);
int relay_blame_awaits (const gt_relays_t *relays, rt_digest_t digest);
void relay_blame_refused (gt_relays_t *relays, rt_target_t *target);
void relay_blame_alive (gt_relays_t *relays, const rt_target_t *target,
                        el_time_t asked);
void relay_blame_sign (gt_relays_t *relays, const rt_target_t *target);
void relay_blame_survived (gt_relay_t *relay);
rt_judgement_t relay_blame_of (gt_relay_t *relay);
rt_blame_t *relay_blame_book (const gt_relays_t *relays);

typedef struct relay_fact relay_fact_t;
void relay_blame_hear_ended (gt_relays_t *relays, const co_rumor_t *rumor,
                             const relay_fact_t *fact);
void relay_blame_hear_survived (gt_relays_t *relays, const co_rumor_t *rumor,
                                const relay_fact_t *fact);

/* relay_block.c */
void relay_block_found (void *arg, rt_digest_t digest,
                        const rt_judgement_t *judgement);
void relay_block_hear (gt_relays_t *relays, const co_rumor_t *rumor,
                       const relay_fact_t *fact);
void relay_block_hear_cleared (gt_relays_t *relays, const co_rumor_t *rumor,
                               const relay_fact_t *fact);

/* relay_rumor.c */
void relay_rumor_tell (gt_relays_t *relays, const relay_fact_t *fact,
                       uint64_t id, el_time_t hold);

/* relay_suspect.c */
int relay_suspect_admit (gt_relay_t *relay);
int relay_suspect_waits (gt_relay_t *relay, el_time_t now);
rt_target_t *relay_suspect_target (gt_relay_t *relay, el_time_t now);
void relay_suspect_stop (gt_relays_t *relays, rt_digest_t digest);

/* relay_fact.c */

/* What a rumor says of requests. */
typedef enum relay_fact_kind
{
  RELAY_FACT_ENDED,    /* requests ran where an endpoint ended */
  RELAY_FACT_SURVIVED, /* a request ran to its end */
  RELAY_FACT_BLOCKED,  /* a request is to blame */
  RELAY_FACT_CLEARED,  /* an operator lets a request in again */
  RELAY_FACT_LEAVES,   /* an endpoint says that it takes no new work */
  RELAY_FACT_RULES,    /* a version of the rules is in force */
  RELAY_FACTS
} relay_fact_kind_t;

/* Runs under one end in one rumor: it fits a body. */
#define RELAY_FACT_RUNS 12
/* Facts of requests are told as long as they count. */
#define RELAY_FACT_HOLD (600 * EL_SEC)

struct relay_fact
{
  relay_fact_kind_t kind;
  rt_ended_t runs[RELAY_FACT_RUNS]; /* of the same end */
  size_t nruns;
  rt_start_t start;   /* that leaves */
  rt_digest_t digest; /* of the others */
  uint64_t customer;
  unsigned holds;
  uint64_t version; /* of the rules */
};

void relay_fact_write (const relay_fact_t *fact, el_buf_t *out);
int relay_fact_read (el_str_t body, el_time_t at, relay_fact_t *out);

/* relay_poll.c */
void relay_poll_begin (gt_relays_t *relays);
void relay_poll_end (gt_relays_t *relays);

/* relay_epoch.c */
void relay_epoch_hear_rules (gt_relays_t *relays, const co_rumor_t *rumor,
                             const relay_fact_t *fact);

/* relay_rest.c */
void relay_rest_leaves_tell (gt_relays_t *relays, const rt_start_t *start);
void relay_rest_hear_leaves (gt_relays_t *relays, const co_rumor_t *rumor,
                             const relay_fact_t *fact);
void relay_rest_heard (gt_relay_t *relay, const net_result_t *head);
int relay_rest_may (gt_relay_t *relay, el_time_t now);
void relay_rest_sent (gt_relay_t *relay, el_time_t now);
void relay_rest_answered (gt_relay_t *relay);
el_time_t relay_rest_left (gt_relay_t *relay, el_time_t now);

/* relay_log.c */
void relay_log (gt_relay_t *relay, const char *event, int status,
                const char *reason);
void relay_log_sent (const gt_relay_t *relay, el_time_t now);
void relay_log_failed (gt_relay_t *relay, const rt_attempt_t *attempt,
                       const net_result_t *result, rt_next_t next);

/* relay_answer.c */
void relay_answer_refuse (gt_relay_t *relay, int status, const char *reason,
                          el_time_t retry_after);
void relay_answer_pass (gt_relay_t *relay, const net_result_t *result);
void relay_answer_begin (gt_relay_t *relay, const net_result_t *head);
void relay_answer_event (gt_relay_t *relay, el_str_t event);
void relay_answer_end (gt_relay_t *relay);
void relay_answer_break (gt_relay_t *relay, const char *reason);

/* relay.c */
relay_service_t *relay_service (gt_relays_t *relays, el_str_t name);
void relay_finished (gt_relay_t *relay);
int relay_spend_take (gt_relay_t *relay);
int relay_spend_left (gt_relay_t *relay);
rt_digest_t relay_digest (gt_relay_t *relay);

#endif
