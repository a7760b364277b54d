/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of the account of bytes and connections, and of what the server reads
 * of its callers as there is room for it.
 */
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "script.h"
#include "test.h"

#define MEMORY ((uint64_t)64 << 20)
#define DESCRIPTORS 256
#define BODY_BYTES 1000000
#define CLIENTS_MAX 8
#define ITERATIONS_MAX 40000
#define STEP_US 100

/* The account. */

START_TEST (test_account_keeps_room_for_what_is_cheap)
{
  el_account_t account;
  el_hold_t kind;

  el_account_init (&account, MEMORY, DESCRIPTORS);
  ck_assert_uint_lt (account.bytes_max, MEMORY / 2);
  for (kind = 0; kind < EL_HOLD_KINDS; kind++)
    {
      uint64_t room = el_account_room (&account, kind);

      ck_assert (!el_account_take (&account, kind, room + 1));
      ck_assert (el_account_take (&account, kind, room));
      ck_assert (!el_account_take (&account, kind, 1));
      ck_assert (!el_account_is_full (&account));
      el_account_give (&account, kind, room);
    }
  ck_assert (el_account_take (&account, EL_HOLD_LONG,
                              account.hold_max[EL_HOLD_LONG]));
  ck_assert_uint_gt (el_account_room (&account, EL_HOLD_SHORT), 0);
  ck_assert_uint_eq (el_account_room (&account, EL_HOLD_PEER),
                     account.hold_max[EL_HOLD_PEER]);
  ck_assert_uint_gt (el_account_room (&account, EL_HOLD_ANSWER), 0);
}
END_TEST

/* Each kind of connections has its share, and those that the process opens are
   never refused. */
START_TEST (test_account_shares_connections)
{
  el_account_t account;
  el_conn_kind_t kind;
  uint64_t n = 0;

  el_account_init (&account, MEMORY, DESCRIPTORS);
  ck_assert_uint_lt (account.conns_max, DESCRIPTORS);
  for (kind = 0; kind < EL_CONN_OWN; kind++)
    while (el_account_conn_fits (&account, kind))
      {
        el_account_conn_add (&account, kind);
        n++;
      }
  ck_assert_uint_eq (account.conns, n);
  ck_assert_uint_lt (n, account.conns_max);
  ck_assert (el_account_conn_fits (&account, EL_CONN_OWN));
  el_account_conn_give (&account, EL_CONN_CALLER);
  ck_assert (el_account_conn_fits (&account, EL_CONN_CALLER));
  ck_assert (!el_account_conn_fits (&account, EL_CONN_CONTROL));
}
END_TEST

/* Whatever is taken and given back, the sum is that of the kinds and what was
   taken stayed below its limit. */
START_TEST (test_account_any_course_adds_up)
{
  uint64_t held[EL_HOLD_KINDS] = { 0 };
  uint64_t random = (uint64_t)_i + 1;
  el_account_t account;
  int step;

  el_account_init (&account, MEMORY, DESCRIPTORS);
  for (step = 0; step < 10000; step++)
    {
      el_hold_t kind = el_random (&random) % EL_HOLD_KINDS;
      uint64_t n = el_random (&random) % (MEMORY / 16);

      if (el_random (&random) % 2 && el_account_take (&account, kind, n))
        {
          held[kind] += n;
          ck_assert_uint_le (kind == EL_HOLD_PEER ? held[kind] : account.bytes,
                             account.hold_max[kind]);
        }
      else if (n <= held[kind])
        {
          el_account_give (&account, kind, n);
          held[kind] -= n;
        }
      ck_assert_uint_eq (account.bytes, held[0] + held[1] + held[2] + held[3]);
    }
}
END_TEST

/* The server. Each request is answered with the length of its body. */

typedef struct intake
{
  el_account_t account;
  net_server_counts_t counts;
  net_server_t *server;
  int clients[CLIENTS_MAX];
  char received[CLIENTS_MAX][512];
  size_t nreceived[CLIENTS_MAX];
  unsigned requests;
} intake_t;

static intake_t intake;

static void
answer_length (void *arg, h2o_req_t *req)
{
  char text[32];

  (void)arg;
  intake.requests++;
  snprintf (text, sizeof text, "length %zu", net_req_body (req).len);
  net_req_reply (req, 200, EL_STR ("text/plain"), el_str (text));
}

static void
intake_setup (void)
{
  net_server_options_t options = { .loop = &loop,
                                   .address = EL_STR ("127.0.0.1:0"),
                                   .max_body = BODY_BYTES,
                                   .account = &intake.account,
                                   .counts = &intake.counts,
                                   .handle = answer_length };
  el_err_t err;
  int i;

  loop_setup ();
  memset (&intake, 0, sizeof intake);
  el_account_init (&intake.account, MEMORY, DESCRIPTORS);
  /* Room for one long body at a time. */
  intake.account.hold_max[EL_HOLD_LONG] = NET_BODY_COPIES * BODY_BYTES;
  intake.server = net_server_new (&options, &err);
  ck_assert_ptr_nonnull (intake.server);
  for (i = 0; i < CLIENTS_MAX; i++)
    intake.clients[i] = -1;
}

static void
client_connect (int i)
{
  struct sockaddr_in addr
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };

  addr.sin_port = htons ((uint16_t)net_server_port (intake.server));
  intake.clients[i] = socket (AF_INET, SOCK_STREAM, 0);
  ck_assert_int_eq (
      connect (intake.clients[i], (struct sockaddr *)&addr, sizeof addr), 0);
  fcntl (intake.clients[i], F_SETFL, O_NONBLOCK);
}

static void
loop_step (void)
{
  int i;

  uv_run (&loop, UV_RUN_NOWAIT);
  for (i = 0; i < CLIENTS_MAX; i++)
    if (intake.clients[i] >= 0)
      {
        ssize_t n = recv (
            intake.clients[i], intake.received[i] + intake.nreceived[i],
            sizeof intake.received[i] - intake.nreceived[i] - 1, 0);

        if (n > 0)
          intake.nreceived[i] += (size_t)n;
      }
  usleep (STEP_US);
}

static void
client_send (int i, const char *bytes, size_t len)
{
  while (len)
    {
      ssize_t n = send (intake.clients[i], bytes, len, MSG_NOSIGNAL);

      if (n > 0)
        {
          bytes += n;
          len -= (size_t)n;
        }
      loop_step ();
    }
}

static void
client_send_text (int i, const char *text)
{
  client_send (i, text, strlen (text));
}

/* Sends a head that announces BODY_BYTES, and LEN of them. */
static void
client_send_body (int i, size_t len)
{
  static char body[BODY_BYTES];
  char head[128];

  snprintf (head, sizeof head,
            "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n",
            BODY_BYTES);
  client_connect (i);
  client_send_text (i, head);
  client_send (i, body, len);
}

static void
client_expect (int i, const char *text)
{
  int step;

  for (step = 0; step < ITERATIONS_MAX && !strstr (intake.received[i], text);
       step++)
    loop_step ();
  ck_assert_msg (strstr (intake.received[i], text) != NULL, "client %d: %s", i,
                 intake.received[i]);
}

static void
loop_until_given_back (void)
{
  int step;

  for (step = 0; step < ITERATIONS_MAX && intake.account.bytes; step++)
    loop_step ();
  ck_assert_uint_eq (intake.account.bytes, 0);
}

/* A body waits, unread, until the one before it is served. */
START_TEST (test_body_waits_for_room)
{
  char rest[1000] = "";

  client_send_body (0, BODY_BYTES - sizeof rest);
  client_connect (1);
  client_send_text (1,
                    "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1000000\r\n"
                    "expect: 100-continue\r\n\r\n");
  while (!intake.counts.waited)
    loop_step ();
  client_send (0, rest, sizeof rest);
  client_expect (0, "length 1000000");
  client_expect (1, "100 Continue");
  ck_assert_uint_eq (intake.counts.refused_room, 0);
  close (intake.clients[1]);
  intake.clients[1] = -1;
  loop_until_given_back ();
}
END_TEST

/* A body that stops gives way to one that waits. Without one, it is waited
   for. */
START_TEST (test_body_that_stops_gives_way)
{
  client_send_body (0, BODY_BYTES - 1);
  loop_run_for (1500 * EL_MSEC);
  ck_assert_uint_eq (intake.counts.refused_slow, 0);
  client_send_body (1, 1000);
  client_expect (0, "HTTP/1.1 408");
  ck_assert_uint_eq (intake.counts.refused_slow, 1);
  ck_assert_uint_eq (intake.requests, 0);
  ck_assert_uint_gt (intake.account.held[EL_HOLD_LONG], 0);
}
END_TEST

/* Short requests are served while there is no room for long bodies. */
START_TEST (test_short_requests_pass_long_bodies)
{
  client_send_body (0, BODY_BYTES - 1);
  client_send_body (1, 10);
  client_connect (2);
  client_send_text (
      2, "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbody");
  client_expect (2, "length 4");
  client_connect (3);
  client_send_text (3,
                    "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked"
                    "\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
  client_expect (3, "length 4");
}
END_TEST

/* Each limit, and the status with which it is told. */
START_TEST (test_limits_are_told)
{
  static const struct
  {
    const char *bytes;
    const char *expected;
  } cases[] = {
    { "GET / HTTP/1.1\r\nhost: a\r\n", "HTTP/1.1 408" },
    { "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nbody",
      "HTTP/1.1 408" },
    { "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 50001\r\n\r\n",
      "HTTP/1.1 413" },
    { "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 99999999999999999999\r\n"
      "\r\n",
      "HTTP/1.1 4" },
  };
  const net_limits_t limits
      = { .head = 2000, .body = 50000, .head_ms = 50, .idle_ms = 200 };

  net_server_set_limits (intake.server, &limits);
  client_connect (0);
  client_send_text (0, cases[_i].bytes);
  client_expect (0, cases[_i].expected);
  ck_assert_uint_eq (intake.requests, 0);
  loop_until_given_back ();
}
END_TEST

START_TEST (test_long_head_is_told)
{
  const net_limits_t limits = { .head = 2000 };
  char head[4000] = "GET / HTTP/1.1\r\nhost: a\r\nx-long: ";

  memset (head + strlen (head), 'x', sizeof head - strlen (head));
  net_server_set_limits (intake.server, &limits);
  client_connect (0);
  client_send (0, head, sizeof head);
  client_expect (0, "HTTP/1.1 431");
}
END_TEST

/* A connection that rests gives way to a new one; the one that rests for
   longest goes first. */
START_TEST (test_resting_connection_gives_way)
{
  intake.account.conn_max[EL_CONN_CALLER] = 2;
  client_connect (0);
  loop_step ();
  client_connect (1);
  loop_step ();
  client_send_text (0, "GET / HTTP/1.1\r\nhost: a\r\n\r\n");
  client_expect (0, "length 0");
  client_connect (2);
  client_send_text (2, "GET / HTTP/1.1\r\nhost: a\r\n\r\n");
  client_expect (2, "length 0");
  ck_assert_uint_eq (intake.counts.evicted, 1);
  client_send_text (0, "GET / HTTP/1.1\r\nhost: a\r\n\r\n");
  ck_assert_uint_eq (intake.account.conn[EL_CONN_CALLER], 2);
  while (intake.requests < 3)
    loop_step ();
}
END_TEST

Suite *
intake_suite (void)
{
  Suite *suite = suite_create ("intake");
  TCase *account = tcase_create ("account");
  TCase *server = tcase_create ("server");

  ADD (account, test_account_keeps_room_for_what_is_cheap);
  ADD (account, test_account_shares_connections);
  ADD_LOOP (account, test_account_any_course_adds_up, 10);
  tcase_set_timeout (account, 60);
  suite_add_tcase (suite, account);
  tcase_add_checked_fixture (server, intake_setup, NULL);
  tcase_set_timeout (server, 60);
  ADD (server, test_body_waits_for_room);
  ADD (server, test_body_that_stops_gives_way);
  ADD (server, test_short_requests_pass_long_bodies);
  ADD_LOOP (server, test_limits_are_told, 4);
  ADD (server, test_long_head_is_told);
  ADD (server, test_resting_connection_gives_way);
  suite_add_tcase (suite, server);
  return suite;
}
