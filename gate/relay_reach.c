/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Which endpoints this host reaches. An endpoint to which no connection can be
 * opened may be gone, or this host may be cut off from it. As soon as one is
 * lost, connections to a sample of others show whether this host is cut off
 * from all of them. Lost endpoints are tried until they are regained.
 */
#include "librelay.h"

/* A connection opens within a few milliseconds. */
#define CONNECT_TIMEOUT (100 * EL_MSEC)
/* Interval between connects to lost endpoints, and how many of them are tried
   at once. */
#define PROBE_INTERVAL (200 * EL_MSEC)
#define PROBES_MAX 4
/* Endpoints in a sample. */
#define SAMPLE_MAX 3
/* A sample that found some endpoint holds for this long. */
#define SAMPLE_VALID (200 * EL_MSEC)
/* A cut is noticed at most this long after the first endpoint is lost. */
#define CUT_NOTICED (1 * EL_SEC)

typedef struct reach_probe
{
  gt_relays_t *relays;
  rt_target_t *target;
  el_time_t begun;
  int sampled; /* it belongs to the sample */
} reach_probe_t;

static void reach_sample (gt_relays_t *relays);

/* Requests of this host that were not sent yet look for another way. */
static void
reach_move_unsent (gt_relays_t *relays)
{
  gt_relay_t *relay;
  gt_relay_t *next;

  DL_FOREACH_SAFE (relays->running, relay, next)
  if (!relay->ended && relay->exchange && relay->target
      && !net_exchange_is_sent (relay->exchange))
    relay_attempt_unsent (relay);
}

/** Whether this host reaches no endpoint. */
int
gt_relays_is_cut_off (const gt_relays_t *relays)
{
  return relays->reach.all.lost_at != 0;
}

static void
reach_set_cut_off (gt_relays_t *relays)
{
  el_time_t now = net_clock_now (relays->options.clock);

  if (!rt_reach_failed (&relays->reach.all, now))
    return;
  relays->counts.cuts++;
  EL_LOG (EL_LOG_WARN, "host_cut_off",
          EL_FN ("sampled", relays->reach.sample.failed),
          EL_FN ("sampled_us", now - relays->reach.sample.begun),
          EL_FN ("lost", relays->reach.lost),
          EL_FN ("requests", relays->nrunning));
  reach_move_unsent (relays);
}

/* Regains the endpoints that were lost because this host was cut off at
   CUT_AT. */
static void
reach_regain_all (gt_relays_t *relays, el_time_t cut_at, el_time_t now)
{
  rt_target_t *target;

  for (target = rt_fleet_first (relays->options.fleet); target;
       target = target->hh.next)
    if (target->reach.lost_at && target->reach.lost_at + CUT_NOTICED > cut_at)
      {
        target->reach = (rt_reach_t){ .regained_at = now };
        target->avail.unreached = 0;
        relays->reach.lost--;
      }
}

static void
reach_note_connected (gt_relays_t *relays, rt_target_t *target,
                      el_time_t begun)
{
  el_time_t now = net_clock_now (relays->options.clock);
  el_time_t lost_at = target->reach.lost_at;
  el_time_t cut_at = relays->reach.all.lost_at;

  if (rt_target_connected (target, begun, now))
    {
      relays->reach.lost--;
      EL_LOG (EL_LOG_INFO, "endpoint_reached",
              EL_FS ("endpoint", target->attrs.id),
              EL_FN ("lost_us", now - lost_at));
    }
  if (!rt_reach_connected (&relays->reach.all, begun, now))
    return;
  reach_regain_all (relays, cut_at, now);
  EL_LOG (EL_LOG_WARN, "host_reaches_endpoints",
          EL_FS ("endpoint", target->attrs.id), EL_FN ("cut_us", now - cut_at),
          EL_FN ("lost", relays->reach.lost));
}

static void
reach_note_failed (gt_relays_t *relays, rt_target_t *target)
{
  el_time_t now = net_clock_now (relays->options.clock);

  if (target->avail.gone || !rt_target_connect_failed (target, now))
    return;
  relays->reach.lost++;
  EL_LOG (EL_LOG_INFO, "endpoint_unreached",
          EL_FS ("endpoint", target->attrs.id),
          EL_FS ("address", target->attrs.address),
          EL_FN ("lost", relays->reach.lost),
          EL_FN ("cut_off", gt_relays_is_cut_off (relays)));
  reach_sample (relays);
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
  int connected = result->net == NET_WITHHELD;

  probe->target->probing = 0;
  if (connected)
    reach_note_connected (relays, probe->target, probe->begun);
  else
    reach_note_failed (relays, probe->target);
  if (probe->sampled
      && rt_reach_sample_add (&relays->reach.sample, connected)
             == RT_REACH_NONE)
    reach_set_cut_off (relays);
  rt_target_unref (probe->target);
  free (probe);
}

static void
probe_send (gt_relays_t *relays, rt_target_t *target, int sampled)
{
  reach_probe_t *probe = el_alloc (sizeof *probe);
  const net_request_t request = { .address = target->attrs.address,
                                  .method = EL_STR ("GET"),
                                  .path = EL_STR ("/"),
                                  .new_connection = 1,
                                  .timeout = CONNECT_TIMEOUT,
                                  .allow = probe_withhold,
                                  .done = probe_done,
                                  .arg = probe };

  *probe = (reach_probe_t){ relays, rt_target_ref (target),
                            net_clock_now (relays->options.clock), sampled };
  target->probing = 1;
  relays->counts.probes++;
  net_client_send (relays->options.client, &request);
}

static int
reach_may_sample (const rt_target_t *target)
{
  return !target->reach.lost_at && !target->probing
         && !rt_target_is_leaving (target);
}

/* Connects to endpoints that are not lost, chosen at random. If all of them
   are lost, this host is cut off, or all of them are gone. */
static void
reach_sample (gt_relays_t *relays)
{
  rt_reach_sample_t *sample = &relays->reach.sample;
  el_time_t now = net_clock_now (relays->options.clock);
  rt_target_t *chosen[SAMPLE_MAX];
  rt_target_t *target;
  unsigned seen = 0;
  unsigned n;
  uint64_t at;

  if (gt_relays_is_cut_off (relays) || sample->pending
      || (sample->connected && now < sample->begun + SAMPLE_VALID))
    return;
  for (target = rt_fleet_first (relays->options.fleet); target;
       target = target->hh.next)
    if (reach_may_sample (target))
      {
        at = seen < SAMPLE_MAX ? seen
                               : el_random (&relays->random) % (seen + 1);
        if (at < SAMPLE_MAX)
          chosen[at] = target;
        seen++;
      }
  n = seen < SAMPLE_MAX ? seen : SAMPLE_MAX;
  rt_reach_sample_begin (sample, now, n);
  while (n)
    probe_send (relays, chosen[--n], 1);
  if (!seen && relays->reach.lost)
    reach_set_cut_off (relays);
}

/* Tries lost endpoints, starting after those that were tried last. */
static void
reach_tick (void *arg, el_time_t now)
{
  gt_relays_t *relays = arg;
  rt_target_t *target;
  size_t lost = 0;
  size_t probes = 0;

  (void)now;
  for (target = rt_fleet_first (relays->options.fleet); target;
       target = target->hh.next)
    if (target->reach.lost_at)
      {
        lost++;
        if (lost > relays->reach.next && probes < PROBES_MAX
            && !target->probing)
          {
            probe_send (relays, target, 0);
            probes++;
            relays->reach.next = lost;
          }
      }
  if (probes < PROBES_MAX)
    relays->reach.next = 0;
  relays->reach.lost = lost;
  if (!lost && gt_relays_is_cut_off (relays))
    relays->reach.all = (rt_reach_t){ .regained_at = now };
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

/** Records that a connection to TARGET, requested at BEGUN, is open. */
void
relay_reach_connected (gt_relays_t *relays, rt_target_t *target,
                       el_time_t begun)
{
  reach_note_connected (relays, target, begun);
}

/** Records that no connection to TARGET could be opened. */
void
relay_reach_failed (gt_relays_t *relays, rt_target_t *target)
{
  reach_note_failed (relays, target);
}

/** Finds out whether this host reaches TARGET, which does not answer or has
    closed a connection. */
void
relay_reach_check (gt_relays_t *relays, rt_target_t *target)
{
  if (!target->probing && !target->reach.lost_at && !target->avail.gone
      && !gt_relays_is_cut_off (relays))
    probe_send (relays, target, 0);
}
