/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The promises, held against what callers saw and what endpoints noted.
 */
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "map.h"
#include "soak.h"

/* A key that was taken away is refused after the hosts' limit; their clocks
   and this one's differ by less than the margin. */
#define KEYS_MARGIN (300 * EL_MSEC)
/* A member that says that it leaves gets nothing new after this. */
#define LEAVING_LIMIT (2 * EL_SEC)
/* A fault still counts for this long after its end. */
#define CALM_AFTER (2 * EL_SEC)
#define LINE_MAX_BYTES 1024

/* All that ran under one id. */
typedef struct check_run
{
  char id[SK_ID_MAX];
  unsigned n;
  char customer[32];
  int asked; /* a caller sent it */
  UT_hash_handle hh;
} check_run_t;

/* One run, as its member noted it. */
typedef struct check_note
{
  char member[64];
  char id[SK_ID_MAX];
  el_time_t at;
} check_note_t;

typedef struct check_notes
{
  check_note_t *list;
  size_t len;
} check_notes_t;

static size_t broken;

/** A promise does not hold for the request ID. */
void
sk_broken (const char *promise, const char *id, const char *fmt, ...)
{
  char text[256];
  va_list args;

  va_start (args, fmt);
  vsnprintf (text, sizeof text, fmt, args);
  va_end (args);
  printf ("broken=%s request=%s %s\n", promise, id, text);
  broken++;
}

/* Each layer once and in order: "ADDRESS=FROM-TO,...". */
static void
line_check (const char *id, const char *line)
{
  unsigned at = 0;
  unsigned from;
  unsigned to;
  const char *part = line;

  while (part && (part = strchr (part, '=')))
    {
      if (sscanf (part, "=%u-%u", &from, &to) != 2 || from != at || to <= from)
        {
          sk_broken ("layers", id, "line %s", line);
          return;
        }
      at = to;
      part = strchr (part, ',');
    }
  if (at != SK_LAYERS)
    sk_broken ("layers", id, "line %s", line);
}

static check_run_t *
run_get (check_run_t **runs, const char *id)
{
  check_run_t *run;

  HASH_FIND_STR (*runs, id, run);
  if (run)
    return run;
  run = el_alloc (sizeof *run);
  snprintf (run->id, sizeof run->id, "%s", id);
  HASH_ADD_STR (*runs, id, run);
  return run;
}

/* Take in one line that a member noted; one that is cut short is left out. */
static void
note_read (const char *text, check_notes_t *notes, check_run_t **runs)
{
  check_note_t note;
  check_run_t *run;
  char customer[32];
  char line[LINE_MAX_BYTES];

  if (sscanf (text, "%" SCNu64 " %31s %63s %31s %1023s", &note.at, note.id,
              note.member, customer, line)
      != 5)
    return;
  notes->list = el_grow (notes->list, notes->len + 1, sizeof *notes->list);
  notes->list[notes->len++] = note;
  run = run_get (runs, note.id);
  run->n++;
  snprintf (run->customer, sizeof run->customer, "%s", customer);
  if (strcmp (line, "-") != 0)
    line_check (note.id, line);
}

/* Read what the members noted. */
static check_run_t *
runs_read (const sk_world_t *world, check_notes_t *notes)
{
  check_run_t *runs = NULL;
  char path[300];
  char text[LINE_MAX_BYTES];
  FILE *file;

  snprintf (path, sizeof path, "%s/runs", world->dir);
  file = fopen (path, "r");
  while (file && fgets (text, sizeof text, file))
    note_read (text, notes, &runs);
  if (file)
    fclose (file);
  return runs;
}

static int
is_refusal (long status)
{
  return status == 429 || status == 503 || status == 408 || status == 421;
}

/* Keys: one that was taken away runs nothing after the limit, one that is in
   force until the answer is not denied after it. One that goes in between may
   be: a host that had just started held a request for 581 ms until it had its
   first configuration, which had the key no more. */
static void
key_check (const sk_request_t *request, const check_run_t *run)
{
  int settled
      = !request->changed_at
        || request->sent > request->changed_at + SK_KEYS_LIMIT + KEYS_MARGIN;

  if (request->old && request->changed_at && settled && run)
    sk_broken ("keys", request->id, "ran %" PRIu64 " us after its key went",
               request->sent - request->changed_at);
  if (!request->old && !request->taken && request->status == 401
      && (request->generation == 0 || (request->changed_at && settled)))
    sk_broken ("denied", request->id, "a key that is in force");
}

/* What ran: for the right customer, as often as it may. */
static void
run_check (const sk_request_t *request, check_run_t *run)
{
  const char *id = request->id;
  char customer[32];

  run->asked = 1;
  snprintf (customer, sizeof customer, "customer-%u", request->key);
  if (strcmp (run->customer, customer) != 0)
    sk_broken ("customer", id, "ran for %s", run->customer);
  if (request->kind == SK_UNSAFE && run->n > 1)
    sk_broken ("at most once", id, "ran %u times", run->n);
  if (is_refusal (request->status))
    sk_broken ("not run is true", id, "status %ld, ran %u times",
               request->status, run->n);
}

/* What the caller got: an endpoint's answer to this request, and all of it. */
static void
answer_check (const sk_request_t *request)
{
  const char *id = request->id;
  int served = request->status == 200 && request->whole;

  if (served && (!request->seal || !request->own))
    sk_broken ("own answer", id, "seal %d, own %d", request->seal,
               request->own);
  if (request->disorder)
    sk_broken ("stream order", id, "from %u to %u", request->resumed,
               request->events);
  if (served && request->kind == SK_STREAM && request->events != SK_EVENTS)
    sk_broken ("whole stream", id, "ended after %u", request->events);
  if (request->status == 404 || request->status == 403)
    sk_broken ("denied", id, "status %ld", request->status);
}

static void
request_check (const sk_request_t *request, check_run_t *run)
{
  key_check (request, run);
  if (run)
    run_check (request, run);
  answer_check (request);
}

/* How often each outcome was seen. */
static void
seen_print (const sk_seen_t *seen)
{
  unsigned served = 0;
  unsigned refused = 0;
  unsigned other = 0;
  size_t i;

  for (i = 0; i < seen->len; i++)
    {
      const sk_request_t *request = &seen->list[i];

      if (request->status == 200 && request->whole)
        served++;
      else if (is_refusal (request->status))
        refused++;
      else
        other++;
    }
  printf ("requests=%zu served=%u refused=%u other=%u ", seen->len, served,
          refused, other);
}

/* Whether a fault keeps hosts from hearing of the store. */
static int
is_news_fault (const sk_fault_t *fault)
{
  switch (fault->kind)
    {
    case SK_HOST_TERM:
    case SK_HOST_KILL:
    case SK_HOST_PAUSE:
    case SK_HOSTS_KILL:
    case SK_STORE_PAUSE:
    case SK_STORE_FORGET:
      return 1;
    case SK_LINK_DELAY:
    case SK_LINK_RESET:
    case SK_LINK_CUT:
    case SK_LINK_SILENT:
      return fault->which < SK_HOSTS;
    default:
      return 0;
    }
}

static int
is_fault (const sk_fault_t *fault)
{
  (void)fault;
  return 1;
}

/* Whether no other fault of that sort struck around a time. */
static int
calm_around (const sk_fault_t *faults, size_t n, const sk_fault_t *except,
             el_time_t from, el_time_t to,
             int (*counts) (const sk_fault_t *fault))
{
  size_t i;

  for (i = 0; i < n; i++)
    if (&faults[i] != except && counts (&faults[i]) && faults[i].at < to
        && faults[i].at + faults[i].lasts + CALM_AFTER > from)
      return 0;
  return 1;
}

/* Whether the host that denied the key of BEFORE took it in AFTER. */
static int
took_again (const sk_request_t *before, const sk_request_t *after)
{
  return after->old && after->status == 200 && after->key == before->key
         && after->generation == before->generation
         && after->host == before->host && after->boot == before->boot
         && after->sent > before->done;
}

/* A host that has refused a key that was taken away does not take it again as
   long as its process lives. */
static void
keys_never_back (const sk_seen_t *seen)
{
  size_t i;
  size_t k;

  for (i = 0; i < seen->len; i++)
    if (seen->list[i].old && seen->list[i].status == 401)
      for (k = 0; k < seen->len; k++)
        if (took_again (&seen->list[i], &seen->list[k]))
          sk_broken ("configuration", seen->list[k].id,
                     "taken after %s was denied", seen->list[i].id);
}

/* A member that has said that it leaves gets nothing new, if nothing else was
   wrong meanwhile. */
static void
leaving_check (const check_notes_t *notes, const sk_fault_t *faults,
               size_t nfaults, el_time_t begun)
{
  size_t f;
  size_t i;

  for (f = 0; f < nfaults; f++)
    {
      const sk_fault_t *leave = &faults[f];

      if (leave->kind != SK_MEMBER_LEAVE
          || !calm_around (faults, nfaults, leave, leave->at,
                           leave->at + leave->lasts, is_news_fault))
        continue;
      for (i = 0; i < notes->len; i++)
        if (strcmp (notes->list[i].member, leave->member) == 0
            && notes->list[i].at > begun + leave->at + LEAVING_LIMIT)
          sk_broken ("leaving", notes->list[i].id, "ran at %s, which leaves",
                     leave->member);
    }
}

/* Requests around a planned stop, and nothing else, end with an answer. */
static void
stops_check (const sk_seen_t *seen, const sk_fault_t *faults, size_t nfaults,
             el_time_t begun)
{
  size_t f;
  size_t i;

  for (f = 0; f < nfaults; f++)
    {
      const sk_fault_t *stop = &faults[f];

      if (stop->kind != SK_HOST_TERM
          || !calm_around (faults, nfaults, stop, stop->at,
                           stop->at + 4 * EL_SEC, is_fault))
        continue;
      for (i = 0; i < seen->len; i++)
        {
          const sk_request_t *r = &seen->list[i];

          if (r->host == stop->which && r->sent < begun + stop->at
              && r->done > begun + stop->at && !r->whole && r->status)
            sk_broken ("planned stop", r->id, "cut after %u events",
                       r->events);
        }
    }
}

/* Whether a fault may have held up what passed between a host and a member, or
   what either of them read, after the member asked for something. */
static int
may_hold_up (const sk_fault_t *fault, unsigned host, unsigned member)
{
  switch (fault->kind)
    {
    case SK_HOST_PAUSE:
      return fault->which == host;
    case SK_MEMBER_PAUSE:
      return fault->which == member;
    case SK_LINK_DELAY:
    case SK_LINK_RESET:
    case SK_LINK_CUT:
    case SK_LINK_SILENT:
      return fault->which == SK_HOSTS + member;
    default:
      return 0;
    }
}

/* The member of that id, which begins with its name, "mN-". */
static unsigned
member_number (const char *id)
{
  return (unsigned)strtoul (id + 1, NULL, 10);
}

static int
was_rebooted (const sk_seen_t *seen, const char *id)
{
  size_t i;

  for (i = 0; i < seen->len; i++)
    if (strcmp (seen->list[i].id, id) == 0)
      return seen->list[i].rebooted;
  return 0;
}

/* Whether HOST read a refusal of MEMBER to the request BY. Members note that
   they sent it: on a machine that stood still for 13 s two of them went to
   requests that their hosts had given up 132 ms before and 0.2 ms after they
   were sent, so that nobody read for how long the member asked. */
static int
refusal_read (const sk_world_t *world, unsigned host, const char *by,
              const char *member)
{
  char path[300];
  char request[96];
  char endpoint[96];
  char *line = NULL;
  size_t size = 0;
  int found = 0;
  FILE *file;

  snprintf (path, sizeof path, "%s/h%u.log", world->dir, host);
  snprintf (request, sizeof request, "event=attempt_failed request=%s ", by);
  snprintf (endpoint, sizeof endpoint, " endpoint=%s ", member);
  file = fopen (path, "r");
  while (file && !found && getline (&line, &size, file) > 0)
    found = strstr (line, request) && strstr (line, endpoint)
            && strstr (line, " status=503 ");
  if (file)
    fclose (file);
  free (line);
  return found;
}

/* A member's note of a request that came though it had asked the host for
   rest, or told it that it leaves, half a second before or more. A host that
   was started again since has another name there, unless its caller had made
   up the name just before: a request that was named for the start before came
   from one that had been started 13 ms earlier and knew nothing yet. */
static void
asked_check (const sk_world_t *world, const char *text, const sk_seen_t *seen,
             const sk_fault_t *faults, size_t nfaults, el_time_t begun)
{
  check_note_t note;
  char via[32];
  char what[16];
  char by[64];
  el_time_t since;
  unsigned host;
  size_t i;

  if (sscanf (text, "%" SCNu64 " %31s %63s %31s %15s %" SCNu64 " %63s",
              &note.at, note.id, note.member, via, what, &since, by)
      != 7)
    return;
  if (was_rebooted (seen, note.id))
    return;
  host = (unsigned)strtoul (via, NULL, 10);
  for (i = 0; i < nfaults; i++)
    if (may_hold_up (&faults[i], host, member_number (note.member))
        && begun + faults[i].at < note.at
        && begun + faults[i].at + faults[i].lasts + CALM_AFTER > since)
      return;
  if (strcmp (what, "rest") == 0
      && !refusal_read (world, host, by, note.member))
    return;
  sk_broken (what, note.id, "came to %s from host %s %" PRIu64 " us after",
             note.member, via, note.at - since);
}

static void
asked_read (const sk_world_t *world, const sk_seen_t *seen,
            const sk_fault_t *faults, size_t nfaults, el_time_t begun)
{
  char path[300];
  char text[LINE_MAX_BYTES];
  FILE *file;

  snprintf (path, sizeof path, "%s/runs.asked", world->dir);
  file = fopen (path, "r");
  while (file && fgets (text, sizeof text, file))
    asked_check (world, text, seen, faults, nfaults, begun);
  if (file)
    fclose (file);
}

/** Check all promises; gives how many times one is broken. */
size_t
sk_check (const sk_world_t *world, const sk_seen_t *seen,
          const sk_fault_t *faults, size_t nfaults, el_time_t begun)
{
  check_notes_t notes = { NULL, 0 };
  check_run_t *runs = runs_read (world, &notes);
  check_run_t *run;
  check_run_t *next;
  size_t n;
  size_t i;

  for (i = 0; i < seen->len; i++)
    {
      HASH_FIND_STR (runs, seen->list[i].id, run);
      request_check (&seen->list[i], run);
    }
  keys_never_back (seen);
  stops_check (seen, faults, nfaults, begun);
  leaving_check (&notes, faults, nfaults, begun);
  asked_read (world, seen, faults, nfaults, begun);
  free (notes.list);
  seen_print (seen);
  printf ("ran=%u ", HASH_COUNT (runs));
  HASH_ITER (hh, runs, run, next)
  {
    if (!run->asked)
      sk_broken ("asked", run->id, "nobody sent it");
    HASH_DEL (runs, run);
    free (run);
  }
  n = broken;
  broken = 0;
  return n;
}
