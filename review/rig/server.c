/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Stand-ins for the platform's servers: a model worker that streams events,
 * and a plain service. Each registers itself in the store, serves one request
 * at a time on a connection, answers 421 if another instance was expected, and
 * 503 with X-Elmarch-Not-Executed if all its slots are taken.
 */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "rig.h"

#define ID_MAX 64
/* A model worker makes its first event after this time, then one after the
   other. */
#define FIRST_EVENT_S 0.06
#define EVENT_S 0.05

static struct
{
  char address[ADDRESS_MAX];
  char id[ID_MAX];
  char store[ADDRESS_MAX];
  int slots;
  int running;
  pthread_mutex_t lock;
  int (*serve) (conn_t *conn, const message_t *request, const char *id);
  /* model worker */
  int first;
  int end;
  int orders;
  double stream_s;
  /* Share of the answers that are given twice, the second time late: when the
     next answer on the connection is due. In periods of EXTRA_ON_S, with
     EXTRA_OFF_S between. */
  double extra;
  /* plain service */
  double work_s;
  size_t bytes;
  int unframed;
} server = { .lock = PTHREAD_MUTEX_INITIALIZER };

static int
reply (conn_t *conn, int status, const char *headers, const char *body)
{
  char head[1024];

  snprintf (head, sizeof head,
            "HTTP/1.1 %d Status\r\n%sContent-Length: %zu\r\n\r\n%s", status,
            headers, strlen (body), body);
  return conn_write (conn, head, strlen (head));
}

static int
refuse (conn_t *conn, int status, const char *id, char *copy, size_t size)
{
  snprintf (copy, size,
            "HTTP/1.1 %d Status\r\nX-Elmarch-Request-Id: %s\r\n"
            "X-Elmarch-Not-Executed: 1\r\nAt-Server: %s\r\n"
            "Content-Length: 0\r\n\r\n",
            status, id, server.address);
  return conn_write (conn, copy, strlen (copy));
}

static int
slot_take (void)
{
  int taken;

  pthread_mutex_lock (&server.lock);
  taken = server.running < server.slots;
  server.running += taken;
  pthread_mutex_unlock (&server.lock);
  return taken;
}

static void
slot_release (void)
{
  pthread_mutex_lock (&server.lock);
  server.running--;
  pthread_mutex_unlock (&server.lock);
}

static void
server_register (void)
{
  char value[512];
  char layers[128] = "";
  char key[128];

  if (server.end > server.first)
    snprintf (layers, sizeof layers,
              ",\"layers\":{\"Source\":%d,\"TargetVersion\":%d,\"Version\":1}",
              server.first, server.end);
  snprintf (value, sizeof value,
            "{\"Service\":\"%s\",\"Address\":\"%s\",\"Zone\":\"hall-a\","
            "\"Version\":\"v1\",\"Slots\":%d,\"State\":\"ready\","
            "\"ColdRemainingMs\":0,\"SeqNo\":%d%s%s}",
            server.stream_s > 0 ? "pool" : "app", server.address, server.slots,
            server.orders,
            server.stream_s > 0 ? ",\"RouteType\":\"card\"" : "", layers);
  snprintf (key, sizeof key, "servers/%s", server.id);
  if (!store_put (server.store, key, value))
    fprintf (stderr, "%s: not registered\n", server.id);
}

/* The number of the JSON field NAME; -1 if there is none. */
static int
json_number (const char *text, const char *name)
{
  char field[64];
  const char *at;

  snprintf (field, sizeof field, "\"%s\":", name);
  at = text ? strstr (text, field) : NULL;
  return at ? atoi (at + strlen (field)) : -1;
}

static int
serve_report (conn_t *conn)
{
  char body[512];

  snprintf (body, sizeof body,
            "{\"Stage\":\"hybrid\",\"Utilization\":false,\"SeqNo\":%d,"
            "\"QueueDepth\":0,\"ActiveRequests\":%d,\"KvUsed\":%d,"
            "\"KvTotal\":100000,\"Handles\":0,\"pace\":1,\"stalled\":[]}",
            server.orders, server.running, server.running * 1000);
  return reply (conn, 200, "Content-Type: application/json\r\n", body);
}

static int
serve_order (conn_t *conn, const message_t *request)
{
  int expected;

  if (request->body)
    request->body[request->len] = '\0';
  expected = json_number (request->body, "ExpectedRev");
  if (!request->body || !strstr (request->body, "\"place\""))
    return reply (conn, 404, "", "{}");
  if (expected >= 0 && expected != server.orders)
    return reply (conn, 409, "", "{}");
  server.orders++;
  server.first = json_number (request->body, "Source");
  server.end = json_number (request->body, "TargetVersion");
  record ("%s holds the layers %d to %d", server.id, server.first, server.end);
  if (!reply (conn, 202, "", "{}"))
    return 0;
  server_register ();
  return 1;
}

static int
stream_event (conn_t *conn, int i)
{
  char event[64];
  char chunk[128];
  int n = snprintf (event, sizeof event, "id: %d\ndata: t%d\n\n", i, i);

  snprintf (chunk, sizeof chunk, "%x\r\n%s\r\n", (unsigned)n, event);
  return conn_write (conn, chunk, strlen (chunk));
}

/* Streams events until the caller has left. The request has begun to run with
   the first of them. */
static int
serve_stream (conn_t *conn, const message_t *request, const char *id)
{
  char head[512];
  char last[32];
  int i = atoi (message_header (request, "last-event-id", last, sizeof last));
  int end = (int)(server.stream_s / EVENT_S);

  sleep_s (FIRST_EVENT_S);
  if (conn_gone (conn))
    return 0;
  record ("%s runs %s", server.id, id);
  snprintf (head, sizeof head,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            "X-Elmarch-Request-Id: %s\r\nX-Elmarch-Response-Seal: seal.%s\r\n"
            "Transfer-Encoding: chunked\r\n\r\n",
            id, server.id);
  if (!conn_write (conn, head, strlen (head)))
    return 0;
  while (i < end)
    {
      if (conn_gone (conn) || !stream_event (conn, ++i))
        {
          record ("%s is left by the caller of %s", server.id, id);
          return 0;
        }
      sleep_s (EVENT_S);
    }
  return conn_write (conn, "0\r\n\r\n", 5);
}

/* Answers after some work, in two halves. Without a length the answer ends
   with the connection. */
static int
serve_plain (conn_t *conn, const message_t *request, const char *id)
{
  char *body = malloc (server.bytes);
  char head[512];
  char length[64] = "Connection: close\r\n";
  int ok;

  (void)request;
  record ("%s runs %s", server.id, id);
  memset (body, 'a', server.bytes / 2);
  memset (body + server.bytes / 2, 'b', server.bytes - server.bytes / 2);
  if (!server.unframed)
    snprintf (length, sizeof length, "Content-Length: %zu\r\n", server.bytes);
  snprintf (head, sizeof head,
            "HTTP/1.1 200 OK\r\nX-Elmarch-Request-Id: %s\r\n"
            "X-Elmarch-Response-Seal: seal.%s\r\n%s\r\n",
            id, server.id, length);
  sleep_s (server.work_s / 2);
  ok = conn_write (conn, head, strlen (head))
       && conn_write (conn, body, server.bytes / 2);
  sleep_s (server.work_s / 2);
  ok = ok
       && conn_write (conn, body + server.bytes / 2,
                      server.bytes - server.bytes / 2);
  free (body);
  return ok && !server.unframed;
}

/* Serves a request, or rejects it. COPY holds the answer that is to be given
   once more. */
static int
serve_request (conn_t *conn, const message_t *request, char *copy, size_t size)
{
  char id[ID_MAX];
  char expect[ID_MAX];
  int ok;

  message_header (request, "x-elmarch-request-id", id, sizeof id);
  message_header (request, "x-elmarch-expect-instance", expect, sizeof expect);
  if (copy[0])
    {
      record ("%s gives its last answer once more, before that to %s",
              server.id, id);
      conn_write (conn, copy, strlen (copy));
      copy[0] = '\0';
    }
  if (expect[0] && strcmp (expect, server.id) != 0)
    {
      ok = refuse (conn, 421, id, copy, size);
      copy[0] = '\0';
      return ok;
    }
  if (!slot_take ())
    {
      record ("%s refuses %s", server.id, id);
      ok = refuse (conn, 503, id, copy, size);
      if (drand48 () >= server.extra)
        copy[0] = '\0';
      return ok;
    }
  ok = server.serve (conn, request, id);
  slot_release ();
  return ok;
}

static void *
serve_connection (void *arg)
{
  conn_t *conn = arg;
  message_t request;
  char copy[512] = "";
  int ok = 1;

  while (ok && message_read (conn, &request, 0))
    {
      if (strstr (request.head, " /elmarch/report "))
        ok = serve_report (conn);
      else if (strstr (request.head, " /elmarch/order "))
        ok = serve_order (conn, &request);
      else
        ok = serve_request (conn, &request, copy, sizeof copy);
      message_free (&request);
    }
  conn_close (conn);
  return NULL;
}

static _Noreturn void
server_run (char **argv)
{
  pthread_attr_t attr;
  pthread_t thread;
  int fd;

  snprintf (server.address, sizeof server.address, "%s", argv[0]);
  snprintf (server.id, sizeof server.id, "%s", argv[1]);
  snprintf (server.store, sizeof server.store, "%s", argv[2]);
  server.slots = atoi (argv[3]);
  srand48 ((long)(now_s () * 1000));
  pthread_attr_init (&attr);
  pthread_attr_setstacksize (&attr, 256 * 1024);
  pthread_attr_setdetachstate (&attr, PTHREAD_CREATE_DETACHED);
  fd = server_open (server.address);
  server_register ();
  for (;;)
    {
      conn_t *conn = conn_accept (fd);

      if (conn && pthread_create (&thread, &attr, serve_connection, conn))
        conn_close (conn);
    }
}

/** ADDRESS ID STORE SLOTS STREAM-SECONDS EXTRA */
int
engine_main (int argc, char **argv)
{
  if (argc != 6)
    return 2;
  server.serve = serve_stream;
  server.stream_s = atof (argv[4]);
  server.extra = atof (argv[5]);
  server_run (argv);
}

/** ADDRESS ID STORE SLOTS WORK-SECONDS BYTES UNFRAMED */
int
service_main (int argc, char **argv)
{
  if (argc != 7)
    return 2;
  server.serve = serve_plain;
  server.work_s = atof (argv[4]);
  server.bytes = strtoul (argv[5], NULL, 10);
  server.unframed = atoi (argv[6]);
  server_run (argv);
}
