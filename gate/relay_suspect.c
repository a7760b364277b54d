/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Admission and routing of requests that may crash endpoints. A blocked
 * request is refused. Requests that share a suspect cause are sent one at a
 * time over all hosts, as a trial; the others wait until the trial has cleared
 * or convicted the cause. A request that was itself running where endpoints
 * crashed is sent to an endpoint of its own; after several crashes it waits
 * until there is one, and until the outcome at its last endpoint is known.
 */
#include "librelay.h"

/* Time after the send of a suspect during which other requests avoid its
   endpoint. */
#define PROBATION_TIME (500 * EL_MSEC)
/* A suspect with this many crashes waits while no endpoint is available to it,
   for example because other suspects of this host are on probation at all of
   them. */
#define TURN_CRASHES_MIN 2
/* Such a suspect also waits until it is known whether its last endpoint
   crashed. That takes a few milliseconds if its port is closed and other hosts
   confirm it, otherwise three heartbeats. */
#define TURN_RETRY_INTERVAL (20 * EL_MSEC)
#define TURN_WAITS_MAX 250
/* Waits for the answers of other hosts, for a little longer than these take.
 */
#define SURVEY_WAITS_MAX 8
/* A request that shares a suspect cause waits for its trial, or for the end of
   the suspicion, in steps of this length, for a little longer than a trial
   takes. Then it is refused. */
#define TRIAL_RETRY_INTERVAL (10 * EL_MSEC)
#define TRIAL_WAITS_MAX 120

/** Refuses a blocked request that was not executed. The caller may return
    when the block ends. */
void
relay_suspect_refuse (gt_relay_t *relay)
{
  gt_relays_t *relays = relay->relays;
  rt_blame_status_t status = relay_blame_get_status (relay);
  el_time_t now = net_clock_now (relays->options.clock);
  char digest[RT_DIGEST_HEX + 1];
  char cause[RT_DIGEST_HEX + 1];

  rt_digest_hex (relay_digest (relay), digest);
  rt_digest_hex (status.cause, cause);
  EL_LOG (EL_LOG_INFO, "request_barred", EL_FS ("request", relay->id),
          EL_FC ("digest", digest), EL_FC ("cause", cause),
          EL_FC ("kind", rt_cause_kind_name (status.kind)),
          EL_FN ("ends", status.crashes), EL_FN ("holds", status.holds),
          EL_FN ("left_us", status.blocked_until - now));
  relays->counts.refused_blocked++;
  relay_respond_error (relay, 503, "ends endpoints",
                       status.blocked_until - now);
}

/** Whether RELAY may be served. Returns 0 if it was refused. */
int
relay_suspect_admit (gt_relay_t *relay)
{
  if (relay_blame_get_status (relay).state != RT_BLAME_BLOCKED)
    return 1;
  relay_suspect_refuse (relay);
  return 0;
}

/* Picks an endpoint for a suspect, other than those on probation. */
static rt_target_t *
pick_isolated_target (gt_relay_t *relay, const rt_blame_status_t *status,
                      el_time_t now)
{
  uint64_t draw = status->trial ? status->trial + status->trial_crashes
                                : relay_digest (relay) + status->crashes;

  return rt_fleet_pick_isolated (relay->relays->options.fleet, now,
                                 relay->service->name, draw, &relay->tried);
}

/* Whether some endpoint would take RELAY, if only as soon as a suspect there
   has run well. */
static int
any_target_is_available (const gt_relay_t *relay, el_time_t now)
{
  const rt_target_t *target;

  for (target = rt_fleet_first (relay->relays->options.fleet); target;
       target = target->hh.next)
    if (el_str_eq (target->attrs.service, relay->service->name)
        && rt_avail_level_at (&target->avail, now) <= RT_AVAIL_DOUBTFUL
        && (!relay->service->model.layers
            || (target->attrs.first == 0 && target->attrs.end > 0))
        && !rt_tried_has (&relay->tried, target))
      return 1;
  return 0;
}

/* Ends a wait that has taken too long: refuses the request if it was never
   sent. Returns 0 if it was. */
static int
wait_refuse (gt_relay_t *relay, el_time_t retry_after)
{
  if (relay->attempts.sent || relay->attempts.before)
    return 0;
  relay->relays->counts.refused++;
  relay_respond_error (relay, 503, "waits for its turn", retry_after);
  return 1;
}

/* Whether RELAY, which shares a suspect cause, has to wait. */
static int
must_wait_for_trial (gt_relay_t *relay, const rt_blame_status_t *status,
                     el_time_t now)
{
  gt_relays_t *relays = relay->relays;

  /* Without an endpoint, waiting is of no use; a host that reaches none sends
     the request over another one, which waits for the trial. */
  if (relay_reach_is_cut_off (relays, relay->service->name)
      || !any_target_is_available (relay, now))
    return 0;
  if (pick_isolated_target (relay, status, now)
      && relay_trial_take (relay, status->trial, now))
    return 0;
  if (relay->turn_waits++ >= TRIAL_WAITS_MAX)
    {
      relays->counts.refused_trial++;
      relay->turn_waits = 0;
      if (!wait_refuse (relay, RT_TRIAL_INTERVAL)
          && !relay_standby_resume (relay, "the later one waits"))
        relay_abort (relay, "waits for its turn");
      return 1;
    }
  relays->counts.trial_waits++;
  relay_schedule_attempt (relay, TRIAL_RETRY_INTERVAL);
  return 1;
}

/* Whether what RELAY did to endpoints is not known yet, or no endpoint is
   available to it as a suspect. */
static int
outcome_is_open (gt_relay_t *relay, const rt_blame_status_t *status,
                 el_time_t now)
{
  gt_relays_t *relays = relay->relays;
  unsigned doubtful = relay_runs_count_doubtful (relay);

  if (status->crashes + doubtful < TURN_CRASHES_MIN)
    return 0;
  return doubtful
         || (status->state == RT_BLAME_SUSPECT
             && (status->unconfirmed
                 || relay_runs_is_pending (relays, relay_digest (relay))
                 || !pick_isolated_target (relay, status, now)));
}

/* Whether other hosts may know that the endpoints are alive at which RELAY's
   runs broke off: this host may be cut off. */
static int
survey_may_decide (gt_relay_t *relay, const rt_blame_status_t *status)
{
  return status->crashes < TURN_CRASHES_MIN
         && relay_service (relay->relays, relay->service->name)->surveying
         && relay->turn_waits < SURVEY_WAITS_MAX;
}

/* Whether RELAY has to wait for what it did to endpoints itself. It is never
   sent before that is known. */
static int
must_wait_for_outcome (gt_relay_t *relay, const rt_blame_status_t *status,
                       el_time_t now)
{
  if (!outcome_is_open (relay, status, now))
    return 0;
  relay->relays->counts.turn_waits++;
  if (!survey_may_decide (relay, status)
      && wait_refuse (relay, PROBATION_TIME))
    return 1;
  if (relay->turn_waits++ < TURN_WAITS_MAX)
    relay_schedule_attempt (relay, TURN_RETRY_INTERVAL);
  else if (!relay_standby_resume (relay, "the later one waits"))
    relay_abort (relay, "waits for its turn");
  return 1;
}

/** Whether RELAY has to wait for its turn. If so, its next attempt has been
    scheduled, or it was refused with a retry-after if it was never sent. */
int
relay_suspect_must_wait (gt_relay_t *relay, el_time_t now)
{
  rt_blame_status_t status = relay_blame_get_status (relay);

  return must_wait_for_outcome (relay, &status, now)
         || (status.trial && must_wait_for_trial (relay, &status, now));
}

/** Returns the endpoint that a suspect is to be sent to; others avoid it until
    RELAY's probation is over. Returns NULL if there is no restriction. */
rt_target_t *
relay_suspect_pick_target (gt_relay_t *relay, el_time_t now)
{
  rt_blame_status_t status = relay_blame_get_status (relay);
  rt_target_t *target;

  if (!status.trial
      && (status.state != RT_BLAME_SUSPECT
          || (status.crashes < TURN_CRASHES_MIN && !status.prime_suspect)))
    return NULL;
  target = pick_isolated_target (relay, &status, now);
  if (!target)
    return NULL;
  relay->relays->counts.isolated++;
  rt_avail_suspect_sent (&target->avail, now, PROBATION_TIME);
  return target;
}

/* Whether the run of RELAY, if there is one, is over before it began. A
   request as a cause may crash its endpoint later, too. */
static int
may_crash (const gt_relay_t *relay, const rt_block_t *block)
{
  return block->kind == RT_CAUSE_REQUEST || !relay->writing;
}

/** Ends the requests that BLOCK covers, before they crash more endpoints. */
void
relay_suspect_cancel (gt_relays_t *relays, const rt_block_t *block)
{
  gt_relay_t *relay;
  gt_relay_t *next;
  rt_traits_t traits;

  DL_FOREACH_SAFE (relays->running, relay, next)
  {
    if (relay->phase >= RELAY_ENDING || !relay->service
        || !may_crash (relay, block))
      continue;
    traits = relay_traits (relay);
    if (!rt_block_has (block, &traits))
      continue;
    if (relay_may_have_run (relay))
      relay_abort (relay, "ends endpoints");
    else
      relay_suspect_refuse (relay);
  }
}
