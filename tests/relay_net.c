/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * A relay under test on one loop with its callers and with peers.
 */
#define _GNU_SOURCE
#include <malloc.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <check.h>

#ifdef __SANITIZE_ADDRESS__
size_t __sanitizer_get_current_allocated_bytes (void);
#endif

#include "platform.h"
#include "relay_net.h"

#define LOOP_INTERVAL_US 200
#define CALL_TIMEOUT (30 * EL_SEC)
#define REPORT                                                                \
  "{\"SeqNo\":0,\"pace\":1,\"KvUsed\":0,\"KvTotal\":100000,\"stalled\":[],"   \
  "\"ActiveRequests\":0,\"QueueDepth\":0}"

relay_net_t rnet;

static size_t
count_hosts (void *arg)
{
  (void)arg;
  return rnet.nhelpers + 1;
}

static int
is_no_poller (void *arg)
{
  (void)arg;
  return 0;
}

static void
visit_helpers (void *arg, gt_entry_host_cb visit, void *visit_arg)
{
  size_t i;

  (void)arg;
  for (i = 0; i < rnet.nhelpers; i++)
    if (!rnet.helpers[i]->lost)
      {
        const gt_entry_host_t host
            = { .address = el_str (rnet.helpers[i]->address),
                .hall = EL_STR ("h"),
                .capacity = 1 };

        visit (visit_arg, &host);
      }
}

static int
helper_is_live (void *arg, el_str_t address)
{
  size_t i;

  (void)arg;
  for (i = 0; i < rnet.nhelpers; i++)
    if (el_str_eq (el_str (rnet.helpers[i]->address), address))
      return !rnet.helpers[i]->lost;
  return 0;
}

/** Starts a relay under RULES. OPTIONS: what differs from the defaults; may be
    NULL. */
void
relay_net_setup (const gt_relay_options_t *options, const char *rules)
{
  gt_relay_options_t use = options ? *options : (gt_relay_options_t){ 0 };
  el_err_t err;

  signal (SIGPIPE, SIG_IGN);
  if (getenv ("ELMARCH_TEST_LOG"))
    el_log_open ("relay", EL_LOG_INFO);
  memset (&rnet, 0, sizeof rnet);
  uv_loop_init (&rnet.loop);
  net_clock_init (&rnet.clock, &rnet.loop);
  rnet.callers = net_client_new (&rnet.clock);
  use.clock = &rnet.clock;
  use.client = net_client_new (&rnet.clock);
  use.fleet = rt_fleet_new (7);
  use.dialect = &pf_relay;
  use.listen = EL_STR ("127.0.0.1:0");
  use.hall = EL_STR ("h");
  use.key = EL_STR ("a key");
  use.max_body = 65536;
  use.max_waiting = 100;
  use.retry_window = 10 * EL_SEC;
  use.hosts = count_hosts;
  use.hall_hosts = count_hosts;
  use.is_poller = is_no_poller;
  use.entry_hosts = visit_helpers;
  use.entry_is_live = helper_is_live;
  if (!use.retry_ratio)
    use.retry_ratio = 10;
  rnet.relays = gt_relays_new (&use, &err);
  ck_assert_ptr_nonnull (rnet.relays);
  gt_relays_set_rules_as_of (rnet.relays, net_clock_now (&rnet.clock));
  gt_relays_first_gossip_done (rnet.relays);
  gt_relays_set_rules (rnet.relays, pf_rules_read (el_str (rules), &err));
  ck_assert_ptr_nonnull (rnet.relays->rules);
}

/** Lists PEER as an endpoint; an engine of the layers FROM to END, unless END
    is 0. */
rt_target_t *
relay_net_add_part (const peer_t *peer, const char *id, const char *service,
                    unsigned from, unsigned end)
{
  const rt_attrs_t attrs = { .id = el_str (id),
                             .born = 1,
                             .service = el_str (service),
                             .address = el_str (peer->address),
                             .hall = EL_STR ("h"),
                             .card = el_str (end ? "card" : ""),
                             .slots = 64,
                             .first = from,
                             .end = end };

  return rt_fleet_update (rnet.relays->options.fleet, &attrs);
}

/** The same; an engine of the layers up to END. */
rt_target_t *
relay_net_add (const peer_t *peer, const char *id, const char *service,
               unsigned end)
{
  return relay_net_add_part (peer, id, service, 0, end);
}

/** Runs the loop once, without waiting for events. */
void
relay_net_run_once (void)
{
  uv_run (&rnet.loop, UV_RUN_NOWAIT);
  usleep (LOOP_INTERVAL_US);
}

/** Runs the loop for SPAN. */
void
relay_net_run (el_time_t span)
{
  el_time_t until = net_clock_now (&rnet.clock) + span;

  while (net_clock_now (&rnet.clock) < until)
    relay_net_run_once ();
}

/** Bytes of the process's heap that are in use. */
size_t
relay_net_heap (void)
{
#ifdef __SANITIZE_ADDRESS__
  return __sanitizer_get_current_allocated_bytes ();
#else
  struct mallinfo2 info = mallinfo2 ();

  return info.uordblks + info.hblkhd;
#endif
}

/* Peers. */

static void
conn_closed (uv_handle_t *handle)
{
  peer_conn_t *conn = handle->data;

  el_buf_free (&conn->in);
  free (conn);
}

/** Closes a connection. */
void
peer_end (peer_conn_t *conn)
{
  if (conn->closing)
    return;
  conn->closing = 1;
  net_clock_cancel (&rnet.clock, &conn->timer);
  DL_DELETE (conn->peer->conns, conn);
  uv_close ((uv_handle_t *)&conn->tcp, conn_closed);
}

static void
conn_written (uv_write_t *req, int status)
{
  (void)status;
  free (req->data);
  free (req);
}

/** Sends BYTES. */
void
peer_write (peer_conn_t *conn, const char *bytes, size_t len)
{
  uv_write_t *req = el_alloc (sizeof *req);
  char *copy = el_alloc (len + 1);
  uv_buf_t buf = uv_buf_init (copy, (unsigned)len);

  memcpy (copy, bytes, len);
  req->data = copy;
  uv_write (req, (uv_stream_t *)&conn->tcp, &buf, 1, conn_written);
}

void
peer_printf (peer_conn_t *conn, const char *format, ...)
{
  char text[1024];
  va_list args;

  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  peer_write (conn, text, strlen (text));
}

#define FLOOD_BYTES 65536

typedef struct flood
{
  uv_write_t req;
  peer_conn_t *conn;
  peer_t *peer;
  char bytes[FLOOD_BYTES];
  size_t len;
} flood_t;

static void
flood_written (uv_write_t *req, int status)
{
  flood_t *flood = req->data;
  uv_buf_t buf = uv_buf_init (flood->bytes, (unsigned)flood->len);

  if (status)
    {
      flood->peer->floods--;
      free (flood);
      return;
    }
  flood->peer->sent += flood->len;
  uv_write (req, (uv_stream_t *)&flood->conn->tcp, &buf, 1, flood_written);
}

/** Sends PATTERN again and again until the connection is closed. */
void
peer_flood (peer_conn_t *conn, const char *pattern)
{
  flood_t *flood = el_alloc (sizeof *flood);
  size_t len = strlen (pattern);
  uv_buf_t buf;

  while (flood->len + len <= FLOOD_BYTES)
    {
      memcpy (flood->bytes + flood->len, pattern, len);
      flood->len += len;
    }
  flood->conn = conn;
  flood->peer = conn->peer;
  flood->peer->floods++;
  flood->req.data = flood;
  buf = uv_buf_init (flood->bytes, (unsigned)flood->len);
  uv_write (&flood->req, (uv_stream_t *)&conn->tcp, &buf, 1, flood_written);
}

/** Calls CB with CONN after WAIT, unless the connection is closed. */
void
peer_after (peer_conn_t *conn, el_time_t wait, el_timer_cb cb)
{
  conn->timer.cb = cb;
  conn->timer.arg = conn;
  net_clock_set (&rnet.clock, &conn->timer, wait);
}

static el_str_t
head_value (el_str_t head, const char *name)
{
  el_str_t line;
  el_str_t key;

  while (head.len)
    {
      line = el_str_cut (&head, '\n');
      key = el_str_cut (&line, ':');
      if (!h2o_lcstris (key.ptr, key.len, name, strlen (name)))
        continue;
      while (line.len && *line.ptr == ' ')
        line = el_str_after (line, 1);
      if (line.len && line.ptr[line.len - 1] == '\r')
        line.len--;
      return line;
    }
  return (el_str_t){ NULL, 0 };
}

/* Serves the next request if it has arrived. */
static int
conn_serve (peer_conn_t *conn)
{
  const char *end = conn->in.len
                        ? memmem (conn->in.ptr, conn->in.len, "\r\n\r\n", 4)
                        : NULL;
  el_str_t head = { conn->in.ptr, end ? (size_t)(end - conn->in.ptr) + 4 : 0 };
  el_buf_t rest = { NULL, 0, 0 };
  el_str_t id = head_value (head, "x-elmarch-request-id");
  uint64_t body = 0;

  el_str_to_u64 (head_value (head, "content-length"), &body);
  if (!end || conn->in.len < head.len + body)
    return 0;
  conn->head = head;
  if (el_str_starts_with (head, EL_STR ("GET /elmarch/report")))
    {
      if (conn->peer->report_flood)
        {
          peer_printf (conn, "HTTP/1.1 200 OK\r\n\r\n");
          peer_flood (conn, conn->peer->report_flood);
        }
      else if (!conn->peer->silent)
        {
          const char *report
              = conn->peer->report ? conn->peer->report : REPORT;

          peer_printf (conn,
                       "HTTP/1.1 200 OK\r\ncontent-length: %zu\r\n"
                       "keep-alive: timeout=9\r\n\r\n",
                       strlen (report));
          peer_write (conn, report, strlen (report));
        }
    }
  else
    {
      snprintf (conn->id, sizeof conn->id, "%.*s", (int)id.len,
                id.ptr ? id.ptr : "");
      conn->peer->requests++;
      conn->peer->serve (conn);
    }
  el_buf_add (&rest,
              el_str_after (el_buf_str (&conn->in), head.len + (size_t)body));
  el_buf_free (&conn->in);
  conn->in = rest;
  return !conn->closing;
}

static void
conn_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
  static char bytes[65536];

  (void)handle;
  (void)suggested;
  *buf = uv_buf_init (bytes, sizeof bytes);
}

static void
conn_read (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  peer_conn_t *conn = stream->data;

  if (n < 0)
    {
      peer_end (conn);
      return;
    }
  el_buf_add (&conn->in, (el_str_t){ buf->base, (size_t)n });
  while (conn_serve (conn))
    ;
}

static void
peer_accept (uv_stream_t *server, int status)
{
  peer_t *peer = server->data;
  peer_conn_t *conn = el_alloc (sizeof *conn);

  ck_assert_int_eq (status, 0);
  conn->peer = peer;
  conn->tcp.data = conn;
  uv_tcp_init (&rnet.loop, &conn->tcp);
  ck_assert_int_eq (uv_accept (server, (uv_stream_t *)&conn->tcp), 0);
  peer->connections++;
  DL_APPEND (peer->conns, conn);
  uv_read_start ((uv_stream_t *)&conn->tcp, conn_alloc, conn_read);
}

/** Opens PEER at a free port. */
void
peer_open (peer_t *peer)
{
  struct sockaddr_in addr;
  int len = sizeof addr;

  uv_ip4_addr ("127.0.0.1", 0, &addr);
  uv_tcp_init (&rnet.loop, &peer->tcp);
  peer->tcp.data = peer;
  ck_assert_int_eq (
      uv_tcp_bind (&peer->tcp, (const struct sockaddr *)&addr, 0), 0);
  ck_assert_int_eq (uv_listen ((uv_stream_t *)&peer->tcp, 64, peer_accept), 0);
  uv_tcp_getsockname (&peer->tcp, (struct sockaddr *)&addr, &len);
  snprintf (peer->address, sizeof peer->address, "127.0.0.1:%u",
            ntohs (addr.sin_port));
}

/** Closes PEER and its connections, as a crash does. */
void
peer_close (peer_t *peer)
{
  while (peer->conns)
    peer_end (peer->conns);
  if (!uv_is_closing ((uv_handle_t *)&peer->tcp))
    uv_close ((uv_handle_t *)&peer->tcp, NULL);
}

/** Answers that the request was not run for lack of room. */
void
peer_refuse (peer_conn_t *conn)
{
  peer_printf (conn,
               "HTTP/1.1 503 Busy\r\nx-elmarch-request-id: %s\r\n"
               "x-elmarch-not-executed: 1\r\nkeep-alive: timeout=9\r\n"
               "content-length: 0\r\n\r\n",
               conn->id);
}

/** Sends the head of a stream's answer. */
void
peer_stream_head (peer_conn_t *conn)
{
  peer_printf (conn,
               "HTTP/1.1 200 OK\r\nx-elmarch-request-id: %s\r\n"
               "x-elmarch-response-seal: s\r\nkeep-alive: timeout=9\r\n"
               "content-type: text/event-stream\r\n"
               "transfer-encoding: chunked\r\n\r\n",
               conn->id);
}

/** Sends an event of a stream. */
void
peer_event (peer_conn_t *conn, unsigned id)
{
  char event[64];
  int n = snprintf (event, sizeof event, "id: %u\ndata: t%u\n\n", id, id);

  peer_printf (conn, "%x\r\n%s\r\n", (unsigned)n, event);
}

/** Ends a stream. */
void
peer_stream_end (peer_conn_t *conn)
{
  peer_write (conn, "0\r\n\r\n", 5);
}

/* Callers. */

static void
call_done (void *arg, const net_result_t *result)
{
  net_call_t *call = arg;
  el_str_t after = net_result_header (result, "retry-after");

  call->exchange = NULL;
  call->net = result->net;
  call->conn = result->conn;
  call->by_close = result->by_close;
  call->status = result->status;
  call->sealed = net_result_header (result, "x-elmarch-response-seal").len > 0;
  if (after.len)
    call->retry_after = strtod (after.ptr, NULL);
  el_buf_add (&call->body, result->body);
}

/** Sends a request with HEADERS to the relay. */
void
call_send_headers (net_call_t *call, const char *method, const char *path,
                   const net_header_t *headers, size_t nheaders)
{
  char address[32];
  net_request_t request = { .host = EL_STR ("rel.example"),
                            .method = el_str (method),
                            .path = el_str (path),
                            .headers = headers,
                            .nheaders = nheaders,
                            .timeout = CALL_TIMEOUT,
                            .max_response = (size_t)64 << 20,
                            .done = call_done,
                            .arg = call };

  memset (call, 0, sizeof *call);
  snprintf (address, sizeof address, "127.0.0.1:%u",
            net_server_port (rnet.relays->server));
  request.address = el_str (address);
  call->exchange = net_client_send (rnet.callers, &request);
}

/** Sends a request to the relay. */
void
call_send (net_call_t *call, const char *id, const char *method,
           const char *path)
{
  const net_header_t headers[]
      = { { EL_STR ("x-elmarch-request-id"), el_str (id) },
          { EL_STR ("x-elmarch-token-count"), EL_STR ("10,10") } };

  call_send_headers (call, method, path, headers, 2);
  snprintf (call->id, sizeof call->id, "%s", id);
}

/** Sends a request with ID to ADDRESS by CLIENT. */
void
call_send_to (net_call_t *call, net_client_t *client, const char *address,
              const char *id)
{
  const net_header_t header = { EL_STR ("x-elmarch-request-id"), el_str (id) };
  const net_request_t request = { .address = el_str (address),
                                  .method = EL_STR ("GET"),
                                  .path = EL_STR ("/x"),
                                  .headers = &header,
                                  .nheaders = 1,
                                  .id_header = "x-elmarch-request-id",
                                  .id = el_str (id),
                                  .id_required = 1,
                                  .timeout = CALL_TIMEOUT,
                                  .done = call_done,
                                  .arg = call };

  memset (call, 0, sizeof *call);
  call->exchange = net_client_send (client, &request);
}

/** Sends a request on a connection that the test handles itself, and returns
    its descriptor. */
int
call_open (const char *id, const char *path)
{
  struct sockaddr_in to;
  char request[256];
  int len = snprintf (request, sizeof request,
                      "POST %s HTTP/1.1\r\nhost: rel.example\r\n"
                      "x-elmarch-request-id: %s\r\n"
                      "content-length: 0\r\n\r\n",
                      path, id);
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  uv_ip4_addr ("127.0.0.1", (int)net_server_port (rnet.relays->server), &to);
  ck_assert_int_eq (connect (fd, (struct sockaddr *)&to, sizeof to), 0);
  ck_assert_int_eq (write (fd, request, (size_t)len), len);
  return fd;
}

/** The caller disconnects. */
void
call_leave (net_call_t *call)
{
  if (call->exchange)
    net_client_cancel (call->exchange);
  call->exchange = NULL;
}

/** Runs the loop until the call has ended. */
void
call_wait (net_call_t *call)
{
  while (call->exchange)
    relay_net_run_once ();
}

void
call_free (net_call_t *call)
{
  el_buf_free (&call->body);
}
