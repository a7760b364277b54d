/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Relayed requests on the users' platform: wires the relays, the list of
 * endpoints, the rules and the planner to the adapter's tables.
 */
#include "site.h"

#include "platform.h"

/* Longest body that is taken in before the rules name their own bound. */
#define BODY_MAX ((size_t)4 << 20)
/* Longest wait of a watch; with a limit on keys a fifth of it: the
   rules are known as of the sending of the last watch that was answered, and
   the next answer may take as long again. So a store that is lost leaves at
   least three fifths of the limit to serve in. And 0.35 of the time within
   which a change must be in force. */
#define WAIT_OF_KEYS 0.2
#define WAIT_OF_CHANGE 0.35
/* News of another host are old after this part of the time within which a
   change must be in force: what is left is for a call to the store. */
#define OLD_OF_CHANGE 0.75
/* A host whose facts are older than the news of others may be, by this much,
   is left out of the entry addresses. */
#define STALE_SLACK (1500 * EL_MSEC)
#define LOOK_EVERY (200 * EL_MSEC)
/* Until it serves, a host looks this often whether others have told it. */
#define LOOK_YOUNG (10 * EL_MSEC)
/* A host that no other one has answered for so long serves by what the store
   keeps. */
#define ALONE_AFTER (110 * EL_MSEC)
/* Keys change together: at the start, when many endpoints are replaced. */
#define STORE_GATHER (300 * EL_MSEC)
/* Halls do not write the same at the same moment. */
#define KEEP_SPREAD (500 * EL_MSEC)
#define STOP_LOOK_EVERY (50 * EL_MSEC)
/* Margin of a lease for clocks that run at different speeds. */
#define LEASE_MARGIN (300 * EL_MSEC)

struct site
{
  gt_gate_t *gate;
  site_options_t options;
  gt_store_t store;
  rt_fleet_t *fleet;
  gt_relays_t *relays;
  gt_duty_t *duty;
  gt_planner_t *planner;
  gt_follow_t *follow;
  gt_store_part_t part;
  int endpoints_known;
  int planned; /* some host has the planner's duty, as far as is known */
  uint64_t gauge_endpoints;
  uint64_t gauge_placed;
  uint64_t gauge_leaving;
  uint64_t gauge_planner;
  int withdrawn;
  el_timer_t look;
  el_time_t rules_known;
  el_time_t began;
  int heard; /* other hosts told what they know, or there are none */
  int stopping;
  el_time_t stop_began;
  el_timer_t stop_look;
  gt_drained_cb stopped;
  void *stopped_arg;
};

/* How old the news of another host may be. */
static el_time_t
site_news_old (const site_t *site)
{
  return (el_time_t)((double)site->options.change_limit * OLD_OF_CHANGE);
}

/* Gives 0 for a version older than the one in force. */
static int
rules_item (void *arg, const pr_item_t *item)
{
  site_t *site = arg;
  const rt_rules_t *now = gt_relays_rules_in_force (site->relays);
  rt_rules_t *rules;
  el_err_t err;

  if (item->gone || !el_str_eq (item->key, PF_RULES_KEY))
    return 1;
  rules = pf_rules_read (item->value, &err);
  if (!rules)
    EL_LOG (EL_LOG_ERROR, "config_refused", EL_FC ("reason", err.msg),
            EL_FN ("revision", item->revision));
  else if (now && rules->version < now->version)
    {
      EL_LOG (EL_LOG_WARN, "config_older", EL_FN ("version", rules->version),
              EL_FN ("in_force", now->version));
      rt_rules_unref (rules);
      return 0;
    }
  else
    gt_relays_set_rules (site->relays, rules);
  return rules != NULL;
}

/* All hosts learn the same, and the first of each hall logs it; that an
   endpoint leaves is a bound for each host. */
static void
endpoint_log (site_t *site, const rt_facts_t *facts, const char *what,
              uint64_t revision)
{
  int notable = facts->leaving || gt_gate_is_hall_leader (site->gate);
  el_time_t now = net_clock_now (gt_gate_clock (site->gate));

  EL_LOG (notable ? EL_LOG_INFO : EL_LOG_DEBUG, what,
          EL_FS ("endpoint", facts->id), EL_FS ("service", facts->service),
          EL_FS ("address", facts->address), EL_FS ("hall", facts->hall),
          EL_FS ("card", facts->card), EL_FN ("leaving", facts->leaving),
          EL_FN ("first", facts->first), EL_FN ("end", facts->end),
          EL_FN ("epoch", site->store.epoch), EL_FN ("revision", revision),
          EL_FN ("known_age_us", now - site->rules_known));
}

/* No endpoint is listed under the entry's key any more. */
static void
endpoint_gone (site_t *site, const pr_item_t *item, const char *what)
{
  rt_target_t *target
      = rt_fleet_find (site->fleet, pf_endpoint_id (item->key));

  if (!target)
    return;
  endpoint_log (site, &target->facts, what, item->revision);
  gt_relays_engine_gone (site->relays, target);
  rt_fleet_remove (site->fleet, pf_endpoint_id (item->key));
}

/* An entry that can't be read names no endpoint, also where an earlier one
   under its key did; the others hold. */
static void
endpoints_item (void *arg, const pr_item_t *item)
{
  site_t *site = arg;
  rt_target_t *target;
  rt_facts_t facts;
  json_t *keep;
  el_err_t err;

  if (item->gone)
    {
      endpoint_gone (site, item, "endpoint_gone");
      return;
    }
  if (pf_facts_read (item->key, item->value, &facts, &keep, &err))
    {
      target = rt_fleet_find (site->fleet, facts.id);
      if (target && !rt_target_same_start (target, &facts))
        endpoint_gone (site, item, "endpoint_restarted");
      endpoint_log (site, &facts, "endpoint", item->revision);
      target = rt_fleet_set (site->fleet, &facts);
      target->epoch = site->store.epoch;
      target->listed = net_clock_now (gt_gate_clock (site->gate));
      gt_relays_engine_changed (site->relays, target);
    }
  else
    {
      EL_LOG (EL_LOG_ERROR, "endpoint_refused", EL_FS ("key", item->key),
              EL_FC ("reason", err.msg), EL_FN ("revision", item->revision));
      endpoint_gone (site, item, "endpoint_gone");
    }
  json_decref (keep);
}

/* How long a watch may wait, in milliseconds. */
static uint64_t
site_watch_wait (const site_t *site)
{
  double wait = (double)site->options.change_limit * WAIT_OF_CHANGE;
  double most = (double)site->options.keys_limit * WAIT_OF_KEYS;

  if (most > 0 && most < wait)
    wait = most;
  return (uint64_t)wait / EL_MSEC;
}

static int
site_ready (void *arg)
{
  site_t *site = arg;

  return !site->stopping && site->endpoints_known
         && gt_relays_rules_in_force (site->relays)
         && !gt_relays_rules_outdated (site->relays);
}

/* Bring the gauges up to date. */
static void
site_count (site_t *site)
{
  const rt_target_t *target;

  site->gauge_endpoints = rt_fleet_count (site->fleet);
  site->gauge_placed = 0;
  site->gauge_leaving = 0;
  for (target = rt_fleet_first (site->fleet); target; target = target->hh.next)
    {
      site->gauge_placed += target->facts.end > target->facts.first;
      site->gauge_leaving += rt_target_leaves (target);
    }
}

/* A host serves once another one has told it which requests end endpoints, or
   it seems to be alone. */
static void
site_hear_all (site_t *site, el_time_t now)
{
  int known = gt_gate_rumors_received (site->gate);

  if (site->heard || (!known && now < site->began + ALONE_AFTER))
    return;
  site->heard = 1;
  EL_LOG (EL_LOG_INFO, "hosts_heard", EL_FN ("known", known),
          EL_FN ("us", now - site->began));
  gt_relays_peers_heard (site->relays);
}

/* A host that does not reach the store refuses keyed requests soon: callers
   are sent to those that do. When none does, all are told as before. */
static void
site_look (void *arg, el_time_t now)
{
  site_t *site = arg;
  int stale = !gt_relays_rules_in_force (site->relays)
              || gt_relays_rules_outdated (site->relays)
              || !site->endpoints_known
              || now > site->rules_known + site_news_old (site) + STALE_SLACK;

  if (stale != site->withdrawn)
    EL_LOG (EL_LOG_INFO, stale ? "withdrawn" : "offered",
            EL_FN ("config_age_us", now - site->rules_known));
  site->withdrawn = stale;
  site_hear_all (site, now);
  gt_gate_withdraw (site->gate, stale);
  site_count (site);
  site->gauge_planner = (uint64_t)gt_duty_held (site->duty, now);
  net_clock_set (gt_gate_clock (site->gate), &site->look,
                 site->heard ? LOOK_EVERY : LOOK_YOUNG);
}

static void
site_addresses (void *arg, el_str_t hall, json_t *list)
{
  site_t *site = arg;

  gt_gate_entry_addresses (site->gate, hall, list);
}

static size_t
site_hosts (void *arg)
{
  site_t *site = arg;

  return gt_gate_live_hosts (site->gate);
}

static size_t
site_hall_hosts (void *arg)
{
  site_t *site = arg;

  return gt_gate_hall_live_hosts (site->gate);
}

static int
site_preferred (void *arg)
{
  site_t *site = arg;

  return !site->stopping && site->endpoints_known
         && gt_gate_is_preferred (site->gate);
}

static void
planner_item (void *arg, const pr_item_t *item)
{
  site_t *site = arg;

  site->planned = !item->gone;
}

/* A request that is blocked, as some host kept it for hosts that start when
   none is left to tell them. */
static void
blocked_item (void *arg, const pr_item_t *item)
{
  site_t *site = arg;
  rt_digest_t digest;
  unsigned holds;

  if (!item->gone && pf_blocked_read (item->key, &digest, &holds))
    gt_relays_block (site->relays, digest, holds);
}

static int
site_item (void *arg, const pr_item_t *item)
{
  if (el_str_starts (item->key, PF_RULES_PREFIX))
    return rules_item (arg, item);
  if (el_str_starts (item->key, PF_ENDPOINTS_PREFIX))
    endpoints_item (arg, item);
  else if (el_str_eq (item->key, PF_PLANNER_KEY))
    planner_item (arg, item);
  else if (el_str_starts (item->key, PF_BLOCKED_PREFIX))
    blocked_item (arg, item);
  return 1;
}

/* A host that tried while another one plans would call the store in vain. */
static int
site_vacant (void *arg)
{
  site_t *site = arg;
  el_time_t now = net_clock_now (gt_gate_clock (site->gate));

  return !site->planned && now < site->rules_known + site_news_old (site);
}

static void
site_known (void *arg, el_time_t as_of)
{
  site_t *site = arg;

  site->endpoints_known = 1;
  site->rules_known = as_of;
  site_hear_all (site, net_clock_now (gt_gate_clock (site->gate)));
  gt_relays_set_rules_as_of (site->relays, as_of);
  gt_gate_news_available (site->gate);
}

static int
site_ask (void *arg, pr_position_t after, unsigned old, pr_news_cb done,
          void *done_arg)
{
  site_t *site = arg;

  return gt_gate_request_news (site->gate, after, old, done, done_arg);
}

static void
site_blame (void *arg)
{
  site_t *site = arg;

  gt_gate_avoid_news_source (site->gate);
}

/* The store goes on from an older copy. */
static void
site_epoch (void *arg)
{
  site_t *site = arg;

  gt_relays_store_epoch_began (site->relays);
  gt_relays_persist_blocked (site->relays);
}

/* One watch for all keys: each call to the store has its price. */
static void
site_follow (site_t *site)
{
  gt_follow_options_t all = { .store = &site->store,
                              .prefix = PF_ALL_PREFIX,
                              .wait_ms = site_watch_wait (site),
                              .gather = STORE_GATHER,
                              .news_old = site_news_old (site),
                              .item = site_item,
                              .ask = site_ask,
                              .blame = site_blame,
                              .known = site_known,
                              .arg = site };

  site->part.epoch = site_epoch;
  site->part.arg = site;
  gt_store_join (&site->store, &site->part);
  site->follow = gt_follow_new (&all);
  gt_gate_set_follower (site->gate, site->follow);
}

static el_time_t
site_facts_known (void *arg)
{
  const site_t *site = arg;

  return site->rules_known;
}

static void
site_plan (site_t *site)
{
  gt_duty_options_t duty = { .store = &site->store,
                             .key = PF_PLANNER_KEY,
                             .holder = site->options.name,
                             .ttl_ms = site->options.lease_ms,
                             .margin = LEASE_MARGIN,
                             .vacant = site_vacant,
                             .arg = site };
  gt_planner_options_t planner = { .relays = site->relays,
                                   .clock = gt_gate_clock (site->gate),
                                   .client = gt_gate_client (site->gate),
                                   .fleet = site->fleet,
                                   .place = pf_place,
                                   .preferred = site_preferred,
                                   .known = site_facts_known,
                                   .arg = site };

  site->duty = gt_duty_new (&duty);
  planner.duty = site->duty;
  site->planner = gt_planner_new (&planner);
}

static int
site_polls (void *arg)
{
  site_t *site = arg;

  return !site->stopping && gt_gate_is_hall_leader (site->gate);
}

static void
site_polled (void *arg)
{
  site_t *site = arg;

  gt_gate_news_available (site->gate);
}

static size_t
site_tell (void *arg, pr_engine_t **out)
{
  site_t *site = arg;

  return gt_relays_engine_reports (site->relays, out);
}

static void
site_hear (void *arg, const pr_engine_t *news, size_t n)
{
  site_t *site = arg;

  gt_relays_receive_reports (site->relays, news, n);
}

static void
site_rumor (void *arg, const co_rumor_t *rumor)
{
  site_t *site = arg;

  gt_relays_rumor (site->relays, rumor);
}

static json_t *
site_suspects (void *arg)
{
  site_t *site = arg;

  return gt_relays_suspects (site->relays);
}

static json_t *
site_closed (void *arg)
{
  site_t *site = arg;
  const gt_store_counts_t *counts = &site->store.counts;
  pr_position_t at = gt_follow_position (site->follow);
  json_t *json = gt_relays_closed_endpoints (site->relays);

  json_object_set_new (json, "store",
                       json_pack ("{s:I,s:I,s:I,s:I,s:I}", "epoch",
                                  (json_int_t)site->store.epoch, "readEpoch",
                                  (json_int_t)at.epoch, "revision",
                                  (json_int_t)at.revision, "epochs",
                                  (json_int_t)counts->epochs, "formerAnswers",
                                  (json_int_t)counts->former));
  return json;
}

static int
site_unblock (void *arg, rt_digest_t digest)
{
  site_t *site = arg;

  return gt_relays_unblock (site->relays, digest);
}

static void
site_tell_all (void *arg, uint64_t id, el_time_t hold, el_str_t body)
{
  site_t *site = arg;

  gt_gate_gossip (site->gate, id, hold, body);
}

/* The first host of each hall has the store keep it that a request is blocked,
   for when all hosts are lost at once; two calls. */
static void
site_blocked (void *arg, rt_digest_t digest, unsigned holds, el_time_t left)
{
  site_t *site = arg;
  el_time_t hold = left / EL_MSEC;
  el_buf_t key = { NULL, 0, 0 };

  if (!gt_gate_is_hall_leader (site->gate))
    return;
  pf_blocked_key (digest, holds, &key);
  gt_store_keep (&site->store, el_buf_str (&key), site->options.name,
                 hold < PF_LEASE_MOST_MS ? hold : PF_LEASE_MOST_MS,
                 el_random (&site->store.random) % KEEP_SPREAD);
  el_buf_free (&key);
}

static gt_relays_t *
site_relays (site_t *site, el_err_t *err)
{
  const site_options_t *o = &site->options;
  gt_relay_options_t relays
      = { .clock = gt_gate_clock (site->gate),
          .client = gt_gate_client (site->gate),
          .fleet = site->fleet,
          .dialect = &pf_relay,
          .listen = o->entry,
          .hall = o->hall,
          .key = o->key,
          .max_body = BODY_MAX,
          .repeat_ratio = o->repeat_ratio,
          .repeat_slack = o->repeat_slack,
          .repeat_window = o->repeat_window,
          .keys_limit = o->keys_limit,
          .seed = o->seed,
          .hosts = site_hosts,
          .hall_hosts = site_hall_hosts,
          .is_poller = site_polls,
          .poll_done = site_polled,
          .witness = gt_gate_incarnation_number (site->gate),
          .tell = site_tell_all,
          .blocked = site_blocked,
          .arg = site };

  return gt_relays_new (&relays, err);
}

static void
site_metrics (site_t *site)
{
  static const char *const reads[GT_STORE_READS] = {
    [GT_STORE_READ_START] = "elmarch_store_reads_start_total",
    [GT_STORE_READ_HISTORY] = "elmarch_store_reads_history_total",
    [GT_STORE_READ_EPOCH] = "elmarch_store_reads_epoch_total",
  };
  el_metrics_t *metrics = gt_gate_metrics (site->gate);
  size_t i;

  el_metrics_add (metrics, "elmarch_endpoints", "endpoints listed", EL_GAUGE,
                  &site->gauge_endpoints);
  el_metrics_add (metrics, "elmarch_engines_placed",
                  "engines that hold layers", EL_GAUGE, &site->gauge_placed);
  el_metrics_add (metrics, "elmarch_endpoints_leaving",
                  "endpoints listed that said that they leave", EL_GAUGE,
                  &site->gauge_leaving);
  el_metrics_add (metrics, "elmarch_planner",
                  "1 on the host that places layers", EL_GAUGE,
                  &site->gauge_planner);
  el_metrics_add (metrics, "elmarch_log_dropped_total",
                  "log lines that were not written", EL_COUNTER,
                  el_log_dropped ());
  el_metrics_add (metrics, "elmarch_store_calls_total", "calls to the store",
                  EL_COUNTER, &site->store.counts.calls);
  el_metrics_add (metrics, "elmarch_store_failures_total", "of those, failed",
                  EL_COUNTER, &site->store.counts.failures);
  el_metrics_add (metrics, "elmarch_store_rests_total",
                  "times that the store asked this host for no calls",
                  EL_COUNTER, &site->store.counts.rests);
  el_metrics_add (metrics, "elmarch_store_epoch",
                  "the store's epoch: it rises when the store goes on from an "
                  "older copy",
                  EL_GAUGE, &site->store.epoch);
  el_metrics_add (metrics, "elmarch_store_former_total",
                  "answers of the store that were given in a former epoch",
                  EL_COUNTER, &site->store.counts.former);
  for (i = 0; i < GT_STORE_READS; i++)
    el_metrics_add (metrics, reads[i], "times that all keys were read",
                    EL_COUNTER, &site->store.counts.reads[i]);
}

/** Serve relayed requests; NULL, with the reason in ERR, when an address can't
    be had. */
site_t *
site_new (gt_gate_t *gate, const site_options_t *options, el_err_t *err)
{
  site_t *site = el_alloc (sizeof *site);
  pf_entry_options_t entry = { .loop = gt_gate_clock (gate)->loop,
                               .ready_listen = options->ready,
                               .directory_listen = options->directory,
                               .ttl_s = options->entry_ttl_s,
                               .ready = site_ready,
                               .addresses = site_addresses,
                               .arg = site };
  gt_relay_hooks_t talk = { .list_engines = site_tell,
                            .engines_received = site_hear,
                            .rumor = site_rumor,
                            .suspects = site_suspects,
                            .closed = site_closed,
                            .unblock = site_unblock,
                            .arg = site };

  site->gate = gate;
  site->options = *options;
  site->began = net_clock_now (gt_gate_clock (gate));
  site->store = (gt_store_t){ .clock = gt_gate_clock (gate),
                              .client = gt_gate_client (gate),
                              .dialect = &pf_store,
                              .address = options->store,
                              .random = options->seed | 1 };
  site->fleet = rt_fleet_new (options->seed);
  site->relays = site_relays (site, err);
  if (!site->relays || !pf_entry_new (&entry, err))
    return NULL;
  gt_gate_set_relay_hooks (gate, &talk);
  gt_relays_metrics (site->relays, gt_gate_metrics (gate));
  site_metrics (site);
  site_follow (site);
  site_plan (site);
  site->look.cb = site_look;
  site->look.arg = site;
  net_clock_set (gt_gate_clock (gate), &site->look, 0);
  return site;
}

static void
stop_look (void *arg, el_time_t now)
{
  site_t *site = arg;
  el_time_t ran = now - site->stop_began;

  if (ran >= site->options.stop_least)
    gt_relays_stop (site->relays);
  if (ran < site->options.stop_most
      && (ran < site->options.stop_least || gt_relays_running (site->relays)))
    {
      net_clock_set (gt_gate_clock (site->gate), &site->stop_look,
                     STOP_LOOK_EVERY);
      return;
    }
  EL_LOG (EL_LOG_INFO, "relays_stopped",
          EL_FN ("running", gt_relays_running (site->relays)));
  site->stopped (site->stopped_arg);
}

/** Be out of look-ups and readiness at once, answer what still comes, and call
    DONE when nothing runs any more. */
void
site_stop (site_t *site, gt_drained_cb done, void *arg)
{
  if (site->stopping)
    return;
  site->stopping = 1;
  site->stopped = done;
  site->stopped_arg = arg;
  site->stop_began = net_clock_now (gt_gate_clock (site->gate));
  EL_LOG (EL_LOG_INFO, "relays_stopping",
          EL_FN ("running", gt_relays_running (site->relays)));
  gt_planner_stop (site->planner);
  gt_relays_drain_connections (site->relays);
  site->stop_look.cb = stop_look;
  site->stop_look.arg = site;
  net_clock_set (gt_gate_clock (site->gate), &site->stop_look,
                 STOP_LOOK_EVERY);
}
