/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Load that the hosts of a hall tell each other: reports this host's at
 * intervals while it uses engines, and, on the hall's first host, sums up the
 * others'.
 */
#include "libfrontend.h"

/* Reports go on for this long after the last use of an engine, so that what
   was told does not end with each lull. */
#define USE_HOLD (2 * EL_SEC)

static int
load_is_told (const frontend_t *frontend)
{
  switch (frontend->options.tell_load)
    {
    case FRONTEND_TELL_ON:
      return 1;
    case FRONTEND_TELL_OFF:
      return 0;
    default:
      return gt_gate_hall_is_uneven (frontend->gate);
    }
}

static el_time_t
load_interval (const frontend_t *frontend)
{
  return ld_report_interval (frontend->options.load_interval,
                             gt_gate_hall_live_hosts (frontend->gate));
}

/* The other hosts' load was told, or the first host did not answer. Then what
   was told before counts until it is too old, and after that this host's own
   load stands for theirs. */
static void
load_told (void *arg, const ld_report_t *others)
{
  frontend_t *frontend = arg;
  frontend_load_t *load = &frontend->load;
  el_time_t now = net_clock_now (gt_gate_clock (frontend->gate));
  el_time_t ttl = ld_report_ttl (load_interval (frontend));

  if (!others)
    {
      load->unanswered++;
      return;
    }
  if (load->hosts != others->hosts)
    EL_LOG (EL_LOG_INFO, "load_told", EL_FN ("hosts", others->hosts),
            EL_FN ("hosts_before", load->hosts),
            EL_FN ("engines", others->nuses),
            EL_FN ("hall_hosts", gt_gate_hall_live_hosts (frontend->gate)),
            EL_FN ("age_us", load->told_at ? now - load->told_at : 0));
  load->hosts = others->hosts;
  load->told_at = now;
  load->engines = others->nuses;
  rt_fleet_told_use (frontend->fleet, now, ttl, others);
  gt_relays_told_waits (frontend->relays, ttl, others);
}

static void
load_tick (void *arg, el_time_t now)
{
  frontend_t *frontend = arg;
  frontend_load_t *load = &frontend->load;
  ld_report_t report = { .hosts = 1 };

  net_clock_set (gt_gate_clock (frontend->gate), &load->timer,
                 load_interval (frontend));
  if (!load_is_told (frontend))
    return;
  rt_fleet_report_use (frontend->fleet, &report);
  gt_relays_report_waits (frontend->relays, &report);
  if (report.nuses || report.nwaits)
    load->reports_until = now + USE_HOLD;
  if (now >= load->reports_until)
    return;
  load->reports++;
  gt_gate_report_load (frontend->gate, &report, load_told, frontend);
}

/* Counts a report that is invalid or was overtaken. Lines are a second apart
   at the least. */
static void
load_refused (frontend_t *frontend, uint64_t host, uint64_t sequence,
              el_time_t now)
{
  frontend_load_t *load = &frontend->load;

  load->stale++;
  if (now < load->refused_logged_at + EL_SEC)
    return;
  load->refused_logged_at = now;
  EL_LOG (EL_LOG_WARN, "load_refused", EL_FN ("host", host),
          EL_FN ("sequence", sequence), EL_FN ("refused", load->stale));
}

/** Takes in the report of HOST, and sums up those of the others. */
void
frontend_load_received (void *arg, uint64_t host, uint64_t sequence,
                        const ld_report_t *report, ld_report_t *out)
{
  frontend_t *frontend = arg;
  frontend_load_t *load = &frontend->load;
  el_time_t now = net_clock_now (gt_gate_clock (frontend->gate));

  load->received++;
  if (!ld_hall_receive (load->hall, now,
                        ld_report_ttl (load_interval (frontend)), host,
                        sequence, report))
    load_refused (frontend, host, sequence, now);
  ld_hall_sum (load->hall, now, host, out);
}

/** The load of the hall's hosts and the requests that wait, as JSON. */
json_t *
frontend_load_state (void *arg)
{
  frontend_t *frontend = arg;
  const frontend_load_t *load = &frontend->load;
  el_time_t now = net_clock_now (gt_gate_clock (frontend->gate));

  return json_pack (
      "{s:s%,s:b,s:b,s:I,s:I,s:I,s:I,s:o}", "hall", frontend->options.hall.ptr,
      frontend->options.hall.len, "told", load_is_told (frontend), "reports",
      now < load->reports_until, "hostsTold", (json_int_t)load->hosts,
      "enginesTold", (json_int_t)load->engines, "toldAgoUs",
      (json_int_t)(load->told_at ? now - load->told_at : 0), "hostsReporting",
      (json_int_t)ld_hall_hosts (load->hall), "services",
      gt_relays_waiting (frontend->relays));
}

static void
load_metrics (frontend_t *frontend)
{
  frontend_load_t *load = &frontend->load;
  el_metrics_t *metrics = gt_gate_metrics (frontend->gate);

  el_metrics_add (metrics, "elmarch_load_reports_total",
                  "reports of this host's load", EL_COUNTER, &load->reports);
  el_metrics_add (metrics, "elmarch_load_unanswered_total",
                  "of these, without an answer of the hall's first host",
                  EL_COUNTER, &load->unanswered);
  el_metrics_add (metrics, "elmarch_load_received_total",
                  "reports received as the hall's first host", EL_COUNTER,
                  &load->received);
  el_metrics_add (metrics, "elmarch_load_stale_total",
                  "of these, older than the last one or invalid", EL_COUNTER,
                  &load->stale);
  el_metrics_add (metrics, "elmarch_load_hosts",
                  "other hosts whose load was told last", EL_GAUGE,
                  &load->hosts);
}

/** Starts to report this host's load, if hosts may tell each other. The first
    report is at a random time, so that hosts which start together do not
   report together. */
void
frontend_load_start (frontend_t *frontend)
{
  frontend_load_t *load = &frontend->load;
  uint64_t random = frontend->options.seed | 1;

  load->hall = ld_hall_new ();
  load->timer.cb = load_tick;
  load->timer.arg = frontend;
  load_metrics (frontend);
  if (frontend->options.tell_load != FRONTEND_TELL_OFF)
    net_clock_set (gt_gate_clock (frontend->gate), &load->timer,
                   el_random (&random) % frontend->options.load_interval);
}
