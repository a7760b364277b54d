/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Metrics of relayed requests.
 */
#include "librelay.h"

#define COUNT(field) offsetof (gt_relay_counts_t, field)

static const struct
{
  const char *name;
  const char *help;
  el_metric_kind_t kind;
  size_t offset;
} metric_defs[] = {
  { "elmarch_relay_requests_total", "requests taken in", EL_COUNTER,
    COUNT (requests) },
  { "elmarch_relay_passed_total", "whole answers handed on", EL_COUNTER,
    COUNT (forwarded) },
  { "elmarch_relay_no_rules_total",
    "refused for want of a configuration that is new enough", EL_COUNTER,
    COUNT (no_config) },
  { "elmarch_relay_unknown_total", "requests under no rule", EL_COUNTER,
    COUNT (unmatched) },
  { "elmarch_relay_denied_total", "requests without a known key", EL_COUNTER,
    COUNT (denied) },
  { "elmarch_relay_refused_total", "refused as not run", EL_COUNTER,
    COUNT (refused) },
  { "elmarch_relay_failed_total", "failed, may have run", EL_COUNTER,
    COUNT (failed) },
  { "elmarch_relay_timeouts_total", "ended at their time limit", EL_COUNTER,
    COUNT (timeouts) },
  { "elmarch_relay_cut_total", "streams broken off", EL_COUNTER,
    COUNT (aborted) },
  { "elmarch_relay_gone_total", "callers that left", EL_COUNTER,
    COUNT (disconnected) },
  { "elmarch_relay_attempts_total", "sends to endpoints", EL_COUNTER,
    COUNT (attempts) },
  { "elmarch_relay_repeats_total", "sends after a request's first", EL_COUNTER,
    COUNT (retries) },
  { "elmarch_relay_resumed_total", "streams that went on at another line",
    EL_COUNTER, COUNT (resumed) },
  { "elmarch_relay_rerouted_total", "streams moved around an engine",
    EL_COUNTER, COUNT (rerouted) },
  { "elmarch_relay_held_total",
    "times that a still stream could not be sent again", EL_COUNTER,
    COUNT (not_retried) },
  { "elmarch_relay_waits_total",
    "streams that waited for an endpoint to go on at", EL_COUNTER,
    COUNT (waits) },
  { "elmarch_relay_over_host_total",
    "requests forwarded to another host, as this host reaches no endpoint",
    EL_COUNTER, COUNT (over_host) },
  { "elmarch_relay_for_host_total", "requests served for another host",
    EL_COUNTER, COUNT (for_host) },
  { "elmarch_relay_unreached_total",
    "refused, as no host that reaches the endpoints was found", EL_COUNTER,
    COUNT (refused_unreached) },
  { "elmarch_relay_cut_off", "services of which this host reaches no endpoint",
    EL_GAUGE, COUNT (cut_off) },
  { "elmarch_relay_cuts_total", "times that a service became one of these",
    EL_COUNTER, COUNT (cuts) },
  { "elmarch_relay_probes_total",
    "connections opened to see whether an endpoint is reached", EL_COUNTER,
    COUNT (probes) },
  { "elmarch_relay_checks_total", "engines asked for a sign of life",
    EL_COUNTER, COUNT (checks) },
  { "elmarch_relay_silent_total", "engines that gave none", EL_COUNTER,
    COUNT (silent) },
  { "elmarch_relay_crossed_total", "answers to another request", EL_COUNTER,
    COUNT (wrong_id) },
  { "elmarch_relay_spent_total", "repeats not made for want of budget",
    EL_COUNTER, COUNT (budget_exhausted) },
  { "elmarch_relay_ends_total", "endpoints that ended where requests ran",
    EL_COUNTER, COUNT (crashes) },
  { "elmarch_relay_suspects_total", "runs noted under such ends", EL_COUNTER,
    COUNT (suspects) },
  { "elmarch_relay_blocked_total", "requests found to be to blame for ends",
    EL_COUNTER, COUNT (blocked) },
  { "elmarch_relay_barred_total", "arrivals of these that were refused",
    EL_COUNTER, COUNT (refused_blocked) },
  { "elmarch_relay_apart_total", "suspects sent apart from others", EL_COUNTER,
    COUNT (isolated) },
  { "elmarch_relay_turns_total", "times that a suspect waited for its turn",
    EL_COUNTER, COUNT (turn_waits) },
  { "elmarch_relay_rests_total", "times that an endpoint asked for rest",
    EL_COUNTER, COUNT (backoffs) },
  { "elmarch_relay_rest_microseconds_total", "time that endpoints rested",
    EL_COUNTER, COUNT (backoff_us) },
  { "elmarch_relay_kept_total",
    "sends kept back as the endpoint closed while a connection was made",
    EL_COUNTER, COUNT (withheld) },
  { "elmarch_relay_in_rest_total", "sends to endpoints that rest; stays 0",
    EL_COUNTER, COUNT (sent_in_backoff) },
  { "elmarch_relay_rested_total", "refused as all endpoints rest", EL_COUNTER,
    COUNT (refused_backoff) },
  { "elmarch_relay_leaves_total",
    "endpoints that said in an answer that they leave", EL_COUNTER,
    COUNT (leaving) },
  { "elmarch_relay_limits_total",
    "times that an endpoint began to name a limit for all hosts", EL_COUNTER,
    COUNT (limits) },
  { "elmarch_relay_limit_borrows_total",
    "times that a lender was asked for tokens of a limit", EL_COUNTER,
    COUNT (limit_borrows) },
  { "elmarch_relay_limit_unanswered_total", "of these, without an answer",
    EL_COUNTER, COUNT (limit_unanswered) },
  { "elmarch_relay_limit_tokens_total", "tokens borrowed", EL_COUNTER,
    COUNT (limit_tokens) },
  { "elmarch_relay_limit_lent_total", "tokens lent, also to this host",
    EL_COUNTER, COUNT (limit_lent) },
  { "elmarch_relay_limit_returned_total",
    "tokens of requests that were not sent", EL_COUNTER,
    COUNT (limit_returned) },
  { "elmarch_relay_limit_waits_total", "waits of requests for a token",
    EL_COUNTER, COUNT (limit_waits) },
  { "elmarch_relay_limit_denied_total",
    "times that a request got no token and looked for another endpoint",
    EL_COUNTER, COUNT (limit_denied) },
  { "elmarch_relay_limited_total",
    "refused as the limits of all endpoints are used up", EL_COUNTER,
    COUNT (refused_limit) },
  { "elmarch_relay_over_limit_total",
    "sends to a limited endpoint without a token; stays 0", EL_COUNTER,
    COUNT (sent_over_limit) },
  { "elmarch_relay_events_total", "events handed on", EL_COUNTER,
    COUNT (events) },
  { "elmarch_relay_first_event_microseconds", "from request to first event",
    EL_HISTOGRAM, COUNT (first_event) },
  { "elmarch_relay_answer_microseconds", "from request to plain answer",
    EL_HISTOGRAM, COUNT (answer) },
  { "elmarch_relay_event_gap_microseconds", "between a stream's events",
    EL_HISTOGRAM, COUNT (event_gap) },
};

/** Registers the metrics. */
void
gt_relays_metrics (gt_relays_t *relays, el_metrics_t *metrics)
{
  const char *base = (const char *)&relays->counts;
  size_t i;

  for (i = 0; i < sizeof metric_defs / sizeof *metric_defs; i++)
    el_metrics_add (metrics, metric_defs[i].name, metric_defs[i].help,
                    metric_defs[i].kind, base + metric_defs[i].offset);
}
