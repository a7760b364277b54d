/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Internal interfaces of the request relay.
 */
#ifndef ELMARCH_LIBRELAY_H
#define ELMARCH_LIBRELAY_H

#include "gate_relay.h"
#include "relay_events.h"
#include "trial.h"

/* Buffer size for a decimal uint64_t and its NUL byte. */
#define RELAY_NUMBER_MAX 24
/** Longest response that is buffered, as all but streams are. */
#define RELAY_RESPONSE_MAX ((size_t)4 << 20)

/* Per-service state of this host. */
typedef struct relay_service
{
  char *name;
  rt_shared_budget_t retry_budget;
  uint64_t backoff_us;       /* total backoff of its endpoints */
  rt_reach_t reach;          /* of its endpoints as a whole */
  rt_reach_sample_t sample;  /* shows whether any of them is reached */
  int sample_again;          /* one was lost since the sample began */
  rt_reach_survey_t survey;  /* shows why none of them is reached */
  int surveying;             /* other hosts are being asked */
  int engines;               /* its endpoints are engines; set at a loss */
  size_t lost;               /* endpoints of it that are lost */
  el_time_t limit_return_at; /* latest return of a caller that was refused for
                                a limit */
  gt_relays_t *relays;
  ld_queue_t *queue;     /* its requests that wait in order of rank; NULL: none
                            has had to */
  el_timer_t wake_timer; /* set while requests wait */
  el_time_t refused_at;  /* last refusal by an engine; 0: none */
  el_time_t room_at;     /* last end of a stream of this host; 0: none */
  ld_waits_t elsewhere;  /* requests that wait at other hosts of the hall */
  el_time_t elsewhere_until; /* what was told of them is used until then */
  UT_hash_handle hh;
} relay_service_t;

/* What this host knows of another one that serves requests for it. */
typedef struct relay_helper
{
  el_str_t address;
  unsigned running; /* requests of this host there */
  el_time_t unusable_until;
  UT_hash_handle hh;
} relay_helper_t;

/* What varies with the way that a request takes to an endpoint: from this
   host, or over another one. */
typedef struct relay_way
{
  void (*send) (gt_relay_t *relay, el_time_t now);
  void (*watch) (gt_relay_t *relay); /* for signs of life, once more */
  net_head_cb head;
  void (*event) (gt_relay_t *relay, el_time_t now);
  net_result_cb done;
} relay_way_t;

extern const relay_way_t relay_way_direct;
extern const relay_way_t relay_way_over_host;

/* A former attempt that stays open (relay_standby.c). */
typedef struct relay_standby relay_standby_t;

/* The search for endpoints that this host does not reach. */
typedef struct relay_reach
{
  size_t next; /* position among the lost endpoints of the next one to try */
  el_timer_t timer;
} relay_reach_t;

struct gt_relays
{
  gt_relay_options_t options;
  net_server_t *server;
  rt_rules_t *rules;
  el_time_t started_at;
  el_time_t rules_as_of; /* when the rules were last known to be current */
  relay_service_t *services;
  gt_relay_t *running;
  struct relay_check *checks;
  struct relay_blame *blame;
  struct relay_runs *runs;
  struct relay_trial *trials;
  struct relay_backoff *backoffs;
  relay_reach_t reach;
  relay_helper_t *helpers;
  el_time_t first_gossip_at; /* when the first gossip exchange completed; 0:
                                not yet */
  el_timer_t poll;
  unsigned poll_slice; /* slice of the engines that was polled last */
  el_time_t last_answered_check; /* send time of the newest health check that
                                    was answered */
  size_t nrunning;
  gt_relay_counts_t counts;
  uint64_t random;             /* state of el_random */
  el_time_t mean_first_event;  /* moving mean from send to first event */
  el_time_t mean_event_gap;    /* moving mean between events */
  int stopping;                /* refuses new requests */
  uint64_t peer_rules_version; /* newest version in force on another host */
  el_time_t peer_rules_deadline;
};

/* What a request waits for. Nothing else acts on it: whatever another phase
   waits for has happened or was cancelled. */
typedef enum relay_phase
{
  RELAY_HELD,     /* until the host is ready to serve: deadline_timer */
  RELAY_DECIDING, /* nothing; the next step is being chosen */
  RELAY_WAITING,  /* to start an attempt: retry_timer, perhaps also a place in
                     the queue or a token */
  RELAY_SENT, /* the response to an attempt: exchange; watch_timer and query
                 act on that attempt */
  RELAY_SETTLING, /* a check which tells whether the response is complete:
                     watch_timer, then query */
  RELAY_ENDING,   /* the caller, to take the end of the response */
  RELAY_ENDED,    /* nothing; the response is complete, or the caller
                     disconnected */
  RELAY_PHASES
} relay_phase_t;

/* One relayed request; lives as long as the caller's request. */
struct gt_relay
{
  gt_relays_t *relays;
  h2o_req_t *req;
  h2o_generator_t generator;
  rt_rules_t *rules;
  const rt_rule_t *rule;
  const rt_service_t *service;
  el_str_t customer;
  const rt_key_t *key; /* of the customer; NULL: none is needed */
  el_str_t id;
  el_time_t received;
  el_time_t deadline;
  el_timer_t deadline_timer;
  int forwarded; /* another host sent it, which took it from the caller */
  relay_phase_t phase;

  /* Current attempt. */
  net_exchange_t *exchange;
  const relay_way_t *way;
  relay_helper_t *helper; /* host that serves it; NULL: none */
  unsigned helpers;       /* hosts that it was forwarded to */
  rt_target_t *target;    /* the endpoint, or the first engine of the chain */
  rt_chain_t chain;
  el_time_t sent;
  el_time_t head_at; /* response head received: the request is executing; 0: no
                      head yet */
  rt_digest_t digest; /* identifies the request across retries; 0: not
                         computed yet */
  rt_digest_t *parts; /* of its prompt, as far as others may share them */
  size_t nparts;
  int parts_known;
  rt_attempts_t attempts;
  rt_tried_t tried;          /* endpoints that later attempts avoid */
  el_timer_t retry_timer;    /* delay before the next attempt */
  unsigned turn_waits;       /* waits of a suspect request for its turn */
  unsigned endpoint_waits;   /* waits for an endpoint, since the last event */
  rt_target_t *limit_target; /* waits for a token of its limit; NULL: not */
  el_time_t token_until;     /* expiry of the token that was taken; 0: none */
  net_result_t kept;         /* response whose endpoint is checked; owned */
  el_time_t close_at;        /* when its connection ended */
  size_t close_part;         /* of the chain, whose engine is checked */
  el_time_t connect_at;      /* when the connection of the check was begun */
  int refused;      /* the response proves that the request was not executed */
  rt_hints_t hints; /* backoff and leaving notice in the response */
  int stream;       /* the response is forwarded event by event */
  int writing;      /* an event of this attempt has arrived */
  relay_standby_t *standby; /* former attempt; NULL: none */
  size_t unused; /* bytes of the response's body that are not used */
  double prompt; /* prompt length in tokens */
  double tokens; /* estimated tokens of prompt and response */

  /* Waiting in order of rank. */
  ld_entry_t entry;
  int retry_unpaid;     /* the retry budget has to pay for the next attempt */
  int offered;          /* the attempt is to check the estimate of room */
  el_time_t started_at; /* admission of the current attempt; 0: none needed */

  /* Response to the caller. */
  int response_started;
  int sending;
  int abort_pending;  /* the pending end is that of an incomplete response */
  el_buf_t out;       /* bytes to send next */
  el_buf_t in_flight; /* bytes passed to h2o */
  relay_events_t events;
  uint64_t last_event_id; /* id of the last event forwarded */
  int has_id;
  int no_position; /* the last event forwarded had no id: nothing can continue
                      behind it */
  el_time_t last_event;
  uint64_t nevents;
  el_time_t first_event; /* from arrival to the first event */
  el_time_t longest_gap; /* between two events */

  /* Stall detection. */
  el_timer_t watch_timer;
  net_exchange_t *query;   /* stall query or reroute in progress */
  el_time_t last_progress; /* time of the last event, or of the send */
  unsigned stall_checks;
  unsigned reroutes;        /* refused reroutes since the last event */
  rt_tried_t avoid;         /* engines that a reroute has to bypass */
  rt_chain_t reroute_chain; /* new chain while a reroute is in progress */

  gt_relay_t *prev;
  gt_relay_t *next;
};

/* relay_head.c */

/* Request headers of one attempt; owns the generated values. */
typedef struct relay_head
{
  net_header_t *list;
  size_t n;
  char time_left[RELAY_NUMBER_MAX];
  char resume[RELAY_NUMBER_MAX];
  el_buf_t chain;
} relay_head_t;

void relay_estimate_tokens (gt_relay_t *relay);
void relay_head_build (gt_relay_t *relay, el_time_t now, relay_head_t *head);
void relay_head_free (relay_head_t *head);

/* relay_attempt.c */
void relay_attempt (gt_relay_t *relay);
void relay_schedule_attempt (gt_relay_t *relay, el_time_t wait);
void relay_cancel_attempt (gt_relay_t *relay);
void relay_attempt_release (gt_relay_t *relay);
int relay_attempt_is_refused (const gt_relay_t *relay,
                              const net_result_t *head);
void relay_attempt_record (gt_relay_t *relay, const net_result_t *result);
void relay_retry (gt_relay_t *relay, int connection_lost);
void relay_attempt_unsent (gt_relay_t *relay);
int relay_attempt_body (void *arg, el_str_t bytes);
void relay_attempt_ended (gt_relay_t *relay, const rt_attempt_t *attempt,
                          const net_result_t *result);
void relay_attempt_settled (gt_relay_t *relay, const net_result_t *result);
int relay_may_resume (gt_relay_t *relay);
int relay_may_repeat (gt_relay_t *relay);
rt_target_t *relay_fault_target (gt_relay_t *relay,
                                 const net_result_t *result);

/* relay_standby.c */
int relay_standby_begin (gt_relay_t *relay);
int relay_standby_resume (gt_relay_t *relay, const char *reason);
void relay_standby_cancel (gt_relay_t *relay, const char *reason);
const relay_helper_t *relay_standby_helper (const gt_relay_t *relay);

/* relay_close.c */
void relay_close_settle (gt_relay_t *relay, const net_result_t *response);

/* relay_reach.c */
void relay_reach_open (gt_relays_t *relays);
void relay_reach_connected (gt_relays_t *relays, rt_target_t *target,
                            el_time_t begun);
void relay_reach_failed (gt_relays_t *relays, rt_target_t *target);
void relay_reach_check_overdue (gt_relays_t *relays, rt_target_t *target);
void relay_reach_check_lost (gt_relays_t *relays, rt_target_t *target);
void relay_reach_attempt_ended (gt_relay_t *relay, const net_result_t *result);
void relay_reach_prove (gt_relays_t *relays, rt_target_t *target);
int relay_reach_is_cut_off (gt_relays_t *relays, el_str_t service);
void relay_reach_retract_refusals (gt_relays_t *relays,
                                   const relay_service_t *service);

/* Endpoints in a sample. */
#define RELAY_REACH_SAMPLE 3

/* Called with the INDEX that was passed and whether a connection opened. */
typedef void (*relay_probe_cb) (void *arg, size_t index, int connected);

size_t relay_reach_choose (gt_relays_t *relays, const relay_service_t *service,
                           int with_lost,
                           rt_target_t *chosen[RELAY_REACH_SAMPLE]);
void relay_reach_probe (gt_relays_t *relays, rt_target_t *target,
                        relay_probe_cb done, void *arg, size_t index);

/* relay_survey.c */
void relay_survey_begin (gt_relays_t *relays, relay_service_t *service);
void relay_survey_tick (gt_relays_t *relays, el_time_t now);
int relay_survey_is_host (const relay_service_t *service);
int relay_survey_is_endpoints (const relay_service_t *service);

/* relay_forward.c */
int relay_forward_read (gt_relay_t *relay);
int relay_forward_is_own_header (el_str_t name);
int relay_forward_pick (gt_relay_t *relay);
void relay_forward_release (gt_relay_t *relay);
void relay_forward_mark_unserved (gt_relay_t *relay);
void relay_forward_mark_refused (gt_relay_t *relay);
void relay_forward_refuse (gt_relay_t *relay, el_time_t retry_after);

/* relay_pick.c */

/* Result of picking a target. */
typedef enum relay_pick
{
  RELAY_PICK_OK,
  RELAY_PICK_WAIT, /* for a token or for room; another attempt follows */
  RELAY_PICK_TURNED_AWAY, /* it has been refused for lack of room */
  RELAY_PICK_UNREACHED, /* this host does not reach the endpoints, and no other
                           host is known that does */
  RELAY_PICK_NONE
} relay_pick_t;

relay_pick_t relay_pick_target (gt_relay_t *relay, el_time_t now);

/* relay_wait.c */
int relay_wait_endpoint (gt_relay_t *relay, const char *reason);
ld_queue_t *relay_wait_queue (gt_relay_t *relay);
relay_pick_t relay_wait_admit (gt_relay_t *relay, el_time_t now);
int relay_wait_refused (gt_relay_t *relay, el_time_t now, int charged);
relay_pick_t relay_wait_charge (gt_relay_t *relay);
void relay_wait_over (gt_relay_t *relay, el_time_t now);
void relay_wait_started (gt_relay_t *relay, el_time_t now);
void relay_wait_served (gt_relay_t *relay);
void relay_wait_released (gt_relay_t *relay);
void relay_wait_room (relay_service_t *service);
void relay_wait_room_all (gt_relays_t *relays);
int relay_wait_return_after (gt_relay_t *relay, el_time_t now, el_time_t *out);

/* relay_watch.c */
void relay_watch_start (gt_relay_t *relay);
void relay_watch_event (gt_relay_t *relay, el_time_t gap);
void relay_watch_stop (gt_relay_t *relay);
void relay_watch_again (gt_relay_t *relay);
void relay_watch_engine_silent (gt_relay_t *relay, rt_target_t *engine);
void relay_watch_engine_restarted (gt_relay_t *relay, rt_target_t *engine);
void relay_watch_engine_slow (gt_relay_t *relay, rt_target_t *engine);
void relay_watch_layers_released (gt_relay_t *relay, rt_target_t *engine);

/* relay_check.c */
void relay_check (gt_relays_t *relays, rt_target_t *engine);
void relay_check_unless_recent (gt_relays_t *relays, rt_target_t *engine,
                                el_time_t since);
void relay_check_load (gt_relays_t *relays, rt_target_t *engine,
                       const rt_load_t *load, el_time_t at);

/* relay_blame.c */
void relay_blame_open (gt_relays_t *relays);
int relay_blame_update_is_due (const gt_relays_t *relays);
void relay_blame_schedule_update (gt_relays_t *relays);
void relay_blame_began (gt_relay_t *relay);
void relay_blame_completed (gt_relay_t *relay);
void relay_blame_attempt_ended (gt_relay_t *relay, const net_result_t *result,
                                const rt_attempt_t *attempt);
rt_blame_status_t relay_blame_get_status (gt_relay_t *relay);
rt_blame_t *relay_blame_table (const gt_relays_t *relays);

typedef struct relay_fact relay_fact_t;
void relay_blame_on_crash (gt_relays_t *relays, const co_rumor_t *rumor,
                           const relay_fact_t *fact);
void relay_blame_on_completed (gt_relays_t *relays, const co_rumor_t *rumor,
                               const relay_fact_t *fact);

/* relay_runs.c */
/* An answer that arrives later than this after the connection was lost may be
   from the next instance at the same address. */
#define RELAY_ALIVE_WINDOW (1 * EL_SEC)

/* A run whose connection was lost, at an endpoint that may have crashed, or
   that this host cancelled. */
typedef struct relay_run
{
  rt_target_t *target;
  rt_crash_report_t report;
  int cancelled; /* by this host, at the time of the report */
  int check;   /* of a cancelled run: connect to the endpoint once it must have
                  noticed */
  int checked; /* that was done */
  el_time_t refused_at; /* the endpoint refuses connections since; 0: not */
  el_time_t room_at;    /* last end of a stream of this host; 0: none */
  int doubtful; /* this host reached no endpoint of the service: connects prove
                   nothing */
  int asked;    /* other hosts were asked whether the endpoint is alive */
  struct relay_run *prev;
  struct relay_run *next;
} relay_run_t;

typedef struct relay_runs
{
  relay_run_t *pending;
  size_t npending;
  size_t npending_refused; /* of these, runs whose endpoint refuses
                              connections */
  size_t ndoubtful;        /* of these, doubtful runs */
  size_t ncancelled;       /* of these, cancelled runs */
  el_timer_t check_timer;
} relay_runs_t;

void relay_pending_free (relay_runs_t *runs, relay_run_t *run);
void relay_pending_expire (gt_relays_t *relays, el_time_t now);
relay_run_t *relay_pending_add (gt_relays_t *relays, rt_target_t *target,
                                const rt_crash_report_t *report);
rt_crash_report_t relay_run_report (gt_relay_t *relay,
                                    const rt_target_t *target, el_time_t now);
void relay_runs_open (gt_relays_t *relays);
void relay_runs_interrupted (gt_relay_t *relay, rt_target_t *target);
int relay_runs_is_pending (gt_relays_t *relays, rt_digest_t digest);
unsigned relay_runs_count_doubtful (gt_relay_t *relay);
void relay_runs_doubt (gt_relays_t *relays, el_str_t service);
size_t relay_runs_ask (gt_relays_t *relays, el_str_t service,
                       rt_instance_t *out, size_t max);
int relay_runs_has_unasked (const gt_relays_t *relays, el_str_t service);
void relay_runs_alive (gt_relays_t *relays, const rt_instance_t *instance,
                       el_time_t asked_at);
void relay_runs_connect_refused (gt_relays_t *relays, rt_target_t *target);
void relay_runs_check_answered (gt_relays_t *relays, const rt_target_t *target,
                                el_time_t sent_at);
void relay_runs_connected (gt_relays_t *relays, const rt_target_t *target,
                           el_time_t begun);

/* relay_testimony.c */
void relay_testimony_give (gt_relays_t *relays, const rt_crash_report_t *run);
void relay_testimony_refute (gt_relays_t *relays, const rt_block_t *block);
void relay_testimony_on_rumor (gt_relays_t *relays, const co_rumor_t *rumor,
                               const relay_fact_t *fact);

/* relay_cancelled.c */
void relay_cancelled_add (gt_relay_t *relay);
void relay_cancelled_check (gt_relays_t *relays, relay_run_t *run);
void relay_cancelled_checks_due (void *arg, el_time_t now);
void relay_cancelled_check_instance (gt_relays_t *relays,
                                     const rt_instance_t *instance);
void relay_cancelled_seen_alive (gt_relays_t *relays,
                                 const rt_target_t *target, el_time_t since);
int relay_cancelled_may_run (const relay_run_t *run, el_time_t at);

/* relay_traits.c */
el_str_t relay_host_name (const h2o_req_t *req);
rt_digest_t relay_digest (gt_relay_t *relay);
rt_traits_t relay_shared_traits (gt_relay_t *relay);
rt_traits_t relay_traits (gt_relay_t *relay);

/* relay_trial.c */

/* The one trial at a time of requests that have a suspect cause in common. */
typedef struct relay_trial
{
  rt_digest_t cause;
  rt_trial_t state;
  UT_hash_handle hh;
} relay_trial_t;

int relay_trial_take (gt_relay_t *relay, rt_digest_t cause, el_time_t now);
void relay_trial_lend (gt_relays_t *relays, rt_digest_t cause, int is_grantor,
                       co_loan_t *out);

/* relay_block.c */
void relay_block_add (void *arg, const rt_block_t *block,
                      const rt_blame_status_t *status);
void relay_block_on_blocked (gt_relays_t *relays, const co_rumor_t *rumor,
                             const relay_fact_t *fact);
void relay_block_on_cleared (gt_relays_t *relays, const co_rumor_t *rumor,
                             const relay_fact_t *fact);

/* relay_rumor.c */
void relay_rumor_publish (gt_relays_t *relays, const relay_fact_t *fact,
                          uint64_t id, el_time_t hold);

/* relay_suspect.c */
int relay_suspect_admit (gt_relay_t *relay);
int relay_suspect_must_wait (gt_relay_t *relay, el_time_t now);
rt_target_t *relay_suspect_pick_target (gt_relay_t *relay, el_time_t now);
void relay_suspect_cancel (gt_relays_t *relays, const rt_block_t *block);
void relay_suspect_refuse (gt_relay_t *relay);

/* relay_fact.c */

/* Kinds of facts that hosts publish as rumors. */
typedef enum relay_fact_kind
{
  RELAY_FACT_CRASHED,   /* an endpoint crashed while requests ran there */
  RELAY_FACT_COMPLETED, /* a request completed */
  RELAY_FACT_BLOCKED,   /* a request is blocked as it crashes endpoints */
  RELAY_FACT_CLEARED,   /* an operator unblocked a request */
  RELAY_FACT_LEAVING,   /* an endpoint is leaving */
  RELAY_FACT_RULES,     /* a version of the rules is in force */
  RELAY_FACT_LIMIT,     /* an endpoint names a rate limit */
  RELAY_FACT_UNLIMITED, /* it no longer does */
  RELAY_FACT_RAN_WELL,  /* a part of prompts ran well before a crash */
  RELAY_FACT_KINDS
} relay_fact_kind_t;

/* Limits for the runs of one crash, and the parts of their prompts, in a
   rumor, whose size is limited. A run takes as much space as three parts. */
#define RELAY_FACT_RUNS_MAX 12
#define RELAY_FACT_PARTS_MAX 40
#define RELAY_FACT_RUN_PARTS 3
/* How long facts about requests are gossiped: as long as they count as
   evidence about a request. */
#define RELAY_FACT_GOSSIP_TIME (600 * EL_SEC)

/* The contents of a rumor; which members are used depends on the kind. */
struct relay_fact
{
  relay_fact_kind_t kind;
  rt_crash_report_t runs[RELAY_FACT_RUNS_MAX]; /* all of the same crash */
  size_t nruns;
  rt_instance_t instance; /* the endpoint instance that is leaving */
  rt_digest_t digest;     /* the cause, for the kinds that concern one */
  rt_block_t block;       /* what is blocked */
  uint64_t customer;
  unsigned holds;        /* how often it has been blocked */
  uint64_t version;      /* version of the rules */
  uint64_t limit_milli;  /* requests per second, in thousandths */
  el_time_t limited_for; /* time since it was first named */
  el_time_t ago;         /* time since the cause ran well */
};

int relay_fact_add_run (relay_fact_t *fact, const rt_crash_report_t *run);
void relay_fact_encode (const relay_fact_t *fact, el_buf_t *out);
int relay_fact_decode (el_str_t body, el_time_t at, relay_fact_t *out);

/* relay_poll.c */
void relay_poll_start (gt_relays_t *relays);
void relay_poll_stop (gt_relays_t *relays);

/* relay_epoch.c */
void relay_epoch_on_rules (gt_relays_t *relays, const co_rumor_t *rumor,
                           const relay_fact_t *fact);

/* relay_backoff.c */
void relay_backoff_announce_leaving (gt_relays_t *relays,
                                     const rt_instance_t *instance);
void relay_backoff_on_leaving (gt_relays_t *relays, const co_rumor_t *rumor,
                               const relay_fact_t *fact);
void relay_backoff_read_head (gt_relay_t *relay, const net_result_t *head);
int relay_backoff_permits (gt_relay_t *relay, el_time_t now);
void relay_backoff_sent (gt_relay_t *relay, el_time_t now);
void relay_backoff_answered (gt_relay_t *relay);
el_time_t relay_backoff_left (gt_relay_t *relay, el_time_t now);

/* relay_limit.c */

/* Whether a request may be sent to a target. */
typedef enum relay_permit
{
  RELAY_PERMIT_SEND,
  RELAY_PERMIT_WAIT, /* the lender was asked; another attempt follows */
  RELAY_PERMIT_DENIED
} relay_permit_t;

uint64_t relay_limit_milli (const rt_limit_t *limit);
void relay_limit_named (gt_relays_t *relays, rt_target_t *target, double rate,
                        el_str_t by);
void relay_limit_read_head (gt_relay_t *relay);
void relay_limit_on_rumor (gt_relays_t *relays, const co_rumor_t *rumor,
                           const relay_fact_t *fact);
relay_permit_t relay_limit_permit (gt_relay_t *relay, rt_target_t *target,
                                   el_time_t now);
int relay_limit_still_permits (gt_relay_t *relay, el_time_t now);
void relay_limit_sent (gt_relay_t *relay);
void relay_limit_not_sent (gt_relay_t *relay);
void relay_limit_stop_waiting (gt_relay_t *relay);
el_time_t relay_limit_left (gt_relay_t *relay, el_time_t now);
el_time_t relay_limit_reserve (gt_relay_t *relay, el_time_t now,
                               el_time_t left);
int relay_limit_wait (gt_relay_t *relay, el_time_t now);

/* relay_log.c */
void relay_log (gt_relay_t *relay, const char *event, int status,
                const char *reason);
void relay_log_sent (const gt_relay_t *relay, el_time_t now);
void relay_log_failed (gt_relay_t *relay, const rt_attempt_t *attempt,
                       const net_result_t *result, rt_next_t next);

/* relay_response.c */

/* Retry-after of a refused request: a busy or missing endpoint may be
   available soon. Half of it is random, to spread callers. */
#define RELAY_REFUSED_RETRY_AFTER (100 * EL_MSEC)

void relay_refuse (gt_relay_t *relay, const char *reason);
void relay_fail (gt_relay_t *relay, const char *reason);
int relay_may_have_run (const gt_relay_t *relay);
void relay_refuse_stopping (gt_relay_t *relay);
void relay_abort (gt_relay_t *relay, const char *reason);
void relay_respond_error (gt_relay_t *relay, int status, const char *reason,
                          el_time_t retry_after);
void relay_respond_whole (gt_relay_t *relay, const net_result_t *result);
void relay_respond_begin (gt_relay_t *relay, const net_result_t *head);
void relay_respond_head (gt_relay_t *relay, const net_result_t *head);
void relay_respond_event (gt_relay_t *relay, el_str_t event);
void relay_respond_end (gt_relay_t *relay);
void relay_respond_abort (gt_relay_t *relay, const char *reason);
void relay_respond_cut (gt_relay_t *relay, const char *reason);

/* relay.c */
relay_service_t *relay_service (gt_relays_t *relays, el_str_t name);
int relay_phase_holds (const gt_relay_t *relay);
void relay_enter (gt_relay_t *relay, relay_phase_t phase);
int relay_begin_attempt (gt_relay_t *relay);
void relay_finish (gt_relay_t *relay);
int relay_retry_take (gt_relay_t *relay);
int relay_retry_left (gt_relay_t *relay);

#endif
