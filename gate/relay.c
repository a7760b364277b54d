/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Admission of relayed requests: rules, customer keys and deadlines.
 */
#include <string.h>

#include "librelay.h"

#define BEARER EL_STR ("Bearer ")
/* Retry-after of a host without a configuration: it reads one as soon as it
   reaches the platform. */
#define NO_CONFIG_RETRY_AFTER (300 * EL_MSEC)
/* Requests that arrive before the first configuration are held: a starting
   host has it within about 200 ms. If the store does not respond, callers wait
   no longer than this, and at most a third of their deadline. */
#define CONFIG_WAIT_MAX (1000 * EL_MSEC)
#define CONFIG_WAIT_DIVISOR 3
/* Timeout of a request if neither the caller nor the rule sets one. */
#define DEFAULT_TIMEOUT (60 * EL_SEC)

/* Phases. */

#define PHASE(phase) (1U << (phase))

static const unsigned phase_follows[RELAY_PHASES] = {
  [RELAY_HELD] = PHASE (RELAY_DECIDING) | PHASE (RELAY_ENDED),
  [RELAY_DECIDING] = PHASE (RELAY_WAITING) | PHASE (RELAY_SENT)
                     | PHASE (RELAY_SETTLING) | PHASE (RELAY_ENDING)
                     | PHASE (RELAY_ENDED),
  [RELAY_WAITING] = PHASE (RELAY_DECIDING),
  [RELAY_SENT] = PHASE (RELAY_DECIDING),
  [RELAY_SETTLING] = PHASE (RELAY_DECIDING),
  [RELAY_ENDING] = PHASE (RELAY_ENDED),
};

static const char *const phase_names[RELAY_PHASES] = {
  [RELAY_HELD] = "held",         [RELAY_DECIDING] = "deciding",
  [RELAY_WAITING] = "waiting",   [RELAY_SENT] = "sent",
  [RELAY_SETTLING] = "settling", [RELAY_ENDING] = "ending",
  [RELAY_ENDED] = "ended",
};

/* The phases in which what a request holds may be there, and those in which it
   has to be. */
typedef struct phase_part
{
  unsigned allowed;
  unsigned required;
} phase_part_t;

static int
part_holds (const gt_relay_t *relay, phase_part_t part, int present)
{
  return ((present ? part.allowed : ~part.required) & PHASE (relay->phase))
         != 0;
}

/** Whether RELAY holds just what its phase allows. A request is in
    RELAY_DECIDING only while a function of the relay runs. */
int
relay_phase_holds (const gt_relay_t *relay)
{
  const unsigned sent = PHASE (RELAY_SENT);
  const unsigned settling = PHASE (RELAY_SETTLING);
  const unsigned waiting = PHASE (RELAY_WAITING);
  const phase_part_t exchange = { sent, sent };
  const phase_part_t place = { sent | settling, sent | settling };
  const phase_part_t check = { sent | settling, settling };
  const phase_part_t timer = { waiting, waiting };
  const phase_part_t queued = { waiting, 0 };
  const phase_part_t standby = { sent | settling | waiting, 0 };

  return relay->phase != RELAY_DECIDING
         && part_holds (relay, exchange, relay->exchange != NULL)
         && part_holds (relay, place, relay->target || relay->helper)
         && !(relay->target && relay->helper)
         && part_holds (relay, check,
                        relay->query || relay->watch_timer.heap_index)
         && part_holds (relay, timer, relay->retry_timer.heap_index != 0)
         && part_holds (relay, standby, relay->standby != NULL)
         && part_holds (relay, queued, relay->entry.queue != NULL)
         && part_holds (relay, queued, relay->limit_target != NULL);
}

/* Counts and logs that RELAY was to enter PHASE, which its own does not
   allow. */
static void
phase_error (gt_relay_t *relay, relay_phase_t phase)
{
  relay->relays->counts.phase_errors++;
  EL_LOG (EL_LOG_ERROR, "phase_error", EL_FS ("request", relay->id),
          EL_FC ("from", phase_names[relay->phase]),
          EL_FC ("to", phase_names[phase]),
          EL_FN ("exchange", relay->exchange != NULL),
          EL_FN ("query", relay->query != NULL),
          EL_FN ("attempts", relay->attempts.sent));
}

/** Enters PHASE. What the former phase waited for must have happened or been
    cancelled, but for a wait, which ends here. A place in the queue is kept
    while it is decided whether the request goes on waiting. */
void
relay_enter (gt_relay_t *relay, relay_phase_t phase)
{
  if (relay->phase == RELAY_WAITING)
    {
      net_clock_cancel (relay->relays->options.clock, &relay->retry_timer);
      relay_limit_stop_waiting (relay);
    }
  if (phase != RELAY_DECIDING && phase != RELAY_WAITING)
    ld_queue_remove (&relay->entry);
  if (phase == RELAY_ENDING || phase == RELAY_ENDED)
    relay_standby_cancel (relay, "response ends");
  if (!(phase_follows[relay->phase] & PHASE (phase)) || relay->exchange
      || relay->query)
    phase_error (relay, phase);
  relay->phase = phase;
}

/** Whether an attempt of RELAY may begin; it does not wait any longer then. */
int
relay_begin_attempt (gt_relay_t *relay)
{
  if (relay->phase == RELAY_WAITING)
    relay_enter (relay, RELAY_DECIDING);
  if (relay->phase == RELAY_DECIDING)
    return 1;
  phase_error (relay, RELAY_DECIDING);
  return 0;
}

/** Ends the processing of a request: the response is complete, or the caller
    disconnected. */
void
relay_finish (gt_relay_t *relay)
{
  if (relay->phase == RELAY_ENDED)
    return;
  net_clock_cancel (relay->relays->options.clock, &relay->deadline_timer);
  relay_cancel_attempt (relay);
  relay_enter (relay, RELAY_ENDED);
}

static void
relay_free (gt_relay_t *relay)
{
  gt_relays_t *relays = relay->relays;

  relay_finish (relay);
  DL_DELETE (relays->running, relay);
  relays->nrunning--;
  el_buf_free (&relay->out);
  el_buf_free (&relay->in_flight);
  relay_events_reset (&relay->events);
  free (relay->parts);
  rt_rules_unref (relay->rules);
  free (relay);
}

/* The caller disconnected, or its request is about to be freed. */
static void
relay_caller_disconnected (void *arg, int freed)
{
  gt_relay_t *relay = arg;

  if (relay->phase != RELAY_ENDED)
    {
      relay->relays->counts.disconnected++;
      relay_log (relay, "caller_gone", 0, "connection closed");
      relay_finish (relay);
      if (!freed)
        relay_respond_abort (relay, NULL);
    }
  if (freed)
    relay_free (relay);
}

static void
relay_generator_stop (h2o_generator_t *generator, h2o_req_t *req)
{
  gt_relay_t *relay
      = (gt_relay_t *)((char *)generator - offsetof (gt_relay_t, generator));

  (void)req;
  if (relay->phase == RELAY_ENDED)
    return;
  relay->relays->counts.disconnected++;
  relay_log (relay, "caller_gone", 0, "answer not taken");
  relay_finish (relay);
}

static void
relay_deadline_expired (void *arg, el_time_t now)
{
  gt_relay_t *relay = arg;

  (void)now;
  relay->relays->counts.timeouts++;
  if (relay->response_started)
    relay_respond_cut (relay, "time limit");
  else
    relay_respond_error (relay, 504, "time limit", 0);
}

static el_str_t
bearer (const h2o_req_t *req)
{
  el_str_t value = net_req_header (req, "authorization");

  if (!el_str_starts_with (value, BEARER))
    return (el_str_t){ NULL, 0 };
  return el_str_after (value, BEARER.len);
}

/* Whether the rules are recent enough for a request received at RECEIVED: keys
   revoked more than keys_limit before then are known to be revoked. */
static int
rules_fresh (const gt_relays_t *relays, el_time_t received)
{
  return relays->rules
         && (!relays->options.keys_limit
             || relays->rules_as_of + relays->options.keys_limit > received);
}

/* Finds the rule. Returns 0 after an error response. A host that may have
   missed a change responds 503 instead of 404. */
static int
relay_match_rule (gt_relay_t *relay, int fresh)
{
  gt_relays_t *relays = relay->relays;

  if (relays->rules)
    {
      relay->rules = rt_rules_ref (relays->rules);
      relay->rule = rt_rules_match (relay->rules, relay_host_name (relay->req),
                                    net_req_path (relay->req));
    }
  if (relay->rule)
    return 1;
  if (relay->rules && fresh)
    {
      relays->counts.unmatched++;
      relay_respond_error (relay, 404, "no rule", 0);
      return 0;
    }
  relays->counts.no_config++;
  relay_forward_mark_unserved (relay);
  relay_respond_error (relay, 503, "no configuration", NO_CONFIG_RETRY_AFTER);
  return 0;
}

/* Finds the customer by the bearer key. Returns 0 after an error response. */
static int
relay_authenticate (gt_relay_t *relay, int fresh)
{
  gt_relays_t *relays = relay->relays;
  const rt_key_t *key;

  if (!relay->rules->needs_key || relay->rule->is_public)
    return 1;
  if (!fresh)
    {
      relays->counts.no_config++;
      relay_forward_mark_unserved (relay);
      relay_respond_error (relay, 503, "keys not known",
                           NO_CONFIG_RETRY_AFTER);
      return 0;
    }
  key = rt_rules_key (relay->rules, bearer (relay->req));
  if (!key)
    {
      relays->counts.denied++;
      relay_respond_error (relay, 401, "no such key", 0);
      return 0;
    }
  relay->key = key;
  relay->customer = key->customer;
  return 1;
}

/* Returns 0 if the request was refused, after the error response. */
static int
relay_admit (gt_relay_t *relay)
{
  int fresh = rules_fresh (relay->relays, relay->received);

  if (!relay_match_rule (relay, fresh))
    return 0;
  if (relay->rules->max_body
      && net_req_body (relay->req).len > relay->rules->max_body)
    {
      relay_respond_error (relay, 413, "body too long", 0);
      return 0;
    }
  return relay_authenticate (relay, fresh);
}

/* The caller's own limit, if it is below LIMIT. */
static el_time_t
caller_timeout (const gt_relay_t *relay, el_time_t limit)
{
  const gt_relay_dialect_t *dialect = relay->relays->options.dialect;
  el_str_t text = net_req_header (relay->req, dialect->names.time_left);
  uint64_t ms;

  if (el_str_to_u64 (text, &ms) && ms < limit / EL_MSEC)
    return ms * EL_MSEC;
  return limit;
}

/* Sets the deadline to the lower of the caller's limit and the rule's. */
static void
relay_start_deadline (gt_relay_t *relay)
{
  net_clock_t *clock = relay->relays->options.clock;
  el_time_t now = net_clock_now (clock);
  el_time_t limit = caller_timeout (
      relay, relay->rule->timeout ? relay->rule->timeout : DEFAULT_TIMEOUT);

  relay->deadline = relay->received + limit;
  relay->deadline_timer.cb = relay_deadline_expired;
  relay->deadline_timer.arg = relay;
  net_clock_set (clock, &relay->deadline_timer,
                 relay->deadline > now ? relay->deadline - now : 0);
}

/** Returns the state of the service NAME, created on first use. */
relay_service_t *
relay_service (gt_relays_t *relays, el_str_t name)
{
  relay_service_t *service;

  HASH_FIND (hh, relays->services, name.ptr, (unsigned)name.len, service);
  if (service)
    return service;
  service = el_alloc (sizeof *service);
  service->relays = relays;
  service->name = (char *)(uintptr_t)el_str_dup (name).ptr;
  rt_shared_budget_init (&service->retry_budget, relays->options.retry_ratio,
                         relays->options.retry_slack,
                         relays->options.retry_window, relays->started_at);
  HASH_ADD_KEYPTR (hh, relays->services, service->name, (unsigned)name.len,
                   service);
  return service;
}

/** Takes a retry from the budget of RELAY's service. Returns 0 if this host's
    share is exhausted. */
int
relay_retry_take (gt_relay_t *relay)
{
  gt_relays_t *relays = relay->relays;
  const gt_relay_options_t *o = &relays->options;

  if (rt_shared_budget_take (
          &relay_service (relays, relay->service->name)->retry_budget,
          net_clock_now (o->clock), o->hosts (o->arg)))
    return 1;
  relays->counts.budget_exhausted++;
  return 0;
}

/** Whether the budget has a retry left for RELAY's service. */
int
relay_retry_left (gt_relay_t *relay)
{
  const gt_relay_options_t *o = &relay->relays->options;

  return rt_shared_budget_available (
      &relay_service (relay->relays, relay->service->name)->retry_budget,
      net_clock_now (o->clock), o->hosts (o->arg));
}

/* Admits the request and starts its first attempt. */
static void
relay_start (gt_relay_t *relay)
{
  gt_relays_t *relays = relay->relays;
  el_str_t service;

  relay_enter (relay, RELAY_DECIDING);
  if (!relay_admit (relay))
    return;
  service = rt_rule_pick_service (relay->rule, el_random (&relays->random));
  relay->service = rt_rules_service (relay->rules, service);
  if (!relay->service)
    {
      relay_respond_error (relay, 503, "no service", NO_CONFIG_RETRY_AFTER);
      return;
    }
  relay_estimate_tokens (relay);
  /* The host that took the request from the caller has counted it. */
  if (!relay->forwarded)
    rt_shared_budget_add_request (
        &relay_service (relays, service)->retry_budget, relay->received);
  if (!relay_suspect_admit (relay))
    return;
  relay_start_deadline (relay);
  relay_attempt (relay);
}

/* Whether the rules are known and current, and gossip has delivered the
   blocked requests, which could otherwise be sent. */
static int
relays_ready (const gt_relays_t *relays)
{
  return relays->rules && relays->rules_as_of && relays->first_gossip_at
         && !gt_relays_rules_outdated (relays);
}

static void
config_wait_expired (void *arg, el_time_t now)
{
  gt_relay_t *relay = arg;

  (void)now;
  relay->relays->counts.no_config++;
  relay_forward_mark_unserved (relay);
  relay_respond_error (relay, 503, "no configuration", NO_CONFIG_RETRY_AFTER);
}

/* Holds a request until the host is ready. */
static void
relay_wait_config (gt_relay_t *relay)
{
  relay->deadline_timer.cb = config_wait_expired;
  relay->deadline_timer.arg = relay;
  net_clock_set (relay->relays->options.clock, &relay->deadline_timer,
                 caller_timeout (relay, CONFIG_WAIT_MAX * CONFIG_WAIT_DIVISOR)
                     / CONFIG_WAIT_DIVISOR);
}

/* Starts the held requests once the host is ready. */
static void
relays_start_held (gt_relays_t *relays)
{
  gt_relay_t *relay;
  gt_relay_t *next;

  if (!relays_ready (relays))
    return;
  DL_FOREACH_SAFE (relays->running, relay, next)
  if (relay->phase == RELAY_HELD)
    {
      net_clock_cancel (relays->options.clock, &relay->deadline_timer);
      relay_start (relay);
    }
}

static void
relay_handle (void *arg, h2o_req_t *req)
{
  gt_relays_t *relays = arg;
  gt_relay_t *relay = el_alloc (sizeof *relay);
  const gt_relay_dialect_t *dialect = relays->options.dialect;

  relays->counts.requests++;
  relays->nrunning++;
  DL_APPEND (relays->running, relay);
  relay->relays = relays;
  relay->req = req;
  relay->phase = RELAY_HELD;
  relay->generator.stop = relay_generator_stop;
  relay->received = net_clock_now (relays->options.clock);
  net_req_watch (req, relay_caller_disconnected, relay);
  relay->id = net_req_header (req, dialect->names.id);
  relay->forwarded = relay_forward_read (relay);
  relays->counts.for_host += relay->forwarded != 0;
  if (relays->stopping)
    {
      relay_refuse_stopping (relay);
      return;
    }
  if (relays_ready (relays))
    relay_start (relay);
  else
    relay_wait_config (relay);
}

/** Starts listening for callers. Returns NULL, with the reason in ERR, if the
    address can't be bound. */
gt_relays_t *
gt_relays_new (const gt_relay_options_t *options, el_err_t *err)
{
  gt_relays_t *relays = el_alloc (sizeof *relays);
  net_server_options_t server = { .loop = options->clock->loop,
                                  .address = options->listen,
                                  .max_body = options->max_body,
                                  .account = options->account,
                                  .kind = EL_CONN_CALLER,
                                  .counts = options->server_counts,
                                  .handle = relay_handle,
                                  .arg = relays };

  relays->options = *options;
  relays->random = options->seed | 1;
  relays->started_at = net_clock_now (options->clock);
  relays->server = net_server_new (&server, err);
  if (relays->server)
    {
      relay_blame_open (relays);
      relay_reach_open (relays);
      relay_poll_start (relays);
      return relays;
    }
  free (relays);
  return NULL;
}

/** Puts RULES in force; takes over the reference. */
void
gt_relays_set_rules (gt_relays_t *relays, rt_rules_t *rules)
{
  net_limits_t limits;

  EL_LOG (EL_LOG_INFO, "config_in_force", EL_FN ("version", rules->version),
          EL_FN ("rules", rules->nrules), EL_FN ("services", rules->nservices),
          EL_FN ("keys", rules->nkeys));
  rt_rules_unref (relays->rules);
  relays->rules = rules;
  limits = (net_limits_t){ .head = rules->max_head,
                           .body = rules->max_body,
                           .head_ms = rules->head_ms,
                           .idle_ms = rules->idle_ms };
  net_server_set_limits (relays->server, &limits);
  relays_start_held (relays);
}

/** Records that the rules in force were the newest version at AS_OF. */
void
gt_relays_set_rules_as_of (gt_relays_t *relays, el_time_t as_of)
{
  if (as_of <= relays->rules_as_of)
    return;
  relays->rules_as_of = as_of;
  relays_start_held (relays);
}

/** Records that the first gossip exchange completed, or that there are no
    other hosts. */
void
gt_relays_first_gossip_done (gt_relays_t *relays)
{
  if (relays->first_gossip_at)
    return;
  relays->first_gossip_at = net_clock_now (relays->options.clock);
  relays_start_held (relays);
}

/** Returns the rules in force, or NULL before the first. */
const rt_rules_t *
gt_relays_rules_in_force (const gt_relays_t *relays)
{
  return relays->rules;
}

/** Closes each caller's connection after its next response; requests are still
    served. */
void
gt_relays_drain_connections (gt_relays_t *relays)
{
  net_server_drain_connections (relays->server);
}

/** Closes the listener and refuses requests that arrive on open connections;
    requests in progress continue. */
void
gt_relays_stop (gt_relays_t *relays)
{
  if (relays->stopping)
    return;
  relays->stopping = 1;
  relay_poll_stop (relays);
  net_server_stop (relays->server);
}

/** Returns the number of requests whose response is not yet completely
    sent. */
size_t
gt_relays_running (const gt_relays_t *relays)
{
  return relays->nrunning;
}
