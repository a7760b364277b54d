/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Connects the relays to the rest of a host: to other hosts, to the operators'
 * interface and to the store.
 */
#include "libfrontend.h"

/* Random delay that keeps the halls from writing the same key at once. */
#define STORE_WRITE_JITTER (500 * EL_MSEC)

static size_t
frontend_count_hosts (void *arg)
{
  frontend_t *frontend = arg;

  return gt_gate_live_hosts (frontend->gate);
}

static size_t
frontend_count_hall_hosts (void *arg)
{
  frontend_t *frontend = arg;

  return gt_gate_hall_live_hosts (frontend->gate);
}

static int
frontend_is_poller (void *arg)
{
  frontend_t *frontend = arg;

  return !frontend->stopping && gt_gate_is_hall_leader (frontend->gate)
         && !gt_relays_is_cut_off_from_engines (frontend->relays);
}

static void
frontend_poll_done (void *arg)
{
  frontend_t *frontend = arg;

  gt_gate_updates_available (frontend->gate);
}

static size_t
frontend_engine_reports (void *arg, el_time_t after, pr_engine_report_t **out)
{
  frontend_t *frontend = arg;

  return gt_relays_engine_reports (frontend->relays, after, out);
}

static void
frontend_receive_reports (void *arg, const pr_engine_report_t *reports,
                          size_t n)
{
  frontend_t *frontend = arg;

  gt_relays_receive_reports (frontend->relays, reports, n);
}

static void
frontend_receive_rumor (void *arg, const co_rumor_t *rumor)
{
  frontend_t *frontend = arg;

  gt_relays_receive_rumor (frontend->relays, rumor);
}

static void
frontend_borrow (void *arg, const pr_loan_request_t *request, pr_loan_cb done,
                 void *done_arg)
{
  frontend_t *frontend = arg;

  gt_gate_borrow (frontend->gate, request, done, done_arg);
}

static void
frontend_lend (void *arg, const pr_loan_request_t *request, int is_lender,
               co_loan_t *out)
{
  frontend_t *frontend = arg;

  gt_relays_lend (frontend->relays, request, is_lender, out);
}

static unsigned
frontend_ask_reach (void *arg, const pr_reach_query_t *query, pr_reach_cb done,
                    void *done_arg)
{
  frontend_t *frontend = arg;

  return gt_gate_ask_reach (frontend->gate, query, done, done_arg);
}

static void
frontend_reach (void *arg, const pr_reach_query_t *query, pr_reach_cb done,
                void *done_arg)
{
  frontend_t *frontend = arg;

  gt_relays_answer_reach (frontend->relays, query, done, done_arg);
}

typedef struct entry_visitor
{
  gt_entry_host_cb visit;
  void *arg;
} entry_visitor_t;

static void
frontend_visit_entry (void *arg, const co_member_t *member)
{
  const entry_visitor_t *visitor = arg;
  const gt_entry_host_t host = { .address = member->http,
                                 .hall = member->hall,
                                 .capacity = member->capacity };

  visitor->visit (visitor->arg, &host);
}

static void
frontend_entry_hosts (void *arg, gt_entry_host_cb visit, void *visit_arg)
{
  const frontend_t *frontend = arg;
  entry_visitor_t visitor = { visit, visit_arg };

  gt_gate_visit_entries (frontend->gate, frontend_visit_entry, &visitor);
}

static int
frontend_entry_is_live (void *arg, el_str_t address)
{
  const frontend_t *frontend = arg;

  return gt_gate_entry_is_live (frontend->gate, address);
}

static json_t *
frontend_suspects (void *arg)
{
  frontend_t *frontend = arg;

  return gt_relays_suspects (frontend->relays);
}

static json_t *
frontend_closed_endpoints (void *arg)
{
  frontend_t *frontend = arg;
  const st_store_counts_t *counts = &frontend->store.counts;
  pr_store_position_t at = st_follow_position (frontend->follow);
  json_t *json = gt_relays_unavailable_endpoints (frontend->relays);

  json_object_set_new (json, "limits", gt_relays_limits (frontend->relays));
  json_object_set_new (
      json, "store",
      json_pack ("{s:I,s:I,s:I,s:I,s:I}", "epoch",
                 (json_int_t)frontend->store.epoch, "readEpoch",
                 (json_int_t)at.epoch, "revision", (json_int_t)at.revision,
                 "epochs", (json_int_t)counts->epochs, "formerAnswers",
                 (json_int_t)counts->former));
  return json;
}

static int
frontend_unblock (void *arg, rt_digest_t digest)
{
  frontend_t *frontend = arg;

  return gt_relays_unblock (frontend->relays, digest);
}

static void
frontend_send_rumor (void *arg, uint64_t id, el_time_t hold, el_str_t body)
{
  frontend_t *frontend = arg;

  gt_gate_publish_rumor (frontend->gate, id, hold, body);
}

/* Record a block in the store, in case all hosts fail at once. Only
   the first host of each hall does so, as it takes two calls. */
static void
frontend_store_blocked (void *arg, const rt_block_t *block, unsigned holds,
                        el_time_t time_left)
{
  frontend_t *frontend = arg;
  el_time_t ttl_ms = time_left / EL_MSEC;
  el_buf_t key = { NULL, 0, 0 };

  if (!gt_gate_is_hall_leader (frontend->gate))
    return;
  pf_blocked_key (block, holds, &key);
  st_store_put_leased (
      &frontend->store, el_buf_str (&key), frontend->options.name,
      ttl_ms < PF_LEASE_TTL_MAX_MS ? ttl_ms : PF_LEASE_TTL_MAX_MS,
      el_random (&frontend->store.random) % STORE_WRITE_JITTER);
  el_buf_free (&key);
}

/** Creates the relays. Returns NULL, with the reason in ERR, if the address
   can't be bound. */
gt_relays_t *
frontend_new_relays (frontend_t *frontend, el_err_t *err)
{
  const frontend_options_t *o = &frontend->options;
  gt_relay_options_t relays
      = { .clock = gt_gate_clock (frontend->gate),
          .client = gt_gate_client (frontend->gate),
          .fleet = frontend->fleet,
          .dialect = &pf_relay,
          .listen = o->entry,
          .hall = o->hall,
          .key = o->key,
          .max_body = FRONTEND_BODY_MAX,
          .account = gt_gate_account (frontend->gate),
          .server_counts = gt_gate_server_counts (frontend->gate),
          .max_waiting = o->max_waiting,
          .retry_ratio = o->retry_ratio,
          .retry_slack = o->retry_slack,
          .retry_window = o->retry_window,
          .keys_limit = o->keys_limit,
          .seed = o->seed,
          .hosts = frontend_count_hosts,
          .hall_hosts = frontend_count_hall_hosts,
          .is_poller = frontend_is_poller,
          .poll_done = frontend_poll_done,
          .entry_hosts = frontend_entry_hosts,
          .entry_is_live = frontend_entry_is_live,
          .host_incarnation = gt_gate_incarnation_number (frontend->gate),
          .publish = frontend_send_rumor,
          .borrow = frontend_borrow,
          .ask_reach = frontend_ask_reach,
          .blocked = frontend_store_blocked,
          .arg = frontend };

  return gt_relays_new (&relays, err);
}

/** Connects the relays to the messages of other hosts and to the operators'
    interface. */
void
frontend_set_relay_hooks (frontend_t *frontend)
{
  const gt_relay_hooks_t hooks
      = { .list_engines = frontend_engine_reports,
          .engines_received = frontend_receive_reports,
          .rumor = frontend_receive_rumor,
          .lend = frontend_lend,
          .reach = frontend_reach,
          .load = frontend_load_received,
          .load_state = frontend_load_state,
          .suspects = frontend_suspects,
          .closed = frontend_closed_endpoints,
          .unblock = frontend_unblock,
          .arg = frontend };

  gt_gate_set_relay_hooks (frontend->gate, &hooks);
}
