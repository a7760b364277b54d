/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Health checks of engines, sent when streams through them stall. All streams
 * of this host are moved off an engine that does not respond, and it is
 * checked until it responds or is no longer listed.
 */
#include "librelay.h"

/* An engine responds within a few milliseconds even under load. One that has
   not responded after CHECK_TIMEOUT counts as silent if another engine has
   meanwhile. If none has, this host may be cut off or delayed, and the limit
   is CHECK_TIMEOUT_MAX. */
#define CHECK_TIMEOUT (30 * EL_MSEC)
#define CHECK_TIMEOUT_MAX (100 * EL_MSEC)
/* If a timer fires later than this, the process was delayed, and responses may
   be waiting to be read. */
#define TIMER_DELAY_MAX (2 * EL_MSEC)
/* Interval between checks of an engine for stalled streams. It doubles with
   each check up to CHECK_INTERVAL_MAX, so that slow streams do not cause
   constant checks. */
#define CHECK_INTERVAL_MIN (50 * EL_MSEC)
#define CHECK_INTERVAL_MAX (800 * EL_MSEC)
/* From this interval on, an engine is not checked if the hall's poller got a
   report from it within POLLED_AGE_MAX. */
#define POLLED_INTERVAL (200 * EL_MSEC)
#define POLLED_AGE_MAX (800 * EL_MSEC)
/* The interval is reset when no stream has stalled for this long. */
#define CHECK_INTERVAL_RESET (3 * EL_SEC)
/* Interval between checks of a silent engine. */
#define SILENT_RECHECK (400 * EL_MSEC)
/* The same while this host reaches no engine; connects show when it does. */
#define CUT_OFF_RECHECK (2 * EL_SEC)
/* An engine is idle with less of its memory and slots in use. */
#define IDLE_SHARE 0.02
#define IDLE_PACE 1.1
/* Streams are moved off an engine that is this many times slower than others
   of its kind. The factor is high since the new engine has to process all
   tokens so far again. */
#define SLOW_PACE 2.5
#define SLOW_RECHECK (1000 * EL_MSEC)

typedef struct relay_check
{
  gt_relays_t *relays;
  rt_target_t *engine;
  net_exchange_t *request;
  el_time_t sent;
  el_time_t last_stall;   /* time of the last check for a stalled stream */
  el_time_t min_interval; /* from then until the next such check */
  el_timer_t recheck;
  el_timer_t timeout; /* response overdue */
  UT_hash_handle hh;
} relay_check_t;

static void check_send (void *arg, el_time_t now);

static void
check_free (relay_check_t *check)
{
  if (check->request)
    net_client_cancel (check->request);
  net_clock_cancel (check->relays->options.clock, &check->recheck);
  net_clock_cancel (check->relays->options.clock, &check->timeout);
  HASH_DEL (check->relays->checks, check);
  rt_target_unref (check->engine);
  free (check);
}

/* Calls EACH for the streams whose chain includes ENGINE. */
static void
check_each_stream (gt_relays_t *relays, rt_target_t *engine,
                   void (*each) (gt_relay_t *relay, rt_target_t *engine))
{
  gt_relay_t *relay;
  gt_relay_t *next;

  DL_FOREACH_SAFE (relays->running, relay, next)
  if (relay->phase == RELAY_SENT && rt_chain_has (&relay->chain, engine))
    each (relay, engine);
}

/* ENGINE has restarted: it holds no layers, and the streams through it are
   lost. Its new entry arrives about a second later. */
static void
check_engine_restarted (gt_relays_t *relays, rt_target_t *engine,
                        const rt_load_t *load)
{
  EL_LOG (EL_LOG_INFO, "engine_restarted", EL_FS ("engine", engine->attrs.id),
          EL_FN ("born", load->born), EL_FN ("former", engine->attrs.born),
          EL_FN ("lines", engine->chains));
  engine->attrs.first = 0;
  engine->attrs.end = 0;
  rt_target_changed (engine, net_clock_now (relays->options.clock));
  check_each_stream (relays, engine, relay_watch_engine_restarted);
}

/* Marks a report as news for other hosts, unless ENGINE was idle and still is:
   hosts that know of no load assume none. */
static void
check_note_load (const gt_relays_t *relays, rt_target_t *engine)
{
  int idle = engine->fill < IDLE_SHARE && engine->taken < IDLE_SHARE
             && engine->pace < IDLE_PACE;

  if (!idle || !engine->idle)
    engine->news_at = net_clock_now (relays->options.clock);
  engine->idle = idle;
}

/* Age of the values in the reports of ENGINE, as its service's configuration
   tells. */
static el_time_t
check_report_lag (const gt_relays_t *relays, const rt_target_t *engine)
{
  const rt_service_t *service
      = relays->rules ? rt_rules_service (relays->rules, engine->attrs.service)
                      : NULL;

  return service ? service->model.report_lag : 0;
}

/** Processes a LOAD that ENGINE reported at AT. Streams are moved off a slow
    engine if their hall has a replica, fewer new streams are sent to it, and
    it is checked until it has recovered. */
void
relay_check_load (gt_relays_t *relays, rt_target_t *engine,
                  const rt_load_t *load, el_time_t at)
{
  int was_slow = engine->pace >= SLOW_PACE;
  int slow = load->pace >= SLOW_PACE;
  rt_load_t timed = *load;

  if (load->born && engine->attrs.born && load->born != engine->attrs.born)
    {
      /* A report of an older instance arrived late and is ignored. */
      if (load->born > engine->attrs.born
          && engine->attrs.end > engine->attrs.first)
        check_engine_restarted (relays, engine, load);
      return;
    }
  timed.lag = check_report_lag (relays, engine);
  if (!rt_target_report (relays->options.fleet, engine, &timed, at))
    return;
  check_note_load (relays, engine);
  relay_wait_room (relay_service (relays, engine->attrs.service));
  if (slow == was_slow)
    return;
  EL_LOG (EL_LOG_INFO, slow ? "engine_slow" : "engine_well",
          EL_FS ("engine", engine->attrs.id),
          EL_FN ("pace_percent", (uint64_t)(load->pace * 100)),
          EL_FN ("lines", engine->chains));
  if (slow)
    check_each_stream (relays, engine, relay_watch_engine_slow);
}

/** Handles that ENGINE now holds other layers. Streams that use layers which
    it has released are moved, so that it need not wait until they end. */
void
gt_relays_engine_changed (gt_relays_t *relays, rt_target_t *engine)
{
  if (engine->chains)
    check_each_stream (relays, engine, relay_watch_layers_released);
  relay_wait_room (relay_service (relays, engine->attrs.service));
}

/* Processes a load in the response to a health check. A slow engine is checked
   again until it has recovered; the poller does that anyway. */
static void
check_apply_load (relay_check_t *check, const rt_load_t *load)
{
  const gt_relays_t *relays = check->relays;
  el_time_t now = net_clock_now (relays->options.clock);

  relay_check_load (check->relays, check->engine, load, now);
  if (load->pace >= SLOW_PACE
      && !relays->options.is_poller (relays->options.arg))
    net_clock_set (relays->options.clock, &check->recheck, SLOW_RECHECK);
}

static void
check_done (void *arg, gt_check_result_t result, const rt_load_t *load,
            const rt_hints_t *hints)
{
  relay_check_t *check = arg;
  gt_relays_t *relays = check->relays;
  rt_target_t *engine = check->engine;
  int answered = result == GT_CHECK_OK;
  int was_silent = engine->avail.silent;

  check->request = NULL;
  net_clock_cancel (relays->options.clock, &check->timeout);
  gt_relays_apply_hints (relays, engine, hints, EL_STR ("check"));
  engine->asked = 0;
  if (engine->reported_silent || was_silent == answered)
    engine->news_at = net_clock_now (relays->options.clock);
  engine->reported_silent = 0;
  engine->avail.silent = !answered;
  if (result == GT_CHECK_REFUSED && !engine->refused_at
      && !relay_survey_is_host (relay_service (relays, engine->attrs.service)))
    engine->refused_at = check->sent;
  if (answered)
    engine->refused_at = 0;
  if (answered && check->sent > relays->last_answered_check)
    relays->last_answered_check = check->sent;
  if (load)
    check_apply_load (check, load);
  if (answered)
    relay_runs_check_answered (relays, engine, check->sent);
  if (answered && !was_silent)
    return;
  if (answered == was_silent)
    EL_LOG (EL_LOG_INFO, answered ? "engine_back" : "engine_silent",
            EL_FS ("engine", engine->attrs.id),
            EL_FS ("address", engine->attrs.address),
            EL_FN ("lines", engine->chains));
  if (answered)
    return;
  relays->counts.silent++;
  rt_target_ref (engine);
  check_each_stream (relays, engine, relay_watch_engine_silent);
  if (result == GT_CHECK_REFUSED)
    relay_reach_failed (relays, engine);
  else
    relay_reach_check_overdue (relays, engine);
  if (result == GT_CHECK_REFUSED)
    relay_runs_connect_refused (relays, engine);
  if (engine->avail.gone)
    check_free (check);
  else
    net_clock_set (relays->options.clock, &check->recheck,
                   relay_reach_is_cut_off (relays, engine->attrs.service)
                       ? CUT_OFF_RECHECK
                       : SILENT_RECHECK);
  rt_target_unref (engine);
}

/* The response is overdue: distinguishes a silent engine from a host that is
   cut off or delayed. An event of a stream through the engine counts as a
   response. */
static void
check_timeout (void *arg, el_time_t now)
{
  static const rt_hints_t nothing;
  relay_check_t *check = arg;
  const gt_relays_t *relays = check->relays;
  int delayed = now > check->timeout.due + TIMER_DELAY_MAX;
  int other_answered = relays->last_answered_check >= check->sent;

  if (delayed
      || (now < check->sent + CHECK_TIMEOUT_MAX
          && (!other_answered || check->engine->last_event_at > check->sent)))
    {
      net_clock_set (relays->options.clock, &check->timeout, TIMER_DELAY_MAX);
      return;
    }
  net_client_cancel (check->request);
  check_done (check,
              check->engine->last_event_at > check->sent ? GT_CHECK_OK
                                                         : GT_CHECK_NONE,
              NULL, &nothing);
}

static void
check_send (void *arg, el_time_t now)
{
  relay_check_t *check = arg;
  const gt_relay_options_t *o = &check->relays->options;

  if (check->request)
    return;
  net_clock_cancel (o->clock, &check->recheck);
  if (check->engine->avail.gone)
    {
      check_free (check);
      return;
    }
  check->sent = now;
  check->engine->asked = now;
  check->relays->counts.checks++;
  check->request
      = o->dialect->check (o->client, check->engine, check_done, check);
  net_clock_set (o->clock, &check->timeout, CHECK_TIMEOUT);
}

static relay_check_t *
check_get (gt_relays_t *relays, rt_target_t *engine)
{
  relay_check_t *check;

  HASH_FIND_PTR (relays->checks, &engine, check);
  if (check)
    return check;
  check = el_alloc (sizeof *check);
  check->relays = relays;
  check->engine = rt_target_ref (engine);
  check->min_interval = CHECK_INTERVAL_MIN;
  check->recheck.cb = check_send;
  check->recheck.arg = check;
  check->timeout.cb = check_timeout;
  check->timeout.arg = check;
  HASH_ADD_PTR (relays->checks, engine, check);
  return check;
}

/** Checks ENGINE because of a stalled stream, at most once per interval. */
void
relay_check (gt_relays_t *relays, rt_target_t *engine)
{
  el_time_t now = net_clock_now (relays->options.clock);
  relay_check_t *check = check_get (relays, engine);
  el_time_t due;

  if (check->request || engine->avail.silent)
    return;
  if (now > check->last_stall + CHECK_INTERVAL_RESET)
    check->min_interval = CHECK_INTERVAL_MIN;
  if (check->min_interval >= POLLED_INTERVAL
      && now < engine->reported_at + POLLED_AGE_MAX)
    return;
  due = check->last_stall + check->min_interval;
  if (due < check->sent + CHECK_INTERVAL_MIN)
    due = check->sent + CHECK_INTERVAL_MIN;
  if (now < due)
    {
      net_clock_set (relays->options.clock, &check->recheck, due - now);
      return;
    }
  check->last_stall = now;
  if (check->min_interval < CHECK_INTERVAL_MAX)
    check->min_interval *= 2;
  check_send (check, now);
}

/** Checks ENGINE unless it was checked after SINCE. */
void
relay_check_unless_recent (gt_relays_t *relays, rt_target_t *engine,
                           el_time_t since)
{
  relay_check_t *check = check_get (relays, engine);

  if (!check->request && check->sent <= since)
    check_send (check, net_clock_now (relays->options.clock));
}

/** Checks ENGINE unless it was checked after SINCE or the platform has no
    health checks. */
void
gt_relays_check_engine (gt_relays_t *relays, rt_target_t *engine,
                        el_time_t since)
{
  if (relays->options.dialect->check)
    relay_check_unless_recent (relays, engine, since);
}
