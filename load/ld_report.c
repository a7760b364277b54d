/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Reports of load, and their sum over the hosts of a hall. One host of the
 * hall keeps the last report of each; there is no other copy. When that host
 * is lost, the next one has all reports again after one interval.
 */
#include "libload.h"

/* Maximum number of hosts of a hall whose reports are kept. */
#define HOSTS_MAX 4096

/* Hosts of a hall beyond which each reports less often, so that the messages
   of the host that sums them up stay as many. */
#define HOSTS_AT_SHORTEST 25

typedef struct hall_host
{
  uint64_t host;
  uint64_t sequence;
  el_time_t until;
  ld_report_t report;
  UT_hash_handle hh;
} hall_host_t;

/* Sum of the hosts' use of an engine, or of the requests that wait for a
   service. */
typedef struct hall_total
{
  uint64_t key;
  ld_use_t use;
  uint64_t waiting[LD_RANKS];
  size_t hosts; /* that contribute */
  UT_hash_handle hh;
} hall_total_t;

struct ld_hall
{
  hall_host_t *hosts;
  hall_total_t *engines;
  hall_total_t *services;
};

/* A report with a number that is not finite is not valid. */
static int
use_valid (const ld_use_t *use)
{
  return use->held >= 0 && use->held <= LD_HELD_MAX && use->begun >= 0
         && use->begun <= LD_BEGUN_MAX;
}

static int
waits_valid (const ld_waits_t *waits)
{
  size_t i;

  for (i = 0; i < LD_RANKS; i++)
    if (waits->waiting[i] > LD_WAITING_MAX)
      return 0;
  return 1;
}

/** Whether the values of REPORT are possible. */
int
ld_report_valid (const ld_report_t *report)
{
  size_t i;

  if (report->nuses > LD_USES_MAX || report->nwaits > LD_WAITS_MAX)
    return 0;
  for (i = 0; i < report->nuses; i++)
    if (!use_valid (&report->uses[i]))
      return 0;
  for (i = 0; i < report->nwaits; i++)
    if (!waits_valid (&report->waits[i]))
      return 0;
  return 1;
}

/** The use of ENGINE in REPORT, which is added if there is none; NULL if the
    report is full. */
ld_use_t *
ld_report_use (ld_report_t *report, uint64_t engine)
{
  size_t i;

  for (i = 0; i < report->nuses; i++)
    if (report->uses[i].engine == engine)
      return &report->uses[i];
  if (i == LD_USES_MAX)
    return NULL;
  report->nuses++;
  report->uses[i] = (ld_use_t){ .engine = engine };
  return &report->uses[i];
}

/** The requests of SERVICE that wait according to REPORT, which are added if
    there are none; NULL if the report is full. */
ld_waits_t *
ld_report_waits (ld_report_t *report, uint64_t service)
{
  size_t i;

  for (i = 0; i < report->nwaits; i++)
    if (report->waits[i].service == service)
      return &report->waits[i];
  if (i == LD_WAITS_MAX)
    return NULL;
  report->nwaits++;
  report->waits[i] = (ld_waits_t){ .service = service };
  return &report->waits[i];
}

/** Time between two reports of a host: SHORTEST in a hall of a few HOSTS, more
    in a larger one. */
el_time_t
ld_report_interval (el_time_t shortest, size_t hosts)
{
  return hosts > HOSTS_AT_SHORTEST ? shortest * hosts / HOSTS_AT_SHORTEST
                                   : shortest;
}

/** Age from which a report of a host that reports each INTERVAL, or a sum, is
    no longer used. */
el_time_t
ld_report_ttl (el_time_t interval)
{
  return interval * LD_REPORTS_LOST;
}

/** Creates the reports of a hall, without any. */
ld_hall_t *
ld_hall_new (void)
{
  return el_alloc (sizeof (ld_hall_t));
}

static hall_total_t *
total_get (hall_total_t **totals, uint64_t key)
{
  hall_total_t *total;

  HASH_FIND (hh, *totals, &key, sizeof key, total);
  if (total)
    return total;
  total = el_alloc (sizeof *total);
  total->key = key;
  HASH_ADD (hh, *totals, key, sizeof total->key, total);
  return total;
}

/* Adds a host's contribution, or removes it if SIGN is -1. A total without any
   is dropped, so that rounding errors do not stay. */
static void
total_contribute (hall_total_t **totals, uint64_t key, int sign,
                  const ld_use_t *use, const ld_waits_t *waits)
{
  hall_total_t *total = total_get (totals, key);
  size_t i;

  total->hosts += (size_t)sign;
  if (!total->hosts)
    {
      HASH_DEL (*totals, total);
      free (total);
      return;
    }
  if (use)
    {
      total->use.held += sign * use->held;
      total->use.begun += sign * use->begun;
    }
  for (i = 0; waits && i < LD_RANKS; i++)
    total->waiting[i] += (uint64_t)((int64_t)sign * waits->waiting[i]);
}

static void
host_contribute (ld_hall_t *hall, const hall_host_t *host, int sign)
{
  const ld_report_t *report = &host->report;
  size_t i;

  for (i = 0; i < report->nuses; i++)
    total_contribute (&hall->engines, report->uses[i].engine, sign,
                      &report->uses[i], NULL);
  for (i = 0; i < report->nwaits; i++)
    total_contribute (&hall->services, report->waits[i].service, sign, NULL,
                      &report->waits[i]);
}

static void
host_drop (ld_hall_t *hall, hall_host_t *host)
{
  host_contribute (hall, host, -1);
  HASH_DEL (hall->hosts, host);
  free (host);
}

/** Frees HALL. */
void
ld_hall_free (ld_hall_t *hall)
{
  hall_host_t *host;
  hall_host_t *next;

  HASH_ITER (hh, hall->hosts, host, next)
  host_drop (hall, host);
  free (hall);
}

static void
hosts_expire (ld_hall_t *hall, el_time_t now)
{
  hall_host_t *host;
  hall_host_t *next;

  HASH_ITER (hh, hall->hosts, host, next)
  if (now >= host->until)
    host_drop (hall, host);
}

/** Replaces the last report of HOST, which is used for TTL. Returns 0 if
   REPORT is not valid, or not newer than that one: messages may arrive late or
    twice. */
int
ld_hall_receive (ld_hall_t *hall, el_time_t now, el_time_t ttl, uint64_t host,
                 uint64_t sequence, const ld_report_t *report)
{
  hall_host_t *known;

  if (!ld_report_valid (report))
    return 0;
  hosts_expire (hall, now);
  HASH_FIND (hh, hall->hosts, &host, sizeof host, known);
  if (known && sequence <= known->sequence)
    return 0;
  if (!known && HASH_COUNT (hall->hosts) >= HOSTS_MAX)
    return 0;
  if (known)
    host_contribute (hall, known, -1);
  else
    {
      known = el_alloc (sizeof *known);
      known->host = host;
      HASH_ADD (hh, hall->hosts, host, sizeof host, known);
    }
  known->sequence = sequence;
  known->until = now + ttl;
  known->report = *report;
  host_contribute (hall, known, 1);
  return 1;
}

static double
limited (double value, double max)
{
  return value < 0 ? 0 : value > max ? max : value;
}

/* Adds the use of an engine by all hosts but the one that reported OWN. */
static void
use_add (ld_report_t *out, const hall_total_t *total, const ld_report_t *own)
{
  ld_use_t use = { .engine = total->key,
                   .held = total->use.held,
                   .begun = total->use.begun };
  ld_use_t *added;
  size_t i;

  for (i = 0; own && i < own->nuses; i++)
    if (own->uses[i].engine == total->key)
      {
        use.held -= own->uses[i].held;
        use.begun -= own->uses[i].begun;
      }
  if (use.held <= 0 && use.begun <= 0)
    return;
  added = ld_report_use (out, total->key);
  if (!added)
    return;
  added->held = limited (use.held, LD_HELD_MAX);
  added->begun = limited (use.begun, LD_BEGUN_MAX);
}

/* The same for the requests that wait for a service. */
static void
waits_add (ld_report_t *out, const hall_total_t *total, const ld_report_t *own)
{
  ld_waits_t *added = ld_report_waits (out, total->key);
  size_t rank;
  size_t i;

  for (rank = 0; added && rank < LD_RANKS; rank++)
    {
      uint64_t waiting = total->waiting[rank];

      for (i = 0; own && i < own->nwaits; i++)
        if (own->waits[i].service == total->key)
          waiting -= own->waits[i].waiting[rank];
      added->waiting[rank]
          = waiting < LD_WAITING_MAX ? (unsigned)waiting : LD_WAITING_MAX;
    }
}

/** Sums up the recent reports of all hosts but EXCEPT. */
void
ld_hall_sum (ld_hall_t *hall, el_time_t now, uint64_t except, ld_report_t *out)
{
  const ld_report_t *own = NULL;
  const hall_total_t *total;
  hall_host_t *host;

  hosts_expire (hall, now);
  HASH_FIND (hh, hall->hosts, &except, sizeof except, host);
  if (host)
    own = &host->report;
  out->hosts = HASH_COUNT (hall->hosts) - (host != NULL);
  out->nuses = 0;
  out->nwaits = 0;
  for (total = hall->engines; total; total = total->hh.next)
    use_add (out, total, own);
  for (total = hall->services; total; total = total->hh.next)
    waits_add (out, total, own);
}

/** Number of hosts with a recent report, as of the last call. */
size_t
ld_hall_hosts (const ld_hall_t *hall)
{
  return HASH_COUNT (hall->hosts);
}
