/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * What operators see of the account of bytes and connections.
 */
#include "libgate.h"

static const char *const hold_names[EL_HOLD_KINDS] = {
  [EL_HOLD_SHORT] = "shortRequests",
  [EL_HOLD_LONG] = "longBodies",
  [EL_HOLD_ANSWER] = "responses",
  [EL_HOLD_PEER] = "peerMessages",
};

static const char *const conn_names[EL_CONN_KINDS] = {
  [EL_CONN_CALLER] = "callers",  [EL_CONN_OPERATOR] = "operators",
  [EL_CONN_CONTROL] = "control", [EL_CONN_PEER] = "peers",
  [EL_CONN_OWN] = "own",
};

/** The account of what the process holds for others. */
el_account_t *
gt_gate_account (gt_gate_t *gate)
{
  return &gate->account;
}

/** The counters of the process's servers. */
net_server_counts_t *
gt_gate_server_counts (gt_gate_t *gate)
{
  return &gate->server_counts;
}

/** Registers the metrics of the account and of the servers. */
void
gt_account_metrics (gt_gate_t *gate)
{
  const el_account_t *account = &gate->account;
  const net_server_counts_t *counts = &gate->server_counts;
  const el_metric_t list[] = {
    { "elmarch_held_bytes", "bytes held for callers and hosts", EL_GAUGE,
      &account->bytes },
    { "elmarch_held_bytes_max", "limit of the bytes held", EL_GAUGE,
      &account->bytes_max },
    { "elmarch_held_bytes_peak", "most bytes held since the start", EL_GAUGE,
      &account->bytes_peak },
    { "elmarch_held_short_bytes", "of them, heads and short bodies", EL_GAUGE,
      &account->held[EL_HOLD_SHORT] },
    { "elmarch_held_long_bytes", "of them, long bodies with their copies",
      EL_GAUGE, &account->held[EL_HOLD_LONG] },
    { "elmarch_held_response_bytes", "of them, responses", EL_GAUGE,
      &account->held[EL_HOLD_ANSWER] },
    { "elmarch_held_peer_bytes", "of them, messages of other hosts", EL_GAUGE,
      &account->held[EL_HOLD_PEER] },
    { "elmarch_connections", "open connections", EL_GAUGE, &account->conns },
    { "elmarch_connections_max", "limit of open connections", EL_GAUGE,
      &account->conns_max },
    { "elmarch_connections_callers", "of them, of callers", EL_GAUGE,
      &account->conn[EL_CONN_CALLER] },
    { "elmarch_connections_own", "of them, opened by this host", EL_GAUGE,
      &account->conn[EL_CONN_OWN] },
    { "elmarch_connections_evicted_total",
      "resting connections closed to make room", EL_COUNTER,
      &counts->evicted },
    { "elmarch_connections_refused_total",
      "connections closed at once for want of room", EL_COUNTER,
      &counts->turned_away },
    { "elmarch_connections_unread_total",
      "connections closed as a response was not read", EL_COUNTER,
      &counts->unread },
    { "elmarch_connections_paused_total",
      "connections not read for a while, as they sent much ahead", EL_COUNTER,
      &counts->paused },
    { "elmarch_http2_refused_total",
      "HTTP/2 connections closed for want of room", EL_COUNTER,
      &counts->refused_http2 },
    { "elmarch_heads_refused_total", "requests whose head was too long",
      EL_COUNTER, &counts->refused_head },
    { "elmarch_bodies_refused_total", "requests whose body was too long",
      EL_COUNTER, &counts->refused_body },
    { "elmarch_slow_refused_total", "requests that took too long to arrive",
      EL_COUNTER, &counts->refused_slow },
    { "elmarch_room_refused_total", "requests refused for want of room",
      EL_COUNTER, &counts->refused_room },
    { "elmarch_bodies_waited_total", "bodies that waited for room", EL_COUNTER,
      &counts->waited },
    { "elmarch_idle_evicted_total",
      "idle connections of this host closed to make room", EL_COUNTER,
      &net_client_counts (gate->client)->evicted },
    { "elmarch_responses_invalid_total", "heads that no response can have",
      EL_COUNTER, &net_client_counts (gate->client)->invalid },
    { "elmarch_responses_too_long_total", "responses longer than their limit",
      EL_COUNTER, &net_client_counts (gate->client)->too_long },
    { "elmarch_responses_waited_total",
      "responses of endpoints that waited for room", EL_COUNTER,
      &net_client_counts (gate->client)->waited },
  };
  size_t i;

  for (i = 0; i < sizeof list / sizeof *list; i++)
    el_metrics_add (&gate->metrics, list[i].name, list[i].help, list[i].kind,
                    list[i].value);
}

static json_t *
usage (uint64_t used, uint64_t max)
{
  return json_pack ("{s:I,s:I}", "used", (json_int_t)used, "max",
                    (json_int_t)max);
}

/** What the process holds, by kind, and the limits. */
json_t *
gt_account_dump (const gt_gate_t *gate)
{
  const el_account_t *account = &gate->account;
  json_t *bytes = json_object ();
  json_t *conns = json_object ();
  size_t i;

  json_object_set_new (bytes, "all",
                       usage (account->bytes, account->bytes_max));
  json_object_set_new (conns, "all",
                       usage (account->conns, account->conns_max));
  for (i = 0; i < EL_HOLD_KINDS; i++)
    json_object_set_new (bytes, hold_names[i],
                         usage (account->held[i], account->hold_max[i]));
  for (i = 0; i < EL_CONN_KINDS; i++)
    json_object_set_new (conns, conn_names[i],
                         usage (account->conn[i], account->conn_max[i]));
  return json_pack ("{s:o,s:o}", "bytes", bytes, "connections", conns);
}
