/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The clock of a run, and single HTTP requests.
 */
#include <stdio.h>
#include <time.h>

#include <curl/curl.h>
#include <uv.h>

#include "soak.h"

#define HTTP_TIMEOUT_MS 1000L
/* sk_http_wait() gives up after this many attempts: 10 s of pauses, plus the
   time of the attempts. */
#define WAIT_TRIES 400
#define POLL_PAUSE_NS 25000000

/** Now, in microseconds on the clock that endpoints use in their record. */
el_time_t
sk_now (void)
{
  return uv_hrtime () / 1000;
}

static size_t
http_body (char *data, size_t size, size_t n, void *arg)
{
  if (arg)
    el_buf_add (arg, (el_str_t){ data, size * n });
  return size * n;
}

/* See soak.h. */
long
sk_http (const char *method, const char *address, const char *path,
         const char *body, el_buf_t *out)
{
  CURL *curl = curl_easy_init ();
  char url[256];
  long status = 0;

  snprintf (url, sizeof url, "http://%s%s", address, path);
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, HTTP_TIMEOUT_MS);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, http_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, out);
  if (body)
    curl_easy_setopt (curl, CURLOPT_POSTFIELDS, body);
  if (curl_easy_perform (curl) == CURLE_OK)
    curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_cleanup (curl);
  return status;
}

/** Pause between two polls. */
void
sk_poll_pause (void)
{
  struct timespec step = { 0, POLL_PAUSE_NS };

  nanosleep (&step, NULL);
}

/** Poll ADDRESS until it responds to GET PATH with 200. Returns 0 if it never
    does. OUT, as for sk_http(), holds the body of the last response. */
int
sk_http_wait (const char *address, const char *path, el_buf_t *out)
{
  int i;

  for (i = 0; i < WAIT_TRIES; i++)
    {
      if (out)
        el_buf_reset (out);
      if (sk_http ("GET", address, path, NULL, out) == 200)
        return 1;
      sk_poll_pause ();
    }
  return 0;
}
