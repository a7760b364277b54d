/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * A worker of a plain service. It runs each request that names it, or none,
 * as the expected instance.
 */
#include <stdio.h>
#include <string.h>

#include "rig.h"

#define WORK_MS 5

/** Answer MESSAGE if it is a health check of the worker ID. Returns 0 if it is
    another request. */
int
rg_health_serve (int fd, const rg_message_t *message, const char *id)
{
  char text[256];
  int len;

  if (strncmp (message->head, "GET /health ", 12) != 0)
    return 0;
  len = snprintf (text, sizeof text,
                  "HTTP/1.1 200 OK\r\nX-Elmarch-Instance-Id: %s\r\n"
                  "Content-Length: 0\r\n\r\n",
                  id);
  rg_send (fd, text, (size_t)len);
  return 1;
}

static int
misdirected_send (int fd, const rg_worker_t *worker, const char *request)
{
  char text[512];
  int len = snprintf (text, sizeof text,
                      "HTTP/1.1 421 Misdirected Request\r\n"
                      "X-Elmarch-Request-Id: %s\r\n"
                      "X-Elmarch-Not-Executed: 1\r\n"
                      "X-Elmarch-Instance-Id: %s\r\n"
                      "Content-Length: 0\r\n\r\n",
                      request, worker->id);

  return rg_send (fd, text, (size_t)len);
}

static int
request_run (int fd, const rg_worker_t *worker, const char *request)
{
  char text[512];
  int len;

  worker->ran (worker->arg, worker->id, request);
  rg_sleep (WORK_MS);
  len = snprintf (text, sizeof text,
                  "HTTP/1.1 200 OK\r\nX-Elmarch-Request-Id: %s\r\n"
                  "X-Elmarch-Response-Seal: %s.%s\r\n"
                  "Content-Length: 2\r\n\r\nok",
                  request, worker->id, request);
  return rg_send (fd, text, (size_t)len);
}

static void
worker_serve (int fd, void *arg)
{
  const rg_worker_t *worker = arg;
  rg_message_t message;
  char request[RG_ID_MAX];
  char expected[RG_ID_MAX];
  int ok = 1;

  while (ok && rg_receive (fd, &message))
    {
      if (rg_health_serve (fd, &message, worker->id))
        {
          rg_message_free (&message);
          continue;
        }
      rg_header (&message, "x-elmarch-request-id", request, sizeof request);
      ok = rg_header (&message, "x-elmarch-expect-instance", expected,
                      sizeof expected)
                   && strcmp (expected, worker->id) != 0
               ? misdirected_send (fd, worker, request)
               : request_run (fd, worker, request);
      rg_message_free (&message);
    }
  rg_message_free (&message);
}

/** Serve requests at the worker's address. */
void
rg_worker_start (rg_worker_t *worker)
{
  rg_listen (worker->address, worker_serve, worker);
}
