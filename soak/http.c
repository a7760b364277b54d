/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The clock of a run, and single HTTP exchanges.
 */
#include <stdio.h>
#include <time.h>

#include <curl/curl.h>
#include <uv.h>

#include "soak.h"

#define HTTP_LIMIT_MS 1000L
/* A process answers within READY_TRIES steps, 10 seconds, or not at all. */
#define READY_TRIES 400
#define READY_STEP_NS 25000000

/** Now, in microseconds on the clock that endpoints note runs by. */
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
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, HTTP_LIMIT_MS);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, http_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, out);
  if (body)
    curl_easy_setopt (curl, CURLOPT_POSTFIELDS, body);
  if (curl_easy_perform (curl) == CURLE_OK)
    curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_cleanup (curl);
  return status;
}

/** Wait a little before something is looked at again. */
void
sk_wait_step (void)
{
  struct timespec step = { 0, READY_STEP_NS };

  nanosleep (&step, NULL);
}

/** Wait until ADDRESS answers PATH with 200; gives 0 when it does not. OUT, as
    for sk_http, has the last answer's body. */
int
sk_http_wait (const char *address, const char *path, el_buf_t *out)
{
  int i;

  for (i = 0; i < READY_TRIES; i++)
    {
      if (out)
        el_buf_reset (out);
      if (sk_http ("GET", address, path, NULL, out) == 200)
        return 1;
      sk_wait_step ();
    }
  return 0;
}
