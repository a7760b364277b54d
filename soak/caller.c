/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Callers: each is a thread that looks up the hosts, keeps a connection to
 * each, sends requests of all kinds, and resumes streams that broke off.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <curl/curl.h>

#include "soak.h"

#define RESOLVE_INTERVAL (2 * EL_SEC)
#define STREAM_RESUMES_MAX 4
#define STREAM_STALL_S 3L
#define PLAIN_TIMEOUT_MS 2500L
#define STREAM_TIMEOUT_MS 8000L
#define CONNECT_TIMEOUT_MS 1000L
#define REQUEST_PAUSE_NS 20000000
/* One request in this many is sent with a revoked key, if there is one. */
#define REVOKED_KEY_ONE_IN 8
/* One stream in this many has a part that crashes engines, from this time on;
   hosts know by then which parts run well. */
#define CRASH_PART_ONE_IN 12
#define CRASH_PARTS_AFTER (7 * EL_SEC)
/* One safe request of the callers with key 0 in this many is the request that
   crashes workers, from this time on. */
#define CRASH_REQUEST_ONE_IN 3
#define CRASH_REQUESTS_AFTER (2 * EL_SEC)
/* All but one in this many of their callers leave after this time, before the
   worker crashes. */
#define STAY_ONE_IN 8
#define LEAVE_AFTER_MS 10L
#define CRASH_BODY "a deadly request"
#define CRASH_REFUSAL "ends endpoints"
#define CRASH_PART "deadbeef"
/* Other parts of which a prompt has one. */
#define SOUND_PARTS 5
#define SEAL_HEADER "x-elmarch-response-seal: seal.of.a.stand-in"
#define ID_HEADER "x-elmarch-request-id: "

typedef struct caller
{
  sk_callers_t *pool;
  pthread_t thread;
  uint64_t random;
  unsigned number;
  unsigned sent;
  CURL *curl[SK_HOSTS]; /* a handle keeps its connection */
  unsigned hosts[SK_HOSTS];
  unsigned nhosts;
  el_time_t resolved_at;
} caller_t;

struct sk_callers
{
  sk_cluster_t *cluster;
  sk_requests_t *requests;
  caller_t *list;
  unsigned count;
  el_time_t started_at;
  int stop;
};

/* A response while it is received. */
typedef struct response
{
  sk_request_t *request;
  el_buf_t partial_event;
} response_t;

static const char *const paths[SK_REQUEST_KINDS] = {
  [SK_SAFE] = "/look/x",
  [SK_UNSAFE] = "/pay/x",
  [SK_STREAM] = "/chat/x",
};

static size_t
response_header (char *data, size_t size, size_t n, void *arg)
{
  response_t *response = arg;
  el_str_t line = { data, size * n };
  el_str_t name = EL_STR (ID_HEADER);
  el_str_t value;

  if (el_str_starts_with (line, EL_STR (SEAL_HEADER)))
    response->request->has_seal = 1;
  if (el_str_starts_with (line, name))
    {
      value = el_str_after (line, name.len);
      response->request->has_own_id
          = el_str_starts_with (value, el_str (response->request->id));
    }
  return size * n;
}

/* Check the complete events received, "id: N\ndata: pN\n\n", and keep the part
   of an event that remains. */
static void
response_events (response_t *response)
{
  sk_request_t *request = response->request;
  char expected[64];
  const char *pos = response->partial_event.ptr;
  const char *end;

  while (pos && (end = strstr (pos, "\n\n")))
    {
      snprintf (expected, sizeof expected, "id: %u\ndata: p%u",
                request->last_event + 1, request->last_event + 1);
      if ((size_t)(end - pos) != strlen (expected)
          || strncmp (pos, expected, strlen (expected)) != 0)
        request->out_of_order = 1;
      request->last_event++;
      pos = end + 2;
    }
  if (pos && pos != response->partial_event.ptr)
    {
      el_buf_t rest = { NULL, 0, 0 };

      el_buf_add (&rest, el_str (pos));
      el_buf_free (&response->partial_event);
      response->partial_event = rest;
    }
}

static size_t
response_body (char *data, size_t size, size_t n, void *arg)
{
  response_t *response = arg;

  if (!response->request->has_seal && size * n >= strlen (CRASH_REFUSAL)
      && memcmp (data, CRASH_REFUSAL, strlen (CRASH_REFUSAL)) == 0)
    response->request->refused_as_crashing = 1;
  if (response->request->kind == SK_STREAM && response->request->has_seal)
    {
      el_buf_add (&response->partial_event, (el_str_t){ data, size * n });
      response_events (response);
    }
  return size * n;
}

static void
requests_add (sk_requests_t *requests, const sk_request_t *request)
{
  pthread_mutex_lock (&requests->lock);
  requests->list
      = el_grow (requests->list, requests->len + 1, sizeof *requests->list);
  requests->list[requests->len++] = *request;
  pthread_mutex_unlock (&requests->lock);
}

static struct curl_slist *
request_headers (const sk_request_t *request, const char *key, int with_parts)
{
  struct curl_slist *list = NULL;
  char text[128];
  char part[16];

  list = curl_slist_append (list, "host: rel.example");
  snprintf (text, sizeof text, ID_HEADER "%s", request->id);
  list = curl_slist_append (list, text);
  snprintf (text, sizeof text, "authorization: Bearer %s", key);
  list = curl_slist_append (list, text);
  snprintf (text, sizeof text, "x-elmarch-deadline-ms: %ld",
            request->kind == SK_STREAM ? STREAM_TIMEOUT_MS : PLAIN_TIMEOUT_MS);
  list = curl_slist_append (list, text);
  snprintf (text, sizeof text, "x-via: %u-%" PRIu64, request->host,
            request->host_starts);
  list = curl_slist_append (list, text);
  if (with_parts && request->kind == SK_STREAM)
    {
      snprintf (part, sizeof part, "b%u",
                (unsigned)(el_str_hash (el_str (request->id)) % SOUND_PARTS));
      snprintf (text, sizeof text,
                "x-elmarch-prompt-prefix: a%u:40,%s:100,%s:60", request->key,
                request->crashes_endpoints ? CRASH_PART : part, request->id);
      list = curl_slist_append (list, text);
    }
  if (request->resumed_after)
    {
      snprintf (text, sizeof text, "last-event-id: %u",
                request->resumed_after);
      list = curl_slist_append (list, text);
    }
  return list;
}

static void
curl_prepare (CURL *curl, const sk_cluster_t *cluster,
              const sk_request_t *request)
{
  char address[SK_ADDRESS_MAX];
  char url[128];
  int post = request->kind != SK_SAFE || request->crashes_endpoints;
  const char *body = "body";

  sk_host_address (cluster, request->host, SK_PORT_ENTRY, address);
  snprintf (url, sizeof url, "http://%s%s", address, paths[request->kind]);
  curl_easy_reset (curl);
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS,
                    request->leaves              ? LEAVE_AFTER_MS
                    : request->kind == SK_STREAM ? STREAM_TIMEOUT_MS
                                                 : PLAIN_TIMEOUT_MS);
  /* No two requests whose prompts have parts are alike. */
  if (cluster->crash == SK_CRASH_PARTS)
    body = request->id;
  else if (request->crashes_endpoints)
    body = CRASH_BODY;
  if (post)
    curl_easy_setopt (curl, CURLOPT_POSTFIELDS, body);
  /* libcurl retries a request by itself if a reused connection turns out to
     be closed. A new connection prevents that. */
  if (request->kind == SK_UNSAFE)
    curl_easy_setopt (curl, CURLOPT_FRESH_CONNECT, 1L);
  if (request->kind == SK_STREAM)
    {
      curl_easy_setopt (curl, CURLOPT_LOW_SPEED_LIMIT, 1L);
      curl_easy_setopt (curl, CURLOPT_LOW_SPEED_TIME, STREAM_STALL_S);
    }
}

/* Send one request and record its result. */
static void
request_send (CURL *curl, const sk_cluster_t *cluster, sk_requests_t *requests,
              sk_request_t *request)
{
  response_t response = { request, { NULL, 0, 0 } };
  struct curl_slist *headers;
  char key[32];

  request->host_starts = cluster->hosts[request->host].starts;
  sk_key_text (request->key, request->generation, key, sizeof key);
  headers = request_headers (request, key, cluster->crash == SK_CRASH_PARTS);
  curl_prepare (curl, cluster, request);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (curl, CURLOPT_HEADERFUNCTION, response_header);
  curl_easy_setopt (curl, CURLOPT_HEADERDATA, &response);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, response_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, &response);
  request->last_event = request->resumed_after;
  request->sent = sk_now ();
  request->complete = curl_easy_perform (curl) == CURLE_OK;
  request->done = sk_now ();
  request->host_restarted
      = cluster->hosts[request->host].starts != request->host_starts;
  request->key_revoked_since
      = __atomic_load_n (&cluster->key_generations[request->key],
                         __ATOMIC_RELAXED)
        > request->generation;
  curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &request->status);
  curl_slist_free_all (headers);
  el_buf_free (&response.partial_event);
  requests_add (requests, request);
}

/* Ask a random host for the hosts that take requests. */
static void
caller_resolve (caller_t *caller)
{
  const sk_cluster_t *cluster = caller->pool->cluster;
  unsigned queried = (unsigned)(el_random (&caller->random) % SK_HOSTS);
  char address[SK_ADDRESS_MAX];
  el_buf_t body = { NULL, 0, 0 };
  unsigned i;

  caller->resolved_at = sk_now ();
  sk_host_address (cluster, queried, SK_PORT_DIRECTORY, address);
  if (sk_http ("GET", address,
               "/elmarch/resolve?Name=rel.example&Region=r&Zone=hall-a", NULL,
               &body)
      == 200)
    {
      caller->nhosts = 0;
      for (i = 0; i < SK_HOSTS; i++)
        {
          sk_host_address (cluster, i, SK_PORT_ENTRY, address);
          if (strstr (body.ptr, address))
            caller->hosts[caller->nhosts++] = i;
        }
    }
  el_buf_free (&body);
}

/* Set the key of a request: the valid one, or with KEY_REVOKED the one before,
   if there is one. */
static void
request_key_set (const sk_cluster_t *cluster, sk_request_t *request,
                 int key_revoked)
{
  request->generation = __atomic_load_n (
      &cluster->key_generations[request->key], __ATOMIC_RELAXED);
  request->key_changed_at = __atomic_load_n (
      &cluster->keys_revoked_at[request->key], __ATOMIC_RELAXED);
  if (key_revoked && request->generation)
    {
      request->key_revoked = 1;
      request->generation--;
    }
}

/* Whether the next request is one that crashes endpoints. */
static int
crash_draw (caller_t *caller, const sk_request_t *request)
{
  el_time_t since = sk_now () - caller->pool->started_at;

  switch (caller->pool->cluster->crash)
    {
    case SK_CRASH_PARTS:
      return request->kind == SK_STREAM && since > CRASH_PARTS_AFTER
             && el_random (&caller->random) % CRASH_PART_ONE_IN == 0;
    case SK_CRASH_REQUEST:
      return request->kind == SK_SAFE && request->key == 0
             && since > CRASH_REQUESTS_AFTER
             && el_random (&caller->random) % CRASH_REQUEST_ONE_IN == 0;
    case SK_CRASH_NONE:
      break;
    }
  return 0;
}

static void
request_init (caller_t *caller, sk_request_t *request, sk_request_kind_t kind,
              unsigned resumed)
{
  memset (request, 0, sizeof *request);
  snprintf (request->id, sizeof request->id, "c%u-%u", caller->number,
            caller->sent++);
  request->kind = kind;
  request->key = caller->number % SK_KEYS;
  request->resumed_after = resumed;
  request->host = caller->hosts[el_random (&caller->random) % caller->nhosts];
  request_key_set (caller->pool->cluster, request,
                   el_random (&caller->random) % REVOKED_KEY_ONE_IN == 0);
  request->crashes_endpoints = crash_draw (caller, request);
  request->leaves = request->crashes_endpoints && kind == SK_SAFE
                    && el_random (&caller->random) % STAY_ONE_IN;
}

/* Send one request. A stream that broke off is resumed at a random host. */
static void
caller_request (caller_t *caller)
{
  sk_request_kind_t kind
      = (sk_request_kind_t)(el_random (&caller->random) % SK_REQUEST_KINDS);
  sk_request_t request = { .last_event = 0 };
  unsigned i;

  for (i = 0; i <= STREAM_RESUMES_MAX; i++)
    {
      request_init (caller, &request, kind, request.last_event);
      if (!caller->curl[request.host])
        caller->curl[request.host] = curl_easy_init ();
      request_send (caller->curl[request.host], caller->pool->cluster,
                    caller->pool->requests, &request);
      if (kind != SK_STREAM || request.crashes_endpoints
          || request.last_event >= SK_STREAM_EVENTS)
        return;
    }
}

static void *
caller_run (void *arg)
{
  const struct timespec pause = { 0, REQUEST_PAUSE_NS };
  caller_t *caller = arg;
  unsigned i;

  while (!__atomic_load_n (&caller->pool->stop, __ATOMIC_RELAXED))
    {
      if (caller->nhosts == 0
          || sk_now () > caller->resolved_at + RESOLVE_INTERVAL)
        caller_resolve (caller);
      if (caller->nhosts)
        caller_request (caller);
      nanosleep (&pause, NULL);
    }
  for (i = 0; i < SK_HOSTS; i++)
    if (caller->curl[i])
      curl_easy_cleanup (caller->curl[i]);
  return NULL;
}

/** Start the threads that send requests. */
sk_callers_t *
sk_callers_start (sk_cluster_t *cluster, sk_requests_t *requests,
                  unsigned threads, uint64_t seed)
{
  sk_callers_t *callers = el_alloc (sizeof *callers);
  unsigned i;

  callers->cluster = cluster;
  callers->requests = requests;
  callers->started_at = sk_now ();
  callers->count = threads;
  callers->list = el_alloc (threads * sizeof *callers->list);
  for (i = 0; i < threads; i++)
    {
      callers->list[i].pool = callers;
      callers->list[i].number = i;
      callers->list[i].random = (seed + 1) * 1000 + i;
      pthread_create (&callers->list[i].thread, NULL, caller_run,
                      &callers->list[i]);
    }
  return callers;
}

/** Send no new requests, and wait for those in flight. */
void
sk_callers_stop (sk_callers_t *callers)
{
  unsigned i;

  __atomic_store_n (&callers->stop, 1, __ATOMIC_RELAXED);
  for (i = 0; i < callers->count; i++)
    pthread_join (callers->list[i].thread, NULL);
  free (callers->list);
  free (callers);
}

/** Send one request of KIND to HOST. Returns whether it was served. */
int
sk_caller_probe (sk_cluster_t *cluster, sk_requests_t *requests, unsigned host,
                 sk_request_kind_t kind)
{
  static unsigned probes;
  CURL *curl = curl_easy_init ();
  sk_request_t request;

  memset (&request, 0, sizeof request);
  snprintf (request.id, sizeof request.id, "probe-%u", probes++);
  request.kind = kind;
  request.host = host;
  request_key_set (cluster, &request, 0);
  request_send (curl, cluster, requests, &request);
  curl_easy_cleanup (curl);
  return request.status == 200 && request.complete
         && (kind != SK_STREAM || request.last_event == SK_STREAM_EVENTS);
}
