/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Gateway of one host: creates its components, exports metrics and the state
 * dump, and drains before the host stops.
 */
#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <unistd.h>

#include "libgate.h"

#define EXPIRE_INTERVAL (5 * EL_SEC)

static void
config_changed (void *arg, const co_resource_t *prev,
                const co_resource_t *next)
{
  gt_gate_t *gate = arg;
  const co_resource_t *res = next ? next : prev;

  EL_LOG (EL_LOG_INFO, "config_in_force",
          EL_FC ("kind", co_kind_name (res->kind)), EL_FS ("name", res->name),
          EL_FN ("revision", res->revision),
          EL_FC ("state", next ? "set" : "removed"));
  if (gate->options.trace_fd >= 0)
    gt_trace (gate, rt_trace_config (prev, next));
  rt_router_apply_config (gate->router, prev, next);
}

static void
ledger_release (void *arg, void *answer)
{
  (void)arg;
  gt_answer_unref (answer);
}

static el_time_t
clock_next (void *arg)
{
  gt_gate_t *gate = arg;

  return rt_router_next_tick (gate->router);
}

static void
clock_fire (void *arg, el_time_t now)
{
  gt_gate_t *gate = arg;
  rt_event_t event = { .kind = RT_EV_TICK };

  if (rt_router_next_tick (gate->router) <= now)
    gt_router_event (gate, &event);
}

/** Writes a line of the trace. Takes over the reference to LINE. The
    descriptor is non-blocking: a slow reader loses lines instead of blocking
    the host. */
void
gt_trace (gt_gate_t *gate, json_t *line)
{
  char *text = json_dumps (line, JSON_COMPACT);
  el_buf_t out = { NULL, 0, 0 };
  ssize_t n;

  /* If the last line was cut short, end it first. */
  el_buf_printf (&out, "%s%s\n", gate->trace_partial ? "\n" : "", text);
  do
    n = write (gate->options.trace_fd, out.ptr, out.len);
  while (n < 0 && errno == EINTR);
  if (n < 0 && errno == EPIPE)
    gate->options.trace_fd = -1;
  if (n != (ssize_t)out.len)
    gate->counts.trace_lost++;
  if (n > 0)
    gate->trace_partial = n != (ssize_t)out.len;
  el_buf_free (&out);
  free (text);
  json_decref (line);
}

static void
trace_open (gt_gate_t *gate)
{
  const gt_options_t *o = &gate->options;

  fcntl (o->trace_fd, F_SETFL, fcntl (o->trace_fd, F_GETFL) | O_NONBLOCK);
  gt_trace (gate, json_pack ("{s:s,s:I,s:I,s:I,s:I,s:I}", "event", "start",
                             "seed", (json_int_t)o->seed, "max_active",
                             (json_int_t)o->max_active, "max_queue",
                             (json_int_t)o->max_queue, "call_limit",
                             (json_int_t)o->call_limit, "leave_hold",
                             (json_int_t)o->leave_hold));
}

/** Passes an event to the router, then wakes the readers of the answers that
    its actions changed. */
void
gt_router_event (gt_gate_t *gate, const rt_event_t *event)
{
  el_time_t now = net_clock_now (&gate->clock);

  if (gate->options.trace_fd >= 0)
    gt_trace (gate, rt_trace_event (now, event));
  rt_router_handle_event (gate->router, now, event);
  gt_answer_flush (gate);
  net_clock_arm (&gate->clock);
}

uint64_t
gt_random (gt_gate_t *gate)
{
  uint64_t value = 0;

  (void)gate;
  if (getrandom (&value, sizeof value, 0) != sizeof value)
    abort ();
  return value;
}

static void
expire_sessions (void *arg, el_time_t now)
{
  gt_gate_t *gate = arg;

  co_ledger_expire (gate->ledger, now);
  net_clock_set (&gate->clock, &gate->expire, EXPIRE_INTERVAL);
}

#define RT_COUNT(field) &rt_router_counts (gate->router)->field

static void
gate_register_metrics (gt_gate_t *gate)
{
  const struct
  {
    const char *name;
    const char *help;
    el_metric_kind_t kind;
    const void *value;
  } list[] = {
    { "elmarch_http_requests_total", "HTTP requests taken in", EL_COUNTER,
      &gate->counts.http_requests },
    { "elmarch_denied_total", "requests without a known key", EL_COUNTER,
      &gate->counts.denied },
    { "elmarch_bad_requests_total", "requests that break a rule", EL_COUNTER,
      &gate->counts.bad_requests },
    { "elmarch_joined_total", "duplicates that got the first one's answer",
      EL_COUNTER, &gate->counts.joined },
    { "elmarch_forgotten_total", "requests refused as may have run",
      EL_COUNTER, &gate->counts.forgotten },
    { "elmarch_forwarded_total", "requests handed to a session's home",
      EL_COUNTER, &gate->counts.forwarded },
    { "elmarch_home_gone_total", "requests whose home did not answer",
      EL_COUNTER, &gate->counts.home_gone },
    { "elmarch_rpc_refused_total", "peer messages refused", EL_COUNTER,
      &pr_peers_counts (gate->peers)->refused },
    { "elmarch_peer_messages_total", "messages to other hosts", EL_COUNTER,
      &pr_peers_counts (gate->peers)->messages },
    { "elmarch_peer_bytes_total", "bytes of them", EL_COUNTER,
      &pr_peers_counts (gate->peers)->bytes },
    { "elmarch_trace_lost_total", "lines of the trace not written", EL_COUNTER,
      &gate->counts.trace_lost },
    { "elmarch_platform_calls_total", "calls to the platform", EL_COUNTER,
      &gate->counts.platform_calls },
    { "elmarch_platform_failures_total", "of those, failed", EL_COUNTER,
      &gate->counts.platform_failures },
    { "elmarch_config_applied_total", "changes put in force", EL_COUNTER,
      &pr_config_counts (gate->sync)->applied },
    { "elmarch_config_stale_total", "changes older than what is in force",
      EL_COUNTER, &pr_config_counts (gate->sync)->stale },
    { "elmarch_requests_total", "requests for endpoints", EL_COUNTER,
      RT_COUNT (requests) },
    { "elmarch_refused_total", "requests refused as not run", EL_COUNTER,
      RT_COUNT (refused) },
    { "elmarch_whole_total", "requests answered whole", EL_COUNTER,
      RT_COUNT (whole) },
    { "elmarch_broken_total", "requests ended without a whole answer",
      EL_COUNTER, RT_COUNT (broken) },
    { "elmarch_cancelled_total", "requests whose caller left", EL_COUNTER,
      RT_COUNT (cancelled) },
    { "elmarch_tokens_total", "tokens delivered", EL_COUNTER,
      RT_COUNT (tokens) },
    { "elmarch_calls_total", "calls to endpoints", EL_COUNTER,
      RT_COUNT (calls) },
    { "elmarch_rebuilds_total", "attempts after a stream's first", EL_COUNTER,
      RT_COUNT (rebuilds) },
    { "elmarch_retries_total", "attempts taken from a retry budget",
      EL_COUNTER, RT_COUNT (retries) },
    { "elmarch_late_total", "endpoint answers that came too late", EL_COUNTER,
      RT_COUNT (late) },
    { "elmarch_crossed_total", "endpoint answers to another call", EL_COUNTER,
      RT_COUNT (crossed) },
    { "elmarch_ejected_total", "times an endpoint was set aside", EL_COUNTER,
      RT_COUNT (ejected) },
    { "elmarch_rests_total", "times an endpoint asked for rest", EL_COUNTER,
      RT_COUNT (backoffs) },
    { "elmarch_leaving_total", "refusals by endpoints that leave", EL_COUNTER,
      RT_COUNT (leaving) },
    { "elmarch_active", "requests running", EL_GAUGE, &gate->gauge_active },
    { "elmarch_callers", "answers not wholly sent", EL_GAUGE,
      &gate->open_responses },
    { "elmarch_queued", "requests waiting", EL_GAUGE, &gate->gauge_queued },
    { "elmarch_sessions", "sessions at home here", EL_GAUGE,
      &gate->gauge_sessions },
    { "elmarch_ledger_entries", "requests remembered", EL_GAUGE,
      &gate->gauge_entries },
    { "elmarch_ledger_bytes", "of the answers remembered", EL_GAUGE,
      &gate->gauge_bytes },
    { "elmarch_config_revision", "all changes up to it were seen", EL_GAUGE,
      &gate->gauge_revision },
    { "elmarch_first_token_microseconds", "from request to first token",
      EL_HISTOGRAM, &gate->counts.first_token },
  };
  size_t i;

  for (i = 0; i < sizeof list / sizeof *list; i++)
    el_metrics_add (&gate->metrics, list[i].name, list[i].help, list[i].kind,
                    list[i].value);
}

static void
gate_create_parts (gt_gate_t *gate)
{
  const gt_options_t *o = &gate->options;
  rt_options_t router = { .seed = o->seed,
                          .max_active = o->max_active,
                          .max_queue = o->max_queue,
                          .call_limit = o->call_limit,
                          .leave_hold = o->leave_hold,
                          .act = gt_inflight_action,
                          .arg = gate };
  co_ledger_options_t ledger = { .max_sessions = o->max_sessions,
                                 .max_entries = o->max_entries,
                                 .max_bytes = o->max_answers,
                                 .home = gate->incarnation,
                                 .idle = o->session_idle,
                                 .release = ledger_release,
                                 .arg = gate };
  co_config_options_t config = { .changed = config_changed, .arg = gate };

  gate->router = rt_router_new (&router);
  gate->ledger = co_ledger_new (&ledger);
  gate->config = co_config_new (&config);
  gate->sync = pr_config_new (gate->config);
  gate->client = net_client_new (&gate->clock);
  net_client_set_account (gate->client, &gate->account);
  gate->clock.next = clock_next;
  gate->clock.fire = clock_fire;
  gate->clock.arg = gate;
  if (o->trace_fd >= 0)
    trace_open (gate);
}

static pr_peers_t *
gate_create_peers (gt_gate_t *gate, el_err_t *err)
{
  const gt_options_t *o = &gate->options;
  pr_options_t peers = { .clock = &gate->clock,
                         .listen = o->peer_listen,
                         .seeds = o->peers,
                         .http = o->entry.len ? o->entry : o->listen,
                         .hall = o->hall,
                         .key = o->cluster_key,
                         .account = &gate->account,
                         .incarnation = gate->incarnation,
                         .capacity = o->capacity,
                         .store_followers = o->store_followers,
                         .leave_hold = o->leave_hold,
                         .seed = gt_random (gate),
                         .config = gate->sync,
                         .ledger = gate->ledger };

  gt_session_peer_ops (&peers, gate);
  return pr_peers_new (&peers, err);
}

/** Starts the gateway on its loop. Returns NULL with the reason in ERR if it
    can't listen on an address. */
gt_gate_t *
gt_gate_new (const gt_options_t *options, el_err_t *err)
{
  gt_gate_t *gate = el_alloc (sizeof *gate);
  net_server_options_t server
      = { .loop = options->loop,
          .address = options->listen,
          .max_body = options->max_body,
          .http2 = 1,
          .account = &gate->account,
          .kind = options->entry.len ? EL_CONN_OPERATOR : EL_CONN_CALLER,
          .counts = &gate->server_counts,
          .handle = gt_api_handle,
          .arg = gate };

  gate->options = *options;
  el_account_init (&gate->account, options->memory, options->descriptors);
  gate->next_stream = 1;
  gate->next_change_id = 1;
  if (getrandom (gate->incarnation.byte, CO_INCARNATION_BYTES, 0)
      != CO_INCARNATION_BYTES)
    abort ();
  co_incarnation_hex (&gate->incarnation, gate->incarnation_hex);
  net_clock_init (&gate->clock, options->loop);
  gate_create_parts (gate);
  gate->peers = gate_create_peers (gate, err);
  gate->server = gate->peers ? net_server_new (&server, err) : NULL;
  if (!gate->server)
    return NULL;
  gate_register_metrics (gate);
  gt_account_metrics (gate);
  if (options->platform.len)
    gate->platform = gt_platform_new (gate);
  gate->expire.cb = expire_sessions;
  gate->expire.arg = gate;
  net_clock_set (&gate->clock, &gate->expire, EXPIRE_INTERVAL);
  EL_LOG (EL_LOG_INFO, "started", EL_FS ("listen", options->listen),
          EL_FS ("peer_listen", options->peer_listen),
          EL_FS ("hall", options->hall),
          EL_FC ("incarnation", gate->incarnation_hex));
  return gate;
}

/** The state of the process as JSON, for operators. */
json_t *
gt_gate_dump (gt_gate_t *gate)
{
  const gt_relay_hooks_t *relay_hooks = &gate->relay_hooks;

  return json_pack (
      "{s:s,s:s,s:b,s:I,s:I,s:I,s:I,s:o,s:o,s:o,s:o,s:o,s:o}", "version",
      EL_VERSION, "incarnation", gate->incarnation_hex, "draining",
      gate->draining, "sessions",
      (json_int_t)co_ledger_sessions (gate->ledger), "ledgerEntries",
      (json_int_t)co_ledger_entries (gate->ledger), "configRevision",
      (json_int_t)co_config_revision (gate->config), "resources",
      (json_int_t)co_config_count (gate->config), "held",
      gt_account_dump (gate), "peers", pr_peers_dump (gate->peers), "router",
      rt_router_dump (gate->router, net_clock_now (&gate->clock)), "blocked",
      relay_hooks->suspects ? relay_hooks->suspects (relay_hooks->arg)
                            : json_array (),
      "closed",
      relay_hooks->closed ? relay_hooks->closed (relay_hooks->arg)
                          : json_object (),
      "load",
      relay_hooks->load_state ? relay_hooks->load_state (relay_hooks->arg)
                              : json_object ());
}

net_clock_t *
gt_gate_clock (gt_gate_t *gate)
{
  return &gate->clock;
}

net_client_t *
gt_gate_client (gt_gate_t *gate)
{
  return gate->client;
}

/** The metrics that the gateway exports; other modules may add theirs. */
el_metrics_t *
gt_gate_metrics (gt_gate_t *gate)
{
  return &gate->metrics;
}

/** Sets whether the other hosts stop listing this host as an entry address for
    callers. Has no effect while draining. */
void
gt_gate_withdraw (gt_gate_t *gate, int withdrawn)
{
  if (!gate->draining)
    pr_peers_set_withdrawn (gate->peers, withdrawn);
}

/** Number of live hosts, including this one. */
size_t
gt_gate_live_hosts (const gt_gate_t *gate)
{
  return pr_peers_count_live (gate->peers);
}

/** Number of live hosts in this host's hall, including this one. */
size_t
gt_gate_hall_live_hosts (const gt_gate_t *gate)
{
  return pr_peers_count_hall_live (gate->peers);
}

/** Number of live hosts, not draining, that come before this one where a
   single host is chosen; SIZE_MAX while this host drains. Hosts with the same
   view of the membership agree on the order. */
size_t
gt_gate_count_preferred (const gt_gate_t *gate)
{
  return gate->draining ? SIZE_MAX : pr_peers_count_preferred (gate->peers);
}

/** Calls VISIT for each other host that is offered to callers. */
void
gt_gate_visit_entries (const gt_gate_t *gate, pr_entry_cb visit, void *arg)
{
  pr_peers_visit_entries (gate->peers, visit, arg);
}

/** Whether the host that callers use at ADDRESS is alive. */
int
gt_gate_entry_is_live (const gt_gate_t *gate, el_str_t address)
{
  return pr_peers_entry_is_live (gate->peers, address);
}

/** Appends the entry addresses for callers in HALL to LIST: hosts of that hall
    if enough of them are available, else of all halls. */
void
gt_gate_entry_addresses (gt_gate_t *gate, el_str_t hall, json_t *list)
{
  pr_peers_list_addresses (gate->peers, hall, list);
}

/** Sets the follower whose store changes other hosts may request. */
void
gt_gate_set_follower (gt_gate_t *gate, st_follow_t *store_follower)
{
  gate->store_follower = store_follower;
}

/** Answers pending update requests of other hosts: the follower has an answer
    of the store, or this host has polled its hall's engines. */
void
gt_gate_updates_available (gt_gate_t *gate)
{
  pr_peers_reply_pending (gate->peers);
}

/** Sets the callbacks that exchange the state of engines and requests with
    other hosts. */
void
gt_gate_set_relay_hooks (gt_gate_t *gate, const gt_relay_hooks_t *relay_hooks)
{
  gate->relay_hooks = *relay_hooks;
}

/** Publishes the rumor BODY, identified by ID, to all hosts, which keep it for
    HOLD. */
void
gt_gate_publish_rumor (gt_gate_t *gate, uint64_t id, el_time_t hold,
                       el_str_t body)
{
  pr_peers_publish_rumor (gate->peers, id, hold, body);
}

/** Asks the lender of an endpoint's rate limit for tokens; see
    pr_peers_borrow. */
void
gt_gate_borrow (gt_gate_t *gate, const pr_loan_request_t *request,
                pr_loan_cb done, void *arg)
{
  pr_peers_borrow (gate->peers, request, done, arg);
}

/** Asks other hosts whether they reach endpoints; see pr_peers_ask_reach. */
unsigned
gt_gate_ask_reach (gt_gate_t *gate, const pr_reach_query_t *query,
                   pr_reach_cb done, void *arg)
{
  return pr_peers_ask_reach (gate->peers, query, done, arg);
}

/** Reports this host's load to the first host of its hall; see
    pr_peers_report_load. */
void
gt_gate_report_load (gt_gate_t *gate, const ld_report_t *report,
                     pr_load_cb done, void *arg)
{
  pr_peers_report_load (gate->peers, report, done, arg);
}

/** Whether the hosts of this hall differ in capacity. */
int
gt_gate_hall_is_uneven (const gt_gate_t *gate)
{
  return pr_peers_hall_is_uneven (gate->peers);
}

/** Whether this host has received the rumors known to another host. */
int
gt_gate_rumors_received (const gt_gate_t *gate)
{
  return pr_peers_rumors_known (gate->peers);
}

/** A number that identifies this incarnation of the host; never 0. */
uint64_t
gt_gate_incarnation_number (const gt_gate_t *gate)
{
  uint64_t number;

  memcpy (&number, gate->incarnation.byte, sizeof number);
  return number | 1;
}

/** Whether this host is the leader of its hall: the one host that does the
    work shared by the hall. */
int
gt_gate_is_hall_leader (const gt_gate_t *gate)
{
  return !gate->draining && pr_peers_is_first_in_hall (gate->peers);
}

/** The feed that decides whom this host asks for store updates. */
co_feed_t *
gt_gate_feed (const gt_gate_t *gate)
{
  return pr_peers_feed (gate->peers);
}

/** Asks HOST for store updates; with STAND_IN set it is to ask the store in
    this host's place. */
void
gt_gate_request_update (gt_gate_t *gate, const co_member_t *host,
                        const pr_store_query_t *query, int stand_in,
                        pr_store_update_cb done, void *arg)
{
  pr_peers_request_update (gate->peers, host, query, stand_in, done, arg);
}
