/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Callers: each a thread that asks where to go, keeps its connections, sends
 * requests of all kinds, and resumes streams that break.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <curl/curl.h>

#include "soak.h"

#define LOOK_UP_EVERY (2 * EL_SEC)
#define STREAM_RESUMES 4
#define STREAM_GAP_S 3L
#define PLAIN_LIMIT_MS 2500L
#define STREAM_LIMIT_MS 8000L
#define CONNECT_LIMIT_MS 1000L
#define PAUSE_NS 20000000
/* One request of so many bears a key that was taken away, if there is one. */
#define OLD_KEY_EACH 8
#define SEAL "x-elmarch-response-seal: seal.of.a.stand-in"
#define ID_NAME "x-elmarch-request-id: "

typedef struct caller
{
  sk_callers_t *all;
  pthread_t thread;
  uint64_t random;
  unsigned number;
  unsigned sent;
  CURL *curl[SK_HOSTS]; /* keeps its connection */
  unsigned hosts[SK_HOSTS];
  unsigned nhosts;
  el_time_t looked_up;
} caller_t;

struct sk_callers
{
  sk_world_t *world;
  sk_seen_t *seen;
  caller_t *list;
  unsigned n;
  int stop;
};

/* One exchange as it comes in. */
typedef struct answer
{
  sk_request_t *request;
  el_buf_t part; /* of an event */
} answer_t;

static const char *const paths[SK_REQUEST_KINDS] = {
  [SK_SAFE] = "/look/x",
  [SK_UNSAFE] = "/pay/x",
  [SK_STREAM] = "/chat/x",
};

static size_t
answer_head (char *data, size_t size, size_t n, void *arg)
{
  answer_t *answer = arg;
  el_str_t line = { data, size * n };
  el_str_t name = EL_STR (ID_NAME);
  el_str_t value;

  if (el_str_starts_with (line, EL_STR (SEAL)))
    answer->request->seal = 1;
  if (el_str_starts_with (line, name))
    {
      value = el_str_after (line, name.len);
      answer->request->own
          = el_str_starts_with (value, el_str (answer->request->id));
    }
  return size * n;
}

/* Whole events, in order: "id: N\ndata: pN\n\n". */
static void
answer_events (answer_t *answer)
{
  sk_request_t *request = answer->request;
  char want[64];
  const char *at = answer->part.ptr;
  const char *end;

  while (at && (end = strstr (at, "\n\n")))
    {
      snprintf (want, sizeof want, "id: %u\ndata: p%u", request->events + 1,
                request->events + 1);
      if ((size_t)(end - at) != strlen (want)
          || strncmp (at, want, strlen (want)) != 0)
        request->disorder = 1;
      request->events++;
      at = end + 2;
    }
  if (at && at != answer->part.ptr)
    {
      el_buf_t rest = { NULL, 0, 0 };

      el_buf_add (&rest, el_str (at));
      el_buf_free (&answer->part);
      answer->part = rest;
    }
}

static size_t
answer_body (char *data, size_t size, size_t n, void *arg)
{
  answer_t *answer = arg;

  if (answer->request->kind == SK_STREAM && answer->request->seal)
    {
      el_buf_add (&answer->part, (el_str_t){ data, size * n });
      answer_events (answer);
    }
  return size * n;
}

static void
seen_add (sk_seen_t *seen, const sk_request_t *request)
{
  pthread_mutex_lock (&seen->lock);
  seen->list = el_grow (seen->list, seen->len + 1, sizeof *seen->list);
  seen->list[seen->len++] = *request;
  pthread_mutex_unlock (&seen->lock);
}

static struct curl_slist *
request_headers (const sk_request_t *request, const char *key)
{
  struct curl_slist *list = NULL;
  char text[128];

  list = curl_slist_append (list, "host: rel.example");
  snprintf (text, sizeof text, ID_NAME "%s", request->id);
  list = curl_slist_append (list, text);
  snprintf (text, sizeof text, "authorization: Bearer %s", key);
  list = curl_slist_append (list, text);
  snprintf (text, sizeof text, "x-elmarch-deadline-ms: %ld",
            request->kind == SK_STREAM ? STREAM_LIMIT_MS : PLAIN_LIMIT_MS);
  list = curl_slist_append (list, text);
  snprintf (text, sizeof text, "x-via: %u-%" PRIu64, request->host,
            request->boot);
  list = curl_slist_append (list, text);
  if (request->resumed)
    {
      snprintf (text, sizeof text, "last-event-id: %u", request->resumed);
      list = curl_slist_append (list, text);
    }
  return list;
}

static void
curl_prepare (CURL *curl, const sk_world_t *world, const sk_request_t *request)
{
  char address[SK_ADDRESS_MAX];
  char url[128];
  int post = request->kind != SK_SAFE;

  sk_host_address (world, request->host, SK_PORT_ENTRY, address);
  snprintf (url, sizeof url, "http://%s%s", address, paths[request->kind]);
  curl_easy_reset (curl);
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_LIMIT_MS);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS,
                    request->kind == SK_STREAM ? STREAM_LIMIT_MS
                                               : PLAIN_LIMIT_MS);
  if (post)
    curl_easy_setopt (curl, CURLOPT_POSTFIELDS, "body");
  /* libcurl sends again by itself on a kept connection that was closed. */
  if (request->kind == SK_UNSAFE)
    curl_easy_setopt (curl, CURLOPT_FRESH_CONNECT, 1L);
  if (request->kind == SK_STREAM)
    {
      curl_easy_setopt (curl, CURLOPT_LOW_SPEED_LIMIT, 1L);
      curl_easy_setopt (curl, CURLOPT_LOW_SPEED_TIME, STREAM_GAP_S);
    }
}

/* Send one request and note what came of it. */
static void
request_send (CURL *curl, const sk_world_t *world, sk_seen_t *seen,
              sk_request_t *request)
{
  answer_t answer = { request, { NULL, 0, 0 } };
  struct curl_slist *headers;
  char key[32];

  request->boot = world->hosts[request->host].boots;
  sk_key_text (request->key, request->generation, key, sizeof key);
  headers = request_headers (request, key);
  curl_prepare (curl, world, request);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (curl, CURLOPT_HEADERFUNCTION, answer_head);
  curl_easy_setopt (curl, CURLOPT_HEADERDATA, &answer);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, answer_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, &answer);
  request->events = request->resumed;
  request->sent = sk_now ();
  request->whole = curl_easy_perform (curl) == CURLE_OK;
  request->done = sk_now ();
  request->rebooted = world->hosts[request->host].boots != request->boot;
  request->taken
      = __atomic_load_n (&world->keys[request->key], __ATOMIC_RELAXED)
        > request->generation;
  curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &request->status);
  curl_slist_free_all (headers);
  el_buf_free (&answer.part);
  seen_add (seen, request);
}

/* Ask any host where to go. */
static void
caller_look_up (caller_t *caller)
{
  const sk_world_t *world = caller->all->world;
  unsigned asked = (unsigned)(el_random (&caller->random) % SK_HOSTS);
  char address[SK_ADDRESS_MAX];
  el_buf_t body = { NULL, 0, 0 };
  unsigned i;

  caller->looked_up = sk_now ();
  sk_host_address (world, asked, SK_PORT_DIRECTORY, address);
  if (sk_http ("GET", address,
               "/elmarch/resolve?Name=rel.example&Region=r&Zone=hall-a", NULL,
               &body)
      == 200)
    {
      caller->nhosts = 0;
      for (i = 0; i < SK_HOSTS; i++)
        {
          sk_host_address (world, i, SK_PORT_ENTRY, address);
          if (strstr (body.ptr, address))
            caller->hosts[caller->nhosts++] = i;
        }
    }
  el_buf_free (&body);
}

/* The key in force, or now and then the one before. */
static void
request_key (const sk_world_t *world, sk_request_t *request, int old)
{
  request->generation
      = __atomic_load_n (&world->keys[request->key], __ATOMIC_RELAXED);
  request->changed_at
      = __atomic_load_n (&world->taken[request->key], __ATOMIC_RELAXED);
  if (old && request->generation)
    {
      request->old = 1;
      request->generation--;
    }
}

static void
request_new (caller_t *caller, sk_request_t *request, sk_request_kind_t kind,
             unsigned resumed)
{
  memset (request, 0, sizeof *request);
  snprintf (request->id, sizeof request->id, "c%u-%u", caller->number,
            caller->sent++);
  request->kind = kind;
  request->key = caller->number % SK_KEYS;
  request->resumed = resumed;
  request->host = caller->hosts[el_random (&caller->random) % caller->nhosts];
  request_key (caller->all->world, request,
               el_random (&caller->random) % OLD_KEY_EACH == 0);
}

/* One request; a stream that breaks is resumed elsewhere. */
static void
caller_turn (caller_t *caller)
{
  sk_request_kind_t kind
      = (sk_request_kind_t)(el_random (&caller->random) % SK_REQUEST_KINDS);
  sk_request_t request = { .events = 0 };
  unsigned i;

  for (i = 0; i <= STREAM_RESUMES; i++)
    {
      request_new (caller, &request, kind, request.events);
      if (!caller->curl[request.host])
        caller->curl[request.host] = curl_easy_init ();
      request_send (caller->curl[request.host], caller->all->world,
                    caller->all->seen, &request);
      if (kind != SK_STREAM || request.events >= SK_EVENTS)
        return;
    }
}

static void *
caller_run (void *arg)
{
  const struct timespec pause = { 0, PAUSE_NS };
  caller_t *caller = arg;
  unsigned i;

  while (!__atomic_load_n (&caller->all->stop, __ATOMIC_RELAXED))
    {
      if (caller->nhosts == 0 || sk_now () > caller->looked_up + LOOK_UP_EVERY)
        caller_look_up (caller);
      if (caller->nhosts)
        caller_turn (caller);
      nanosleep (&pause, NULL);
    }
  for (i = 0; i < SK_HOSTS; i++)
    if (caller->curl[i])
      curl_easy_cleanup (caller->curl[i]);
  return NULL;
}

/** Begin to send. */
sk_callers_t *
sk_callers_start (sk_world_t *world, sk_seen_t *seen, unsigned threads,
                  uint64_t seed)
{
  sk_callers_t *callers = el_alloc (sizeof *callers);
  unsigned i;

  callers->world = world;
  callers->seen = seen;
  callers->n = threads;
  callers->list = el_alloc (threads * sizeof *callers->list);
  for (i = 0; i < threads; i++)
    {
      callers->list[i].all = callers;
      callers->list[i].number = i;
      callers->list[i].random = (seed + 1) * 1000 + i;
      pthread_create (&callers->list[i].thread, NULL, caller_run,
                      &callers->list[i]);
    }
  return callers;
}

/** Let the requests under way end, and send no more. */
void
sk_callers_stop (sk_callers_t *callers)
{
  unsigned i;

  __atomic_store_n (&callers->stop, 1, __ATOMIC_RELAXED);
  for (i = 0; i < callers->n; i++)
    pthread_join (callers->list[i].thread, NULL);
  free (callers->list);
  free (callers);
}

/** One request of KIND through HOST; gives whether it was served. */
int
sk_caller_probe (sk_world_t *world, sk_seen_t *seen, unsigned host,
                 sk_request_kind_t kind)
{
  static unsigned probes;
  CURL *curl = curl_easy_init ();
  sk_request_t request;

  memset (&request, 0, sizeof request);
  snprintf (request.id, sizeof request.id, "probe-%u", probes++);
  request.kind = kind;
  request.host = host;
  request_key (world, &request, 0);
  request_send (curl, world, seen, &request);
  curl_easy_cleanup (curl);
  return request.status == 200 && request.whole
         && (kind != SK_STREAM || request.events == SK_EVENTS);
}
