/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The demo's client: asks a host for the entry addresses, sends chats and
 * calls to them, and checks each chat against the reference implementation.
 * Usage: demo HOST CUSTOMER-KEY CHATS CALLS SERVICE-ADDRESS
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <jansson.h>

#include "base.h"
#include "reference.h"

#define LAYERS 12
#define MAX_TOKENS 24
#define URL_MAX 256
#define HOSTS_MAX 16
#define TEXT_MAX 256

typedef struct demo
{
  const char *key;
  char hosts[HOSTS_MAX][64];
  size_t nhosts;
  unsigned requests;
  unsigned whole;
  unsigned doubled;
} demo_t;

static size_t
body_add (char *data, size_t size, size_t n, void *arg)
{
  el_buf_add (arg, (el_str_t){ data, size * n });
  return size * n;
}

/* Sends one request and returns the status, 0 if there is no answer. */
static long
exchange (const demo_t *demo, const char *url, const char *body,
          struct curl_slist *headers, el_buf_t *out)
{
  CURL *curl = curl_easy_init ();
  char bearer[TEXT_MAX];
  long status = 0;

  snprintf (bearer, sizeof bearer, "authorization: Bearer %s", demo->key);
  headers = curl_slist_append (headers, bearer);
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (curl, CURLOPT_FOLLOWLOCATION, 1L);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, body_add);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, out);
  if (body)
    curl_easy_setopt (curl, CURLOPT_POSTFIELDS, body);
  if (curl_easy_perform (curl) == CURLE_OK)
    curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
  curl_slist_free_all (headers);
  curl_easy_cleanup (curl);
  return status;
}

static int
fetch_entry_hosts (demo_t *demo, const char *host)
{
  el_buf_t out = { NULL, 0, 0 };
  char url[URL_MAX];
  json_t *json;
  json_t *item;
  size_t i;

  snprintf (url, sizeof url, "http://%s/v1/entry-hosts", host);
  exchange (demo, url, NULL, NULL, &out);
  json = json_loadb (out.ptr ? out.ptr : "", out.len, 0, NULL);
  json_array_foreach (json_object_get (json, "hosts"), i,
                      item) if (demo->nhosts < HOSTS_MAX)
      snprintf (demo->hosts[demo->nhosts++], sizeof demo->hosts[0], "%s",
                json_string_value (json_object_get (item, "address")));
  json_decref (json);
  el_buf_free (&out);
  return demo->nhosts > 0;
}

/* Appends the text of a stream's events; returns 0 if the stream has no
   [DONE]. */
static int
stream_text (const el_buf_t *raw, el_buf_t *text)
{
  el_str_t rest = el_buf_str (raw);
  el_str_t line;
  int done = 0;

  while (rest.len)
    {
      line = el_str_cut (&rest, '\n');
      if (!el_str_starts_with (line, EL_STR ("data: ")))
        continue;
      line = el_str_after (line, 6);
      if (el_str_eq (line, EL_STR ("[DONE]")))
        done = 1;
      else
        {
          json_t *json = json_loadb (line.ptr, line.len, 0, NULL);
          json_t *choice
              = json_array_get (json_object_get (json, "choices"), 0);
          const char *content = json_string_value (
              json_object_get (json_object_get (choice, "delta"), "content"));

          el_buf_add (text, el_str (content));
          json_decref (json);
        }
    }
  return done;
}

static int
plain_text (const el_buf_t *raw, el_buf_t *text)
{
  json_t *json = json_loadb (raw->ptr ? raw->ptr : "", raw->len, 0, NULL);
  json_t *choice = json_array_get (json_object_get (json, "choices"), 0);
  const char *content = json_string_value (
      json_object_get (json_object_get (choice, "message"), "content"));

  el_buf_add (text, el_str (content));
  json_decref (json);
  return content != NULL;
}

static void
chat (demo_t *demo, unsigned i)
{
  uint64_t tokens[MAX_TOKENS];
  el_buf_t raw = { NULL, 0, 0 };
  el_buf_t text = { NULL, 0, 0 };
  int stream = i % 2 == 0;
  char content[TEXT_MAX];
  char url[URL_MAX];
  json_t *body;
  char *dump;
  char *expected;
  size_t n;
  int ended;

  snprintf (content, sizeof content,
            "Which tariff holds at car park %u on Sunday?", i);
  n = reference_answer (content, LAYERS, MAX_TOKENS, tokens);
  expected = reference_text (tokens, n);
  body = json_pack ("{s:s,s:[{s:s,s:s}],s:b,s:i}", "model", "sprach",
                    "messages", "role", "user", "content", content, "stream",
                    stream, "max_tokens", MAX_TOKENS);
  dump = json_dumps (body, JSON_COMPACT);
  snprintf (url, sizeof url, "http://%s/v1/chat/completions",
            demo->hosts[i % demo->nhosts]);
  exchange (demo, url, dump, NULL, &raw);
  ended = stream ? stream_text (&raw, &text) : plain_text (&raw, &text);
  demo->requests++;
  if (ended && el_str_eq (el_buf_str (&text), el_str (expected)))
    demo->whole++;
  printf ("chat %u via %s stream=%d tokens=%zu whole=%d:%.60s...\n", i,
          demo->hosts[i % demo->nhosts], stream, n,
          ended && el_str_eq (el_buf_str (&text), el_str (expected)),
          text.len ? text.ptr : "");
  json_decref (body);
  free (dump);
  free (expected);
  el_buf_free (&raw);
  el_buf_free (&text);
}

static char *
session_open (const demo_t *demo, const char *host)
{
  el_buf_t out = { NULL, 0, 0 };
  char url[URL_MAX];
  json_t *json;
  char *token = NULL;

  snprintf (url, sizeof url, "http://%s/v1/sessions", host);
  exchange (demo, url, "", NULL, &out);
  json = json_loadb (out.ptr ? out.ptr : "", out.len, 0, NULL);
  if (json_object_get (json, "session"))
    token = strdup (json_string_value (json_object_get (json, "session")));
  json_decref (json);
  el_buf_free (&out);
  return token;
}

/* Sends a payment twice under the same sequence number, through two hosts; the
   service must run it once. */
static void
pay (demo_t *demo, const char *token, unsigned i)
{
  el_buf_t out = { NULL, 0, 0 };
  char header[1024];
  char body[TEXT_MAX];
  char url[URL_MAX];
  int whole = 1;
  unsigned k;

  snprintf (body, sizeof body, "{\"id\":\"ticket-%u\"}", i);
  for (k = 0; k < 2; k++)
    {
      struct curl_slist *headers = NULL;

      snprintf (header, sizeof header, "x-elmarch-session: %s", token);
      headers = curl_slist_append (headers, header);
      snprintf (header, sizeof header, "x-elmarch-sequence: %u", i + 1);
      headers = curl_slist_append (headers, header);
      snprintf (url, sizeof url, "http://%s/services/zahl-app/pay",
                demo->hosts[(i + k) % demo->nhosts]);
      el_buf_reset (&out);
      whole &= exchange (demo, url, body, headers, &out) == 200;
    }
  demo->requests++;
  demo->whole += (unsigned)whole;
  printf ("call %u sent twice: %.*s\n", i, (int)out.len,
          out.ptr ? out.ptr : "");
  el_buf_free (&out);
}

/* Counts the payments that the service ran more than once. */
static void
count_doubled (demo_t *demo, const char *service)
{
  el_buf_t out = { NULL, 0, 0 };
  char url[URL_MAX];
  json_t *json;
  json_t *count;
  const char *id;

  snprintf (url, sizeof url, "http://%s/runs", service);
  exchange (demo, url, NULL, NULL, &out);
  json = json_loadb (out.ptr ? out.ptr : "", out.len, 0, NULL);
  json_object_foreach (json, id, count) demo->doubled
      += json_integer_value (count) > 1;
  json_decref (json);
  el_buf_free (&out);
}

int
main (int argc, char **argv)
{
  demo_t demo;
  unsigned chats;
  unsigned calls;
  unsigned lost;
  unsigned i;
  char *token;

  if (argc != 6)
    return EL_EXIT_USAGE;
  memset (&demo, 0, sizeof demo);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  demo.key = argv[2];
  chats = (unsigned)strtoul (argv[3], NULL, 10);
  calls = (unsigned)strtoul (argv[4], NULL, 10);
  if (!fetch_entry_hosts (&demo, argv[1]))
    return EXIT_FAILURE;
  for (i = 0; i < chats; i++)
    chat (&demo, i);
  token = session_open (&demo, demo.hosts[0]);
  for (i = 0; token && i < calls; i++)
    pay (&demo, token, i);
  count_doubled (&demo, argv[5]);
  lost = chats + calls - demo.whole;
  printf ("demo: requests=%u whole=%u lost=%u doubled=%u\n", demo.requests,
          demo.whole, lost, demo.doubled);
  free (token);
  curl_global_cleanup ();
  return lost || demo.doubled ? EXIT_FAILURE : EXIT_SUCCESS;
}
