/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Assertions on responses, for the tests with processes.
 */
#include <stdio.h>
#include <string.h>

#include <check.h>

#include "cluster.h"
#include "reference.h"

cluster_t fixture;

void
cluster_setup (void)
{
  memset (&fixture, 0, sizeof fixture);
}

void
cluster_teardown (void)
{
  cluster_stop (&fixture);
}

/** The response must hold the model's tokens from SKIP on, and the end marker.
 */
void
assert_chat_stream (const reply_t *reply, size_t skip)
{
  uint64_t want[MAX_TOKENS];
  uint64_t got[MAX_TOKENS];
  size_t n = reference_answer (PROMPT, LAYERS, MAX_TOKENS, want);
  int done;
  size_t m = stream_tokens (&reply->body, got, MAX_TOKENS, &done);

  ck_assert_int_eq (reply->status, 200);
  ck_assert_msg (done, "no end marker: %s", reply->body.ptr);
  ck_assert_uint_eq (m, n - skip);
  ck_assert (memcmp (want + skip, got, m * sizeof *got) == 0);
}

/** The response must have this status and verdict. */
void
assert_verdict (const reply_t *reply, long status, const char *want)
{
  char verdict[32];

  reply_header (reply, "x-elmarch-verdict", verdict, sizeof verdict);
  ck_assert_msg (reply->status == status && strcmp (verdict, want) == 0,
                 "status %ld verdict %s: %s", reply->status, verdict,
                 reply->body.ptr ? reply->body.ptr : "");
}

/** Number of times that the running workers ran a payment. */
json_int_t
payment_runs_total (const char *id)
{
  return (fixture.workers[0].pid ? payment_runs (&fixture.workers[0], id) : 0)
         + (fixture.workers[1].pid ? payment_runs (&fixture.workers[1], id)
                                   : 0);
}

/** Sends a payment through a host. */
void
send_payment (size_t host, const char *id, const char *const *headers,
              reply_t *reply)
{
  char body[64];

  snprintf (body, sizeof body, "{\"id\":\"%s\"}", id);
  http_request ("POST", fixture.hosts[host].address, PAY_PATH, body, headers,
                reply);
}

/** Waits until a host lists WANT entry addresses. */
void
entry_hosts_wait (size_t host, size_t want)
{
  size_t n = 0;
  int i;

  for (i = 0; i < WAIT_STEPS_MAX && n != want; i++)
    {
      json_t *json
          = http_get_json (fixture.hosts[host].address, "/v1/entry-hosts");

      n = json_array_size (json_object_get (json, "hosts"));
      json_decref (json);
      if (n != want)
        poll_sleep ();
    }
  ck_assert_uint_eq (n, want);
}
