/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Fuzz tests of HTTP: mutated responses from endpoints and mutated requests
 * from callers.
 */
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net.h"
#include "seeds.h"
#include "test.h"

/* Time limit of an exchange, for answers that never end. */
#define ANSWER_LIMIT (20 * EL_MSEC)
/* Maximum iterations of the loop per seed and step. */
#define MAX_ITERATIONS 200000
/* Interval, in seeds, of the check that the server still serves. */
#define SERVE_CHECK_INTERVAL 50

static const char *const answers[] = {
  "HTTP/1.1 200 OK\r\ncontent-length: 5\r\nkeep-alive: timeout=5\r\n"
  "x-seal: s\r\n\r\nhello",
  "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
  "5\r\nhello\r\n0\r\n\r\n",
  "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n"
  "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
  "HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\n"
  "content-length: 0\r\n\r\n",
};

static const char *const requests[] = {
  "GET /look/x?y=1 HTTP/1.1\r\nhost: rel.example\r\nx-id: 1\r\n\r\n",
  "POST /pay/x HTTP/1.1\r\nhost: rel.example\r\ncontent-length: 4\r\n\r\n"
  "body",
  "POST /chat/ HTTP/1.1\r\nhost: a:1\r\ntransfer-encoding: chunked\r\n\r\n"
  "4\r\nbody\r\n0\r\n\r\n",
  "GET / HTTP/1.1\r\nhost: h\r\nexpect: 100-continue\r\n"
  "upgrade: h2c\r\nconnection: upgrade\r\n\r\n",
};

static uv_loop_t loop;
static net_clock_t test_clock;
static net_client_t *client;
static net_server_t *server;
static int listener;
static char address[32];
static unsigned completions;
static net_result_t last_result;

static struct sockaddr_in
loopback (unsigned port)
{
  return (struct sockaddr_in){ .sin_family = AF_INET,
                               .sin_port = htons ((uint16_t)port),
                               .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
}

static void
serve (void *arg, h2o_req_t *req)
{
  (void)arg;
  net_req_reply (req, 200, EL_STR ("text/plain"), EL_STR ("served"));
}

static void
fuzz_setup (void)
{
  net_server_options_t options = { .loop = &loop,
                                   .address = EL_STR ("127.0.0.1:0"),
                                   .max_body = 65536,
                                   .handle = serve };
  struct sockaddr_in addr = loopback (0);
  socklen_t len = sizeof addr;
  el_err_t err;

  uv_loop_init (&loop);
  net_clock_init (&test_clock, &loop);
  client = net_client_new (&test_clock);
  server = net_server_new (&options, &err);
  ck_assert_ptr_nonnull (server);
  listener = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  ck_assert_int_eq (bind (listener, (struct sockaddr *)&addr, sizeof addr), 0);
  ck_assert_int_eq (listen (listener, 16), 0);
  getsockname (listener, (struct sockaddr *)&addr, &len);
  snprintf (address, sizeof address, "127.0.0.1:%u", ntohs (addr.sin_port));
}

static void
answer_done (void *arg, const net_result_t *result)
{
  (void)arg;
  completions++;
  last_result = *result;
}

/* Answer with BYTES on the next connection, then close or reset it. */
static void
answer_send (const el_buf_t *bytes)
{
  const struct linger reset = { 1, 0 };
  char request[4096];
  ssize_t received;
  int fd = -1;
  int iterations;

  for (iterations = 0; iterations < MAX_ITERATIONS && fd < 0; iterations++)
    {
      uv_run (&loop, UV_RUN_NOWAIT);
      fd = accept (listener, NULL, NULL);
    }
  ck_assert_int_ge (fd, 0);
  /* Closing a connection with an unread request resets it. */
  received = seeds_random (2) ? -1 : 0;
  for (iterations = 0; iterations < MAX_ITERATIONS && received < 0;
       iterations++)
    {
      uv_run (&loop, UV_RUN_NOWAIT);
      received = recv (fd, request, sizeof request, MSG_DONTWAIT);
    }
  if (bytes->len)
    ck_assert_int_ge (send (fd, bytes->ptr, bytes->len, MSG_NOSIGNAL), -1);
  if (seeds_random (4) == 0)
    setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  if (seeds_random (8) == 0) /* left open until the time limit */
    for (iterations = 0; iterations < MAX_ITERATIONS && !completions;
         iterations++)
      uv_run (&loop, UV_RUN_NOWAIT);
  close (fd);
}

/* Each exchange completes exactly once: with a valid status and EL_RAN if it
   succeeded, otherwise with another verdict. */
static void
fuzz_answer (uint64_t seed)
{
  net_request_t send = { .address = el_str (address),
                         .method = EL_STR ("GET"),
                         .path = EL_STR ("/"),
                         .new_connection = 1,
                         .timeout = ANSWER_LIMIT,
                         .done = answer_done };
  el_buf_t bytes
      = seeds_mutate (answers[seed % (sizeof answers / sizeof *answers)]);
  int iterations;

  completions = 0;
  net_client_send (client, &send);
  answer_send (&bytes);
  for (iterations = 0; iterations < MAX_ITERATIONS && !completions;
       iterations++)
    uv_run (&loop, UV_RUN_NOWAIT);
  ck_assert_msg (completions == 1, "seed %llu: ended %u times",
                 (unsigned long long)seed, completions);
  ck_assert_msg (last_result.net != NET_OK
                     || (last_result.status >= 100 && last_result.status < 1000
                         && last_result.verdict == EL_RAN),
                 "seed %llu", (unsigned long long)seed);
  ck_assert_msg (last_result.net == NET_OK || last_result.verdict != EL_RAN,
                 "seed %llu", (unsigned long long)seed);
  el_buf_free (&bytes);
}

START_TEST (test_fuzz_http_answers_complete_once) { seeds_run (fuzz_answer); }
END_TEST

/* Send BYTES to the server; returns the length of what it answered in OUT
   within 20 iterations of the loop. */
static size_t
request_send (const char *bytes, size_t len, char *out, size_t size)
{
  struct sockaddr_in addr = loopback (net_server_port (server));
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  ssize_t n = -1;
  int iterations;

  ck_assert_int_eq (connect (fd, (struct sockaddr *)&addr, sizeof addr), 0);
  if (len)
    ck_assert_int_ge (send (fd, bytes, len, MSG_NOSIGNAL), -1);
  for (iterations = 0; iterations < 20 && n < 0; iterations++)
    {
      uv_run (&loop, UV_RUN_NOWAIT);
      n = recv (fd, out, size - 1, MSG_DONTWAIT);
    }
  close (fd);
  uv_run (&loop, UV_RUN_NOWAIT);
  out[n > 0 ? n : 0] = '\0';
  return n > 0 ? (size_t)n : 0;
}

/* Whatever callers send, the server still serves the next one. */
static void
fuzz_request (uint64_t seed)
{
  el_buf_t bytes
      = seeds_mutate (requests[seed % (sizeof requests / sizeof *requests)]);
  char answer[4096];

  request_send (bytes.ptr, bytes.len, answer, sizeof answer);
  el_buf_free (&bytes);
  if (seed % SERVE_CHECK_INTERVAL)
    return;
  request_send (requests[0], strlen (requests[0]), answer, sizeof answer);
  ck_assert_msg (strstr (answer, "served") != NULL, "seed %llu: %s",
                 (unsigned long long)seed, answer);
}

START_TEST (test_fuzz_http_requests_leave_server_working)
{
  seeds_run (fuzz_request);
}
END_TEST

Suite *
fuzz_http_suite (void)
{
  Suite *suite = suite_create ("fuzz_http");
  TCase *tcase = tcase_create ("fuzz_http");

  tcase_set_timeout (tcase, (double)seeds_env ("ELMARCH_SEEDS_S", 60));
  tcase_add_checked_fixture (tcase, fuzz_setup, NULL);
  ADD (tcase, test_fuzz_http_answers_complete_once);
  ADD (tcase, test_fuzz_http_requests_leave_server_working);
  suite_add_tcase (suite, tcase);
  return suite;
}
