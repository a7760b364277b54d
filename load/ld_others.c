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
 * hosts that told nothing, this host's own use stands for theirs: if all hosts
 * do the same, both ways have the same result.
 */
#include "libload.h"

static int
is_told (const ld_others_t *others, el_time_t now)
{
  return now < others->told_until;
}

/* The others' use when this host uses OWN. */
static double
others_now (const ld_others_t *others, const ld_quantity_t *quantity, int told,
            double own, double hosts)
{
  double all = hosts > 1 ? hosts - 1 : 0;
  double untold = all > others->hosts ? all - others->hosts : 0;

  if (!told)
    return own * all;
  return quantity->told + quantity->own_at_told * untold
         + (own - quantity->own_at_told) * all;
}

static void
quantity_reported (const ld_others_t *others, ld_quantity_t *quantity,
                   int told, double own, double hosts)
{
  quantity->others_at_report = others_now (others, quantity, told, own, hosts);
  quantity->own_at_report = own;
}

/** Records that the engine has reported its load. HELD and BEGUN are this
    host's use, HOSTS the number of hosts that use it, this one included. */
void
ld_others_reported (ld_others_t *others, el_time_t now, double held,
                    double begun, double hosts)
{
  int told = is_told (others, now);

  quantity_reported (others, &others->held, told, held, hosts);
  quantity_reported (others, &others->begun, told, begun, hosts);
}

/* If nothing was told at the time of the engine's report, the others' use then
   is taken to be what makes up for the difference. */
static void
quantity_told (const ld_others_t *others, ld_quantity_t *quantity, int known,
               double told, double own, double hosts)
{
  double since = (own - quantity->own_at_report) * (hosts > 1 ? hosts - 1 : 0);

  quantity->told = told;
  quantity->own_at_told = own;
  if (!known)
    quantity->others_at_report
        = others_now (others, quantity, 1, own, hosts) - since;
}

/** Records what other hosts told of their use of the engine. HELD and BEGUN
   are this host's use, ALL_HOSTS the number of hosts that use it, this one
    included. */
void
ld_others_told (ld_others_t *others, el_time_t now, const ld_told_t *told,
                double held, double begun, double all_hosts)
{
  const ld_use_t none = { 0 };
  const ld_use_t *use = told->use ? told->use : &none;
  int known = is_told (others, now);

  others->hosts = told->hosts;
  others->told_until = now + told->ttl;
  quantity_told (others, &others->held, known, use->held, held, all_hosts);
  quantity_told (others, &others->begun, known, use->begun, begun, all_hosts);
}

/** Estimates how much all hosts use of QUANTITY, of which this host uses OWN.
    HOSTS is the number of hosts that use the engine, this one included. With
    SINCE_REPORT set, the result is the change since the engine's report. */
double
ld_others_estimate (const ld_others_t *others, const ld_quantity_t *quantity,
                    el_time_t now, double own, double hosts, int since_report)
{
  int told = is_told (others, now);

  if (!told)
    return (since_report ? own - quantity->own_at_report : own) * hosts;
  return others_now (others, quantity, 1, own, hosts) + own
         - (since_report ? quantity->others_at_report + quantity->own_at_report
                         : 0);
}
