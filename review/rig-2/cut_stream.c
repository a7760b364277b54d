/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Streams without a length through two engines. The second one is silent for
 * a while, so that the first one stands still and then cuts the stream. The
 * host stands still meanwhile, and goes on after the second engine is back.
 *
 * Usage: cut_stream RECORD. With TROUBLE=0 no engine is silent, and no host
 * stands still.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "rig.h"

#define HOSTS 3
#define ROUNDS 6
#define ANSWER_MS 4
#define PAGE_ITEMS 50
#define EVENTS 60
#define EVENT_INTERVAL_MS 50
/* Events before the trouble. */
#define EVENTS_BEFORE 20
/* stall_ms of the sheet. The route has an objective of 1,000 ms there; callers
   leave after four times that without an event. */
#define STALL_MS 3000
/* From the moment at which the host stands still: the engine is silent, is
   back, and the host goes on. */
#define SILENT_MS 150
#define BACK_MS 3350
#define GOES_ON_MS 3550
#define PAUSE_MS 2000

typedef struct engine
{
  char id[RG_ID_MAX];
  char address[RG_ADDRESS_MAX];
  const char *layers;
} engine_t;

/* A stream as its caller has it. */
typedef struct stream
{
  char id[RG_ID_MAX];
  unsigned host;
  int status;
  unsigned events;
  uint64_t longest_gap_ms;
  int whole; /* it ended as a whole response does */
} stream_t;

static rg_store_t *store;
static rg_host_t hosts[HOSTS];
static engine_t engines[2]
    = { { .id = "i-e001",
          .layers = ",\"RouteType\":\"half\",\"born\":1790000000001,"
                    "\"layers\":{\"Source\":0,\"TargetVersion\":4,"
                    "\"Version\":1}" },
        { .id = "i-e002",
          .layers = ",\"RouteType\":\"half\",\"born\":1790000000002,"
                    "\"layers\":{\"Source\":4,\"TargetVersion\":8,"
                    "\"Version\":1}" } };

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static uint64_t silent_since; /* of the second engine; 0: it is not */
static unsigned made;         /* events of the last stream */

static uint64_t
silent_at (void)
{
  uint64_t at;

  pthread_mutex_lock (&lock);
  at = silent_since;
  pthread_mutex_unlock (&lock);
  return at;
}

static void
silent_set (uint64_t at)
{
  pthread_mutex_lock (&lock);
  silent_since = at;
  pthread_mutex_unlock (&lock);
}

static void
made_set (unsigned n)
{
  pthread_mutex_lock (&lock);
  made = n;
  pthread_mutex_unlock (&lock);
}

static unsigned
made_get (void)
{
  unsigned n;

  pthread_mutex_lock (&lock);
  n = made;
  pthread_mutex_unlock (&lock);
  return n;
}

/* The engines. */

static int
report_send (int fd, const engine_t *engine)
{
  char body[512];
  char text[768];
  int len = snprintf (
      body, sizeof body,
      "{\"Stage\":\"hybrid\",\"Models\":[{\"Name\":\"m\",\"Version\":1,"
      "\"Adapters\":[]}],\"Utilization\":false,\"SeqNo\":1,\"QueueDepth\":0,"
      "\"ActiveRequests\":1,\"KvUsed\":100,\"KvTotal\":90000,\"Handles\":0,"
      "\"pace\":1.0,\"stalled\":[]%s}",
      engine->layers);

  len = snprintf (text, sizeof text,
                  "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                  "Content-Length: %d\r\n\r\n%s",
                  len, body);
  return rg_send (fd, text, (size_t)len);
}

/* Sends the events after AFTER. Returns 0 once the connection is to be
   closed. */
static int
stream_run (int fd, const engine_t *engine, const char *request,
            unsigned after)
{
  char text[512];
  uint64_t since;
  unsigned i = after;
  int len = snprintf (text, sizeof text,
                      "HTTP/1.1 200 OK\r\nX-Elmarch-Request-Id: %s\r\n"
                      "X-Elmarch-Response-Seal: %s.%s\r\n"
                      "Content-Type: text/event-stream\r\nVersions: 1\r\n"
                      "Connection: close\r\n\r\n",
                      request, engine->id, request);
  int ok = rg_send (fd, text, (size_t)len);

  rg_record ("runs %s at %s after %u", request, engine->id, after);
  while (ok && i < EVENTS)
    {
      rg_sleep (EVENT_INTERVAL_MS);
      since = silent_at ();
      if (since && rg_now () >= since + STALL_MS)
        {
          rg_record ("cut %s after %u events", request, i);
          return 0;
        }
      if (since)
        continue;
      len = snprintf (text, sizeof text, "id: %u\ndata: p%u\n\n", i + 1,
                      i + 1);
      ok = rg_send (fd, text, (size_t)len);
      made_set (++i);
    }
  rg_record ("ran %s to event %u", request, i);
  return 0;
}

static void
engine_serve (int fd, void *arg)
{
  const engine_t *engine = arg;
  rg_message_t message;
  char request[RG_ID_MAX];
  char last[32];
  int ok = 1;

  while (ok && rg_receive (fd, &message))
    {
      while (engine == &engines[1] && silent_at ())
        rg_sleep (10);
      if (rg_health_serve (fd, &message, engine->id))
        ok = 1;
      else if (strncmp (message.head, "GET /elmarch/report", 19) == 0)
        ok = report_send (fd, engine);
      else if (engine == &engines[0]
               && strncmp (message.head, "POST /chat/", 11) == 0)
        {
          rg_header (&message, "x-elmarch-request-id", request,
                     sizeof request);
          rg_header (&message, "last-event-id", last, sizeof last);
          ok = stream_run (fd, engine, request,
                           (unsigned)strtoul (last, NULL, 10));
        }
      else
        ok = rg_send (fd, "HTTP/1.1 409 -\r\nContent-Length: 0\r\n\r\n", 37);
      rg_message_free (&message);
    }
}

static void
engine_start (engine_t *engine, unsigned last)
{
  const rg_entry_t entry = { .id = engine->id,
                             .service = "llm",
                             .address = engine->address,
                             .hall = "bern-halle",
                             .more = engine->layers };

  rg_address (engine->address, last, 8080);
  rg_listen (engine->address, engine_serve, engine);
  rg_entry_put (store, &entry);
}

/* The caller. */

static void
piece_read (const char *text, uint64_t *at, stream_t *out)
{
  uint64_t now = rg_now ();
  const char *event = text;

  while ((event = strstr (event, "\ndata: p")))
    {
      event++;
      out->events++;
    }
  if (now - *at > out->longest_gap_ms)
    out->longest_gap_ms = now - *at;
  *at = now;
}

static void *
caller_run (void *arg)
{
  stream_t *stream = arg;
  uint64_t at = rg_now ();
  char text[4096];
  ssize_t n;
  int fd = rg_connect (hosts[stream->host].front);
  int len = snprintf (
      text, sizeof text,
      "POST /chat/x HTTP/1.1\r\nHost: rel.example\r\n"
      "Authorization: Bearer k1\r\nX-Elmarch-Request-Id: %s\r\n"
      "X-Elmarch-Model: m\r\nX-Elmarch-Token-Count: 100,120\r\n"
      "X-Elmarch-Prompt-Prefix: %s:100\r\n"
      "X-Elmarch-Deadline-Ms: 20000\r\nContent-Length: 4\r\n\r\nbody",
      stream->id, stream->id + 1);

  rg_record ("sent %s to %s", stream->id, hosts[stream->host].name);
  if (fd < 0 || !rg_send (fd, text, (size_t)len))
    return NULL;
  /* The reads time out after four times the objective. */
  while (!stream->whole && (n = read (fd, text, sizeof text - 1)) > 0)
    {
      text[n] = '\0';
      if (!stream->status)
        stream->status = (int)strtol (text + 9, NULL, 10);
      piece_read (text, &at, stream);
      stream->whole = n >= 5 && strcmp (text + n - 5, "0\r\n\r\n") == 0;
    }
  close (fd);
  rg_record ("answered %s %d, %u of %d events, whole %d, longest gap %llu ms",
             stream->id, stream->status, stream->events, EVENTS, stream->whole,
             (unsigned long long)stream->longest_gap_ms);
  return NULL;
}

/* Returns whether a part of a stream ended as the whole. */
static int
round_run (unsigned number, int trouble)
{
  stream_t stream = { .host = number % HOSTS };
  pid_t host = hosts[stream.host].pid;
  pthread_t caller;

  snprintf (stream.id, sizeof stream.id, "a%u", number);
  made_set (0);
  if (pthread_create (&caller, NULL, caller_run, &stream) != 0)
    rg_unusable ("no thread left");
  while (made_get () < EVENTS_BEFORE)
    rg_sleep (1);
  if (trouble)
    {
      rg_record ("stands still %s", hosts[stream.host].name);
      kill (host, SIGSTOP);
      rg_sleep (SILENT_MS);
      rg_record ("silent %s", engines[1].id);
      silent_set (rg_now ());
      rg_sleep (BACK_MS - SILENT_MS);
      silent_set (0);
      rg_record ("back %s", engines[1].id);
      rg_sleep (GOES_ON_MS - BACK_MS);
      kill (host, SIGCONT);
      rg_record ("goes on %s", hosts[stream.host].name);
    }
  pthread_join (caller, NULL);
  rg_sleep (PAUSE_MS);
  return stream.whole && stream.events < EVENTS;
}

static void
site_start (void)
{
  static const char *const halls[HOSTS]
      = { "bern-halle", "olten-halle", "biel-halle" };

  store = rg_store_new (PAGE_ITEMS, ANSWER_MS);
  rg_store_put (
      store, "op/config",
      "{\"Version\":1,\"Routes\":[{\"Name\":\"chat\",\"Host\":"
      "\"rel.example\",\"PathPrefix\":\"/chat/\",\"RouteType\":"
      "\"streaming\",\"TimeoutMs\":20000,\"TargetLatencyMs\":1000,"
      "\"Priority\":1,\"Service\":\"llm\",\"MaxAttempts\":2,"
      "\"Public\":false,\"Sticky\":true,\"Resumable\":true,"
      "\"gap_aim_ms\":250}],"
      "\"Services\":[{\"Name\":\"llm\",\"HealthPath\":\"/health\","
      "\"MaxConns\":1078,\"Engine\":{\"Slots\":64,\"KvCapacityTokens\":"
      "100000,\"KvTokenBytes\":8000,\"stride\":2,\"step_ms\":1,"
      "\"read_per_s\":164000,\"chunk\":512,\"report_lag_ms\":200,"
      "\"usual\":{\"prompt\":100,\"answer\":120},\"layers\":8,"
      "\"layer_mb\":1000,\"act_bytes\":22900,\"pipe_mbps\":4720,"
      "\"kinds\":[{\"Name\":\"half\",\"mb\":4900,\"pace\":1,\"read_x\":1}]"
      "}}],"
      "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
      "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
      "\"Tenants\":[{\"Name\":\"parking\",\"ApiKeys\":[\"k1\"],"
      "\"Priority\":1}]}");
  engine_start (&engines[0], 20);
  engine_start (&engines[1], 21);
  rg_site_start (hosts, halls, HOSTS, store);
  rg_sleep (1000);
}

int
main (int argc, char **argv)
{
  const char *value = getenv ("TROUBLE");
  int trouble = !value || strcmp (value, "0") != 0;
  unsigned broken = 0;
  unsigned i;

  if (argc != 2)
    return RG_EXIT_UNUSABLE;
  rg_begin (argv[1]);
  site_start ();
  for (i = 0; i < ROUNDS; i++)
    broken += (unsigned)round_run (i, trouble);
  rg_hosts_end ();
  printf ("%u of %d streams ended as whole before their last event\n", broken,
          ROUNDS);
  rg_record ("broken %u of %d", broken, ROUNDS);
  return broken > 0;
}
