/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Serves relayed requests on the users' platform: connects the relays, the
 * list of endpoints, the rules and the planner to the platform adapter.
 */
#include "libfrontend.h"

/* Longest wait of a watch, as a share of --keys-limit-ms (if set) and of
   --change-limit-ms. The rules are current as of the time when the last
   answered watch was sent: that watch may have waited this long, and the next
   one as well. So when the store is lost, at least three fifths of the keys
   limit remain in which to serve. */
#define WATCH_KEYS_SHARE 0.2
#define WATCH_CHANGE_SHARE 0.35
/* Updates of another host are stale after this share of --change-limit-ms; the
   rest is left for a call to the store. */
#define UPDATE_AGE_SHARE 0.75
/* A host is left out of the entry addresses when its data is older than the
   maximum age of updates by more than this. */
#define STALE_SLACK (1500 * EL_MSEC)
#define CHECK_INTERVAL (200 * EL_MSEC)
/* Check interval until the host no longer waits for another host's rumors. */
#define STARTUP_CHECK_INTERVAL (10 * EL_MSEC)
/* A host that got no answer from another host for this long after its start
   serves with the data of the store alone. */
#define PEERS_WAIT_MAX (110 * EL_MSEC)
/* Delay to collect changes, as many keys change together when many endpoints
   start or are replaced. */
#define STORE_BATCH_DELAY (300 * EL_MSEC)
#define STOP_CHECK_INTERVAL (50 * EL_MSEC)
/* Requests that outlast a stop are responded to this long before its end, or
   in the last half of a shorter one. */
#define STOP_RESPOND_TIME (300 * EL_MSEC)
/* The lease is taken to expire this much earlier, as clocks run at different
   speeds. */
#define LEASE_MARGIN (300 * EL_MSEC)
/* Hosts that take the planner's duty, one after the other, if those before
   them do not. */
#define DUTY_CANDIDATES 16

/* Maximum age of updates from another host. */
static el_time_t
frontend_update_max_age (const frontend_t *frontend)
{
  return (el_time_t)((double)frontend->options.change_limit
                     * UPDATE_AGE_SHARE);
}

/* Apply the rules. Returns 0 when they are invalid or older than the version
   in force. */
static int
rules_item_received (void *arg, const pr_store_item_t *item)
{
  frontend_t *frontend = arg;
  const rt_rules_t *current = gt_relays_rules_in_force (frontend->relays);
  rt_rules_t *rules;
  el_err_t err;

  if (item->gone || !el_str_eq (item->key, PF_RULES_KEY))
    return 1;
  rules = pf_rules_read (item->value, &err);
  if (!rules)
    EL_LOG (EL_LOG_ERROR, "config_refused", EL_FC ("reason", err.msg),
            EL_FN ("revision", item->revision));
  else if (current && rules->version < current->version)
    {
      EL_LOG (EL_LOG_WARN, "config_older", EL_FN ("version", rules->version),
              EL_FN ("in_force", current->version));
      rt_rules_unref (rules);
      return 0;
    }
  else
    gt_relays_set_rules (frontend->relays, rules);
  return rules != NULL;
}

/* All hosts receive the same entries, so only the first of each hall logs them
   at level info. Every host logs that an endpoint is leaving, as the time
   until it stops using the endpoint is limited for each host. */
static void
endpoint_log (frontend_t *frontend, const rt_attrs_t *attrs, const char *event,
              uint64_t revision)
{
  int notable = attrs->leaving || gt_gate_is_hall_leader (frontend->gate);
  el_time_t now = net_clock_now (gt_gate_clock (frontend->gate));

  EL_LOG (notable ? EL_LOG_INFO : EL_LOG_DEBUG, event,
          EL_FS ("endpoint", attrs->id), EL_FS ("service", attrs->service),
          EL_FS ("address", attrs->address), EL_FS ("hall", attrs->hall),
          EL_FS ("card", attrs->card), EL_FN ("leaving", attrs->leaving),
          EL_FN ("first", attrs->first), EL_FN ("end", attrs->end),
          EL_FN ("epoch", frontend->store.epoch), EL_FN ("revision", revision),
          EL_FN ("known_age_us", now - frontend->store_as_of));
}

/* Remove the endpoint listed under the entry's key. */
static void
endpoint_removed (frontend_t *frontend, const pr_store_item_t *item,
                  const char *event)
{
  rt_target_t *target
      = rt_fleet_find (frontend->fleet, pf_endpoint_id (item->key));

  if (!target)
    return;
  endpoint_log (frontend, &target->attrs, event, item->revision);
  gt_relays_engine_gone (frontend->relays, target);
  rt_fleet_remove (frontend->fleet, pf_endpoint_id (item->key));
}

/* Apply a change of the list of endpoints. An invalid entry removes the
   endpoint that was listed under its key; other entries are not affected. */
static void
endpoint_item_received (void *arg, const pr_store_item_t *item)
{
  frontend_t *frontend = arg;
  rt_target_t *target;
  rt_attrs_t attrs;
  json_t *entry; /* owns the strings of attrs */
  el_err_t err;

  if (item->gone)
    {
      endpoint_removed (frontend, item, "endpoint_gone");
      return;
    }
  if (pf_attrs_read (item->key, item->value, &attrs, &entry, &err))
    {
      target = rt_fleet_find (frontend->fleet, attrs.id);
      if (target && !rt_target_same_instance (target, &attrs))
        endpoint_removed (frontend, item, "endpoint_restarted");
      endpoint_log (frontend, &attrs, "endpoint", item->revision);
      target = rt_fleet_update (frontend->fleet, &attrs);
      target->epoch = frontend->store.epoch;
      target->listed_at = net_clock_now (gt_gate_clock (frontend->gate));
      gt_relays_engine_changed (frontend->relays, target);
    }
  else
    {
      EL_LOG (EL_LOG_ERROR, "endpoint_refused", EL_FS ("key", item->key),
              EL_FC ("reason", err.msg), EL_FN ("revision", item->revision));
      endpoint_removed (frontend, item, "endpoint_gone");
    }
  json_decref (entry);
}

/* Longest wait of a watch, in milliseconds. */
static uint64_t
frontend_watch_wait_ms (const frontend_t *frontend)
{
  double wait = (double)frontend->options.change_limit * WATCH_CHANGE_SHARE;
  double max = (double)frontend->options.keys_limit * WATCH_KEYS_SHARE;

  if (max > 0 && max < wait)
    wait = max;
  return (uint64_t)wait / EL_MSEC;
}

static int
frontend_is_ready (void *arg)
{
  frontend_t *frontend = arg;

  return !frontend->stopping && frontend->endpoints_known
         && gt_relays_rules_in_force (frontend->relays)
         && !gt_relays_rules_outdated (frontend->relays);
}

/* Update the gauges. */
static void
frontend_update_gauges (frontend_t *frontend)
{
  const rt_target_t *target;

  frontend->gauge_endpoints = rt_fleet_count (frontend->fleet);
  frontend->gauge_placed = 0;
  frontend->gauge_leaving = 0;
  frontend->gauge_limits = 0;
  for (target = rt_fleet_first (frontend->fleet); target;
       target = target->hh.next)
    {
      frontend->gauge_placed += target->attrs.end > target->attrs.first;
      frontend->gauge_leaving += rt_target_is_leaving (target);
      frontend->gauge_limits += target->limit.named != 0;
    }
}

/* Start to serve once another host has sent the list of requests that crash
   endpoints, or once no host has answered for PEERS_WAIT_MAX. */
static void
frontend_await_peers (frontend_t *frontend, el_time_t now)
{
  int known = gt_gate_rumors_received (frontend->gate);

  if (frontend->peers_synced
      || (!known && now < frontend->started_at + PEERS_WAIT_MAX))
    return;
  frontend->peers_synced = 1;
  EL_LOG (EL_LOG_INFO, "hosts_heard", EL_FN ("known", known),
          EL_FN ("us", now - frontend->started_at));
  gt_relays_first_gossip_done (frontend->relays);
}

/* Withdraw this host from the entry addresses while its data is stale, or
   while it reaches no endpoint. A host that can't reach the store will soon
   refuse requests with keys, and one that reaches no endpoint burdens others
   with its requests, so callers are directed to hosts that do. If no host
   does, all addresses are given out as before. */
static void
frontend_check (void *arg, el_time_t now)
{
  frontend_t *frontend = arg;
  int stale = !gt_relays_rules_in_force (frontend->relays)
              || gt_relays_rules_outdated (frontend->relays)
              || !frontend->endpoints_known
              || now > frontend->store_as_of
                           + frontend_update_max_age (frontend) + STALE_SLACK;
  int cut_off = gt_relays_is_cut_off (frontend->relays);
  int withdraw = stale || cut_off;

  if (withdraw != frontend->withdrawn)
    EL_LOG (EL_LOG_INFO, withdraw ? "withdrawn" : "offered",
            EL_FN ("config_age_us", now - frontend->store_as_of),
            EL_FN ("cut_off", cut_off));
  frontend->withdrawn = withdraw;
  frontend_await_peers (frontend, now);
  gt_gate_withdraw (frontend->gate, withdraw);
  frontend_update_gauges (frontend);
  frontend->gauge_planner = (uint64_t)st_duty_held (frontend->duty, now);
  net_clock_set (gt_gate_clock (frontend->gate), &frontend->check_timer,
                 frontend->peers_synced ? CHECK_INTERVAL
                                        : STARTUP_CHECK_INTERVAL);
}

static void
frontend_addresses (void *arg, el_str_t hall, json_t *list)
{
  frontend_t *frontend = arg;

  gt_gate_entry_addresses (frontend->gate, hall, list);
}

/* Number of hosts that should take the planner's duty before this one. */
static size_t
frontend_duty_rank (void *arg)
{
  frontend_t *frontend = arg;

  return gt_gate_count_preferred (frontend->gate);
}

/* Whether this host is among those that take the planner's duty. */
static int
frontend_is_candidate (void *arg)
{
  frontend_t *frontend = arg;

  return !frontend->stopping && frontend->endpoints_known
         && frontend_duty_rank (frontend) < DUTY_CANDIDATES;
}

/* Whether this host can send orders to engines. */
static int
frontend_can_plan (void *arg)
{
  const frontend_t *frontend = arg;

  return !gt_relays_is_cut_off_from_engines (frontend->relays);
}

static void
planner_item_received (void *arg, const pr_store_item_t *item)
{
  frontend_t *frontend = arg;

  frontend->planner_held = !item->gone;
}

/* A block, which another host stored for hosts that start while no other host
   is live to inform them. */
static void
blocked_item_received (void *arg, const pr_store_item_t *item)
{
  frontend_t *frontend = arg;
  rt_block_t block;
  unsigned holds;

  if (!item->gone && pf_blocked_read (item->key, &block, &holds))
    gt_relays_block (frontend->relays, &block, holds);
}

static int
frontend_item_received (void *arg, const pr_store_item_t *item)
{
  if (el_str_starts_with (item->key, PF_RULES_PREFIX))
    return rules_item_received (arg, item);
  if (el_str_starts_with (item->key, PF_ENDPOINTS_PREFIX))
    endpoint_item_received (arg, item);
  else if (el_str_eq (item->key, PF_PLANNER_KEY))
    planner_item_received (arg, item);
  else if (el_str_starts_with (item->key, PF_BLOCKED_PREFIX))
    blocked_item_received (arg, item);
  return 1;
}

/* Whether the planner lease seems to be free. While another host holds it, a
   call to the store would be useless. */
static int
frontend_planner_vacant (void *arg)
{
  frontend_t *frontend = arg;
  el_time_t now = net_clock_now (gt_gate_clock (frontend->gate));

  return !frontend->planner_held
         && now < frontend->store_as_of + frontend_update_max_age (frontend);
}

static void
frontend_store_read (void *arg, el_time_t as_of)
{
  frontend_t *frontend = arg;

  frontend->endpoints_known = 1;
  frontend->store_as_of = as_of;
  frontend_await_peers (frontend,
                        net_clock_now (gt_gate_clock (frontend->gate)));
  gt_relays_set_rules_as_of (frontend->relays, as_of);
  gt_gate_updates_available (frontend->gate);
}

static void
frontend_request_update (void *arg, const co_member_t *host,
                         const pr_store_query_t *query, int stand_in,
                         pr_store_update_cb done, void *done_arg)
{
  frontend_t *frontend = arg;

  gt_gate_request_update (frontend->gate, host, query, stand_in, done,
                          done_arg);
}

/* Other hosts may get more of the store's keys than before. */
static void
frontend_store_progress (void *arg)
{
  frontend_t *frontend = arg;

  gt_gate_updates_available (frontend->gate);
}

/* The store was restored from an older copy. */
static void
frontend_epoch_began (void *arg)
{
  frontend_t *frontend = arg;

  gt_relays_store_epoch_began (frontend->relays);
  gt_relays_persist_blocked (frontend->relays);
}

/* Follow all keys with one watch, as each call to the store has a cost. */
static void
frontend_follow_store (frontend_t *frontend)
{
  st_follow_options_t options
      = { .store = &frontend->store,
          .prefix = PF_ALL_PREFIX,
          .wait_ms = frontend_watch_wait_ms (frontend),
          .batch_delay = STORE_BATCH_DELAY,
          .update_max_age = frontend_update_max_age (frontend),
          .item = frontend_item_received,
          .feed = gt_gate_feed (frontend->gate),
          .ask_host = frontend_request_update,
          .progress = frontend_store_progress,
          .known = frontend_store_read,
          .arg = frontend };

  frontend->store_listener.epoch = frontend_epoch_began;
  frontend->store_listener.arg = frontend;
  st_store_add_listener (&frontend->store, &frontend->store_listener);
  frontend->follow = st_follow_new (&options);
  gt_gate_set_follower (frontend->gate, frontend->follow);
}

static el_time_t
frontend_known_as_of (void *arg)
{
  const frontend_t *frontend = arg;

  return frontend->store_as_of;
}

static void
frontend_start_planner (frontend_t *frontend)
{
  st_duty_options_t duty = { .store = &frontend->store,
                             .key = PF_PLANNER_KEY,
                             .holder = frontend->options.name,
                             .ttl_ms = frontend->options.lease_ms,
                             .margin = LEASE_MARGIN,
                             .vacant = frontend_planner_vacant,
                             .rank = frontend_duty_rank,
                             .arg = frontend };
  gt_planner_options_t planner = { .relays = frontend->relays,
                                   .clock = gt_gate_clock (frontend->gate),
                                   .client = gt_gate_client (frontend->gate),
                                   .fleet = frontend->fleet,
                                   .send_order = pf_send_order,
                                   .candidate = frontend_is_candidate,
                                   .able = frontend_can_plan,
                                   .known = frontend_known_as_of,
                                   .arg = frontend };

  frontend->duty = st_duty_new (&duty);
  planner.duty = frontend->duty;
  frontend->planner = gt_planner_new (&planner);
}

static void
frontend_metrics (frontend_t *frontend)
{
  static const char *const reads[ST_READ_CAUSES] = {
    [ST_READ_START] = "elmarch_store_reads_start_total",
    [ST_READ_HISTORY] = "elmarch_store_reads_history_total",
    [ST_READ_EPOCH] = "elmarch_store_reads_epoch_total",
  };
  el_metrics_t *metrics = gt_gate_metrics (frontend->gate);
  size_t i;

  el_metrics_add (metrics, "elmarch_endpoints", "endpoints listed", EL_GAUGE,
                  &frontend->gauge_endpoints);
  el_metrics_add (metrics, "elmarch_engines_placed",
                  "engines that hold layers", EL_GAUGE,
                  &frontend->gauge_placed);
  el_metrics_add (metrics, "elmarch_endpoints_leaving",
                  "endpoints listed that said that they leave", EL_GAUGE,
                  &frontend->gauge_leaving);
  el_metrics_add (metrics, "elmarch_limits",
                  "endpoints listed that name a rate limit", EL_GAUGE,
                  &frontend->gauge_limits);
  el_metrics_add (metrics, "elmarch_planner",
                  "1 on the host that places layers", EL_GAUGE,
                  &frontend->gauge_planner);
  el_metrics_add (metrics, "elmarch_log_dropped_total",
                  "log lines that were not written", EL_COUNTER,
                  el_log_dropped ());
  el_metrics_add (metrics, "elmarch_store_calls_total", "calls to the store",
                  EL_COUNTER, &frontend->store.counts.calls);
  el_metrics_add (metrics, "elmarch_store_failures_total", "of those, failed",
                  EL_COUNTER, &frontend->store.counts.failures);
  el_metrics_add (metrics, "elmarch_store_rests_total",
                  "times that the store asked this host for no calls",
                  EL_COUNTER, &frontend->store.counts.rests);
  el_metrics_add (metrics, "elmarch_store_epoch",
                  "the store's epoch: it rises when the store goes on from an "
                  "older copy",
                  EL_GAUGE, &frontend->store.epoch);
  el_metrics_add (metrics, "elmarch_store_former_total",
                  "answers of the store that were given in a former epoch",
                  EL_COUNTER, &frontend->store.counts.former);
  for (i = 0; i < ST_READ_CAUSES; i++)
    el_metrics_add (metrics, reads[i], "times that all keys were read",
                    EL_COUNTER, &frontend->store.counts.reads[i]);
}

/** Start to serve relayed requests. Returns NULL with the reason in ERR when
    an address can't be bound. */
frontend_t *
frontend_new (gt_gate_t *gate, const frontend_options_t *options,
              el_err_t *err)
{
  frontend_t *frontend = el_alloc (sizeof *frontend);
  pf_entry_options_t entry = { .loop = gt_gate_clock (gate)->loop,
                               .ready_listen = options->ready,
                               .directory_listen = options->directory,
                               .ttl_s = options->entry_ttl_s,
                               .account = gt_gate_account (gate),
                               .server_counts = gt_gate_server_counts (gate),
                               .ready = frontend_is_ready,
                               .addresses = frontend_addresses,
                               .arg = frontend };

  frontend->gate = gate;
  frontend->options = *options;
  frontend->started_at = net_clock_now (gt_gate_clock (gate));
  frontend->store = (st_store_t){ .clock = gt_gate_clock (gate),
                                  .client = gt_gate_client (gate),
                                  .dialect = &pf_store,
                                  .address = options->store,
                                  .random = options->seed | 1 };
  frontend->fleet = rt_fleet_new (options->seed);
  frontend->relays = frontend_new_relays (frontend, err);
  if (!frontend->relays || !pf_entry_new (&entry, err))
    return NULL;
  frontend_set_relay_hooks (frontend);
  gt_relays_metrics (frontend->relays, gt_gate_metrics (gate));
  frontend_metrics (frontend);
  frontend_follow_store (frontend);
  frontend_start_planner (frontend);
  frontend_load_start (frontend);
  frontend->check_timer.cb = frontend_check;
  frontend->check_timer.arg = frontend;
  net_clock_set (gt_gate_clock (gate), &frontend->check_timer, 0);
  return frontend;
}

/* Returns after which part of a stop requests are responded to, running or
   not. */
static el_time_t
stop_respond_after (const frontend_t *frontend)
{
  el_time_t most = frontend->options.stop_max;

  return most - (most / 2 < STOP_RESPOND_TIME ? most / 2 : STOP_RESPOND_TIME);
}

static void
stop_check (void *arg, el_time_t now)
{
  frontend_t *frontend = arg;
  el_time_t elapsed = now - frontend->stop_started_at;

  if (elapsed >= frontend->options.stop_min
      || elapsed >= stop_respond_after (frontend))
    gt_relays_stop (frontend->relays);
  if (elapsed >= stop_respond_after (frontend)
      && gt_relays_running (frontend->relays) && !frontend->stop_responded)
    {
      frontend->stop_responded = 1;
      EL_LOG (EL_LOG_WARN, "relays_end",
              EL_FN ("running", gt_relays_running (frontend->relays)));
      gt_relays_end (frontend->relays);
    }
  if (elapsed < frontend->options.stop_max
      && (elapsed < frontend->options.stop_min
          || gt_relays_running (frontend->relays)))
    {
      net_clock_set (gt_gate_clock (frontend->gate), &frontend->stop_timer,
                     STOP_CHECK_INTERVAL);
      return;
    }
  EL_LOG (EL_LOG_INFO, "relays_stopped",
          EL_FN ("running", gt_relays_running (frontend->relays)));
  frontend->stop_done (frontend->stop_done_arg);
}

/** Stop serving relayed requests. The host is removed from look-ups and
    reports not ready at once; it still serves new requests for at least
    stop_min. DONE is called when no request is running, or after stop_max;
    those that would outlast it are responded to before.
 */
void
frontend_stop (frontend_t *frontend, gt_drained_cb done, void *arg)
{
  if (frontend->stopping)
    return;
  frontend->stopping = 1;
  frontend->stop_done = done;
  frontend->stop_done_arg = arg;
  frontend->stop_started_at = net_clock_now (gt_gate_clock (frontend->gate));
  EL_LOG (EL_LOG_INFO, "relays_stopping",
          EL_FN ("running", gt_relays_running (frontend->relays)));
  gt_planner_stop (frontend->planner);
  gt_relays_drain_connections (frontend->relays);
  frontend->stop_timer.cb = stop_check;
  frontend->stop_timer.arg = frontend;
  net_clock_set (gt_gate_clock (frontend->gate), &frontend->stop_timer,
                 STOP_CHECK_INTERVAL);
}
