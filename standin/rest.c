/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * POST /rest sets it: {"kinds": ["requests"], "status": 503, "asked": [TEXT],
 * "span_ms": N, "at": ADDRESS, "leaving": BOOL}. Arrivals of
 * KINDS are turned away with STATUS, a Retry-After for each TEXT, which stand
 * for N milliseconds of rest, and ADDRESS as the endpoint at fault, where only
 * requests whose line passes that are turned away; LEAVING has all answers say
 * that the member leaves. GET /rests tells what came within a rest, how much
 * of it more than half a second after it was asked for, and what came after
 * the member said that it leaves. The header x-via, which callers send, names
 * the host that a request passed; reports and orders count as of one host of
 * their own. With a record, requests that came in spite of it and did not
 * cross with the answer that told it are noted in the file beside it,
 * RECORD.asked: "MICROSECONDS ID MEMBER VIA WHAT SINCE BY", the times on one
 * clock; BY is the request whose answer asked for the rest.
 */
#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "map.h"
#include "rest.h"

/* What the users' pages allow to cross with the answer. */
#define CROSSING (500 * EL_MSEC)
#define VIA_MAX 32
#define BY_MAX 64
#define ASKED_MAX 2

static const char *const kinds[SN_ARRIVALS] = {
  [SN_REQUEST] = "requests", [SN_REPORT] = "reports", [SN_ORDER] = "orders"
};

typedef struct rest_count
{
  uint64_t all;
  uint64_t in_rest;
  uint64_t late;          /* of these, those that did not cross the answer */
  uint64_t after_leaving; /* it was told that the member leaves */
} rest_count_t;

typedef struct rest_host
{
  char via[VIA_MAX];
  el_time_t since; /* of its rest */
  el_time_t until;
  char by[BY_MAX]; /* the request that was told so; "-" is none */
  uint64_t rests;
  el_time_t told; /* that the member leaves; 0: not yet */
  char told_by[BY_MAX];
  rest_count_t counts[SN_ARRIVALS];
  UT_hash_handle hh;
} rest_host_t;

struct sn_rest
{
  net_clock_t *clock;
  const char *member;
  int record; /* descriptor; -1 is none */
  int refuses[SN_ARRIVALS];
  int status;
  char *asked[ASKED_MAX];
  char *at;
  el_time_t span;
  int leaving;
  rest_host_t *hosts;
};

/** A member that asks for nothing. */
sn_rest_t *
sn_rest_new (net_clock_t *clock, const char *member, const char *record)
{
  sn_rest_t *rest = el_alloc (sizeof *rest);
  char path[300];

  rest->clock = clock;
  rest->member = member;
  rest->record = -1;
  snprintf (path, sizeof path, "%s.asked", record);
  if (*record)
    rest->record
        = open (path, O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0600);
  return rest;
}

static char *
text_dup (const json_t *json)
{
  const char *text = json_string_value (json);

  return text ? strdup (text) : NULL;
}

static void
rest_clear (sn_rest_t *rest)
{
  size_t i;

  for (i = 0; i < ASKED_MAX; i++)
    free (rest->asked[i]);
  free (rest->at);
  memset (rest->refuses, 0, sizeof rest->refuses);
  memset (rest->asked, 0, sizeof rest->asked);
  rest->at = NULL;
}

static void
rest_kind (sn_rest_t *rest, const char *name)
{
  size_t i;

  for (i = 0; i < SN_ARRIVALS; i++)
    if (name && strcmp (name, kinds[i]) == 0)
      rest->refuses[i] = 1;
}

/** Ask for what JSON says from now on; what runs goes on. */
void
sn_rest_set (sn_rest_t *rest, const json_t *json)
{
  json_t *list = json_object_get (json, "kinds");
  json_t *asked = json_object_get (json, "asked");
  json_t *row;
  size_t i;

  rest_clear (rest);
  json_array_foreach (list, i, row) rest_kind (rest, json_string_value (row));
  for (i = 0; i < ASKED_MAX; i++)
    rest->asked[i] = text_dup (json_array_get (asked, i));
  rest->status = (int)json_integer_value (json_object_get (json, "status"));
  rest->at = text_dup (json_object_get (json, "at"));
  rest->span
      = (el_time_t)json_integer_value (json_object_get (json, "span_ms"))
        * EL_MSEC;
  rest->leaving |= json_is_true (json_object_get (json, "leaving"));
}

static rest_host_t *
host_get (sn_rest_t *rest, const h2o_req_t *req)
{
  el_str_t via = net_req_header (req, "x-via");
  rest_host_t *host;

  if (!via.ptr)
    via = EL_STR ("");
  if (via.len >= VIA_MAX)
    via.len = VIA_MAX - 1;
  HASH_FIND (hh, rest->hosts, via.ptr, (unsigned)via.len, host);
  if (host)
    return host;
  host = el_alloc (sizeof *host);
  memcpy (host->via, via.ptr, via.len);
  HASH_ADD_KEYPTR (hh, rest->hosts, host->via, (unsigned)via.len, host);
  return host;
}

static void
arrival_note (const sn_rest_t *rest, const rest_host_t *host,
              const h2o_req_t *req, const char *what, el_time_t ago)
{
  el_str_t id = net_req_header (req, "x-elmarch-request-id");
  uint64_t now = uv_hrtime () / 1000;
  el_buf_t out = { NULL, 0, 0 };

  if (rest->record < 0 || !id.len || !*host->via)
    return;
  el_buf_printf (&out, "%" PRIu64 " %.*s %s %s %s %" PRIu64 " %s\n", now,
                 (int)id.len, id.ptr, rest->member, host->via, what, now - ago,
                 *host->by ? host->by : "-");
  if (write (rest->record, out.ptr, out.len) != (ssize_t)out.len)
    fprintf (stderr, "standin: an arrival was not noted\n");
  el_buf_free (&out);
}

static void
id_copy (char *out, const h2o_req_t *req)
{
  el_str_t id = net_req_header (req, "x-elmarch-request-id");

  snprintf (out, BY_MAX, "%.*s", (int)id.len, id.len ? id.ptr : "");
}

/* It was told before that the member leaves, or is now. */
static void
leaving_count (sn_rest_t *rest, rest_host_t *host, h2o_req_t *req,
               sn_arrival_t kind)
{
  el_time_t now = net_clock_now (rest->clock);

  if (!rest->leaving)
    return;
  net_req_add_header (req, EL_STR ("server-leaving"), EL_STR ("1"));
  host->counts[kind].after_leaving += host->told != 0;
  if (!host->told)
    {
      host->told = now;
      id_copy (host->told_by, req);
    }
  else if (now >= host->told + CROSSING)
    arrival_note (rest, host, req, "leaving", now - host->told);
}

/** Count what arrives, before anything is made of it. */
void
sn_rest_arrives (sn_rest_t *rest, h2o_req_t *req, sn_arrival_t kind)
{
  rest_host_t *host = host_get (rest, req);
  rest_count_t *count = &host->counts[kind];
  el_time_t now = net_clock_now (rest->clock);

  count->all++;
  leaving_count (rest, host, req, kind);
  if (now >= host->until)
    return;
  count->in_rest++;
  if (now < host->since + CROSSING)
    return;
  count->late++;
  arrival_note (rest, host, req, "rest", now - host->since);
}

/** REQ's answer does not go out now, or never: its host is told nothing by
    it. */
void
sn_rest_held (sn_rest_t *rest, const h2o_req_t *req)
{
  rest_host_t *host = host_get (rest, req);
  char id[BY_MAX];

  id_copy (id, req);
  if (host->told && strcmp (host->told_by, id) == 0)
    host->told = 0;
}

/* Whether the engine at ADDRESS is on the request's line. */
static int
passes (const h2o_req_t *req, const char *address)
{
  el_str_t line = net_req_header (req, "path");
  char *text = strndup (line.ptr ? line.ptr : "", line.len);
  int found = strstr (text, address) != NULL;

  free (text);
  return found;
}

static void
rest_begins (rest_host_t *host, const h2o_req_t *req, el_time_t now,
             el_time_t span)
{
  host->since = now;
  host->until = now + span;
  host->rests++;
  id_copy (host->by, req);
}

/** Turn REQ away if that is asked for; gives 0 if it is to be served. */
int
sn_rest_refuses (sn_rest_t *rest, h2o_req_t *req, sn_arrival_t kind)
{
  rest_host_t *host = host_get (rest, req);
  el_time_t now = net_clock_now (rest->clock);
  size_t i;

  if (!rest->refuses[kind] || (rest->at && !passes (req, rest->at)))
    return 0;
  for (i = 0; i < ASKED_MAX; i++)
    if (rest->asked[i])
      net_req_add_header (req, EL_STR ("retry-after"),
                          el_str (rest->asked[i]));
  if (rest->at)
    net_req_add_header (req, EL_STR ("at-server"), el_str (rest->at));
  net_req_add_header (req, EL_STR ("x-elmarch-not-executed"), EL_STR ("1"));
  net_req_add_header (req, EL_STR ("x-elmarch-request-id"),
                      net_req_header (req, "x-elmarch-request-id"));
  net_req_reply (req, rest->status, EL_STR ("text/plain"), EL_STR (""));
  if (rest->span && now + rest->span > host->until)
    rest_begins (host, req, now, rest->span);
  return 1;
}

/** What came, over all hosts. */
json_t *
sn_rest_json (const sn_rest_t *rest)
{
  json_t *json = json_object ();
  const rest_host_t *host;
  uint64_t rests = 0;
  size_t i;

  for (i = 0; i < SN_ARRIVALS; i++)
    {
      rest_count_t sum = { 0 };

      for (host = rest->hosts; host; host = host->hh.next)
        {
          sum.all += host->counts[i].all;
          sum.in_rest += host->counts[i].in_rest;
          sum.late += host->counts[i].late;
          sum.after_leaving += host->counts[i].after_leaving;
        }
      json_object_set_new (json, kinds[i],
                           json_pack ("{s:I,s:I,s:I,s:I}", "all",
                                      (json_int_t)sum.all, "in_rest",
                                      (json_int_t)sum.in_rest, "late",
                                      (json_int_t)sum.late, "after_leaving",
                                      (json_int_t)sum.after_leaving));
    }
  for (host = rest->hosts; host; host = host->hh.next)
    rests += host->rests;
  json_object_set_new (json, "rests", json_integer ((json_int_t)rests));
  return json;
}
