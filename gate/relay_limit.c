/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Rate limits that endpoints name in their responses, for all hosts together.
 * A host tells the others of a limit, and a request to a limited endpoint
 * needs a token that the endpoint's lender lends (coord.h).
 */
#include "librelay.h"

/* How long hosts gossip a limit: until after it is told again. */
#define LIMIT_GOSSIP_TIME (30 * EL_SEC)
/* A request that waits for the lender's answer makes another attempt after
   this time even without one. */
#define ANSWER_TIMEOUT (100 * EL_MSEC)
/* A request for which no other endpoint is left waits for a token, until this
   time after its arrival or this fraction (one part in so many) of its target
   latency, if the token is expected by then. */
#define TOKEN_WAIT_MAX (250 * EL_MSEC)
#define TOKEN_WAIT_DIVISOR 4
/* Longest retry-after of a request that was refused for a limit. */
#define RETURN_MAX (10 * EL_SEC)
/* When a host may ask again that does not know the endpoint's lender. */
#define UNKNOWN_WAIT (200 * EL_MSEC)
#define MILLI 1000.0

/* A request for tokens that is under way. */
typedef struct limit_loan
{
  gt_relays_t *relays;
  rt_target_t *target;
  int returned; /* the function that asked has returned */
} limit_loan_t;

/** Returns the rate of LIMIT in thousandths of a request per second, as logs
    and messages have it; 0 if none is named. */
uint64_t
relay_limit_milli (const rt_limit_t *limit)
{
  return limit->named ? (uint64_t)(limit->rate * MILLI + 0.5) : 0;
}

/* Tells the other hosts what this host knows of the limit. */
static void
limit_tell (gt_relays_t *relays, rt_target_t *target, el_time_t now)
{
  const rt_limit_t *limit = &target->limit;
  const relay_fact_t fact
      = { .kind = limit->named ? RELAY_FACT_LIMIT : RELAY_FACT_UNLIMITED,
          .instance = rt_target_instance (target),
          .limit_milli = relay_limit_milli (limit),
          .limited_for = limit->named ? now - limit->since : 0 };

  rt_limit_told (&target->limit, now);
  relay_rumor_publish (relays, &fact, el_random (&relays->random),
                       LIMIT_GOSSIP_TIME);
}

/* Logs a limit that begins or changes; FORMER is the rate before. */
static void
limit_log (gt_relays_t *relays, const rt_target_t *target, uint64_t former,
           el_str_t by)
{
  el_time_t now = net_clock_now (relays->options.clock);

  relays->counts.limits += former == 0;
  EL_LOG (EL_LOG_INFO, "limit_named", EL_FS ("endpoint", target->attrs.id),
          EL_FN ("born", target->attrs.born),
          EL_FS ("service", target->attrs.service), EL_FS ("by", by),
          EL_FN ("limit_milli", relay_limit_milli (&target->limit)),
          EL_FN ("former_milli", former),
          EL_FN ("since_us", now - target->limit.since),
          EL_FN ("running", target->running));
}

/** Records that TARGET named RATE in a response to BY. */
void
relay_limit_named (gt_relays_t *relays, rt_target_t *target, double rate,
                   el_str_t by)
{
  el_time_t now = net_clock_now (relays->options.clock);
  rt_limit_t *limit = &target->limit;
  uint64_t former = relay_limit_milli (limit);
  int begins = !limit->named;
  double told_rate = limit->told_rate;

  rt_limit_hear (limit, now, begins ? now : limit->since, rate);
  if (!rt_limit_must_tell (limit, now))
    return;
  limit_tell (relays, target, now);
  if (begins || told_rate != limit->told_rate)
    limit_log (relays, target, former, by);
}

/* Ends the waits for tokens of TARGET. */
static void
limit_wake (gt_relays_t *relays, const rt_target_t *target)
{
  gt_relay_t *relay;
  gt_relay_t *next;

  DL_FOREACH_SAFE (relays->running, relay, next)
  if (relay->limit_target == target)
    relay_attempt (relay);
}

static void
limit_lifted (gt_relays_t *relays, rt_target_t *target, el_time_t at,
              el_str_t by)
{
  const rt_limit_t former = target->limit;

  rt_limit_lift (&target->limit, at);
  if (!former.named || target->limit.named)
    return;
  EL_LOG (EL_LOG_INFO, "limit_lifted", EL_FS ("endpoint", target->attrs.id),
          EL_FN ("born", target->attrs.born), EL_FS ("by", by),
          EL_FN ("limit_milli", relay_limit_milli (&former)),
          EL_FN ("us", at - former.since), EL_FN ("sent", former.sent));
  limit_wake (relays, target);
}

/** Lifts the limit of RELAY's target if its response names none. A response to
    a request from before the limit was last named proves nothing, nor does a
    refusal or another request's response. */
void
relay_limit_read_head (gt_relay_t *relay)
{
  gt_relays_t *relays = relay->relays;
  el_time_t now = net_clock_now (relays->options.clock);
  rt_target_t *target = relay->target;

  if (!target->limit.named || relay->hints.limited != RT_LIMIT_NONE
      || relay->refused || relay->sent <= target->limit.heard_at)
    return;
  rt_target_ref (target);
  limit_lifted (relays, target, now, relay->id);
  limit_tell (relays, target, now);
  rt_target_unref (target);
}

/** Handles a rumor that an endpoint names a limit, or no longer does. */
void
relay_limit_on_rumor (gt_relays_t *relays, const co_rumor_t *rumor,
                      const relay_fact_t *fact)
{
  const rt_attrs_t attrs = { .born = fact->instance.born };
  rt_target_t *target
      = rt_fleet_find (relays->options.fleet, el_str (fact->instance.id));
  el_time_t since
      = rumor->at > fact->limited_for ? rumor->at - fact->limited_for : 0;
  uint64_t former;

  if (!target || !rt_target_same_instance (target, &attrs))
    return;
  if (fact->kind == RELAY_FACT_UNLIMITED)
    {
      limit_lifted (relays, target, rumor->at, EL_STR ("another host"));
      return;
    }
  former = relay_limit_milli (&target->limit);
  rt_limit_hear (&target->limit, rumor->at, since,
                 (double)fact->limit_milli / MILLI);
  if (!target->limit.named)
    return;
  rt_limit_told (&target->limit, net_clock_now (relays->options.clock));
  if (former != relay_limit_milli (&target->limit))
    limit_log (relays, target, former, EL_STR ("another host"));
}

/* Tokens. */

static void
loan_done (void *arg, const co_loan_t *loan)
{
  limit_loan_t *call = arg;
  gt_relays_t *relays = call->relays;
  rt_target_t *target = call->target;
  int wake = call->returned;

  relays->counts.limit_unanswered += !loan;
  relays->counts.limit_tokens += loan ? loan->tokens : 0;
  co_borrower_answered (&target->limit.borrower,
                        net_clock_now (relays->options.clock), loan);
  if (wake)
    {
      limit_wake (relays, target);
      free (call);
    }
  rt_target_unref (target);
}

/* Asks the lender for tokens of TARGET's limit. */
static void
limit_borrow (gt_relays_t *relays, rt_target_t *target, el_time_t now)
{
  rt_limit_t *limit = &target->limit;
  const pr_loan_request_t request
      = { .endpoint = target->attrs.id,
          .born = target->attrs.born,
          .rate_milli = relay_limit_milli (limit),
          .since_ago = now - limit->since,
          .heard_ago = now - limit->heard_at,
          .wanted = co_borrower_loan (&limit->borrower) };
  limit_loan_t *call = el_alloc (sizeof *call);

  call->relays = relays;
  call->target = rt_target_ref (target);
  relays->counts.limit_borrows++;
  co_borrower_asked (&limit->borrower, now);
  relays->options.borrow (relays->options.arg, &request, loan_done, call);
  if (limit->borrower.asked_at)
    call->returned = 1;
  else
    free (call);
}

/* Takes a token for RELAY, after asking the lender if there is none. */
static co_take_t
limit_take (gt_relay_t *relay, rt_target_t *target, el_time_t now)
{
  co_borrower_t *borrower = &target->limit.borrower;
  co_take_t take = co_borrower_take (borrower, now);

  if (take == CO_TAKE_ASK)
    {
      limit_borrow (relay->relays, target, now);
      take = borrower->asked_at ? CO_TAKE_WAIT
                                : co_borrower_take (borrower, now);
    }
  if (take == CO_TAKE_OK)
    {
      relay->token_until = borrower->tokens_until;
      if (co_borrower_should_prefetch (borrower, now))
        limit_borrow (relay->relays, target, now);
    }
  return take;
}

/** Whether RELAY may be sent to TARGET. If its limit requires a token, that is
    taken; or RELAY waits for the lender's answer. */
relay_permit_t
relay_limit_permit (gt_relay_t *relay, rt_target_t *target, el_time_t now)
{
  gt_relays_t *relays = relay->relays;

  relay->token_until = 0;
  if (!target->limit.named)
    return RELAY_PERMIT_SEND;
  switch (limit_take (relay, target, now))
    {
    case CO_TAKE_OK:
      return RELAY_PERMIT_SEND;
    case CO_TAKE_WAIT:
      relay->limit_target = rt_target_ref (target);
      relays->counts.limit_waits++;
      relay_schedule_attempt (relay, ANSWER_TIMEOUT);
      return RELAY_PERMIT_WAIT;
    default:
      relays->counts.limit_denied++;
      return RELAY_PERMIT_DENIED;
    }
}

/** Whether RELAY may still be sent to its target, which was picked before the
    connection was made. */
int
relay_limit_still_permits (gt_relay_t *relay, el_time_t now)
{
  rt_limit_t *limit = &relay->target->limit;

  if (!limit->named || now < relay->token_until)
    return 1;
  relay->token_until = 0;
  if (co_borrower_take (&limit->borrower, now) != CO_TAKE_OK)
    return 0;
  relay->token_until = limit->borrower.tokens_until;
  return 1;
}

/** Counts the send of RELAY. */
void
relay_limit_sent (gt_relay_t *relay)
{
  rt_limit_t *limit = &relay->target->limit;

  limit->sent++;
  relay->relays->counts.sent_over_limit += limit->named && !relay->token_until;
}

/** Gives back the token of RELAY, no byte of which was sent. */
void
relay_limit_not_sent (gt_relay_t *relay)
{
  rt_limit_t *limit = &relay->target->limit;

  if (!relay->token_until || !limit->named)
    return;
  relay->relays->counts.limit_returned++;
  co_borrower_give_back (&limit->borrower,
                         net_clock_now (relay->relays->options.clock),
                         relay->token_until);
  relay->token_until = 0;
}

/** RELAY no longer waits for a token, if it has waited for one. */
void
relay_limit_stop_waiting (gt_relay_t *relay)
{
  if (relay->limit_target)
    rt_target_unref (relay->limit_target);
  relay->limit_target = NULL;
}

/* Whether requests for SERVICE may be sent to TARGET, but for its limit. */
static int
target_serves (const rt_target_t *target, const rt_service_t *service,
               el_time_t now)
{
  return el_str_eq (target->attrs.service, service->name)
         && rt_avail_level_at (&target->avail, now) != RT_AVAIL_NONE
         && (!service->model.layers
             || (target->attrs.first == 0 && target->attrs.end > 0));
}

/** Returns the time until a token may be had at one of the endpoints to which
    RELAY could be sent; 0 if there is none, or if the limit of one of them
    admits it now, so that it lacks something else. */
el_time_t
relay_limit_left (gt_relay_t *relay, el_time_t now)
{
  const rt_target_t *target;
  el_time_t first = EL_TIME_NEVER;

  for (target = rt_fleet_first (relay->relays->options.fleet); target;
       target = target->hh.next)
    {
      if (!target_serves (target, relay->service, now)
          || rt_tried_has (&relay->tried, target))
        continue;
      if (rt_limit_admits (&target->limit, now))
        return 0;
      if (target->limit.borrower.denied_until < first)
        first = target->limit.borrower.denied_until;
    }
  return first == EL_TIME_NEVER ? 0 : first - now;
}

/** Returns the time after which the caller of RELAY, which is refused, should
    return: not before LEFT, and one caller after the other as the limits
    allow, the rate being divided by the hosts. */
el_time_t
relay_limit_reserve (gt_relay_t *relay, el_time_t now, el_time_t left)
{
  const gt_relay_options_t *o = &relay->relays->options;
  relay_service_t *service
      = relay_service (relay->relays, relay->service->name);
  const rt_target_t *target;
  double rate = 0;

  for (target = rt_fleet_first (o->fleet); target; target = target->hh.next)
    if (target_serves (target, relay->service, now))
      rate += target->limit.rate;
  if (service->limit_return_at < now + left)
    service->limit_return_at = now + left;
  else if (rate > 0)
    service->limit_return_at
        += (el_time_t)((double)EL_SEC * (double)o->hosts (o->arg) / rate);
  if (rate <= 0 || service->limit_return_at > now + RETURN_MAX)
    service->limit_return_at = now + RETURN_MAX;
  return service->limit_return_at - now;
}

/** Schedules another attempt of RELAY, for which no endpoint is left, if a
    token is expected soon. Returns 0 if not. */
int
relay_limit_wait (gt_relay_t *relay, el_time_t now)
{
  el_time_t left = relay_limit_left (relay, now);
  el_time_t wait_max = TOKEN_WAIT_MAX;

  if (relay->rule->target
      && relay->rule->target / TOKEN_WAIT_DIVISOR < wait_max)
    wait_max = relay->rule->target / TOKEN_WAIT_DIVISOR;
  if (!left || now + left > relay->received + wait_max
      || now + left >= relay->deadline)
    return 0;
  relay->relays->counts.limit_waits++;
  relay_schedule_attempt (relay, left);
  return 1;
}

/** Lends tokens of an endpoint's limit, or the trial of a cause, to a host; or
    notes that another host is the lender. */
void
gt_relays_lend (gt_relays_t *relays, const pr_loan_request_t *request,
                int is_lender, co_loan_t *out)
{
  const rt_attrs_t attrs = { .born = request->born };
  el_time_t now = net_clock_now (relays->options.clock);
  rt_target_t *target
      = rt_fleet_find (relays->options.fleet, request->endpoint);
  rt_limit_t *limit;
  uint64_t former;

  if (request->cause)
    {
      relay_trial_lend (relays, request->cause, is_lender, out);
      return;
    }
  *out = (co_loan_t){ .wait = UNKNOWN_WAIT };
  if (!target || !rt_target_same_instance (target, &attrs))
    return;
  limit = &target->limit;
  if (!is_lender)
    {
      limit->lender = (co_lender_t){ 0 };
      return;
    }
  former = relay_limit_milli (limit);
  if (now > request->since_ago && now > request->heard_ago)
    rt_limit_hear (limit, now - request->heard_ago, now - request->since_ago,
                   (double)request->rate_milli / MILLI);
  if (former != relay_limit_milli (limit))
    limit_log (relays, target, former, EL_STR ("another host"));
  if (limit->named)
    *out = rt_limit_lend (limit, now, request->wanted);
  else
    *out = (co_loan_t){ .tokens = request->wanted };
  relays->counts.limit_lent += out->tokens;
}

/** Returns the limits in force as JSON. */
json_t *
gt_relays_limits (gt_relays_t *relays)
{
  el_time_t now = net_clock_now (relays->options.clock);
  json_t *list = json_array ();
  const rt_target_t *target;

  for (target = rt_fleet_first (relays->options.fleet); target;
       target = target->hh.next)
    if (target->limit.named)
      json_array_append_new (
          list,
          json_pack ("{s:s%,s:I,s:I,s:I,s:I,s:I,s:I,s:b}", "endpoint",
                     target->attrs.id.ptr, target->attrs.id.len, "born",
                     (json_int_t)target->attrs.born, "limitMilli",
                     (json_int_t)relay_limit_milli (&target->limit), "forUs",
                     (json_int_t)(now - target->limit.since), "heardAgoUs",
                     (json_int_t)(now - target->limit.heard_at), "tokens",
                     (json_int_t)target->limit.borrower.tokens, "sent",
                     (json_int_t)target->limit.sent, "lends",
                     target->limit.lender.opens_at != 0));
  return list;
}
