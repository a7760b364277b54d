/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * POST /limit sets the rate limit that a member names in its answers:
 * {"limit": TEXT}, or {} for none. GET /limit returns "all", the requests that
 * arrived while a limit was named, "most", the highest number that arrived in
 * SN_LIMIT_WINDOW, and "over", how often that was more than allowed. The last
 * two count requests from hosts that were told half a second before or
 * earlier, as their header x-via says, and begin SN_LIMIT_CONTACT_TIME after
 * the limit was first named. With --record, the requests that count are
 * appended to the file RECORD.limit: "MICROSECONDS ID MEMBER VIA LIMIT SINCE",
 * where SINCE is when the limit was first named.
 */
#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "rate_limit.h"
#include "map.h"

#define IN_FLIGHT_TIME (500 * EL_MSEC)
#define VIA_MAX 32
/* Arrivals of a window that are kept; more than that are over any limit in
   use. */
#define ARRIVALS_MAX 4096

typedef struct told_host
{
  char via[VIA_MAX];
  el_time_t told_at;
  UT_hash_handle hh;
} told_host_t;

struct sn_limit
{
  net_clock_t *clock;
  const char *member;
  int record_fd; /* file descriptor; -1: none */
  char *named;   /* NULL: none */
  el_time_t named_at;
  uint64_t recorded_since; /* the same by the clock of the records */
  told_host_t *hosts;
  el_time_t arrivals[ARRIVALS_MAX]; /* of the window, oldest first */
  size_t narrivals;
  uint64_t all;
  uint64_t most;
  uint64_t over;
};

/** Creates a member's state; it names no limit. */
sn_limit_t *
sn_limit_new (net_clock_t *clock, const char *member, const char *record)
{
  sn_limit_t *limit = el_alloc (sizeof *limit);
  char path[300];

  limit->clock = clock;
  limit->member = member;
  limit->record_fd = -1;
  snprintf (path, sizeof path, "%s.limit", record);
  if (*record)
    limit->record_fd
        = open (path, O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0600);
  return limit;
}

static void
limit_reset (sn_limit_t *limit)
{
  told_host_t *host;
  told_host_t *next;

  HASH_ITER (hh, limit->hosts, host, next)
  {
    HASH_DEL (limit->hosts, host);
    free (host);
  }
  free (limit->named);
  limit->named = NULL;
  limit->narrivals = 0;
}

/** Applies a configuration. Counts are kept. */
void
sn_limit_configure (sn_limit_t *limit, const json_t *json)
{
  const char *named = json_string_value (json_object_get (json, "limit"));

  limit_reset (limit);
  if (named)
    limit->named = strdup (named);
  limit->named_at = net_clock_now (limit->clock);
  limit->recorded_since = uv_hrtime () / 1000;
}

static void
arrival_add (sn_limit_t *limit, el_time_t now)
{
  size_t old = 0;

  while (old < limit->narrivals
         && limit->arrivals[old] + SN_LIMIT_WINDOW <= now)
    old++;
  if (old == 0 && limit->narrivals == ARRIVALS_MAX)
    old = 1;
  limit->narrivals -= old;
  memmove (limit->arrivals, limit->arrivals + old,
           limit->narrivals * sizeof *limit->arrivals);
  limit->arrivals[limit->narrivals++] = now;
  if (limit->narrivals > limit->most)
    limit->most = limit->narrivals;
  limit->over += (double)limit->narrivals
                 > sn_limit_allowed (strtod (limit->named, NULL));
}

static void
arrival_record (const sn_limit_t *limit, const h2o_req_t *req,
                const told_host_t *host)
{
  el_str_t id = net_req_header (req, "x-elmarch-request-id");
  el_buf_t out = { NULL, 0, 0 };

  if (limit->record_fd < 0 || !id.len)
    return;
  el_buf_printf (&out, "%" PRIu64 " %.*s %s %s %s %" PRIu64 "\n",
                 uv_hrtime () / 1000, (int)id.len, id.ptr, limit->member,
                 host->via, limit->named, limit->recorded_since);
  if (write (limit->record_fd, out.ptr, out.len) != (ssize_t)out.len)
    fprintf (stderr, "standin: cannot record an arrival\n");
  el_buf_free (&out);
}

/** Counts a request on arrival, and names the limit in its answer. */
void
sn_limit_count (sn_limit_t *limit, h2o_req_t *req)
{
  el_time_t now = net_clock_now (limit->clock);
  el_str_t via = net_req_header (req, "x-via");
  told_host_t *host;

  if (!limit->named)
    return;
  net_req_add_header (req, EL_STR ("server-limit"), el_str (limit->named));
  limit->all++;
  if (!via.len || via.len >= VIA_MAX)
    return;
  HASH_FIND (hh, limit->hosts, via.ptr, (unsigned)via.len, host);
  if (!host)
    {
      host = el_alloc (sizeof *host);
      memcpy (host->via, via.ptr, via.len);
      host->told_at = now;
      HASH_ADD_KEYPTR (hh, limit->hosts, host->via, (unsigned)via.len, host);
    }
  else if (now >= host->told_at + IN_FLIGHT_TIME
           && now >= limit->named_at + SN_LIMIT_CONTACT_TIME)
    {
      arrival_add (limit, now);
      arrival_record (limit, req, host);
    }
}

json_t *
sn_limit_stats (const sn_limit_t *limit)
{
  return json_pack ("{s:I,s:I,s:I}", "all", (json_int_t)limit->all, "most",
                    (json_int_t)limit->most, "over", (json_int_t)limit->over);
}
