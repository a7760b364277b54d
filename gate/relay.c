/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Relayed requests: who asks for what, and their time limits.
 */
#include <string.h>

#include "librelay.h"

#define BEARER EL_STR ("Bearer ")
/* When to come back to a host that has no configuration: it reads one as soon
   as it reaches the platform. */
#define STARTING_RETRY (300 * EL_MSEC)
/* A request that comes before the first configuration waits for it: a starting
   host has it within some 200 ms. When the store does not answer, callers are
   held up no longer than this, nor for more than a third of their time. */
#define START_WAIT (1000 * EL_MSEC)
#define START_WAIT_PART 3
/* A host that stops refuses: others serve now. */
#define STOPPING_RETRY (20 * EL_MSEC)
/* Time for a request that names no limit and whose rule has none. */
#define TIMEOUT_UNSAID (60 * EL_SEC)

/** The caller's answer is complete, or there is nobody to answer. */
void
relay_finished (gt_relay_t *relay)
{
  if (relay->ended)
    return;
  relay->ended = 1;
  net_clock_cancel (relay->relays->options.clock, &relay->over);
  relay_drop (relay);
}

static void
relay_free (gt_relay_t *relay)
{
  gt_relays_t *relays = relay->relays;

  relay_finished (relay);
  DL_DELETE (relays->running, relay);
  relays->nrunning--;
  el_buf_free (&relay->out);
  el_buf_free (&relay->flight);
  relay_events_reset (&relay->events);
  rt_rules_unref (relay->rules);
  free (relay);
}

/* The caller left, or its request is about to be freed. */
static void
relay_gone (void *arg, int freed)
{
  gt_relay_t *relay = arg;

  if (!relay->ended)
    {
      relay->relays->counts.gone++;
      relay_log (relay, "caller_gone", 0, "connection closed");
      relay_finished (relay);
      if (!freed)
        relay_answer_break (relay, NULL);
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
  if (relay->ended)
    return;
  relay->relays->counts.gone++;
  relay_log (relay, "caller_gone", 0, "answer not taken");
  relay_finished (relay);
}

static void
relay_over (void *arg, el_time_t now)
{
  gt_relay_t *relay = arg;

  (void)now;
  relay->relays->counts.timeouts++;
  if (relay->begun)
    relay_answer_break (relay, "time limit");
  else
    relay_answer_refuse (relay, 504, "time limit", 0);
}

static el_str_t
host_name (const h2o_req_t *req)
{
  el_str_t rest = { req->authority.base, req->authority.len };

  return el_str_cut (&rest, ':');
}

static el_str_t
bearer (const h2o_req_t *req)
{
  el_str_t value = net_req_header (req, "authorization");

  if (!el_str_starts (value, BEARER))
    return (el_str_t){ NULL, 0 };
  return el_str_after (value, BEARER.len);
}

/* Whether the rules were in force late enough for a request received now: a
   key that was taken away before then is known to be gone. */
static int
rules_known (const gt_relays_t *relays, el_time_t received)
{
  return relays->rules
         && (!relays->options.keys_limit
             || relays->known + relays->options.keys_limit > received);
}

/* Find the rule; gives 0 after an answer that tells what is wrong. A host that
   may have missed changes refuses to run rather than deny. */
static int
relay_rule (gt_relay_t *relay, int known)
{
  gt_relays_t *relays = relay->relays;

  if (relays->rules)
    {
      relay->rules = rt_rules_ref (relays->rules);
      relay->rule = rt_rules_match (relay->rules, host_name (relay->req),
                                    net_req_path (relay->req));
    }
  if (relay->rule)
    return 1;
  if (relay->rules && known)
    {
      relays->counts.unknown++;
      relay_answer_refuse (relay, 404, "no rule", 0);
      return 0;
    }
  relays->counts.no_rules++;
  relay_answer_refuse (relay, 503, "no configuration", STARTING_RETRY);
  return 0;
}

/* Find the customer by the key that the request bears; gives 0 after an answer
   that tells what is wrong. */
static int
relay_customer (gt_relay_t *relay, int known)
{
  gt_relays_t *relays = relay->relays;
  const rt_key_t *key;

  if (!relay->rules->keyed || relay->rule->open)
    return 1;
  if (!known)
    {
      relays->counts.no_rules++;
      relay_answer_refuse (relay, 503, "keys not known", STARTING_RETRY);
      return 0;
    }
  key = rt_rules_key (relay->rules, bearer (relay->req));
  if (!key)
    {
      relays->counts.denied++;
      relay_answer_refuse (relay, 401, "no such key", 0);
      return 0;
    }
  relay->customer = key->customer;
  return 1;
}

/* Whether the request may be served; if not, it was answered. */
static int
relay_admit (gt_relay_t *relay)
{
  int known = rules_known (relay->relays, relay->received);

  if (!relay_rule (relay, known))
    return 0;
  if (relay->rules->max_body
      && net_req_body (relay->req).len > relay->rules->max_body)
    {
      relay_answer_refuse (relay, 413, "body too long", 0);
      return 0;
    }
  return relay_customer (relay, known);
}

/* The time that the caller waits, if it is less than LIMIT. */
static el_time_t
caller_limit (const gt_relay_t *relay, el_time_t limit)
{
  const gt_relay_dialect_t *dialect = relay->relays->options.dialect;
  el_str_t text = net_req_header (relay->req, dialect->names.time_left);
  uint64_t ms;

  if (el_str_to_u64 (text, &ms) && ms < limit / EL_MSEC)
    return ms * EL_MSEC;
  return limit;
}

/* When the request's time is over: what the caller waits, what the operator
   wants it held. */
static void
relay_limit (gt_relay_t *relay)
{
  net_clock_t *clock = relay->relays->options.clock;
  el_time_t now = net_clock_now (clock);
  el_time_t limit = caller_limit (
      relay, relay->rule->timeout ? relay->rule->timeout : TIMEOUT_UNSAID);

  relay->deadline = relay->received + limit;
  relay->over.cb = relay_over;
  relay->over.arg = relay;
  net_clock_set (clock, &relay->over,
                 relay->deadline > now ? relay->deadline - now : 0);
}

/* The tokens that a stream will have: its prompt, and what the caller guesses
   or half of the most that it allows. */
static void
relay_tokens (gt_relay_t *relay)
{
  const gt_relay_names_t *names = &relay->relays->options.dialect->names;
  el_str_t rest = net_req_header (relay->req, names->tokens);
  uint64_t prompt = 0;
  uint64_t answer = 0;
  uint64_t guess;

  relay->prompt = relay->service->model.usual_tokens;
  relay->tokens = relay->prompt;
  if (!el_str_to_u64 (el_str_cut (&rest, ','), &prompt))
    return;
  if (el_str_to_u64 (net_req_header (relay->req, names->guess), &guess))
    answer = guess;
  else if (el_str_to_u64 (rest, &answer))
    answer /= 2;
  relay->prompt = (double)prompt;
  relay->tokens = (double)(prompt + answer);
}

/** What this host counts for the service of that NAME. */
relay_service_t *
relay_service (gt_relays_t *relays, el_str_t name)
{
  relay_service_t *service;

  HASH_FIND (hh, relays->services, name.ptr, (unsigned)name.len, service);
  if (service)
    return service;
  service = el_alloc (sizeof *service);
  service->name = (char *)(uintptr_t)el_str_dup (name).ptr;
  rt_spend_open (&service->spend, relays->options.repeat_ratio,
                 relays->options.repeat_slack, relays->options.repeat_window,
                 relays->born);
  HASH_ADD_KEYPTR (hh, relays->services, service->name, (unsigned)name.len,
                   service);
  return service;
}

/** Take a repeat of RELAY's service from the budget; gives 0 when this host's
    part is spent. */
int
relay_spend_take (gt_relay_t *relay)
{
  gt_relays_t *relays = relay->relays;
  const gt_relay_options_t *o = &relays->options;

  if (rt_spend_take (&relay_service (relays, relay->service->name)->spend,
                     net_clock_now (o->clock), o->hosts (o->arg)))
    return 1;
  relays->counts.spent++;
  return 0;
}

/** Whether the budget has a repeat left for RELAY's service. */
int
relay_spend_left (gt_relay_t *relay)
{
  const gt_relay_options_t *o = &relay->relays->options;

  return rt_spend_left (
      &relay_service (relay->relays, relay->service->name)->spend,
      net_clock_now (o->clock), o->hosts (o->arg));
}

/** What RELAY is known by when it comes again; worked out when it is asked for
    first. */
rt_digest_t
relay_digest (gt_relay_t *relay)
{
  const h2o_req_t *req = relay->req;
  rt_asked_t asked = { .customer = relay->customer,
                       .method = net_req_method (req),
                       .host = host_name (req),
                       .path = { req->path.base, req->path.len },
                       .body = net_req_body (req) };

  if (!relay->digest)
    relay->digest = rt_digest (relay->relays->options.key, &asked);
  return relay->digest;
}

/* Serve a request by the rules in force. */
static void
relay_begin (gt_relay_t *relay)
{
  gt_relays_t *relays = relay->relays;
  el_str_t service;

  if (!relay_admit (relay))
    return;
  service = rt_rule_service (relay->rule, el_random (&relays->random));
  relay->service = rt_rules_service (relay->rules, service);
  if (!relay->service)
    {
      relay_answer_refuse (relay, 503, "no service", STARTING_RETRY);
      return;
    }
  relay_tokens (relay);
  rt_spend_asked (&relay_service (relays, service)->spend, relay->received);
  if (!relay_suspect_admit (relay))
    return;
  relay_limit (relay);
  relay_try (relay);
}

/* Whether rules and endpoints were read, and other hosts have told which
   requests end endpoints: this host's own ignorance is no ground to send one.
 */
static int
relays_know (const gt_relays_t *relays)
{
  return relays->rules && relays->known && relays->heard
         && !gt_relays_behind (relays);
}

static void
wait_over (void *arg, el_time_t now)
{
  gt_relay_t *relay = arg;

  (void)now;
  relay->waiting = 0;
  relay->relays->counts.no_rules++;
  relay_answer_refuse (relay, 503, "no configuration", STARTING_RETRY);
}

/* Hold a request until the host knows what to do with it. */
static void
relay_wait (gt_relay_t *relay)
{
  relay->waiting = 1;
  relay->over.cb = wait_over;
  relay->over.arg = relay;
  net_clock_set (relay->relays->options.clock, &relay->over,
                 caller_limit (relay, START_WAIT * START_WAIT_PART)
                     / START_WAIT_PART);
}

/* Serve the requests that waited, once all is known. */
static void
relays_serve_waiting (gt_relays_t *relays)
{
  gt_relay_t *relay;
  gt_relay_t *next;

  if (!relays_know (relays))
    return;
  DL_FOREACH_SAFE (relays->running, relay, next)
  if (relay->waiting && !relay->ended)
    {
      relay->waiting = 0;
      net_clock_cancel (relays->options.clock, &relay->over);
      relay_begin (relay);
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
  relay->generator.stop = relay_generator_stop;
  relay->received = net_clock_now (relays->options.clock);
  net_req_watch (req, relay_gone, relay);
  relay->id = net_req_header (req, dialect->names.id);
  if (relays->closed)
    {
      relays->counts.refused++;
      relay_answer_refuse (relay, 503, "stopping", STOPPING_RETRY);
      return;
    }
  if (relays_know (relays))
    relay_begin (relay);
  else
    relay_wait (relay);
}

/** Take callers' requests; NULL, with the reason in ERR, when the address
    can't be had. */
gt_relays_t *
gt_relays_new (const gt_relay_options_t *options, el_err_t *err)
{
  gt_relays_t *relays = el_alloc (sizeof *relays);
  net_server_options_t server = { .loop = options->clock->loop,
                                  .address = options->listen,
                                  .max_body = options->max_body,
                                  .handle = relay_handle,
                                  .arg = relays };

  relays->options = *options;
  relays->random = options->seed | 1;
  relays->born = net_clock_now (options->clock);
  relays->server = net_server_new (&server, err);
  if (relays->server)
    {
      relay_blame_open (relays);
      relay_poll_begin (relays);
      return relays;
    }
  free (relays);
  return NULL;
}

/** RULES are in force from now on; takes over the reference. */
void
gt_relays_rules (gt_relays_t *relays, rt_rules_t *rules)
{
  EL_LOG (EL_LOG_INFO, "config_in_force", EL_FN ("version", rules->version),
          EL_FN ("rules", rules->nrules), EL_FN ("services", rules->nservices),
          EL_FN ("keys", rules->nkeys));
  rt_rules_unref (relays->rules);
  relays->rules = rules;
  if (rules->idle_ms)
    net_server_idle (relays->server, rules->idle_ms);
  relays_serve_waiting (relays);
}

/** The rules were the newest at AS_OF, by the clock. */
void
gt_relays_known (gt_relays_t *relays, el_time_t as_of)
{
  if (as_of <= relays->known)
    return;
  relays->known = as_of;
  relays_serve_waiting (relays);
}

/** Other hosts have told what they know of requests, or there are none. */
void
gt_relays_heard (gt_relays_t *relays)
{
  if (relays->heard)
    return;
  relays->heard = net_clock_now (relays->options.clock);
  relays_serve_waiting (relays);
}

/** The rules in force; NULL before the first. */
const rt_rules_t *
gt_relays_in_force (const gt_relays_t *relays)
{
  return relays->rules;
}

/** Go on, but have callers' connections end with their next answer. */
void
gt_relays_retire (gt_relays_t *relays)
{
  net_server_retire (relays->server);
}

/** Take no further connections, and refuse what still comes on those that
    are open: what began goes on. */
void
gt_relays_close (gt_relays_t *relays)
{
  if (relays->closed)
    return;
  relays->closed = 1;
  relay_poll_end (relays);
  net_server_stop (relays->server);
}

/** Requests whose answer is not wholly sent. */
size_t
gt_relays_running (const gt_relays_t *relays)
{
  return relays->nrunning;
}
