/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Use of an engine by all hosts. Load pattern: demand that differs between
 * hosts and halls, and bursts that are shorter than the interval of the
 * engines' reports. A host that extrapolates from its own few requests is
 * wrong by as much as its demand differs from the others', and its estimate
 * jumps by the number of hosts with each request.
 *
 * What the others told is used as it is. Only for the time since, and for
 * hosts that told nothing, this host's own use stands for theirs. That the
 * others send where this host has just sent keeps hosts with the same view
 * from all sending to the same engine. If all hosts do the same, both ways
 * have the same result.
 */
#include "libload.h"

static int
is_told (const ld_others_t *others, el_time_t now)
{
  return now < others->told_until;
}

/* The use by all hosts when this host uses OWN, by what the others told. */
static double
all_now (const ld_others_t *others, const ld_quantity_t *quantity, double own,
         double hosts)
{
  double untold = hosts - 1 > others->hosts ? hosts - 1 - others->hosts : 0;

  return quantity->told + quantity->own_at_told * (1 + untold)
         + (own - quantity->own_at_told) * hosts;
}

static double
interpolate (el_time_t from, double value_from, el_time_t to, double value_to,
             el_time_t at)
{
  if (at >= to || to <= from)
    return value_to;
  if (at <= from)
    return value_from;
  return value_from
         + (value_to - value_from) * (double)(at - from) / (double)(to - from);
}

static void
quantity_reported (const ld_others_t *others, ld_quantity_t *quantity,
                   const ld_reported_t *report, double own, double hosts)
{
  el_time_t at = report->at > report->lag ? report->at - report->lag : 0;

  quantity->own_at_report = own;
  if (!is_told (others, report->at))
    quantity->all_at_report = own * hosts;
  else if (at < others->told_at && others->before_at)
    quantity->all_at_report
        = interpolate (others->before_at, quantity->all_before,
                       others->told_at, quantity->all_at_told, at);
  else
    quantity->all_at_report
        = interpolate (others->told_at, quantity->all_at_told, report->at,
                       all_now (others, quantity, own, hosts), at);
}

/** Records that the engine has reported its load. HELD and BEGUN are this
    host's use, HOSTS the number of hosts that use it, this one included. */
void
ld_others_reported (ld_others_t *others, const ld_reported_t *report,
                    double held, double begun, double hosts)
{
  quantity_reported (others, &others->held, report, held, hosts);
  quantity_reported (others, &others->begun, report, begun, hosts);
}

/* If nothing was told at the time of the engine's report, the use then is
   taken to be what makes up for the difference. */
static void
quantity_told (const ld_others_t *others, ld_quantity_t *quantity, double told,
               double own, double hosts)
{
  double since = (own - quantity->own_at_report) * hosts;

  quantity->told = told;
  quantity->own_at_told = own;
  quantity->all_before = quantity->all_at_told;
  quantity->all_at_told = all_now (others, quantity, own, hosts);
  if (!others->before_at)
    quantity->all_at_report = quantity->all_at_told - since;
}

/** Records what other hosts told of their use of the engine. HELD and BEGUN
   are this host's use, ALL_HOSTS the number of hosts, this one included. */
void
ld_others_told (ld_others_t *others, el_time_t now, const ld_told_t *told,
                double held, double begun, double all_hosts)
{
  const ld_use_t none = { 0 };
  const ld_use_t *use = told->use ? told->use : &none;

  others->before_at = is_told (others, now) ? others->told_at : 0;
  others->hosts = told->hosts;
  others->told_at = now;
  others->told_until = now + told->ttl;
  quantity_told (others, &others->held, use->held, held, all_hosts);
  quantity_told (others, &others->begun, use->begun, begun, all_hosts);
}

/** Estimates how much all hosts use of QUANTITY, of which this host uses OWN.
    HOSTS is the number of hosts that use the engine, this one included. With
    SINCE_REPORT set, the result is the change since the engine's report. */
double
ld_others_estimate (const ld_others_t *others, const ld_quantity_t *quantity,
                    el_time_t now, double own, double hosts, int since_report)
{
  if (!is_told (others, now))
    return (since_report ? own - quantity->own_at_report : own) * hosts;
  return all_now (others, quantity, own, hosts)
         - (since_report ? quantity->all_at_report : 0);
}
