/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * POST /rest configures back-off: {"kinds": ["requests"], "status": 503,
 * "asked": [TEXT], "span_ms": N, "at": ADDRESS, "leaving": BOOL}. Calls of the
 * types in "kinds" are rejected with STATUS and a Retry-After header for each
 * TEXT. N is the back-off in milliseconds that these headers request. With
 * ADDRESS, only requests whose chain includes that engine are rejected, and
 * the answer names it as the engine at fault. After LEAVING, every answer
 * announces that the member is leaving. GET /rests counts the calls that
 * arrived during back-off, those of them that arrived more than half a second
 * after it was requested, and the calls after the member announced that it is
 * leaving. Callers name the host that they send a request through in the
 * header x-via; reports and orders, which have none, are counted as from one
 * more host. With --record, requests that arrived too late to have been sent
 * before the host received the answer are appended to the file RECORD.asked:
 * "MICROSECONDS ID MEMBER VIA WHAT SINCE BY". Both times are of the same
 * clock; BY is the request whose answer requested the back-off.
 */
#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "map.h"
#include "backoff.h"

/* Calls may still arrive this long after the answer, as they may have been
   sent before the host received it. The limit is the users' requirement. */
#define IN_FLIGHT_TIME (500 * EL_MSEC)
#define VIA_MAX 32
#define ID_MAX 64
#define RETRY_AFTER_MAX 2

static const char *const call_type_names[SN_CALL_TYPES]
    = { [SN_CALL_REQUEST] = "requests",
        [SN_CALL_REPORT] = "reports",
        [SN_CALL_ORDER] = "orders" };

typedef struct call_counts
{
  uint64_t all;
  uint64_t in_rest;
  uint64_t late;          /* of these, those outside IN_FLIGHT_TIME */
  uint64_t after_leaving; /* the host was told that the member is leaving */
} call_counts_t;

typedef struct host_state
{
  char via[VIA_MAX];
  el_time_t backoff_from; /* when back-off was requested */
  el_time_t backoff_until;
  char backoff_id[ID_MAX]; /* request whose answer requested it; empty: none */
  uint64_t rests;
  el_time_t leaving_told; /* when the host was told that the member is leaving;
                             0: not yet */
  char leaving_id[ID_MAX];
  call_counts_t counts[SN_CALL_TYPES];
  UT_hash_handle hh;
} host_state_t;

struct sn_backoff
{
  net_clock_t *clock;
  const char *member;
  int record_fd; /* file descriptor; -1: none */
  int rejects[SN_CALL_TYPES];
  int status;
  char *retry_after[RETRY_AFTER_MAX];
  char *failed_engine;
  el_time_t duration;
  int leaving;
  host_state_t *hosts;
};

/** Creates a member's state; it rejects nothing. */
sn_backoff_t *
sn_backoff_new (net_clock_t *clock, const char *member, const char *record)
{
  sn_backoff_t *backoff = el_alloc (sizeof *backoff);
  char path[300];

  backoff->clock = clock;
  backoff->member = member;
  backoff->record_fd = -1;
  snprintf (path, sizeof path, "%s.asked", record);
  if (*record)
    backoff->record_fd
        = open (path, O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0600);
  return backoff;
}

static char *
text_dup (const json_t *json)
{
  const char *text = json_string_value (json);

  return text ? strdup (text) : NULL;
}

static void
backoff_clear (sn_backoff_t *backoff)
{
  size_t i;

  for (i = 0; i < RETRY_AFTER_MAX; i++)
    free (backoff->retry_after[i]);
  free (backoff->failed_engine);
  memset (backoff->rejects, 0, sizeof backoff->rejects);
  memset (backoff->retry_after, 0, sizeof backoff->retry_after);
  backoff->failed_engine = NULL;
}

static void
backoff_add_type (sn_backoff_t *backoff, const char *name)
{
  size_t i;

  for (i = 0; i < SN_CALL_TYPES; i++)
    if (name && strcmp (name, call_type_names[i]) == 0)
      backoff->rejects[i] = 1;
}

/** Applies a configuration. Back-off already requested remains in effect;
    "leaving" can't be taken back. */
void
sn_backoff_configure (sn_backoff_t *backoff, const json_t *json)
{
  json_t *list = json_object_get (json, "kinds");
  json_t *retry_after = json_object_get (json, "asked");
  json_t *row;
  size_t i;

  backoff_clear (backoff);
  json_array_foreach (list, i, row)
      backoff_add_type (backoff, json_string_value (row));
  for (i = 0; i < RETRY_AFTER_MAX; i++)
    backoff->retry_after[i] = text_dup (json_array_get (retry_after, i));
  backoff->status = (int)json_integer_value (json_object_get (json, "status"));
  backoff->failed_engine = text_dup (json_object_get (json, "at"));
  backoff->duration
      = (el_time_t)json_integer_value (json_object_get (json, "span_ms"))
        * EL_MSEC;
  backoff->leaving |= json_is_true (json_object_get (json, "leaving"));
}

static host_state_t *
host_get (sn_backoff_t *backoff, const h2o_req_t *req)
{
  el_str_t via = net_req_header (req, "x-via");
  host_state_t *host;

  if (!via.ptr)
    via = EL_STR ("");
  if (via.len >= VIA_MAX)
    via.len = VIA_MAX - 1;
  HASH_FIND (hh, backoff->hosts, via.ptr, (unsigned)via.len, host);
  if (host)
    return host;
  host = el_alloc (sizeof *host);
  memcpy (host->via, via.ptr, via.len);
  HASH_ADD_KEYPTR (hh, backoff->hosts, host->via, (unsigned)via.len, host);
  return host;
}

static void
record_late_call (const sn_backoff_t *backoff, const host_state_t *host,
                  const h2o_req_t *req, const char *what, el_time_t ago)
{
  el_str_t id = net_req_header (req, "x-elmarch-request-id");
  uint64_t now = uv_hrtime () / 1000;
  el_buf_t out = { NULL, 0, 0 };

  if (backoff->record_fd < 0 || !id.len || !*host->via)
    return;
  el_buf_printf (&out, "%" PRIu64 " %.*s %s %s %s %" PRIu64 " %s\n", now,
                 (int)id.len, id.ptr, backoff->member, host->via, what,
                 now - ago, *host->backoff_id ? host->backoff_id : "-");
  if (write (backoff->record_fd, out.ptr, out.len) != (ssize_t)out.len)
    fprintf (stderr, "standin: cannot record late calls\n");
  el_buf_free (&out);
}

static void
copy_request_id (char *out, const h2o_req_t *req)
{
  el_str_t id = net_req_header (req, "x-elmarch-request-id");

  snprintf (out, ID_MAX, "%.*s", (int)id.len, id.len ? id.ptr : "");
}

/* Announces that the member is leaving, and counts the call if its host was
   told before. */
static void
count_after_leaving (sn_backoff_t *backoff, host_state_t *host, h2o_req_t *req,
                     sn_call_type_t type)
{
  el_time_t now = net_clock_now (backoff->clock);

  if (!backoff->leaving)
    return;
  net_req_add_header (req, EL_STR ("server-leaving"), EL_STR ("1"));
  host->counts[type].after_leaving += host->leaving_told != 0;
  if (!host->leaving_told)
    {
      host->leaving_told = now;
      copy_request_id (host->leaving_id, req);
    }
  else if (now >= host->leaving_told + IN_FLIGHT_TIME)
    record_late_call (backoff, host, req, "leaving", now - host->leaving_told);
}

/** Counts a call on arrival, before it is processed. */
void
sn_backoff_count (sn_backoff_t *backoff, h2o_req_t *req, sn_call_type_t type)
{
  host_state_t *host = host_get (backoff, req);
  call_counts_t *count = &host->counts[type];
  el_time_t now = net_clock_now (backoff->clock);

  count->all++;
  count_after_leaving (backoff, host, req, type);
  if (now >= host->backoff_until)
    return;
  count->in_rest++;
  if (now < host->backoff_from + IN_FLIGHT_TIME)
    return;
  count->late++;
  record_late_call (backoff, host, req, "rest", now - host->backoff_from);
}

/** Notes that REQ is answered late or never: a leaving announcement on it
    doesn't reach the host. */
void
sn_backoff_unanswered (sn_backoff_t *backoff, const h2o_req_t *req)
{
  host_state_t *host = host_get (backoff, req);
  char id[ID_MAX];

  copy_request_id (id, req);
  if (host->leaving_told && strcmp (host->leaving_id, id) == 0)
    host->leaving_told = 0;
}

/* Whether the request's chain includes the engine at ADDRESS. */
static int
chain_includes (const h2o_req_t *req, const char *address)
{
  el_str_t chain = net_req_header (req, "path");
  char *text = strndup (chain.ptr ? chain.ptr : "", chain.len);
  int found = strstr (text, address) != NULL;

  free (text);
  return found;
}

static void
backoff_start (host_state_t *host, const h2o_req_t *req, el_time_t now,
               el_time_t span)
{
  host->backoff_from = now;
  host->backoff_until = now + span;
  host->rests++;
  copy_request_id (host->backoff_id, req);
}

/** Rejects REQ if so configured; returns 0 if it is to be served. */
int
sn_backoff_reject (sn_backoff_t *backoff, h2o_req_t *req, sn_call_type_t type)
{
  host_state_t *host = host_get (backoff, req);
  el_time_t now = net_clock_now (backoff->clock);
  size_t i;

  if (!backoff->rejects[type]
      || (backoff->failed_engine
          && !chain_includes (req, backoff->failed_engine)))
    return 0;
  for (i = 0; i < RETRY_AFTER_MAX; i++)
    if (backoff->retry_after[i])
      net_req_add_header (req, EL_STR ("retry-after"),
                          el_str (backoff->retry_after[i]));
  if (backoff->failed_engine)
    net_req_add_header (req, EL_STR ("at-server"),
                        el_str (backoff->failed_engine));
  net_req_add_header (req, EL_STR ("x-elmarch-not-executed"), EL_STR ("1"));
  net_req_add_header (req, EL_STR ("x-elmarch-request-id"),
                      net_req_header (req, "x-elmarch-request-id"));
  net_req_reply (req, backoff->status, EL_STR ("text/plain"), EL_STR (""));
  if (backoff->duration && now + backoff->duration > host->backoff_until)
    backoff_start (host, req, now, backoff->duration);
  return 1;
}

/** Returns the counts summed over all hosts. */
json_t *
sn_backoff_stats (const sn_backoff_t *backoff)
{
  json_t *json = json_object ();
  const host_state_t *host;
  uint64_t rests = 0;
  size_t i;

  for (i = 0; i < SN_CALL_TYPES; i++)
    {
      call_counts_t sum = { 0 };

      for (host = backoff->hosts; host; host = host->hh.next)
        {
          sum.all += host->counts[i].all;
          sum.in_rest += host->counts[i].in_rest;
          sum.late += host->counts[i].late;
          sum.after_leaving += host->counts[i].after_leaving;
        }
      json_object_set_new (json, call_type_names[i],
                           json_pack ("{s:I,s:I,s:I,s:I}", "all",
                                      (json_int_t)sum.all, "in_rest",
                                      (json_int_t)sum.in_rest, "late",
                                      (json_int_t)sum.late, "after_leaving",
                                      (json_int_t)sum.after_leaving));
    }
  for (host = backoff->hosts; host; host = host->hh.next)
    rests += host->rests;
  json_object_set_new (json, "rests", json_integer ((json_int_t)rests));
  return json;
}
