/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Checks that few requests that crash endpoints are sent once they have
 * crashed some, against what the endpoints recorded, and that no other request
 * is refused as one of them.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "soak.h"

#define LINE_MAX_BYTES 1024
/* From the crash with this number on, hosts have CONTACT_TIME to learn of it;
   then at most LATE_MAX such requests may be sent. */
static const size_t crashes_max[]
    = { [SK_CRASH_PARTS] = 5, [SK_CRASH_REQUEST] = 3 };
#define CONTACT_TIME (3 * EL_SEC)
#define LATE_MAX 3

typedef struct part_run
{
  el_time_t time;
  char endpoint_id[64];
  const sk_request_t *request;
} part_run_t;

typedef struct part_runs
{
  part_run_t *list;
  size_t len;
} part_runs_t;

static const sk_request_t *
request_find (const sk_requests_t *requests, const char *id)
{
  size_t i;

  for (i = 0; i < requests->len; i++)
    if (strcmp (requests->list[i].id, id) == 0)
      return &requests->list[i];
  return NULL;
}

static int
compare_time (const void *a, const void *b)
{
  const part_run_t *left = a;
  const part_run_t *right = b;

  return (left->time > right->time) - (left->time < right->time);
}

/* Read the runs of requests that crash engines, by time. */
static void
parts_read (const sk_cluster_t *cluster, const sk_requests_t *requests,
            part_runs_t *out)
{
  char text[LINE_MAX_BYTES];
  char path[300];
  char id[SK_ID_MAX];
  part_run_t run;
  FILE *file;

  snprintf (path, sizeof path, "%s/runs", cluster->dir);
  file = fopen (path, "r");

  while (file && fgets (text, sizeof text, file))
    if (sscanf (text, "%" SCNu64 " %31s %63s", &run.time, id, run.endpoint_id)
        == 3)
      {
        run.request = request_find (requests, id);
        if (!run.request || !run.request->crashes_endpoints)
          continue;
        out->list = el_grow (out->list, out->len + 1, sizeof *out->list);
        out->list[out->len++] = run;
      }
  if (file)
    fclose (file);
  if (out->len)
    qsort (out->list, out->len, sizeof *out->list, compare_time);
}

/* Whether an earlier run was on the same engine, which it crashed. */
static int
engine_seen (const part_runs_t *runs, size_t i)
{
  size_t k;

  for (k = 0; k < i; k++)
    if (strcmp (runs->list[k].endpoint_id, runs->list[i].endpoint_id) == 0)
      return 1;
  return 0;
}

static int
run_excused (const part_run_t *run, const sk_fault_t *faults, size_t nfaults,
             el_time_t traffic_start)
{
  unsigned endpoint = sk_endpoint_number (run->endpoint_id);
  size_t i;

  for (i = 0; i < nfaults; i++)
    if (sk_fault_excuses (&faults[i], run->request->host, endpoint)
        && traffic_start + faults[i].start_at < run->time
        && traffic_start + faults[i].start_at + faults[i].duration
                   + CONTACT_TIME
               > run->time)
      return 1;
  return run->request->host_restarted;
}

/** Whether such a request crashed an endpoint in the time. */
int
sk_request_crashed (const sk_cluster_t *cluster, const sk_requests_t *requests,
                    el_time_t from, el_time_t to)
{
  part_runs_t runs = { NULL, 0 };
  int crashed = 0;
  size_t i;

  if (!cluster->crash)
    return 0;
  parts_read (cluster, requests, &runs);
  for (i = 0; i < runs.len; i++)
    crashed |= runs.list[i].time > from && runs.list[i].time < to;
  free (runs.list);
  return crashed;
}

/* Check that no sound request was refused as one that crashes endpoints. */
static void
sound_check (const sk_cluster_t *cluster, const sk_requests_t *requests)
{
  int wanted = cluster->crash != SK_CRASH_PARTS
               || test_wanted ("soak_parts_sound_requests");
  size_t refused = 0;
  size_t i;

  for (i = 0; i < requests->len; i++)
    if (requests->list[i].refused_as_crashing
        && !requests->list[i].crashes_endpoints && refused++ == 0 && wanted)
      sk_violation ("sound", requests->list[i].id,
                    "refused as one that crashes endpoints");
  printf ("sound_refused=%zu ", refused);
}

/** Check the requests that crash endpoints. */
void
sk_crashes_check (const sk_cluster_t *cluster, const sk_requests_t *requests,
                  const sk_fault_t *faults, size_t nfaults,
                  el_time_t traffic_start)
{
  part_runs_t runs = { NULL, 0 };
  el_time_t last = EL_TIME_NEVER - CONTACT_TIME;
  size_t crashes = 0;
  size_t late = 0;
  size_t i;

  if (!cluster->crash)
    return;
  parts_read (cluster, requests, &runs);
  for (i = 0; i < runs.len; i++)
    {
      if (!engine_seen (&runs, i) && ++crashes == crashes_max[cluster->crash])
        last = runs.list[i].time;
      if (runs.list[i].time > last + CONTACT_TIME
          && !run_excused (&runs.list[i], faults, nfaults, traffic_start)
          && ++late > LATE_MAX)
        sk_violation ("crashes", runs.list[i].request->id,
                      "reached %s, %zu late after %zu crashes",
                      runs.list[i].endpoint_id, late, crashes);
    }
  printf ("crashes=%zu late=%zu ", crashes, late);
  sound_check (cluster, requests);
  free (runs.list);
}
