/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Client of the platform: mirrors the configuration by range and watch, polls
 * the host list, and finds the outcome of changes whose answer was lost.
 */
#include <stdio.h>
#include <string.h>

#include "libkv.h"

#define WATCH_WAIT_MS 20000
#define WATCH_TIMEOUT (25 * EL_SEC)
#define CALL_TIMEOUT (2 * EL_SEC)
#define HOSTS_INTERVAL (500 * EL_MSEC)
#define SELECTION_CHECK_INTERVAL (500 * EL_MSEC)
#define WATCHERS_PER_HALL 2
#define PEERS_FIRST_WAIT (2 * EL_SEC)
#define RETRY_DELAY_FIRST (100 * EL_MSEC)
#define RETRY_DELAY_MAX (10 * EL_SEC)
#define PUT_ATTEMPTS_MAX 4
#define PUT_RETRY_BASE (150 * EL_MSEC)

/* A change whose outcome is not known yet. */
typedef struct put_op
{
  gt_platform_t *platform;
  struct put_op *prev;
  struct put_op *next;
  gt_change_t change; /* strings and spec are owned */
  gt_put_cb done;
  void *arg;
  int attempts;
  el_verdict_t verdict; /* of the attempts so far */
  net_exchange_t *exchange;
  el_timer_t retry;
} put_op_t;

struct gt_platform
{
  gt_gate_t *gate;
  net_exchange_t *watch; /* the pending range or watch */
  net_exchange_t *hosts;
  el_timer_t watch_timer;
  el_timer_t hosts_timer;
  unsigned failures;
  int must_reread; /* the watch cannot continue: the requested changes are no
                      longer kept */
  int full_read;   /* the pending call is a range */
  el_time_t started_at;
  put_op_t *puts;
};

static void watch_begin (void *arg, el_time_t now);
static void hosts_begin (void *arg, el_time_t now);
static void put_send (void *arg, el_time_t now);

static net_exchange_t *
platform_send (gt_platform_t *platform, const char *method,
               const el_buf_t *path, const el_buf_t *body, el_time_t timeout,
               net_result_cb done, void *arg)
{
  gt_gate_t *gate = platform->gate;
  net_request_t send = { .address = gate->options.platform,
                         .method = el_str (method),
                         .path = el_buf_str (path),
                         .timeout = timeout,
                         .done = done,
                         .arg = arg };

  if (body)
    send.body = el_buf_str (body);
  gate->counts.platform_calls++;
  return net_client_send (gate->client, &send);
}

/* Returns a delay that doubles with each failure. Up to half of it is random,
   so that hosts do not retry at the same time. */
static el_time_t
platform_retry_delay (gt_platform_t *platform)
{
  unsigned shift = platform->failures < 7 ? platform->failures : 7;
  el_time_t wait = RETRY_DELAY_FIRST << shift;

  if (wait > RETRY_DELAY_MAX)
    wait = RETRY_DELAY_MAX;
  platform->failures++;
  platform->gate->counts.platform_failures++;
  return wait / 2 + gt_random (platform->gate) % (wait / 2 + 1);
}

static void
list_apply (gt_platform_t *platform, const gt_kv_list_t *list, int whole)
{
  pr_config_update_t *sync = pr_config_update_begin (platform->gate->sync);
  gt_kv_item_t item;
  json_t *json;
  size_t i;

  json_array_foreach (list->items, i, json)
  {
    if (gt_kv_http.read_item (json, &item))
      pr_config_update_apply (sync, item.kind, item.name, item.revision,
                              item.spec);
  }
  pr_config_update_finish (sync, list->revision, whole);
}

static void
watch_done (void *arg, const net_result_t *result)
{
  gt_platform_t *platform = arg;
  gt_kv_list_t list = { 0 };
  el_time_t wait = 0;

  platform->watch = NULL;
  if (result->net != NET_OK)
    wait = platform_retry_delay (platform);
  else if (gt_kv_http.read_list (result, &list))
    {
      list_apply (platform, &list, platform->full_read);
      platform->must_reread = 0;
      platform->failures = 0;
    }
  else
    {
      if (list.compacted)
        platform->must_reread = 1;
      wait = platform_retry_delay (platform);
    }
  json_decref (list.json);
  net_clock_set (&platform->gate->clock, &platform->watch_timer, wait);
}

/* Returns whether this host calls the platform. A few hosts of each hall do,
   and the others get the configuration from them, so that the number of calls
   grows with the number of halls only. A host without a configuration calls it
   too, once the other hosts have had time to send theirs. */
static int
platform_polls (gt_platform_t *platform)
{
  gt_gate_t *gate = platform->gate;

  if (pr_peers_is_top_ranked (gate->peers, WATCHERS_PER_HALL))
    return 1;
  return !pr_config_is_ready (gate->sync)
         && net_clock_now (&gate->clock)
                > platform->started_at + PEERS_FIRST_WAIT;
}

static void
watch_begin (void *arg, el_time_t now)
{
  gt_platform_t *platform = arg;
  el_buf_t path = { NULL, 0, 0 };

  (void)now;
  if (!platform_polls (platform))
    {
      net_clock_set (&platform->gate->clock, &platform->watch_timer,
                     SELECTION_CHECK_INTERVAL);
      return;
    }
  platform->full_read
      = platform->must_reread || !pr_config_is_ready (platform->gate->sync);
  if (platform->full_read)
    gt_kv_http.range (&path);
  else
    gt_kv_http.watch (&path, co_config_revision (platform->gate->config),
                      WATCH_WAIT_MS);
  platform->watch
      = platform_send (platform, "GET", &path, NULL,
                       platform->full_read ? CALL_TIMEOUT : WATCH_TIMEOUT,
                       watch_done, platform);
  el_buf_free (&path);
}

/* The list lags behind, and successive lists repeat the same states: as long
   as an endpoint is listed as leaving, each list reports it anew, here and to
   the other hosts. */
static void
hosts_apply (gt_platform_t *platform, json_t *hosts)
{
  rt_event_t event = { .kind = RT_EV_LEAVING, .leaving = 1 };
  const char *state;
  json_t *host;
  size_t i;

  json_array_foreach (hosts, i, host)
  {
    state = json_string_value (json_object_get (host, "state"));
    event.target
        = el_str (json_string_value (json_object_get (host, "endpoint")));
    if (!state || strcmp (state, "leaving") != 0 || !event.target.len)
      continue;
    gt_router_event (platform->gate, &event);
    pr_peers_announce_leaving (platform->gate->peers, event.target);
  }
}

static void
hosts_done (void *arg, const net_result_t *result)
{
  gt_platform_t *platform = arg;
  el_time_t wait = HOSTS_INTERVAL;
  json_t *hosts = NULL;

  platform->hosts = NULL;
  if (result->net == NET_OK && gt_kv_http.read_hosts (result, &hosts))
    hosts_apply (platform, hosts);
  else
    wait += platform_retry_delay (platform);
  json_decref (hosts);
  net_clock_set (&platform->gate->clock, &platform->hosts_timer, wait);
}

static void
hosts_begin (void *arg, el_time_t now)
{
  gt_platform_t *platform = arg;
  el_buf_t path = { NULL, 0, 0 };

  (void)now;
  if (!pr_peers_is_top_ranked (platform->gate->peers, WATCHERS_PER_HALL))
    {
      net_clock_set (&platform->gate->clock, &platform->hosts_timer,
                     HOSTS_INTERVAL);
      return;
    }
  gt_kv_http.hosts (&path);
  platform->hosts = platform_send (platform, "GET", &path, NULL, CALL_TIMEOUT,
                                   hosts_done, platform);
  el_buf_free (&path);
}

gt_platform_t *
gt_platform_new (gt_gate_t *gate)
{
  gt_platform_t *platform = el_alloc (sizeof *platform);

  platform->gate = gate;
  platform->started_at = net_clock_now (&gate->clock);
  platform->watch_timer.cb = watch_begin;
  platform->watch_timer.arg = platform;
  platform->hosts_timer.cb = hosts_begin;
  platform->hosts_timer.arg = platform;
  net_clock_set (&gate->clock, &platform->watch_timer, 0);
  net_clock_set (&gate->clock, &platform->hosts_timer, 0);
  return platform;
}

static void
put_free (put_op_t *op)
{
  DL_DELETE (op->platform->puts, op);
  net_clock_cancel (&op->platform->gate->clock, &op->retry);
  if (op->exchange)
    net_client_cancel (op->exchange);
  el_str_free (&op->change.name);
  el_str_free (&op->change.id);
  json_decref (op->change.spec);
  free (op);
}

/* Applies this host's own change before the watch reports it. Earlier changes
   by others may not have arrived, so the revision of the configuration does
   not advance. */
static void
put_apply (put_op_t *op, uint64_t revision)
{
  gt_gate_t *gate = op->platform->gate;
  pr_config_update_t *sync = pr_config_update_begin (gate->sync);

  pr_config_update_apply (sync, op->change.kind, op->change.name, revision,
                          op->change.spec);
  pr_config_update_free (sync);
}

static void
put_end (put_op_t *op, gt_put_t outcome, uint64_t revision)
{
  if (outcome == GT_PUT_ACCEPTED && revision)
    put_apply (op, revision);
  op->done (op->arg, outcome, revision);
  put_free (op);
}

/* A conflict may be caused by this change itself, by an attempt whose answer
   was lost; the change id shows it. A removal leaves no value to carry the id:
   a key that is gone after a lost answer was removed by this host, or by
   another with the same intent. The watch reports the revision. */
static void
put_conflict (put_op_t *op, const gt_kv_put_t *answer)
{
  int ours = el_str_eq (el_str (answer->change_id), op->change.id);

  if (!op->change.spec && op->verdict != EL_NOT_RUN && answer->revision == 0)
    {
      put_end (op, GT_PUT_ACCEPTED, 0);
      return;
    }
  put_end (op, ours ? GT_PUT_ACCEPTED : GT_PUT_CONFLICT, answer->revision);
}

static void
put_done (void *arg, const net_result_t *result)
{
  put_op_t *op = arg;
  gt_kv_put_t answer;

  op->exchange = NULL;
  if (result->net == NET_OK && gt_kv_http.read_put (result, &answer))
    {
      if (answer.conflict)
        put_conflict (op, &answer);
      else
        put_end (op, GT_PUT_ACCEPTED, answer.revision);
      return;
    }
  op->verdict = el_verdict_join (op->verdict,
                                 result->net == NET_CONNECT_FAILED
                                         || result->net == NET_CONNECT_REFUSED
                                     ? EL_NOT_RUN
                                     : EL_MAY_HAVE_RUN);
  op->platform->gate->counts.platform_failures++;
  if (++op->attempts >= PUT_ATTEMPTS_MAX)
    {
      put_end (op, op->verdict == EL_NOT_RUN ? GT_PUT_NOT_RUN : GT_PUT_UNKNOWN,
               0);
      return;
    }
  net_clock_set (&op->platform->gate->clock, &op->retry,
                 PUT_RETRY_BASE << op->attempts);
}

/* Retrying the call is safe: the platform makes the change only if the current
   revision is the expected one. */
static void
put_send (void *arg, el_time_t now)
{
  put_op_t *op = arg;
  el_buf_t path = { NULL, 0, 0 };
  el_buf_t body = { NULL, 0, 0 };

  (void)now;
  if (op->change.spec)
    gt_kv_http.put (&op->change, &path, &body);
  else
    gt_kv_http.remove (&op->change, &path);
  op->exchange
      = platform_send (op->platform, op->change.spec ? "PUT" : "DELETE", &path,
                       &body, CALL_TIMEOUT, put_done, op);
  el_buf_free (&path);
  el_buf_free (&body);
}

/** Sends a change to the platform; DONE is called once with the outcome. */
void
gt_platform_put (gt_platform_t *platform, const gt_change_t *change,
                 gt_put_cb done, void *arg)
{
  put_op_t *op = el_alloc (sizeof *op);

  op->platform = platform;
  op->change = *change;
  op->change.name = el_str_dup (change->name);
  op->change.id = el_str_dup (change->id);
  json_incref (op->change.spec);
  op->done = done;
  op->arg = arg;
  op->verdict = EL_NOT_RUN;
  op->retry.cb = put_send;
  op->retry.arg = op;
  DL_APPEND (platform->puts, op);
  put_send (op, 0);
}

/** Cancels all calls. Changes without an answer end as unknown. */
void
gt_platform_stop (gt_platform_t *platform)
{
  net_clock_t *clock = &platform->gate->clock;

  net_clock_cancel (clock, &platform->watch_timer);
  net_clock_cancel (clock, &platform->hosts_timer);
  if (platform->watch)
    net_client_cancel (platform->watch);
  if (platform->hosts)
    net_client_cancel (platform->hosts);
  platform->watch = NULL;
  platform->hosts = NULL;
  while (platform->puts)
    put_end (platform->puts, GT_PUT_UNKNOWN, 0);
}
