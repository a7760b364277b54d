/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Checks that all hosts together kept to the rate limits that endpoints named,
 * against what the endpoints recorded.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rate_limit.h"
#include "soak.h"

#define LINE_MAX_BYTES 512

/* A request that arrived at an endpoint which named a limit. */
typedef struct limit_arrival
{
  el_time_t time;
  char id[SK_ID_MAX];
  char endpoint_id[64];
  char via[32];
  double limit;
  el_time_t since; /* when that limit was first named */
} limit_arrival_t;

typedef struct limit_arrivals
{
  limit_arrival_t *list;
  size_t len;
} limit_arrivals_t;

/** Whether FAULT excuses HOST, or holds requests to ENDPOINT up so that they
    arrive together. */
int
sk_fault_excuses (const sk_fault_t *fault, unsigned host, unsigned endpoint)
{
  switch (fault->kind)
    {
    case SK_HOST_TERM:
    case SK_HOST_KILL:
    case SK_HOST_PAUSE:
      return fault->target == host;
    case SK_HOSTS_KILL:
      return 1;
    case SK_ENDPOINT_PAUSE:
      return fault->target == endpoint;
    case SK_LINK_DELAY:
    case SK_LINK_RESET:
    case SK_LINK_PARTITION_ONE_WAY:
    case SK_LINK_PARTITION:
      return fault->target == host || fault->target == SK_HOSTS + endpoint;
    default:
      return 0;
    }
}

static int
arrival_excused (const limit_arrival_t *arrival, const sk_requests_t *requests,
                 const sk_fault_t *faults, size_t nfaults,
                 el_time_t traffic_start)
{
  unsigned host = (unsigned)strtoul (arrival->via, NULL, 10);
  unsigned endpoint = sk_endpoint_number (arrival->endpoint_id);
  size_t i;

  for (i = 0; i < nfaults; i++)
    if (sk_fault_excuses (&faults[i], host, endpoint)
        && traffic_start + faults[i].start_at < arrival->time
        && traffic_start + faults[i].start_at + faults[i].duration
                   + SN_LIMIT_CONTACT_TIME
               > arrival->time)
      return 1;
  return sk_host_restarted_during (requests, arrival->id);
}

static void
arrivals_read (const char *path, limit_arrivals_t *out)
{
  char text[LINE_MAX_BYTES];
  limit_arrival_t arrival;
  FILE *file = fopen (path, "r");

  while (file && fgets (text, sizeof text, file))
    if (sscanf (text, "%" SCNu64 " %31s %63s %31s %lf %" SCNu64, &arrival.time,
                arrival.id, arrival.endpoint_id, arrival.via, &arrival.limit,
                &arrival.since)
        == 6)
      {
        out->list = el_grow (out->list, out->len + 1, sizeof *out->list);
        out->list[out->len++] = arrival;
      }
  if (file)
    fclose (file);
}

/* Number of arrivals in the window that ends with arrival LAST, of the same
   endpoint and limit. The records of an endpoint are in order of time. */
static size_t
window_count (const limit_arrivals_t *arrivals, size_t last)
{
  const limit_arrival_t *end = &arrivals->list[last];
  size_t n = 1;
  size_t i;

  for (i = last; i > 0; i--)
    {
      const limit_arrival_t *arrival = &arrivals->list[i - 1];

      if (strcmp (arrival->endpoint_id, end->endpoint_id) != 0)
        continue;
      if (arrival->since != end->since
          || arrival->time + SN_LIMIT_WINDOW <= end->time)
        break;
      n++;
    }
  return n;
}

/** Check the limits that endpoints named. */
void
sk_limits_check (const sk_cluster_t *cluster, const sk_requests_t *requests,
                 const sk_fault_t *faults, size_t nfaults,
                 el_time_t traffic_start)
{
  limit_arrivals_t all = { NULL, 0 };
  limit_arrivals_t counted = { NULL, 0 };
  char path[300];
  double allowed;
  size_t n;
  size_t i;

  snprintf (path, sizeof path, "%s/runs.limit", cluster->dir);
  arrivals_read (path, &all);
  for (i = 0; i < all.len; i++)
    {
      if (arrival_excused (&all.list[i], requests, faults, nfaults,
                           traffic_start))
        continue;
      counted.list
          = el_grow (counted.list, counted.len + 1, sizeof *counted.list);
      counted.list[counted.len++] = all.list[i];
      allowed = sn_limit_allowed (all.list[i].limit);
      n = window_count (&counted, counted.len - 1);
      if ((double)n > allowed)
        sk_violation ("limit", all.list[i].id,
                      "%zu requests reached %s within its limit of %g", n,
                      all.list[i].endpoint_id, all.list[i].limit);
    }
  if (all.len)
    printf ("limited=%zu counted=%zu ", all.len, counted.len);
  free (all.list);
  free (counted.list);
}
