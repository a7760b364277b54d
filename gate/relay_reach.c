/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Which endpoints this host reaches. An endpoint to which no connection can be
 * opened may be gone, or this host may be cut off from it. As soon as one is
 * lost, connections to a sample of the others of its service show whether this
 * host is cut off from the service. Lost endpoints are tried until they are
 * regained.
 */
#include "librelay.h"

/* A connection opens within a few milliseconds. */
#define CONNECT_TIMEOUT (100 * EL_MSEC)
/* Interval between connects to lost endpoints, and how many of them are tried
   at once. */
#define PROBE_INTERVAL (200 * EL_MSEC)
#define PROBES_MAX 4
/* Endpoints that were lost this long before a cut was found were lost by it.
 */
#define CUT_NOTICED (1 * EL_SEC)
/* Engines that crash together are not listed any more after a while. */
#define CUT_SETTLED (1 * EL_SEC)
/* Least time between two checks of an endpoint whose answers are overdue, and
   of one that has closed connections: it closes all of them in one moment when
   it crashes. */
#define OVERDUE_INTERVAL (1 * EL_SEC)
#define LOST_INTERVAL (20 * EL_MSEC)

typedef struct reach_probe
{
  gt_relays_t *relays;
  rt_target_t *target;
  relay_service_t *service;
  el_time_t begun;
  int sampled;         /* it belongs to the sample */
  relay_probe_cb done; /* NULL: none */
  void *arg;
  size_t index;
} reach_probe_t;

static void reach_sample (gt_relays_t *relays, relay_service_t *service);

static relay_service_t *
reach_service (gt_relays_t *relays, const rt_target_t *target)
{
  return relay_service (relays, target->attrs.service);
}

/** Whether this host reaches no endpoint of SERVICE. */
int
relay_reach_is_cut_off (gt_relays_t *relays, el_str_t service)
{
  return relay_service (relays, service)->reach.lost_at != 0;
}

/** Whether this host reaches no endpoint of any service. */
int
gt_relays_is_cut_off (gt_relays_t *relays)
{
  const rt_target_t *target = rt_fleet_first (relays->options.fleet);

  if (!relays->counts.cut_off)
    return 0;
  for (; target; target = target->hh.next)
    if (!reach_service (relays, target)->reach.lost_at)
      return 0;
  return 1;
}

/** Whether this host is cut off from the engines of some service. As long as
    other hosts have not told whether it is the engines that are gone, the host
    counts as cut off after some time. */
int
gt_relays_is_cut_off_from_engines (const gt_relays_t *relays)
{
  el_time_t now = net_clock_now (relays->options.clock);
  const relay_service_t *service;

  for (service = relays->services; service; service = service->hh.next)
    if (service->engines && service->reach.lost_at
        && !relay_survey_is_endpoints (service)
        && now >= service->reach.lost_at + CUT_SETTLED)
      return 1;
  return 0;
}

/* Requests that were not sent yet, or that may be repeated and have no answer,
   look for another way. */
static void
reach_move_requests (gt_relays_t *relays, const relay_service_t *service)
{
  gt_relay_t *relay;
  gt_relay_t *next;

  DL_FOREACH_SAFE (relays->running, relay, next)
  if (relay->phase == RELAY_SENT && relay->target
      && el_str_eq (relay->target->attrs.service, el_str (service->name)))
    {
      if (!net_exchange_is_sent (relay->exchange))
        relay_attempt_unsent (relay);
      else if (!relay->head_at && relay_may_repeat (relay))
        relay_standby_begin (relay);
    }
}

/* Other hosts may have been told that engines are silent: they are told that
   this one reaches none. */
static void
reach_retract_silence (gt_relays_t *relays, const relay_service_t *service)
{
  el_time_t now = net_clock_now (relays->options.clock);
  rt_target_t *target;

  for (target = rt_fleet_first (relays->options.fleet); target;
       target = target->hh.next)
    if (target->avail.silent && reach_service (relays, target) == service)
      target->news_at = now;
}

/** This host is cut off from SERVICE: that its endpoints refuse connections
    shows nothing. */
void
relay_reach_retract_refusals (gt_relays_t *relays,
                              const relay_service_t *service)
{
  rt_target_t *target;

  for (target = rt_fleet_first (relays->options.fleet); target;
       target = target->hh.next)
    if (reach_service (relays, target) == service)
      target->refused_at = 0;
}

/** Whether refused connections show that TARGET crashed: this host reaches its
    service, or no host does, or TARGET is no longer listed. */
int
gt_relays_refusal_counts (gt_relays_t *relays, const rt_target_t *target)
{
  const relay_service_t *service = reach_service (relays, target);

  return target->avail.gone || !service->reach.lost_at
         || relay_survey_is_endpoints (service);
}

static void
reach_set_cut_off (gt_relays_t *relays, relay_service_t *service)
{
  el_time_t now = net_clock_now (relays->options.clock);

  if (!rt_reach_failed (&service->reach, now))
    return;
  relays->counts.cuts++;
  relays->counts.cut_off++;
  EL_LOG (EL_LOG_WARN, "host_cut_off", EL_FC ("service", service->name),
          EL_FN ("sampled", service->sample.failed),
          EL_FN ("sampled_us", now - service->sample.begun),
          EL_FN ("lost", service->lost), EL_FN ("requests", relays->nrunning));
  relay_runs_doubt (relays, el_str (service->name));
  service->survey.cause = RT_REACH_CAUSE_UNKNOWN;
  relay_survey_begin (relays, service);
  reach_retract_silence (relays, service);
  reach_move_requests (relays, service);
}

/* Regains the endpoints that were lost because this host was cut off at
   CUT_AT. */
static void
reach_regain_all (gt_relays_t *relays, relay_service_t *service,
                  el_time_t cut_at, el_time_t now)
{
  rt_target_t *target;

  for (target = rt_fleet_first (relays->options.fleet); target;
       target = target->hh.next)
    if (target->reach.lost_at && target->reach.lost_at + CUT_NOTICED > cut_at
        && reach_service (relays, target) == service)
      {
        target->reach = (rt_reach_t){ .regained_at = now };
        target->avail.unreached = 0;
        service->lost--;
        if (target->avail.silent)
          relay_check_unless_recent (relays, target, now);
      }
}

/** Records that a connection to TARGET, requested at BEGUN, is open. */
void
relay_reach_connected (gt_relays_t *relays, rt_target_t *target,
                       el_time_t begun)
{
  relay_service_t *service = reach_service (relays, target);
  el_time_t now = net_clock_now (relays->options.clock);
  el_time_t lost_at = target->reach.lost_at;
  el_time_t cut_at = service->reach.lost_at;

  if (rt_target_connected (target, begun, now))
    {
      service->lost--;
      EL_LOG (EL_LOG_INFO, "endpoint_reached",
              EL_FS ("endpoint", target->attrs.id),
              EL_FN ("lost_us", now - lost_at));
    }
  relay_runs_connected (relays, target, begun);
  if (!rt_reach_connected (&service->reach, begun, now))
    return;
  relays->counts.cut_off--;
  reach_regain_all (relays, service, cut_at, now);
  EL_LOG (EL_LOG_WARN, "host_reaches_endpoints",
          EL_FC ("service", service->name),
          EL_FS ("endpoint", target->attrs.id), EL_FN ("cut_us", now - cut_at),
          EL_FN ("lost", service->lost));
}

/** Records that no connection to TARGET could be opened. */
void
relay_reach_failed (gt_relays_t *relays, rt_target_t *target)
{
  relay_service_t *service = reach_service (relays, target);
  el_time_t now = net_clock_now (relays->options.clock);

  if (target->avail.gone || !rt_target_connect_failed (target, now))
    return;
  service->lost++;
  service->engines = target->attrs.card.len != 0;
  EL_LOG (
      EL_LOG_INFO, "endpoint_unreached", EL_FS ("endpoint", target->attrs.id),
      EL_FS ("address", target->attrs.address), EL_FN ("lost", service->lost),
      EL_FN ("cut_off", service->reach.lost_at != 0));
  reach_sample (relays, service);
  if (!relays->reach.timer.heap_index)
    net_clock_set (relays->options.clock, &relays->reach.timer,
                   PROBE_INTERVAL);
}

/* A connect suffices: the request is never sent. */
static int
probe_withhold (void *arg)
{
  (void)arg;
  return 0;
}

static void
probe_done (void *arg, const net_result_t *result)
{
  reach_probe_t *probe = arg;
  gt_relays_t *relays = probe->relays;
  relay_service_t *service = probe->service;
  int connected = result->net == NET_WITHHELD;

  probe->target->probing = 0;
  if (connected)
    relay_reach_connected (relays, probe->target, probe->begun);
  else
    relay_reach_failed (relays, probe->target);
  if (result->net == NET_CONNECT_REFUSED)
    relay_runs_connect_refused (relays, probe->target);
  if (probe->done)
    probe->done (probe->arg, probe->index, connected);
  if (probe->sampled
      && rt_reach_sample_add (&service->sample, connected) == RT_REACH_NONE)
    reach_set_cut_off (relays, service);
  if (service->sample_again && !service->sample.pending)
    reach_sample (relays, service);
  rt_target_unref (probe->target);
  free (probe);
}

static void
probe_send (const reach_probe_t *template)
{
  gt_relays_t *relays = template->relays;
  reach_probe_t *probe = el_alloc (sizeof *probe);
  const net_request_t request = { .address = template->target->attrs.address,
                                  .method = EL_STR ("GET"),
                                  .path = EL_STR ("/"),
                                  .new_connection = 1,
                                  .timeout = CONNECT_TIMEOUT,
                                  .allow = probe_withhold,
                                  .done = probe_done,
                                  .arg = probe };

  *probe = *template;
  rt_target_ref (probe->target);
  probe->service = reach_service (relays, probe->target);
  probe->begun = net_clock_now (relays->options.clock);
  probe->target->probing = 1;
  probe->target->probed_at = probe->begun;
  relays->counts.probes++;
  net_client_send (relays->options.client, &request);
}

/** Connects to TARGET and calls DONE with INDEX and the result. */
void
relay_reach_probe (gt_relays_t *relays, rt_target_t *target,
                   relay_probe_cb done, void *arg, size_t index)
{
  const reach_probe_t probe = { .relays = relays,
                                .target = target,
                                .done = done,
                                .arg = arg,
                                .index = index };

  probe_send (&probe);
}

static void
probe_send_plain (gt_relays_t *relays, rt_target_t *target, int sampled)
{
  const reach_probe_t probe
      = { .relays = relays, .target = target, .sampled = sampled };

  probe_send (&probe);
}

static int
reach_may_sample (gt_relays_t *relays, const relay_service_t *service,
                  int with_lost, const rt_target_t *target)
{
  return (with_lost || !target->reach.lost_at)
         && !rt_target_is_leaving (target)
         && reach_service (relays, target) == service;
}

/** Chooses endpoints of SERVICE at random, lost ones only if WITH_LOST.
   Returns their number. */
size_t
relay_reach_choose (gt_relays_t *relays, const relay_service_t *service,
                    int with_lost, rt_target_t *chosen[RELAY_REACH_SAMPLE])
{
  rt_target_t *target;
  size_t seen = 0;
  uint64_t at;

  for (target = rt_fleet_first (relays->options.fleet); target;
       target = target->hh.next)
    if (reach_may_sample (relays, service, with_lost, target))
      {
        at = seen < RELAY_REACH_SAMPLE
                 ? seen
                 : el_random (&relays->random) % (seen + 1);
        if (at < RELAY_REACH_SAMPLE)
          chosen[at] = target;
        seen++;
      }
  return seen < RELAY_REACH_SAMPLE ? seen : RELAY_REACH_SAMPLE;
}

/* Connects to endpoints of SERVICE that are not lost. If all of them are lost,
   this host is cut off, or all of them are gone. */
static void
reach_sample (gt_relays_t *relays, relay_service_t *service)
{
  rt_target_t *chosen[RELAY_REACH_SAMPLE];
  size_t n;

  service->sample_again = service->sample.pending != 0;
  if (service->reach.lost_at || service->sample.pending)
    return;
  n = relay_reach_choose (relays, service, 0, chosen);
  rt_reach_sample_begin (&service->sample,
                         net_clock_now (relays->options.clock), (unsigned)n);
  if (!n)
    reach_set_cut_off (relays, service);
  while (n)
    probe_send_plain (relays, chosen[--n], 1);
}

/* Counts the lost endpoints anew, as some may have gone. */
static void
reach_recount (gt_relays_t *relays, el_time_t now)
{
  const rt_target_t *target;
  relay_service_t *service;

  for (service = relays->services; service; service = service->hh.next)
    service->lost = 0;
  for (target = rt_fleet_first (relays->options.fleet); target;
       target = target->hh.next)
    reach_service (relays, target)->lost += target->reach.lost_at != 0;
  for (service = relays->services; service; service = service->hh.next)
    if (!service->lost && service->reach.lost_at)
      {
        relays->counts.cut_off--;
        service->reach = (rt_reach_t){ .regained_at = now };
      }
}

/* Whether connects to TARGET may show that this host reaches it, or its
   service, again. An endpoint that replaces a lost one was not lost itself. */
static int
reach_may_regain (gt_relays_t *relays, const rt_target_t *target)
{
  return target->reach.lost_at
         || (relays->counts.cut_off
             && reach_service (relays, target)->reach.lost_at);
}

/* Tries lost endpoints, starting after those that were tried last. */
static void
reach_tick (void *arg, el_time_t now)
{
  gt_relays_t *relays = arg;
  rt_target_t *target;
  size_t lost = 0;
  size_t probes = 0;

  for (target = rt_fleet_first (relays->options.fleet); target;
       target = target->hh.next)
    if (reach_may_regain (relays, target) && ++lost > relays->reach.next
        && probes < PROBES_MAX && !target->probing)
      {
        probe_send_plain (relays, target, 0);
        probes++;
        relays->reach.next = lost;
      }
  if (probes < PROBES_MAX)
    relays->reach.next = 0;
  reach_recount (relays, now);
  relay_survey_tick (relays, now);
  if (lost)
    net_clock_set (relays->options.clock, &relays->reach.timer,
                   PROBE_INTERVAL);
}

/** Prepares the search for lost endpoints. */
void
relay_reach_open (gt_relays_t *relays)
{
  relays->reach.timer.cb = reach_tick;
  relays->reach.timer.arg = relays;
}

static void
reach_check (gt_relays_t *relays, rt_target_t *target, el_time_t interval)
{
  el_time_t now = net_clock_now (relays->options.clock);

  if (!target->probing && !target->reach.lost_at && !target->avail.gone
      && (!target->probed_at || now >= target->probed_at + interval)
      && !reach_service (relays, target)->reach.lost_at)
    probe_send_plain (relays, target, 0);
}

/** Finds out whether this host reaches TARGET, whose answer is overdue. */
void
relay_reach_check_overdue (gt_relays_t *relays, rt_target_t *target)
{
  reach_check (relays, target, OVERDUE_INTERVAL);
}

/** Finds out whether this host reaches TARGET, which has closed a
    connection. */
void
relay_reach_check_lost (gt_relays_t *relays, rt_target_t *target)
{
  reach_check (relays, target, LOST_INTERVAL);
}

/** Connects to other endpoints of TARGET's service, which refuses connections,
    unless that is being done. */
void
relay_reach_prove (gt_relays_t *relays, rt_target_t *target)
{
  relay_service_t *service = reach_service (relays, target);

  if (!service->sample.pending
      || service->sample.begun < net_clock_now (relays->options.clock))
    reach_sample (relays, service);
}

/** Records what the end of an attempt shows of the connection to its
    endpoint. */
void
relay_reach_attempt_ended (gt_relay_t *relay, const net_result_t *result)
{
  if (result->net == NET_CONNECT_FAILED || result->net == NET_CONNECT_REFUSED)
    relay_reach_failed (relay->relays, relay->target);
  else if (result->net == NET_CONNECTION_LOST)
    relay_reach_check_lost (relay->relays, relay->target);
  else if (result->net == NET_TIMEOUT)
    relay_reach_check_overdue (relay->relays, relay->target);
}
