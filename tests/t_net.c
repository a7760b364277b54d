/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of the HTTP client, against an endpoint that sends scripted bytes, of
 * the HTTP server, and of the parser of event streams.
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

#define MAX_ITERATIONS 20000

/* The response to a request, or how the request failed. */
typedef struct response
{
  int done;
  net_outcome_t net;
  el_verdict_t verdict;
  int status;
  el_buf_t body;
} response_t;

static void
store_response (void *arg, const net_result_t *result)
{
  response_t *response = arg;

  response->done = 1;
  response->net = result->net;
  response->verdict = result->verdict;
  response->status = result->status;
  el_buf_add (&response->body, result->body);
}

static void
send_request (response_t *response)
{
  const net_request_t send = { .address = el_str (script.address),
                               .method = EL_STR ("GET"),
                               .path = EL_STR ("/x"),
                               .timeout = 20 * EL_SEC,
                               .done = store_response,
                               .arg = response };

  memset (response, 0, sizeof *response);
  net_client_send (client, &send);
  while (!response->done)
    uv_run (&loop, UV_RUN_ONCE);
  el_buf_free (&response->body);
}

/* Runs the event loop until *FLAG is set, or for MAX_ITERATIONS. */
static void
run_loop_until (const int *flag)
{
  int i;

  for (i = 0; i < MAX_ITERATIONS && !*flag; i++)
    {
      uv_run (&loop, UV_RUN_NOWAIT);
      usleep (100);
    }
}

/* Sends a request on the connection that was kept alive, and reads nothing
   until the endpoint has answered and closed it: data and reset arrive
   together. */
static void
send_request_read_late (response_t *response)
{
  const net_request_t send = { .address = el_str (script.address),
                               .method = EL_STR ("GET"),
                               .path = EL_STR ("/x"),
                               .done = store_response,
                               .arg = response };

  memset (response, 0, sizeof *response);
  net_client_send (client, &send);
  pthread_join (script.thread, NULL);
  while (!response->done)
    uv_run (&loop, UV_RUN_ONCE);
  el_buf_free (&response->body);
}

#define KEEP_ALIVE_ANSWER                                                     \
  "HTTP/1.1 200 OK\r\nkeep-alive: timeout=9\r\ncontent-length: 1\r\n\r\na"
#define ANSWER_UNTIL_CLOSE "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\npart"

START_TEST (test_client_distinguishes_reset_from_close)
{
  response_t response;

  SCRIPT ({ KEEP_ALIVE_ANSWER, KEEP_ALIVE }, { ANSWER_UNTIL_CLOSE, CLOSE });
  send_request (&response);
  send_request_read_late (&response);
  ck_assert_int_eq (response.net, NET_OK);
  SCRIPT ({ KEEP_ALIVE_ANSWER, KEEP_ALIVE }, { ANSWER_UNTIL_CLOSE, RESET });
  send_request (&response);
  send_request_read_late (&response);
  ck_assert_int_eq (response.net, NET_CONNECTION_LOST);
  ck_assert_int_eq (response.verdict, EL_MAY_HAVE_RUN);
}
END_TEST

START_TEST (test_client_truncated_answer_is_broken)
{
  response_t response;

  SCRIPT ({ "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart", CLOSE },
          { "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
            "4\r\npart\r\n",
            CLOSE },
          { "garbage that is no answer\r\n\r\n", CLOSE },
          { "HTTP/1.1 200 OK\r\ncontent-le", CLOSE });
  send_request (&response);
  ck_assert_int_eq (response.net, NET_CONNECTION_LOST);
  send_request (&response);
  ck_assert_int_eq (response.net, NET_CONNECTION_LOST);
  send_request (&response);
  ck_assert_int_eq (response.net, NET_CONNECTION_LOST);
  send_request (&response);
  ck_assert_int_eq (response.net, NET_CONNECTION_LOST);
}
END_TEST

START_TEST (test_client_reuses_connection)
{
  response_t response;

  SCRIPT ({ "HTTP/1.1 200 OK\r\nkeep-alive: timeout=9\r\ncontent-length: "
            "1\r\n\r\na",
            KEEP_ALIVE },
          { "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nb", KEEP_ALIVE });
  send_request (&response);
  send_request (&response);
  ck_assert_int_eq (response.net, NET_OK);
  pthread_join (script.thread, NULL);
  ck_assert_uint_eq (script.connections, 1);
}
END_TEST

/* After "connection: close" or a keep-alive timeout of 0, the client sends
   nothing more on the connection. */
START_TEST (test_client_does_not_reuse_closing_connection)
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
  response_t response;

  answers[0].bytes = first[_i];
  script_start (answers, 2);
  send_request (&response);
  send_request (&response);
  ck_assert_int_eq (response.net, NET_OK);
  pthread_join (script.thread, NULL);
  ck_assert_uint_eq (script.connections, 2);
}
END_TEST

START_TEST (test_client_surplus_bytes_close_connection)
{
  response_t response;

  SCRIPT ({ "HTTP/1.1 200 OK\r\nkeep-alive: timeout=9\r\ncontent-length: "
            "1\r\n\r\na"
            "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nz",
            KEEP_ALIVE },
          { "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nb", KEEP_ALIVE });
  send_request (&response);
  ck_assert_int_eq (response.net, NET_OK);
  send_request (&response);
  ck_assert_int_eq (response.net, NET_OK);
  pthread_join (script.thread, NULL);
  ck_assert_uint_eq (script.connections, 2);
  ck_assert_uint_eq (net_client_counts (client)->surplus, 1);
}
END_TEST

/* The process stalls past the time limit while the answer waits to be read:
   the request must not time out. */
START_TEST (test_client_stalled_process_is_no_timeout)
{
  response_t response = { .done = 0 };
  net_request_t send = { .method = EL_STR ("GET"),
                         .path = EL_STR ("/x"),
                         .timeout = 20 * EL_MSEC,
                         .done = store_response,
                         .arg = &response };
  int i;

  SCRIPT ({ "HTTP/1.1 200 OK\r\nkeep-alive: timeout=9\r\ncontent-length: "
            "1\r\n\r\na",
            KEEP_ALIVE },
          { "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nb", KEEP_ALIVE });
  send_request (&response);
  memset (&response, 0, sizeof response);
  send.address = el_str (script.address);
  net_client_send (client, &send);
  pthread_join (script.thread, NULL); /* the answer has been written */
  for (i = 0; i < 40; i++)
    usleep (1000);
  while (!response.done)
    uv_run (&loop, UV_RUN_ONCE);
  ck_assert_int_eq (response.net, NET_OK);
  el_buf_free (&response.body);
}
END_TEST

START_TEST (test_client_no_connection_is_not_run)
{
  response_t response;

  SCRIPT ({ "", CLOSE });
  close (script.listener);
  shutdown (script.listener, SHUT_RDWR);
  snprintf (script.address, sizeof script.address, "127.0.0.1:1");
  send_request (&response);
  ck_assert_int_eq (response.net, NET_CONNECT_REFUSED);
  ck_assert_int_eq (response.verdict, EL_NOT_RUN);
}
END_TEST

/* Server: callers that disconnect, and pipelined requests. */

typedef struct server_record
{
  int disconnected; /* by the caller */
  int freed;
  int nrequests;
  h2o_req_t *req;
} server_record_t;

static void
request_watch_cb (void *arg, int freed)
{
  server_record_t *record = arg;

  if (freed)
    record->freed = 1;
  else
    record->disconnected = 1;
}

static void
record_request (void *arg, h2o_req_t *req)
{
  server_record_t *record = arg;

  record->nrequests++;
  record->req = req;
  net_req_watch (req, request_watch_cb, record);
}

static int
connect_to_server (server_record_t *record)
{
  const net_server_options_t options = { .loop = &loop,
                                         .address = EL_STR ("127.0.0.1:0"),
                                         .max_body = 65536,
                                         .handle = record_request,
                                         .arg = record };
  struct sockaddr_in addr
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  net_server_t *server;
  el_err_t err;
  int fd;

  memset (record, 0, sizeof *record);
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

START_TEST (test_server_detects_caller_disconnect)
{
  server_record_t record;
  int fd = connect_to_server (&record);

  send_text (fd, "POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nab");
  run_loop_until (&record.nrequests);
  ck_assert_int_eq (record.nrequests, 1);
  close (fd);
  run_loop_until (&record.disconnected);
  ck_assert_int_eq (record.disconnected, 1);
  net_req_reply (record.req, 503, EL_STR (""), EL_STR (""));
  run_loop_until (&record.freed);
  ck_assert_int_eq (record.freed, 1);
}
END_TEST

/* Whether a string points into the input buffer of the connection, which is
   moved when more data arrives. */
static int
is_in_input_buffer (h2o_req_t *req, el_str_t s)
{
  const h2o_socket_t *sock = req->conn->callbacks->get_socket (req->conn);
  const h2o_buffer_t *input = sock->input;

  return s.ptr >= input->bytes && s.ptr < input->bytes + input->capacity;
}

/* A large request is pipelined while the first one waits: the strings of the
   first stay valid, and the second is served after it. */
START_TEST (test_server_serves_pipelined_requests)
{
  server_record_t record;
  int fd = connect_to_server (&record);
  static char big[20000];
  char buf[512];

  memset (big, 'x', sizeof big - 1);
  send_text (fd, "GET /first HTTP/1.1\r\nhost: a\r\nx-mark: one\r\n\r\n");
  run_loop_until (&record.nrequests);
  ck_assert_int_eq (is_in_input_buffer (record.req, net_req_path (record.req)),
                    0);
  ck_assert_int_eq (
      is_in_input_buffer (record.req, net_req_header (record.req, "x-mark")),
      0);
  send_text (fd, "POST /second HTTP/1.1\r\nhost: a\r\n"
                 "content-length: 19999\r\n\r\n");
  send_text (fd, big);
  run_loop_until (&record.disconnected);
  ck_assert_int_eq (record.disconnected, 0);
  ck_assert (el_str_eq (net_req_path (record.req), EL_STR ("/first")));
  ck_assert (
      el_str_eq (net_req_header (record.req, "x-mark"), EL_STR ("one")));
  record.nrequests = 0;
  net_req_reply (record.req, 200, EL_STR (""), EL_STR ("1"));
  run_loop_until (&record.nrequests);
  ck_assert (el_str_eq (net_req_path (record.req), EL_STR ("/second")));
  ck_assert_uint_eq (net_req_body (record.req).len, 19999);
  net_req_reply (record.req, 200, EL_STR (""), EL_STR ("2"));
  record.freed = 0;
  run_loop_until (&record.freed);
  ck_assert_int_gt (read (fd, buf, sizeof buf), 0);
  close (fd);
}
END_TEST

/* Event streams. */

static void
record_event (void *arg, el_str_t event, int has_id, uint64_t id)
{
  el_buf_printf (arg, "[%zu:%d:%lu]", event.len, has_id, (unsigned long)id);
}

/* Wherever the input is split, the parser gives the same events. */
START_TEST (test_events_any_split_gives_same_events)
{
  const el_str_t text = EL_STR ("id: 7\ndata: a\n\nid:8\r\ndata: b\r\n\r\n"
                                "data: c\n\nid: 9\nda");
  relay_events_t events = { { NULL, 0, 0 } };
  el_buf_t out = { NULL, 0, 0 };
  size_t cut;

  for (cut = 0; cut <= text.len; cut++)
    {
      el_buf_reset (&out);
      relay_events_add (&events, (el_str_t){ text.ptr, cut }, record_event,
                        &out);
      relay_events_add (&events, el_str_after (text, cut), record_event, &out);
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
  ADD (tcase, test_client_distinguishes_reset_from_close);
  ADD (tcase, test_client_truncated_answer_is_broken);
  ADD (tcase, test_client_reuses_connection);
  ADD_LOOP (tcase, test_client_does_not_reuse_closing_connection, 2);
  ADD (tcase, test_client_surplus_bytes_close_connection);
  ADD (tcase, test_client_stalled_process_is_no_timeout);
  ADD (tcase, test_client_no_connection_is_not_run);
  ADD (tcase, test_server_detects_caller_disconnect);
  ADD (tcase, test_server_serves_pipelined_requests);
  ADD (tcase, test_events_any_split_gives_same_events);
  suite_add_tcase (suite, tcase);
  return suite;
}
