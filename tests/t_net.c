/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of the HTTP client and server against an endpoint that answers with
 * raw bytes.
 */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "librelay.h"
#include "script.h"
#include "test.h"

#define TURNS_MAX 20000

/* What came of an exchange. */
typedef struct seen
{
  int done;
  net_outcome_t net;
  el_verdict_t verdict;
  int status;
  el_buf_t body;
} seen_t;

static void
seen_done (void *arg, const net_result_t *result)
{
  seen_t *seen = arg;

  seen->done = 1;
  seen->net = result->net;
  seen->verdict = result->verdict;
  seen->status = result->status;
  el_buf_add (&seen->body, result->body);
}

static void
ask (seen_t *seen)
{
  const net_request_t send = { .address = el_str (script.address),
                               .method = EL_STR ("GET"),
                               .path = EL_STR ("/x"),
                               .timeout = 20 * EL_SEC,
                               .done = seen_done,
                               .arg = seen };

  memset (seen, 0, sizeof *seen);
  net_client_send (client, &send);
  while (!seen->done)
    uv_run (&loop, UV_RUN_ONCE);
  el_buf_free (&seen->body);
}

/* Let what is under way on the loop happen, until *FLAG or for a while. */
static void
turn (const int *flag)
{
  int i;

  for (i = 0; i < TURNS_MAX && !*flag; i++)
    {
      uv_run (&loop, UV_RUN_NOWAIT);
      usleep (100);
    }
}

/* Send on the kept connection, and let the endpoint answer and end before
   anything is read: data and reset arrive together. */
static void
ask_late (seen_t *seen)
{
  const net_request_t send = { .address = el_str (script.address),
                               .method = EL_STR ("GET"),
                               .path = EL_STR ("/x"),
                               .done = seen_done,
                               .arg = seen };

  memset (seen, 0, sizeof *seen);
  net_client_send (client, &send);
  pthread_join (script.thread, NULL);
  while (!seen->done)
    uv_run (&loop, UV_RUN_ONCE);
  el_buf_free (&seen->body);
}

#define KEPT_ANSWER                                                           \
  "HTTP/1.1 200 OK\r\nkeep-alive: timeout=9\r\ncontent-length: 1\r\n\r\na"
#define ANSWER_TO_THE_END "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\npart"

START_TEST (test_client_tells_a_reset_from_an_end)
{
  seen_t seen;

  SCRIPT ({ KEPT_ANSWER, KEEP_ALIVE }, { ANSWER_TO_THE_END, CLOSE });
  ask (&seen);
  ask_late (&seen);
  ck_assert_int_eq (seen.net, NET_OK);
  SCRIPT ({ KEPT_ANSWER, KEEP_ALIVE }, { ANSWER_TO_THE_END, RESET });
  ask (&seen);
  ask_late (&seen);
  ck_assert_int_eq (seen.net, NET_CONNECTION_LOST);
  ck_assert_int_eq (seen.verdict, EL_MAY_HAVE_RUN);
}
END_TEST

START_TEST (test_client_answer_cut_short_is_broken)
{
  seen_t seen;

  SCRIPT ({ "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart", CLOSE },
          { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
            "4\r\npart\r\n",
            CLOSE },
          { "garbage that is no answer\r\n\r\n", CLOSE },
          { "HTTP/1.1 200 OK\r\ncontent-le", CLOSE });
  ask (&seen);
  ck_assert_int_eq (seen.net, NET_CONNECTION_LOST);
  ask (&seen);
  ck_assert_int_eq (seen.net, NET_CONNECTION_LOST);
  ask (&seen);
  ck_assert_int_eq (seen.net, NET_CONNECTION_LOST);
  ask (&seen);
  ck_assert_int_eq (seen.net, NET_CONNECTION_LOST);
}
END_TEST

START_TEST (test_client_keeps_a_connection)
{
  seen_t seen;

  SCRIPT ({ "HTTP/1.1 200 OK\r\nkeep-alive: timeout=9\r\ncontent-length: "
            "1\r\n\r\na",
            KEEP_ALIVE },
          { "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nb", KEEP_ALIVE });
  ask (&seen);
  ask (&seen);
  ck_assert_int_eq (seen.net, NET_OK);
  pthread_join (script.thread, NULL);
  ck_assert_uint_eq (script.connections, 1);
}
END_TEST

/* An endpoint that says it closes the connection, or keeps it for no longer,
   is not sent anything more on it. */
START_TEST (test_client_leaves_a_connection_that_is_to_close)
{
  static const char *const first[]
      = { "HTTP/1.1 200 OK\r\nconnection: close\r\nkeep-alive: timeout=9\r\n"
          "content-length: 1\r\n\r\na",
          "HTTP/1.1 200 OK\r\nkeep-alive: timeout=0\r\n"
          "content-length: 1\r\n\r\na" };
  static answer_t answers[] = {
    { NULL, KEEP_ALIVE },
    { "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nb", KEEP_ALIVE },
  };
  seen_t seen;

  answers[0].bytes = first[_i];
  script_start (answers, 2);
  ask (&seen);
  ask (&seen);
  ck_assert_int_eq (seen.net, NET_OK);
  pthread_join (script.thread, NULL);
  ck_assert_uint_eq (script.connections, 2);
}
END_TEST

START_TEST (test_client_surplus_bytes_end_the_connection)
{
  seen_t seen;

  SCRIPT ({ "HTTP/1.1 200 OK\r\nkeep-alive: timeout=9\r\ncontent-length: "
            "1\r\n\r\na"
            "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nz",
            KEEP_ALIVE },
          { "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nb", KEEP_ALIVE });
  ask (&seen);
  ck_assert_int_eq (seen.net, NET_OK);
  ask (&seen);
  ck_assert_int_eq (seen.net, NET_OK);
  pthread_join (script.thread, NULL);
  ck_assert_uint_eq (script.connections, 2);
  ck_assert_uint_eq (net_client_counts (client)->surplus, 1);
}
END_TEST

/* The process is held up past the time limit while the answer waits to be
   read: that is no silence of the endpoint. */
START_TEST (test_client_held_up_reads_what_came_first)
{
  seen_t seen = { .done = 0 };
  net_request_t send = { .method = EL_STR ("GET"),
                         .path = EL_STR ("/x"),
                         .timeout = 20 * EL_MSEC,
                         .done = seen_done,
                         .arg = &seen };
  int i;

  SCRIPT ({ "HTTP/1.1 200 OK\r\nkeep-alive: timeout=9\r\ncontent-length: "
            "1\r\n\r\na",
            KEEP_ALIVE },
          { "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nb", KEEP_ALIVE });
  ask (&seen);
  memset (&seen, 0, sizeof seen);
  send.address = el_str (script.address);
  net_client_send (client, &send);
  pthread_join (script.thread, NULL); /* the answer was written */
  for (i = 0; i < 40; i++)
    usleep (1000);
  while (!seen.done)
    uv_run (&loop, UV_RUN_ONCE);
  ck_assert_int_eq (seen.net, NET_OK);
  el_buf_free (&seen.body);
}
END_TEST

START_TEST (test_client_no_connection_is_not_run)
{
  seen_t seen;

  SCRIPT ({ "", CLOSE });
  close (script.listener);
  shutdown (script.listener, SHUT_RDWR);
  snprintf (script.address, sizeof script.address, "127.0.0.1:1");
  ask (&seen);
  ck_assert_int_eq (seen.net, NET_CONNECT_REFUSED);
  ck_assert_int_eq (seen.verdict, EL_NOT_RUN);
}
END_TEST

/* The server: callers that leave, and those that send ahead. */

typedef struct server_seen
{
  int gone;
  int freed;
  int asked;
  h2o_req_t *req;
} server_seen_t;

static void
server_gone (void *arg, int freed)
{
  server_seen_t *seen = arg;

  if (freed)
    seen->freed = 1;
  else
    seen->gone = 1;
}

static void
server_handle (void *arg, h2o_req_t *req)
{
  server_seen_t *seen = arg;

  seen->asked++;
  seen->req = req;
  net_req_watch (req, server_gone, seen);
}

static int
server_connect (server_seen_t *seen)
{
  const net_server_options_t options = { .loop = &loop,
                                         .address = EL_STR ("127.0.0.1:0"),
                                         .max_body = 65536,
                                         .handle = server_handle,
                                         .arg = seen };
  struct sockaddr_in addr
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  net_server_t *server;
  el_err_t err;
  int fd;

  memset (seen, 0, sizeof *seen);
  server = net_server_new (&options, &err);
  ck_assert_ptr_nonnull (server);
  addr.sin_port = htons ((uint16_t)net_server_port (server));
  fd = socket (AF_INET, SOCK_STREAM, 0);
  ck_assert_int_eq (connect (fd, (struct sockaddr *)&addr, sizeof addr), 0);
  return fd;
}

static void
send_text (int fd, const char *text)
{
  ck_assert_int_eq (write (fd, text, strlen (text)), (ssize_t)strlen (text));
}

START_TEST (test_server_notices_a_caller_that_leaves)
{
  server_seen_t seen;
  int fd = server_connect (&seen);

  send_text (fd, "POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nab");
  turn (&seen.asked);
  ck_assert_int_eq (seen.asked, 1);
  close (fd);
  turn (&seen.gone);
  ck_assert_int_eq (seen.gone, 1);
  net_req_reply (seen.req, 503, EL_STR (""), EL_STR (""));
  turn (&seen.freed);
  ck_assert_int_eq (seen.freed, 1);
}
END_TEST

/* Whether a string lies in the buffer that the connection reads into, which
   moves when more comes. */
static int
in_input (h2o_req_t *req, el_str_t s)
{
  const h2o_socket_t *sock = req->conn->callbacks->get_socket (req->conn);
  const h2o_buffer_t *input = sock->input;

  return s.ptr >= input->bytes && s.ptr < input->bytes + input->capacity;
}

/* Much is sent ahead while the first request waits: its strings stay, and the
   next one is served after it. */
START_TEST (test_server_serves_what_was_sent_ahead)
{
  server_seen_t seen;
  int fd = server_connect (&seen);
  static char big[20000];
  char buf[512];

  memset (big, 'x', sizeof big - 1);
  send_text (fd, "GET /first HTTP/1.1\r\nhost: a\r\nx-mark: one\r\n\r\n");
  turn (&seen.asked);
  ck_assert_int_eq (in_input (seen.req, net_req_path (seen.req)), 0);
  ck_assert_int_eq (in_input (seen.req, net_req_header (seen.req, "x-mark")),
                    0);
  send_text (fd, "POST /second HTTP/1.1\r\nhost: a\r\n"
                 "content-length: 19999\r\n\r\n");
  send_text (fd, big);
  turn (&seen.gone);
  ck_assert_int_eq (seen.gone, 0);
  ck_assert (el_str_eq (net_req_path (seen.req), EL_STR ("/first")));
  ck_assert (el_str_eq (net_req_header (seen.req, "x-mark"), EL_STR ("one")));
  seen.asked = 0;
  net_req_reply (seen.req, 200, EL_STR (""), EL_STR ("1"));
  turn (&seen.asked);
  ck_assert (el_str_eq (net_req_path (seen.req), EL_STR ("/second")));
  ck_assert_uint_eq (net_req_body (seen.req).len, 19999);
  net_req_reply (seen.req, 200, EL_STR (""), EL_STR ("2"));
  seen.freed = 0;
  turn (&seen.freed);
  ck_assert_int_gt (read (fd, buf, sizeof buf), 0);
  close (fd);
}
END_TEST

/* Event streams. */

static void
event_note (void *arg, el_str_t event, int has_id, uint64_t id)
{
  el_buf_printf (arg, "[%zu:%d:%lu]", event.len, has_id, (unsigned long)id);
}

/* Cut at every place, the same events come out. */
START_TEST (test_events_any_cut_gives_the_same_events)
{
  const el_str_t text = EL_STR ("id: 7\ndata: a\n\nid:8\r\ndata: b\r\n\r\n"
                                "data: c\n\nid: 9\nda");
  relay_events_t events = { { NULL, 0, 0 } };
  el_buf_t out = { NULL, 0, 0 };
  size_t cut;

  for (cut = 0; cut <= text.len; cut++)
    {
      el_buf_reset (&out);
      relay_events_add (&events, (el_str_t){ text.ptr, cut }, event_note,
                        &out);
      relay_events_add (&events, el_str_after (text, cut), event_note, &out);
      ck_assert_str_eq (out.ptr, "[15:1:7][17:1:8][9:0:0]");
      ck_assert_uint_eq (events.part.len, 8);
      relay_events_reset (&events);
    }
  el_buf_free (&out);
}
END_TEST

Suite *
net_suite (void)
{
  Suite *suite = suite_create ("net");
  TCase *tcase = tcase_create ("net");

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, loop_setup, NULL);
  ADD (tcase, test_client_tells_a_reset_from_an_end);
  ADD (tcase, test_client_answer_cut_short_is_broken);
  ADD (tcase, test_client_keeps_a_connection);
  ADD_LOOP (tcase, test_client_leaves_a_connection_that_is_to_close, 2);
  ADD (tcase, test_client_surplus_bytes_end_the_connection);
  ADD (tcase, test_client_held_up_reads_what_came_first);
  ADD (tcase, test_client_no_connection_is_not_run);
  ADD (tcase, test_server_notices_a_caller_that_leaves);
  ADD (tcase, test_server_serves_what_was_sent_ahead);
  ADD (tcase, test_events_any_cut_gives_the_same_events);
  suite_add_tcase (suite, tcase);
  return suite;
}
