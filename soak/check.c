/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Checks the invariants against what callers received and what endpoints
 * recorded.
 */
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "map.h"
#include "soak.h"

/* Allowed beyond the hosts' limit until a revoked key must be refused; the
   clocks of the hosts and of this process differ by less. */
#define KEYS_CLOCK_MARGIN (300 * EL_MSEC)
/* Time after which an endpoint that announced that it leaves gets no new
   requests. */
#define LEAVE_GRACE (2 * EL_SEC)
/* Time after its end for which a fault may still have effects. */
#define FAULT_SETTLE_TIME (2 * EL_SEC)
#define LINE_MAX_BYTES 1024

/* All executions of the request with one id. */
typedef struct check_executions
{
  char id[SK_ID_MAX];
  unsigned count;
  char customer[32];
  int sent_by_caller;
  UT_hash_handle hh;
} check_executions_t;

/* One execution, as its endpoint recorded it. */
typedef struct check_record
{
  char endpoint_id[64];
  char id[SK_ID_MAX];
  el_time_t time;
} check_record_t;

typedef struct check_records
{
  check_record_t *list;
  size_t len;
} check_records_t;

static size_t violations;

/** Report that INVARIANT is violated for the request ID. */
void
sk_violation (const char *invariant, const char *id, const char *fmt, ...)
{
  char text[256];
  va_list args;

  va_start (args, fmt);
  vsnprintf (text, sizeof text, fmt, args);
  va_end (args);
  printf ("broken=%s request=%s %s\n", invariant, id, text);
  violations++;
}

/* Check that a chain of engines, "ADDRESS=FROM-TO,...", has each layer once
   and in order. */
static void
chain_check (const char *id, const char *chain)
{
  unsigned next_layer = 0;
  unsigned from;
  unsigned to;
  const char *part = chain;

  while (part && (part = strchr (part, '=')))
    {
      if (sscanf (part, "=%u-%u", &from, &to) != 2 || from != next_layer
          || to <= from)
        {
          sk_violation ("layers", id, "chain %s", chain);
          return;
        }
      next_layer = to;
      part = strchr (part, ',');
    }
  if (next_layer != SK_LAYERS)
    sk_violation ("layers", id, "chain %s", chain);
}

static check_executions_t *
executions_get (check_executions_t **by_id, const char *id)
{
  check_executions_t *executions;

  HASH_FIND_STR (*by_id, id, executions);
  if (executions)
    return executions;
  executions = el_alloc (sizeof *executions);
  snprintf (executions->id, sizeof executions->id, "%s", id);
  HASH_ADD_STR (*by_id, id, executions);
  return executions;
}

/* Parse one line of the record. A truncated line is skipped. */
static void
record_parse (const char *text, check_records_t *records,
              check_executions_t **by_id)
{
  check_record_t record;
  check_executions_t *executions;
  char customer[32];
  char chain[LINE_MAX_BYTES];

  if (sscanf (text, "%" SCNu64 " %31s %63s %31s %1023s", &record.time,
              record.id, record.endpoint_id, customer, chain)
      != 5)
    return;
  records->list
      = el_grow (records->list, records->len + 1, sizeof *records->list);
  records->list[records->len++] = record;
  executions = executions_get (by_id, record.id);
  executions->count++;
  snprintf (executions->customer, sizeof executions->customer, "%s", customer);
  if (strcmp (chain, "-") != 0)
    chain_check (record.id, chain);
}

/* Read the record of the endpoints. */
static check_executions_t *
records_read (const sk_cluster_t *cluster, check_records_t *records)
{
  check_executions_t *by_id = NULL;
  char path[300];
  char text[LINE_MAX_BYTES];
  FILE *file;

  snprintf (path, sizeof path, "%s/runs", cluster->dir);
  file = fopen (path, "r");
  while (file && fgets (text, sizeof text, file))
    record_parse (text, records, &by_id);
  if (file)
    fclose (file);
  return by_id;
}

static int
is_refusal (long status)
{
  return status == 429 || status == 503 || status == 408 || status == 421;
}

/* A request with a revoked key is not executed after the limit, and a key that
   stays valid until the response is not denied after the limit. A key that is
   revoked while the request is in flight may be denied: a host that had just
   started held a request for 581 ms until its first configuration arrived,
   which no longer contained the key. */
static void
key_check (const sk_request_t *request, const check_executions_t *executions)
{
  int settled = !request->key_changed_at
                || request->sent > request->key_changed_at + SK_KEYS_MAX_AGE
                                       + KEYS_CLOCK_MARGIN;

  if (request->key_revoked && request->key_changed_at && settled && executions)
    sk_violation ("keys", request->id,
                  "executed %" PRIu64 " us after its key was revoked",
                  request->sent - request->key_changed_at);
  if (!request->key_revoked && !request->key_revoked_since
      && request->status == 401
      && (request->generation == 0 || (request->key_changed_at && settled)))
    sk_violation ("denied", request->id, "status 401 for a valid key");
}

/* Check that a request was executed for its own customer, not more often than
   allowed, and not at all if it was refused. */
static void
executions_check (const sk_request_t *request, check_executions_t *executions)
{
  const char *id = request->id;
  char customer[32];

  executions->sent_by_caller = 1;
  snprintf (customer, sizeof customer, "customer-%u", request->key);
  if (strcmp (executions->customer, customer) != 0)
    sk_violation ("customer", id, "executed for %s", executions->customer);
  if (request->kind == SK_UNSAFE && executions->count > 1)
    sk_violation ("at most once", id, "executed %u times", executions->count);
  if (is_refusal (request->status))
    sk_violation ("refused but executed", id, "status %ld, executed %u times",
                  request->status, executions->count);
}

/* Check that the caller received the complete response of an endpoint to this
   request. */
static void
response_check (const sk_request_t *request)
{
  const char *id = request->id;
  int served = request->status == 200 && request->complete;

  if (served && (!request->has_seal || !request->has_own_id))
    sk_violation ("own response", id, "seal %d, own id %d", request->has_seal,
                  request->has_own_id);
  if (request->out_of_order)
    sk_violation ("stream order", id, "resumed after event %u, last event %u",
                  request->resumed_after, request->last_event);
  if (served && request->kind == SK_STREAM
      && request->last_event != SK_STREAM_EVENTS)
    sk_violation ("complete stream", id, "ended after event %u",
                  request->last_event);
  if (request->status == 404 || request->status == 403)
    sk_violation ("denied", id, "status %ld", request->status);
}

static void
request_check (const sk_request_t *request, check_executions_t *executions)
{
  key_check (request, executions);
  if (executions)
    executions_check (request, executions);
  response_check (request);
}

/* Print the number of requests with each outcome. */
static void
outcomes_print (const sk_requests_t *requests)
{
  unsigned served = 0;
  unsigned refused = 0;
  unsigned other = 0;
  size_t i;

  for (i = 0; i < requests->len; i++)
    {
      const sk_request_t *request = &requests->list[i];

      if (request->status == 200 && request->complete)
        served++;
      else if (is_refusal (request->status))
        refused++;
      else
        other++;
    }
  printf ("requests=%zu served=%u refused=%u other=%u ", requests->len, served,
          refused, other);
}

/* Whether a fault may delay changes of the store on their way to hosts. */
static int
delays_store_changes (const sk_fault_t *fault)
{
  switch (fault->kind)
    {
    case SK_HOST_TERM:
    case SK_HOST_KILL:
    case SK_HOST_PAUSE:
    case SK_HOSTS_KILL:
    case SK_STORE_PAUSE:
    case SK_STORE_COMPACT:
      return 1;
    case SK_LINK_DELAY:
    case SK_LINK_RESET:
    case SK_LINK_PARTITION_ONE_WAY:
    case SK_LINK_PARTITION:
      return fault->target < SK_HOSTS;
    default:
      return 0;
    }
}

static int
is_any_fault (const sk_fault_t *fault)
{
  (void)fault;
  return 1;
}

/* Whether no fault that COUNTS selects, other than EXCEPT, was active or had
   ended recently between FROM and TO. */
static int
no_fault_around (const sk_fault_t *faults, size_t n, const sk_fault_t *except,
                 el_time_t from, el_time_t to,
                 int (*counts) (const sk_fault_t *fault))
{
  size_t i;

  for (i = 0; i < n; i++)
    if (&faults[i] != except && counts (&faults[i]) && faults[i].start_at < to
        && faults[i].start_at + faults[i].duration + FAULT_SETTLE_TIME > from)
      return 0;
  return 1;
}

/* Whether the host that denied the key of BEFORE accepted it for AFTER. */
static int
is_accepted_again (const sk_request_t *before, const sk_request_t *after)
{
  return after->key_revoked && after->status == 200
         && after->key == before->key
         && after->generation == before->generation
         && after->host == before->host
         && after->host_starts == before->host_starts
         && after->sent > before->done;
}

/* Check that a host process that has refused a revoked key never accepts that
   key again. */
static void
revoked_keys_check (const sk_requests_t *requests)
{
  size_t i;
  size_t k;

  for (i = 0; i < requests->len; i++)
    if (requests->list[i].key_revoked && requests->list[i].status == 401)
      for (k = 0; k < requests->len; k++)
        if (is_accepted_again (&requests->list[i], &requests->list[k]))
          sk_violation ("configuration", requests->list[k].id,
                        "key accepted again after request %s was denied",
                        requests->list[i].id);
}

/* Check that an endpoint that announced that it leaves gets no new requests.
   Skipped where another fault may have delayed the announcement. */
static void
leaving_check (const check_records_t *records, const sk_fault_t *faults,
               size_t nfaults, el_time_t traffic_start)
{
  size_t f;
  size_t i;

  for (f = 0; f < nfaults; f++)
    {
      const sk_fault_t *leave = &faults[f];

      if (leave->kind != SK_ENDPOINT_LEAVE
          || !no_fault_around (faults, nfaults, leave, leave->start_at,
                               leave->start_at + leave->duration,
                               delays_store_changes))
        continue;
      for (i = 0; i < records->len; i++)
        if (strcmp (records->list[i].endpoint_id, leave->endpoint_id) == 0
            && records->list[i].time
                   > traffic_start + leave->start_at + LEAVE_GRACE)
          sk_violation ("leaving", records->list[i].id,
                        "executed at %s, which is leaving",
                        leave->endpoint_id);
    }
}

/* Check that responses in progress at a planned stop are completed. Skipped
   where another fault was active around the stop, or a request crashed an
   engine. */
static void
planned_stops_check (const sk_cluster_t *cluster,
                     const sk_requests_t *requests, const sk_fault_t *faults,
                     size_t nfaults, el_time_t traffic_start)
{
  size_t f;
  size_t i;

  for (f = 0; f < nfaults; f++)
    {
      const sk_fault_t *stop = &faults[f];

      if (stop->kind != SK_HOST_TERM
          || !no_fault_around (faults, nfaults, stop, stop->start_at,
                               stop->start_at + 4 * EL_SEC, is_any_fault)
          || sk_request_crashed (cluster, requests,
                                 traffic_start + stop->start_at - 4 * EL_SEC,
                                 traffic_start + stop->start_at + 4 * EL_SEC))
        continue;
      for (i = 0; i < requests->len; i++)
        {
          const sk_request_t *r = &requests->list[i];

          if (r->host == stop->target
              && r->sent < traffic_start + stop->start_at
              && r->done > traffic_start + stop->start_at && !r->complete
              && r->status)
            sk_violation ("planned stop", r->id,
                          "response cut off after event %u", r->last_event);
        }
    }
}

/* Whether a fault may have delayed the traffic between a host and an endpoint,
   or the processing of it in either, and so a notice of the endpoint. */
static int
may_delay (const sk_fault_t *fault, unsigned host, unsigned endpoint)
{
  switch (fault->kind)
    {
    case SK_HOST_PAUSE:
      return fault->target == host;
    case SK_ENDPOINT_PAUSE:
      return fault->target == endpoint;
    case SK_LINK_DELAY:
    case SK_LINK_RESET:
    case SK_LINK_PARTITION_ONE_WAY:
    case SK_LINK_PARTITION:
      return fault->target == SK_HOSTS + endpoint;
    default:
      return 0;
    }
}

/** The number of the endpoint with that id, which begins with its name, "mN-".
 */
unsigned
sk_endpoint_number (const char *id)
{
  return (unsigned)strtoul (id + 1, NULL, 10);
}

/** Whether its host was restarted while the request ID was under way. */
int
sk_host_restarted_during (const sk_requests_t *requests, const char *id)
{
  size_t i;

  for (i = 0; i < requests->len; i++)
    if (strcmp (requests->list[i].id, id) == 0)
      return requests->list[i].host_restarted;
  return 0;
}

/* Whether HOST received the refusal of request BY by an endpoint. Endpoints
   record only that they sent it: on a machine that stalled for 13 s, two
   refusals were for requests that their hosts had abandoned 132 ms before and
   0.2 ms after the refusals were sent, so that no host read the backoff time
   in them. */
static int
was_refusal_received (const sk_cluster_t *cluster, unsigned host,
                      const char *by, const char *endpoint_id)
{
  char path[300];
  char request[96];
  char endpoint[96];
  char *line = NULL;
  size_t size = 0;
  int found = 0;
  FILE *file;

  snprintf (path, sizeof path, "%s/h%u.log", cluster->dir, host);
  snprintf (request, sizeof request, "event=attempt_failed request=%s ", by);
  snprintf (endpoint, sizeof endpoint, " endpoint=%s ", endpoint_id);
  file = fopen (path, "r");
  while (file && !found && getline (&line, &size, file) > 0)
    found = strstr (line, request) && strstr (line, endpoint)
            && strstr (line, " status=503 ");
  if (file)
    fclose (file);
  free (line);
  return found;
}

/* Check one line that an endpoint recorded for a request that arrived although
   the endpoint had asked the host to back off, or had announced to it that it
   leaves, half a second earlier or more. The caller names the host process in
   the request, so that a restarted host is told apart. It may name the process
   before a restart, though: such a request came from a host that had been
   started 13 ms earlier and had not received the notice. Requests during which
   the host was restarted are therefore skipped. */
static void
notice_check (const sk_cluster_t *cluster, const char *text,
              const sk_requests_t *requests, const sk_fault_t *faults,
              size_t nfaults, el_time_t traffic_start)
{
  check_record_t record;
  char via[32];
  char what[16];
  char by[64];
  el_time_t since;
  unsigned host;
  size_t i;

  if (sscanf (text, "%" SCNu64 " %31s %63s %31s %15s %" SCNu64 " %63s",
              &record.time, record.id, record.endpoint_id, via, what, &since,
              by)
      != 7)
    return;
  if (sk_host_restarted_during (requests, record.id))
    return;
  host = (unsigned)strtoul (via, NULL, 10);
  for (i = 0; i < nfaults; i++)
    if (may_delay (&faults[i], host, sk_endpoint_number (record.endpoint_id))
        && traffic_start + faults[i].start_at < record.time
        && traffic_start + faults[i].start_at + faults[i].duration
                   + FAULT_SETTLE_TIME
               > since)
      return;
  if (strcmp (what, "rest") == 0
      && !was_refusal_received (cluster, host, by, record.endpoint_id))
    return;
  sk_violation (what, record.id,
                "reached %s from host %s %" PRIu64 " us after its notice",
                record.endpoint_id, via, record.time - since);
}

static void
notices_check (const sk_cluster_t *cluster, const sk_requests_t *requests,
               const sk_fault_t *faults, size_t nfaults,
               el_time_t traffic_start)
{
  char path[300];
  char text[LINE_MAX_BYTES];
  FILE *file;

  snprintf (path, sizeof path, "%s/runs.asked", cluster->dir);
  file = fopen (path, "r");
  while (file && fgets (text, sizeof text, file))
    notice_check (cluster, text, requests, faults, nfaults, traffic_start);
  if (file)
    fclose (file);
}

/* Check that no host was to act on a request that waits for something else. */
static void
phases_check (const sk_cluster_t *cluster)
{
  char path[300];
  char *line = NULL;
  size_t size = 0;
  size_t host;
  FILE *file;

  for (host = 0; host < SK_HOSTS; host++)
    {
      snprintf (path, sizeof path, "%s/h%zu.log", cluster->dir, host);
      file = fopen (path, "r");
      while (file && getline (&line, &size, file) > 0)
        if (strstr (line, " event=phase_error "))
          sk_violation ("phase", "-", "host %zu: %s", host, line);
      if (file)
        fclose (file);
    }
  free (line);
}

/** Check all invariants. Returns the number of violations. */
size_t
sk_check_invariants (const sk_cluster_t *cluster,
                     const sk_requests_t *requests, const sk_fault_t *faults,
                     size_t nfaults, el_time_t traffic_start)
{
  check_records_t records = { NULL, 0 };
  check_executions_t *by_id = records_read (cluster, &records);
  check_executions_t *executions;
  check_executions_t *next;
  size_t n;
  size_t i;

  for (i = 0; i < requests->len; i++)
    {
      HASH_FIND_STR (by_id, requests->list[i].id, executions);
      request_check (&requests->list[i], executions);
    }
  revoked_keys_check (requests);
  planned_stops_check (cluster, requests, faults, nfaults, traffic_start);
  leaving_check (&records, faults, nfaults, traffic_start);
  notices_check (cluster, requests, faults, nfaults, traffic_start);
  sk_limits_check (cluster, requests, faults, nfaults, traffic_start);
  sk_crashes_check (cluster, requests, faults, nfaults, traffic_start);
  phases_check (cluster);
  free (records.list);
  outcomes_print (requests);
  printf ("ran=%u ", HASH_COUNT (by_id));
  HASH_ITER (hh, by_id, executions, next)
  {
    if (!executions->sent_by_caller)
      sk_violation ("asked", executions->id,
                    "executed, but no caller sent it");
    HASH_DEL (by_id, executions);
    free (executions);
  }
  n = violations;
  violations = 0;
  return n;
}
