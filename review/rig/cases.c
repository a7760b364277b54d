/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The cases: what they start, send and disrupt, and the check of the rule from
 * what callers and servers saw.
 */
#define _GNU_SOURCE
#include <pthread.h>
#include <stdint.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "rig.h"

#define HELD 0
#define BROKEN 1
#define NOT_RUN 2
#define SERVERS_MAX 16
#define CALLS_MAX 20000
#define ID_MAX 32
/* A silent server's entry goes after three liveness reports. */
#define LAPSE_S 3.6

/** A server's process. */
typedef struct process
{
  char id[32];
  char address[ADDRESS_MAX];
  pid_t pid;
} process_t;

/** A request, as its caller sees it. */
typedef struct call
{
  char id[ID_MAX];
  char path[32];
  size_t host;
  int kept;   /* sent on a channel that has been used before */
  int status; /* 0: the channel closed before an answer */
  int whole;
  int sealed;
  size_t len;
  int closed; /* the channel was closed without a byte of the answer */
  double ended_at;
  int runs;
} call_t;

static site_t site;
static process_t servers[SERVERS_MAX];
static size_t nservers;
static call_t calls[CALLS_MAX];
static size_t ncalls;
static int running;
static volatile int stopping;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

/* Calls. */

static call_t *
call_new (size_t host, const char *path)
{
  call_t *call = NULL;

  pthread_mutex_lock (&lock);
  if (ncalls < CALLS_MAX)
    {
      call = &calls[ncalls];
      snprintf (call->id, sizeof call->id, "r%05zu", ncalls++);
    }
  pthread_mutex_unlock (&lock);
  if (!call)
    return NULL;
  call->host = host;
  snprintf (call->path, sizeof call->path, "%s", path);
  return call;
}

static int
call_send (conn_t *conn, const call_t *call, int deadline_ms)
{
  static const char body[] = "{\"prompt\":\"a question\"}";
  char text[1024];

  snprintf (text, sizeof text,
            "POST %s HTTP/1.1\r\nHost: site.example\r\n"
            "X-Elmarch-Request-Id: %s\r\nX-Elmarch-Model: model\r\n"
            "X-Elmarch-Token-Count: 100,80\r\nX-Elmarch-Deadline-Ms: %d\r\n"
            "Authorization: Bearer key-1\r\nContent-Length: %zu\r\n\r\n%s",
            call->path, call->id, deadline_ms, strlen (body), body);
  record ("%s is sent to front-%zu%s, %s", call->id, call->host + 1,
          call->kept ? " on a kept channel" : "", call->path);
  return conn_write (conn, text, strlen (text));
}

/* Reads the answer to CALL. Returns 0 if there is none. */
static int
call_read (conn_t *conn, call_t *call, message_t *reply)
{
  char seal[64];

  if (message_read (conn, reply, 1))
    {
      call->status = reply->status;
      call->whole = reply->whole;
      call->len = reply->len;
      call->sealed = message_header (reply, "x-elmarch-response-seal", seal,
                                     sizeof seal)[0]
                     != '\0';
    }
  else
    call->closed = 1;
  call->ended_at = now_s ();
  if (call->status)
    record ("%s is answered %d, %zu bytes%s%s", call->id, call->status,
            call->len, call->whole ? "" : ", not whole",
            call->sealed ? ", with a seal" : "");
  else
    record ("%s gets no answer, its channel is closed", call->id);
  return call->status != 0;
}

static void *
single_call (void *arg)
{
  call_t *call = arg;
  conn_t *conn = conn_open (site.hosts[call->host].entry, 25);
  message_t reply = { .body = NULL };

  if (conn && call_send (conn, call, 20000))
    call_read (conn, call, &reply);
  else
    call->ended_at = now_s ();
  message_free (&reply);
  conn_close (conn);
  pthread_mutex_lock (&lock);
  running--;
  pthread_mutex_unlock (&lock);
  return NULL;
}

/* Sends a request on a channel of its own. */
static void
call_start (size_t host, const char *path)
{
  call_t *call = call_new (host, path);
  pthread_attr_t attr;
  pthread_t thread;

  if (!call || site.hosts[host].ended)
    return;
  pthread_attr_init (&attr);
  pthread_attr_setstacksize (&attr, 512 * 1024);
  pthread_attr_setdetachstate (&attr, PTHREAD_CREATE_DETACHED);
  pthread_mutex_lock (&lock);
  running++;
  pthread_mutex_unlock (&lock);
  if (pthread_create (&thread, &attr, single_call, call))
    abort ();
}

static void
calls_wait (void)
{
  double end = now_s () + 25;

  while (running && now_s () < end)
    sleep_s (0.05);
}

/* Sends requests one after the other on a channel that is kept. */
static void *
kept_caller (void *arg)
{
  size_t host = (size_t)(uintptr_t)arg;
  conn_t *conn = NULL;
  int used = 0;
  message_t reply;
  call_t *call;

  while (!stopping && !site.hosts[host].ended)
    {
      if (!conn)
        {
          conn = conn_open (site.hosts[host].entry, 5);
          used = 0;
        }
      if (!conn)
        {
          sleep_s (0.1);
          continue;
        }
      call = call_new (host, "/pay/1");
      if (!call)
        break;
      call->kept = used;
      memset (&reply, 0, sizeof reply);
      if (!call_send (conn, call, 3000) || !call_read (conn, call, &reply)
          || !reply.whole || strcasestr (reply.head, "connection: close"))
        {
          conn_close (conn);
          conn = NULL;
        }
      message_free (&reply);
      used = 1;
    }
  conn_close (conn);
  return NULL;
}

static void
kept_callers_start (size_t each)
{
  pthread_attr_t attr;
  pthread_t thread;
  size_t host;
  size_t i;

  pthread_attr_init (&attr);
  pthread_attr_setstacksize (&attr, 512 * 1024);
  pthread_attr_setdetachstate (&attr, PTHREAD_CREATE_DETACHED);
  for (host = 0; host < site.nhosts; host++)
    for (i = 0; i < each; i++)
      if (pthread_create (&thread, &attr, kept_caller,
                          (void *)(uintptr_t)host))
        abort ();
}

/* Servers. */

static void
server_start (const char *role, const char *id, const char *const *more)
{
  process_t *server = &servers[nservers++];
  const char *args[16]
      = { getenv ("RIG_SELF"), role, server->address, server->id, site.store };
  size_t n = 5;

  address_free (server->address);
  snprintf (server->id, sizeof server->id, "%s", id);
  while (*more)
    args[n++] = *more++;
  server->pid = child_start (args, server->id);
}

static process_t *
server_find (const char *id)
{
  size_t i;

  for (i = 0; i < nservers; i++)
    if (strcmp (servers[i].id, id) == 0)
      return &servers[i];
  return NULL;
}

static void *
entry_lapse (void *arg)
{
  const process_t *server = arg;
  char key[64];

  sleep_s (LAPSE_S);
  snprintf (key, sizeof key, "servers/%s", server->id);
  store_delete (site.store, key);
  record ("the entry of %s has lapsed", server->id);
  return NULL;
}

/* Kills a server; its entry goes after three liveness reports of silence. */
static void
server_crash (process_t *server)
{
  pthread_t thread;

  record ("%s is killed", server->id);
  child_kill (&server->pid);
  if (pthread_create (&thread, NULL, entry_lapse, server))
    abort ();
  pthread_detach (thread);
}

static void
all_end (void)
{
  size_t i;

  site_end (&site);
  for (i = 0; i < nservers; i++)
    child_kill (&servers[i].pid);
}

/* Reads from the record how often each request ran. */
static void
runs_count (void)
{
  FILE *file = fopen (getenv ("RIG_RECORD"), "r");
  char line[512];
  char *at;
  size_t i;

  while (file && fgets (line, sizeof line, file))
    {
      at = strstr (line, " runs r");
      i = at ? strtoul (at + strlen (" runs r"), NULL, 10) : CALLS_MAX;
      if (i < ncalls)
        calls[i].runs++;
    }
  if (file)
    fclose (file);
}

static void
summary (void)
{
  size_t ok = 0;
  size_t refused = 0;
  size_t none = 0;
  size_t i;

  for (i = 0; i < ncalls; i++)
    {
      ok += calls[i].status == 200 && calls[i].whole;
      refused += calls[i].status == 503;
      none += calls[i].closed;
    }
  record ("in all %zu requests: %zu whole successes, %zu refused, %zu closed "
          "without an answer",
          ncalls, ok, refused, none);
}

static int
verdict (size_t broken, const char *what)
{
  record ("%s: %zu %s", broken ? "BROKEN" : "held", broken, what);
  printf ("%s: %zu %s\n", broken ? "BROKEN" : "held", broken, what);
  return broken ? BROKEN : HELD;
}

/* The configuration: streams of two ranks at the model workers, and calls of a
   plain service that may run once. */
static const char *
config_text (const char *resumable, int layers)
{
  static char text[4096];

  snprintf (
      text, sizeof text,
      "{\"Version\":1,\"Routes\":["
      "{\"Name\":\"high\",\"Host\":\"site.example\",\"PathPrefix\":\"/high/\","
      "\"RouteType\":\"streaming\",\"TimeoutMs\":20000,"
      "\"TargetLatencyMs\":5000,\"gap_aim_ms\":200,\"MaxAttempts\":2,"
      "\"Service\":\"pool\",\"Priority\":0%s},"
      "{\"Name\":\"low\",\"Host\":\"site.example\",\"PathPrefix\":\"/low/\","
      "\"RouteType\":\"streaming\",\"TimeoutMs\":20000,"
      "\"TargetLatencyMs\":5000,\"gap_aim_ms\":200,\"MaxAttempts\":2,"
      "\"Service\":\"pool\",\"Priority\":2%s},"
      "{\"Name\":\"pay\",\"Host\":\"site.example\",\"PathPrefix\":\"/pay/\","
      "\"RouteType\":\"unsafe\",\"TimeoutMs\":3000,\"TargetLatencyMs\":300,"
      "\"MaxAttempts\":2,\"Service\":\"app\",\"Priority\":2}],"
      "\"Services\":[{\"Name\":\"app\"},{\"Name\":\"pool\",\"Engine\":{"
      "\"layers\":%d,\"layer_mb\":1750,\"step_ms\":0.85,"
      "\"read_per_s\":252000,\"KvTokenBytes\":80000,\"chunk\":512,"
      "\"stride\":1,\"usual\":{\"prompt\":100,\"answer\":80},"
      "\"kinds\":[{\"Name\":\"card\",\"mb\":36000,\"pace\":1,"
      "\"read_x\":1}]}}],"
      "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
      "\"HeaderTimeoutMs\":5000,\"IdleTimeoutMs\":15000},"
      "\"Tenants\":[{\"Name\":\"tenant-1\",\"ApiKeys\":[\"key-1\"]}]}",
      resumable, resumable, layers);
  return text;
}

#define RESUMABLE ",\"Resumable\":true"

/* Case 1: a model worker crashes while requests of several ranks wait. */

#define CASE1_HOSTS 3
#define CASE1_KEPT 6
/* An engine holds 20 layers, so that there are two of each. */
#define CASE1_ENGINES 6
#define CASE1_LAYERS 48
/* Before the crash there is room for some 4 streams a second at 8 slots. */
#define CASE1_INTERVAL_S 0.2
#define CASE1_CALM_S 14.0
#define CASE1_AFTER_S 30.0

/* The model worker that holds the first layers, found in the record. */
static process_t *
first_engine (void)
{
  FILE *file = fopen (getenv ("RIG_RECORD"), "r");
  process_t *found = NULL;
  char line[512];
  char id[32];

  while (file && fgets (line, sizeof line, file))
    if (sscanf (line, "%*f %31s holds the layers 0 to", id) == 1
        && strstr (line, " holds the layers 0 to"))
      found = server_find (id);
  if (file)
    fclose (file);
  return found;
}

/* The most requests at one host, sent on kept channels and passed on to the
   service, that ended within a second without an answer. */
static size_t
lost_most (void)
{
  size_t most = 0;
  size_t i;
  size_t k;

  for (i = 0; i < ncalls; i++)
    {
      size_t n = 0;

      for (k = 0; k < ncalls; k++)
        n += calls[k].kept && calls[k].closed && calls[k].runs
             && calls[k].host == calls[i].host
             && calls[k].ended_at >= calls[i].ended_at
             && calls[k].ended_at < calls[i].ended_at + 1;
      if (n > most)
        most = n;
    }
  return most;
}

int
case_1 (void)
{
  const char *engine[] = { "4", "2", "0", NULL };
  const char *service[] = { "12", "0.3", "800", "0", NULL };
  process_t *victim = NULL;
  char id[32];
  double start;
  size_t sent = 0;
  size_t most;
  int i;

  if (!site_start (&site, CASE1_HOSTS, config_text (RESUMABLE, CASE1_LAYERS)))
    return NOT_RUN;
  for (i = 0; i < CASE1_ENGINES; i++)
    {
      snprintf (id, sizeof id, "engine-%d", i + 1);
      server_start ("engine", id, engine);
    }
  for (i = 0; i < 3; i++)
    {
      snprintf (id, sizeof id, "app-%d", i + 1);
      server_start ("service", id, service);
    }
  if (!site_hosts_start (&site))
    return NOT_RUN;
  sleep_s (4);
  kept_callers_start (CASE1_KEPT);
  start = now_s ();
  while (now_s () < start + CASE1_CALM_S + CASE1_AFTER_S && !site_reap (&site))
    {
      call_start (sent % CASE1_HOSTS, sent % 2 ? "/high/1" : "/low/1");
      sent++;
      if (trouble () && !victim && now_s () >= start + CASE1_CALM_S)
        {
          victim = first_engine ();
          if (!victim)
            break;
          server_crash (victim);
        }
      sleep_s (CASE1_INTERVAL_S);
    }
  sleep_s (1);
  site_reap (&site);
  stopping = 1;
  sleep_s (0.5);
  all_end ();
  calls_wait ();
  runs_count ();
  summary ();
  if (trouble () && !victim)
    return NOT_RUN;
  most = lost_most ();
  return verdict (most > 3 ? most : 0,
                  "requests on kept channels of a host lost at one moment");
}

/* Case 2: a model worker gives some of its refusals twice, the second time
   when the next answer on the channel is due. */

#define CASE2_HOSTS 8
#define CASE2_SLOTS "24"
#define CASE2_STREAM_S "1.5"
#define CASE2_LAYERS 16
#define CASE2_S 90.0
#define CASE2_INTERVAL_S 0.029
#define CASE2_EXTRA "0.03"

int
case_2 (void)
{
  const char *faulty[]
      = { CASE2_SLOTS, CASE2_STREAM_S, trouble () ? CASE2_EXTRA : "0", NULL };
  const char *sound[] = { CASE2_SLOTS, CASE2_STREAM_S, "0", NULL };
  size_t sent = 0;
  size_t twice = 0;
  size_t refused = 0;
  double start;
  size_t i;

  if (!site_start (&site, CASE2_HOSTS, config_text ("", CASE2_LAYERS)))
    return NOT_RUN;
  server_start ("engine", "engine-1", faulty);
  server_start ("engine", "engine-2", sound);
  if (!site_hosts_start (&site))
    return NOT_RUN;
  sleep_s (4);
  start = now_s ();
  while (now_s () < start + CASE2_S && !site_reap (&site))
    {
      call_start (sent % CASE2_HOSTS,
                  sent / CASE2_HOSTS % 2 ? "/high/1" : "/low/1");
      sent++;
      sleep_s (CASE2_INTERVAL_S);
    }
  calls_wait ();
  all_end ();
  runs_count ();
  summary ();
  for (i = 0; i < ncalls; i++)
    if (calls[i].runs > 1)
      {
        record ("%s has run %d times, its caller got %d", calls[i].id,
                calls[i].runs, calls[i].status);
        twice++;
      }
    else if (calls[i].runs && calls[i].status == 503)
      {
        record ("%s has run, its caller got 503", calls[i].id);
        refused++;
      }
  record ("%zu requests were refused as not run, yet have run", refused);
  return verdict (twice, "requests that may run once have run more often");
}

/* Case 3: a server of a plain service, whose answers end with their channel,
   crashes in the middle of some. */

#define CASE3_HOSTS 3
#define CASE3_KEPT 6
#define CASE3_CALM_S 6.0
#define CASE3_AFTER_S 8.0
#define CASE3_BYTES 800

int
case_3 (void)
{
  const char *service[] = { "12", "0.3", "800", "1", NULL };
  size_t cut = 0;
  char id[32];
  size_t i;

  if (!site_start (&site, CASE3_HOSTS, config_text (RESUMABLE, 16)))
    return NOT_RUN;
  for (i = 0; i < 3; i++)
    {
      snprintf (id, sizeof id, "app-%zu", i + 1);
      server_start ("service", id, service);
    }
  if (!site_hosts_start (&site))
    return NOT_RUN;
  sleep_s (2);
  kept_callers_start (CASE3_KEPT);
  sleep_s (CASE3_CALM_S);
  if (trouble ())
    server_crash (&servers[0]);
  sleep_s (CASE3_AFTER_S);
  site_reap (&site);
  stopping = 1;
  sleep_s (1);
  all_end ();
  runs_count ();
  summary ();
  for (i = 0; i < ncalls; i++)
    if (calls[i].status / 100 == 2 && calls[i].whole
        && (!calls[i].sealed || calls[i].len != CASE3_BYTES))
      {
        record ("%s got a success of %zu bytes that looks whole; its server's "
                "answer has %d",
                calls[i].id, calls[i].len, CASE3_BYTES);
        cut++;
      }
  return verdict (cut, "successes without the server's whole body");
}
