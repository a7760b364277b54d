/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of the phases of a relayed request: only one thing at a time may start
 * its next attempt. ELMARCH_SEEDS sets the number of drawn courses;
 * ELMARCH_SEED plays a single one.
 */
#define _GNU_SOURCE
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "relay_net.h"
#include "seeds.h"
#include "test.h"

static const char rules_text[]
    = "{\"Version\":1,\"Routes\":["
      "{\"Name\":\"high\",\"Host\":\"rel.example\",\"PathPrefix\":\"/high/\","
      "\"RouteType\":\"streaming\",\"TimeoutMs\":900,\"MaxAttempts\":2,"
      "\"Service\":\"llm\",\"Priority\":0},"
      "{\"Name\":\"low\",\"Host\":\"rel.example\",\"PathPrefix\":\"/low/\","
      "\"RouteType\":\"streaming\",\"TimeoutMs\":900,\"MaxAttempts\":3,"
      "\"Service\":\"llm\",\"Priority\":2,\"Resumable\":true},"
      "{\"Name\":\"pay\",\"Host\":\"rel.example\",\"PathPrefix\":\"/pay/\","
      "\"RouteType\":\"unsafe\",\"TimeoutMs\":900,\"MaxAttempts\":2,"
      "\"Service\":\"app\"},"
      "{\"Name\":\"look\",\"Host\":\"rel.example\",\"PathPrefix\":\"/look/\","
      "\"RouteType\":\"safe\",\"TimeoutMs\":900,\"MaxAttempts\":3,"
      "\"Service\":\"app\"}],"
      "\"Services\":[{\"Name\":\"app\"},{\"Name\":\"llm\",\"Engine\":{"
      "\"layers\":8,\"layer_mb\":1000,\"step_ms\":1,\"KvTokenBytes\":8000,"
      "\"usual\":{\"prompt\":10,\"answer\":10},"
      "\"kinds\":[{\"Name\":\"card\",\"mb\":9000,\"pace\":1}]}}],"
      "\"Limits\":{}}";

/* Longer than the interval at which requests that wait are tried. */
#define HELPER_WORK (200 * EL_MSEC)

static void
phase_setup (void)
{
  relay_net_setup (NULL, rules_text);
}

static void
stream_finish (void *arg, el_time_t now)
{
  peer_conn_t *conn = arg;

  (void)now;
  peer_stream_head (conn);
  peer_event (conn, 1);
  peer_stream_end (conn);
}

static void
serve_after_work (peer_conn_t *conn)
{
  peer_after (conn, HELPER_WORK, stream_finish);
}

/* An engine is lost while a request waits for room there: the request goes
   over one other host and is not started again while that one serves it.
   Guards against hosts that crashed on the second answer. */
START_TEST (test_waiting_request_is_sent_over_one_host)
{
  peer_t engine = { .serve = peer_refuse };
  peer_t helper = { .serve = serve_after_work };
  rt_target_t *target;
  net_call_t call;

  peer_open (&engine);
  peer_open (&helper);
  target = relay_net_add (&engine, "e", "llm", 8);
  call_send (&call, "r1", "POST", _i ? "/low/x" : "/high/x");
  while (!rnet.relays->counts.queued)
    relay_net_run_once ();
  rnet.helpers[rnet.nhelpers++] = &helper;
  peer_close (&engine);
  relay_reach_failed (rnet.relays, target);
  call_wait (&call);
  ck_assert_msg (call.status == 200, "%d %.*s, sent %u", call.status,
                 (int)call.body.len, call.body.ptr, helper.requests);
  ck_assert_int_eq (call.sealed, 1);
  relay_net_run (2 * HELPER_WORK);
  ck_assert_uint_eq (helper.requests, 1);
  ck_assert_uint_eq (rnet.relays->counts.over_host, 1);
  ck_assert_uint_eq (rnet.relays->counts.phase_errors, 0);
  ck_assert_uint_eq (gt_relays_running (rnet.relays), 0);
  call_free (&call);
}
END_TEST

#define HALVES 10
#define HALF_INTERVAL (8 * EL_MSEC)

/* Sends a stream in halves of events. */
static void
serve_half (void *arg, el_time_t now)
{
  peer_conn_t *conn = arg;
  unsigned id = conn->step / 2 + 1;
  char half[32];

  (void)now;
  snprintf (half, sizeof half, conn->step++ % 2 ? "ta: t%u\n\n" : "id: %u\nda",
            id);
  peer_printf (conn, "%zx\r\n%s\r\n", strlen (half), half);
  if (conn->step == HALVES)
    peer_stream_end (conn);
  else
    peer_after (conn, HALF_INTERVAL, serve_half);
}

static void
serve_halves (peer_conn_t *conn)
{
  peer_stream_head (conn);
  serve_half (conn, 0);
}

/* The same with a stream that the other host sends in halves of events. Guards
   against events of two runs that are joined. */
START_TEST (test_waiting_stream_is_not_joined_from_two_runs)
{
  peer_t engine = { .serve = peer_refuse };
  peer_t helper = { .serve = serve_halves };
  rt_target_t *target;
  net_call_t call;

  peer_open (&engine);
  peer_open (&helper);
  target = relay_net_add (&engine, "e", "llm", 8);
  call_send (&call, "r1", "POST", _i ? "/low/x" : "/high/x");
  while (!rnet.relays->counts.queued)
    relay_net_run_once ();
  rnet.helpers[rnet.nhelpers++] = &helper;
  peer_close (&engine);
  relay_reach_failed (rnet.relays, target);
  call_wait (&call);
  ck_assert_msg (el_str_eq (el_buf_str (&call.body),
                            EL_STR ("id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n"
                                    "id: 3\ndata: t3\n\nid: 4\ndata: t4\n\n"
                                    "id: 5\ndata: t5\n\n")),
                 "%.*s", (int)call.body.len, call.body.ptr);
  call_free (&call);
}
END_TEST

static void
serve_events (void *arg, el_time_t now)
{
  peer_conn_t *conn = arg;

  (void)now;
  peer_event (conn, ++conn->step);
  peer_after (conn, EL_MSEC, serve_events);
}

static void
serve_endless_stream (peer_conn_t *conn)
{
  peer_stream_head (conn);
  serve_events (conn, 0);
}

static void
serve_nothing (peer_conn_t *conn)
{
  (void)conn;
}

/* A caller resets its connection before or while it gets a response: nothing
   of the request is left. Guards against hosts that run out of descriptors and
   wait for such requests when they stop. */
START_TEST (test_request_of_a_reset_connection_is_freed)
{
  const struct linger reset = { 1, 0 };
  peer_t engine = { .serve = _i ? serve_endless_stream : serve_nothing };
  int fd;

  peer_open (&engine);
  relay_net_add (&engine, "e", "llm", 8);
  fd = call_open ("r1", "/high/x");
  while (engine.requests == 0 || (_i && rnet.relays->counts.events < 20))
    relay_net_run_once ();
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  close (fd);
  relay_net_run (300 * EL_MSEC);
  ck_assert_uint_eq (rnet.relays->counts.disconnected, 1);
  ck_assert_uint_eq (gt_relays_running (rnet.relays), 0);
}
END_TEST

/* Drawn courses: endpoints and helpers answer as drawn, callers come and
   leave, and what this host knows of endpoints changes. */

#define COURSES 20
#define COURSE_CALLS 40
#define COURSE_STEPS 120
#define COURSE_ENGINES 3
#define COURSE_WORKERS 2
#define COURSE_HELPERS 2
#define COURSE_EVENTS 6
#define COURSE_PEERS_MAX 32
#define COURSE_STEP (3 * EL_MSEC)
#define COURSE_END (1500 * EL_MSEC)
/* Longer than it takes until a stream leaves an engine. */
#define COURSE_SILENCE_MAX 400
#define COURSE_ATTEMPTS 3

typedef struct course_call
{
  net_call_t call;
  const char *path;
  int sent;
  int left;
  unsigned runs;
} course_call_t;

static struct
{
  course_call_t calls[COURSE_CALLS];
  size_t ncalls;
  peer_t peers[COURSE_PEERS_MAX];
  rt_target_t *targets[COURSE_PEERS_MAX]; /* of peers that are endpoints */
  el_time_t silent_until[COURSE_PEERS_MAX];
  size_t npeers;
  peer_t helpers[COURSE_HELPERS];
  el_time_t lost_until[COURSE_HELPERS];
  pr_loan_cb loan_done;
  void *loan_arg;
} course;

/* What a peer does with a request. */
typedef enum course_act
{
  ACT_SERVE,
  ACT_SERVE_LATE,
  ACT_BREAK, /* closes in the middle of the answer */
  ACT_REFUSE,
  ACT_REFUSE_TWICE, /* the second time when the next answer is due */
  ACT_CLOSE,        /* without an answer */
  ACT_HANG,
  ACT_CROSSED, /* another request's id */
  ACT_GARBAGE
} course_act_t;

static const course_act_t endpoint_acts[]
    = { ACT_SERVE,  ACT_SERVE,  ACT_SERVE,  ACT_SERVE_LATE,   ACT_SERVE_LATE,
        ACT_REFUSE, ACT_REFUSE, ACT_REFUSE, ACT_REFUSE_TWICE, ACT_REFUSE_TWICE,
        ACT_BREAK,  ACT_CLOSE,  ACT_HANG,   ACT_CROSSED,      ACT_GARBAGE };

/* How a plain answer ends. */
enum
{
  PLAIN_ENDS,
  PLAIN_ENDS_BY_CLOSE,
  PLAIN_BREAKS
};

static course_call_t *
course_find (const char *id)
{
  return &course.calls[strtoul (id + 1, NULL, 10)];
}

static int
path_is_stream (const char *path)
{
  return strcmp (path, "/high/x") == 0 || strcmp (path, "/low/x") == 0;
}

static unsigned
course_resumed_at (const peer_conn_t *conn)
{
  const char *at
      = memmem (conn->head.ptr, conn->head.len, "\r\nlast-event-id: ", 17);

  return at ? (unsigned)strtoul (at + 17, NULL, 10) : 0;
}

/* Whether CONN's peer does nothing now; CB is called again then. */
static int
course_is_paused (peer_conn_t *conn, el_timer_cb cb)
{
  if (!conn->peer->silent && !conn->peer->lost)
    return 0;
  peer_after (conn, COURSE_STEP, cb);
  return 1;
}

static void
course_end (void *arg, el_time_t now)
{
  (void)now;
  if (!course_is_paused (arg, course_end))
    peer_end (arg);
}

static void
course_plain_rest (void *arg, el_time_t now)
{
  peer_conn_t *conn = arg;

  (void)now;
  if (course_is_paused (conn, course_plain_rest))
    return;
  if (conn->step == PLAIN_BREAKS)
    {
      peer_end (conn);
      return;
    }
  peer_printf (conn, "lete");
  if (conn->step == PLAIN_ENDS_BY_CLOSE)
    peer_after (conn, COURSE_STEP, course_end);
}

/* A plain answer in two halves. */
static void
course_plain (void *arg, el_time_t now)
{
  peer_conn_t *conn = arg;

  (void)now;
  if (course_is_paused (conn, course_plain))
    return;
  peer_printf (conn,
               "HTTP/1.1 200 OK\r\nx-elmarch-request-id: %s\r\n"
               "x-elmarch-response-seal: s\r\n%s\r\ncomp",
               conn->id,
               conn->step == PLAIN_ENDS_BY_CLOSE ? ""
                                                 : "content-length: 8\r\n");
  peer_after (conn, seeds_random (80) * EL_MSEC, course_plain_rest);
}

static void
course_event (void *arg, el_time_t now)
{
  peer_conn_t *conn = arg;

  (void)now;
  if (course_is_paused (conn, course_event))
    return;
  if (conn->step == COURSE_EVENTS)
    {
      peer_stream_end (conn);
      return;
    }
  peer_event (conn, ++conn->step);
  peer_after (conn, seeds_random (20) * EL_MSEC, course_event);
}

static void
course_stream (void *arg, el_time_t now)
{
  (void)now;
  if (course_is_paused (arg, course_stream))
    return;
  peer_stream_head (arg);
  course_event (arg, now);
}

static void
course_run (peer_conn_t *conn, course_act_t act)
{
  el_time_t wait = act == ACT_SERVE_LATE ? seeds_random (250) * EL_MSEC : 0;

  course_find (conn->id)->runs++;
  if (!path_is_stream (course_find (conn->id)->path))
    {
      conn->step = act == ACT_BREAK        ? PLAIN_BREAKS
                   : seeds_random (4) == 0 ? PLAIN_ENDS_BY_CLOSE
                                           : PLAIN_ENDS;
      peer_after (conn, wait, course_plain);
      return;
    }
  conn->step = course_resumed_at (conn);
  if (act == ACT_BREAK)
    {
      peer_stream_head (conn);
      peer_event (conn, conn->step + 1);
      peer_after (conn, seeds_random (20) * EL_MSEC, course_end);
    }
  else
    peer_after (conn, wait, course_stream);
}

/* Gives the answer that is to come twice. */
static void
course_give_surplus (peer_conn_t *conn)
{
  char id[PEER_ID_MAX];

  if (!conn->surplus[0])
    return;
  memcpy (id, conn->id, sizeof id);
  memcpy (conn->id, conn->surplus, sizeof id);
  peer_refuse (conn);
  memcpy (conn->id, id, sizeof id);
  conn->surplus[0] = '\0';
}

static void
course_serve (peer_conn_t *conn)
{
  course_act_t act = endpoint_acts[seeds_random (sizeof endpoint_acts
                                                 / sizeof *endpoint_acts)];

  course_give_surplus (conn);
  switch (act)
    {
    case ACT_REFUSE_TWICE:
      memcpy (conn->surplus, conn->id, sizeof conn->id);
      peer_refuse (conn);
      break;
    case ACT_REFUSE:
      peer_refuse (conn);
      break;
    case ACT_CLOSE:
      peer_end (conn);
      break;
    case ACT_HANG:
      break;
    case ACT_CROSSED:
      snprintf (conn->id, sizeof conn->id, "other");
      peer_refuse (conn);
      break;
    case ACT_GARBAGE:
      peer_printf (conn, "no answer\r\n\r\n");
      break;
    default:
      course_run (conn, act);
    }
}

static void
course_help (peer_conn_t *conn)
{
  static const char refusal[] = "HTTP/1.1 503 Busy\r\n%scontent-length: 0\r\n"
                                "elmarch-not-run: 1\r\n"
                                "retry-after: 0.1\r\n\r\n";

  switch (seeds_random (6))
    {
    case 0:
      peer_printf (conn, refusal, "elmarch-unserved: 1\r\n");
      break;
    case 1:
      peer_printf (conn, refusal, "");
      break;
    case 2:
      peer_end (conn);
      break;
    default:
      course_run (conn, seeds_random (2) ? ACT_SERVE : ACT_SERVE_LATE);
    }
}

static void
course_borrow (void *arg, const pr_loan_request_t *request, pr_loan_cb done,
               void *done_arg)
{
  const co_loan_t loan = { .tokens = request->wanted };

  (void)arg;
  if (!course.loan_done && seeds_random (2))
    {
      course.loan_done = done;
      course.loan_arg = done_arg;
    }
  else
    done (done_arg, seeds_random (3) ? &loan : NULL);
}

static void
course_lend (void)
{
  const co_loan_t loan = { .tokens = seeds_random (3), .wait = 50 * EL_MSEC };
  pr_loan_cb done = course.loan_done;

  course.loan_done = NULL;
  if (done)
    done (course.loan_arg, &loan);
}

static void
course_open_endpoint (const char *service, unsigned end)
{
  size_t i = course.npeers++;
  char id[16];

  ck_assert_uint_lt (i, COURSE_PEERS_MAX);
  snprintf (id, sizeof id, "e%zu", i);
  course.peers[i].serve = course_serve;
  peer_open (&course.peers[i]);
  course.targets[i]
      = rt_target_ref (relay_net_add (&course.peers[i], id, service, end));
}

static void
course_send (void)
{
  static const char *const paths[]
      = { "/high/x", "/high/x", "/low/x",  "/low/x",
          "/low/x",  "/pay/x",  "/look/x", "/look/x" };
  course_call_t *call = &course.calls[course.ncalls];
  char id[16];

  if (course.ncalls == COURSE_CALLS)
    return;
  snprintf (id, sizeof id, "r%zu", course.ncalls++);
  call->path = paths[seeds_random (sizeof paths / sizeof *paths)];
  call->sent = 1;
  call_send (&call->call, id, "POST", call->path);
}

static void
course_leave (void)
{
  course_call_t *call = &course.calls[seeds_random (COURSE_CALLS)];

  if (!call->call.exchange)
    return;
  call->left = 1;
  call_leave (&call->call);
}

/* Lists another endpoint in the place of one, which crashes or leaves. */
static void
course_replace (size_t i)
{
  rt_target_t *target = course.targets[i];

  if (target->avail.gone || course.npeers == COURSE_PEERS_MAX)
    return;
  if (seeds_random (2))
    peer_close (&course.peers[i]);
  course_open_endpoint (target->attrs.end ? "llm" : "app", target->attrs.end);
  rt_fleet_remove (rnet.relays->options.fleet, target->attrs.id);
  gt_relays_engine_gone (rnet.relays, target);
}

/* Ends the requests of a drawn one's digest, as a rumor of a block does. */
static void
course_block (void)
{
  rt_block_t block = { .kind = RT_CAUSE_REQUEST };
  gt_relay_t *relay = rnet.relays->running;
  unsigned skip = seeds_random (8);

  while (relay && skip--)
    relay = relay->next;
  if (!relay || !relay->service)
    return;
  block.id = block.causes[0] = relay_digest (relay);
  block.n = 1;
  relay_suspect_cancel (rnet.relays, &block);
}

/* An endpoint falls silent, or a helper is not live, for a time. */
static void
course_silence (size_t i)
{
  el_time_t until = net_clock_now (&rnet.clock)
                    + seeds_random (COURSE_SILENCE_MAX) * EL_MSEC;

  switch (seeds_random (4))
    {
    case 0:
      course.lost_until[seeds_random (COURSE_HELPERS)] = until;
      break;
    case 1: /* all at once */
      for (i = 0; i < course.npeers; i++)
        course.silent_until[i] = until;
      break;
    default:
      course.silent_until[i] = until;
    }
}

/* This host reaches no endpoint of a drawn one's service, or all of them
   again. */
static void
course_cut (const rt_target_t *like)
{
  int cut = seeds_random (2) != 0;
  rt_target_t *target;
  size_t i;

  for (i = 0; i < course.npeers; i++)
    {
      target = course.targets[i];
      if (target->avail.gone
          || !el_str_eq (target->attrs.service, like->attrs.service))
        continue;
      if (cut)
        relay_reach_failed (rnet.relays, target);
      else
        relay_reach_connected (rnet.relays, target,
                               net_clock_now (&rnet.clock));
    }
}

static void
course_pause (void)
{
  el_time_t now = net_clock_now (&rnet.clock);
  size_t i;

  for (i = 0; i < course.npeers; i++)
    course.peers[i].silent = now < course.silent_until[i];
  for (i = 0; i < COURSE_HELPERS; i++)
    course.helpers[i].lost = now < course.lost_until[i];
}

static void
course_step (void)
{
  static const rt_hints_t hints[]
      = { { .backoff = 40 * EL_MSEC },
          { .limited = RT_LIMIT_NAMED, .limit = 20 },
          { .limited = RT_LIMIT_NAMED, .limit = 200 } };
  size_t i = seeds_random ((unsigned)course.npeers);
  rt_target_t *target = course.targets[i];
  gt_relays_t *relays = rnet.relays;

  switch (seeds_random (14))
    {
    case 0:
    case 1:
    case 2:
    case 3:
      course_send ();
      break;
    case 4:
      course_leave ();
      break;
    case 5:
      relay_reach_failed (relays, target);
      break;
    case 6:
      if (!target->avail.gone)
        relay_reach_connected (relays, target, net_clock_now (&rnet.clock));
      break;
    case 7:
      if (!target->avail.gone)
        gt_relays_apply_hints (relays, target, &hints[seeds_random (3)],
                               EL_STR ("test"));
      break;
    case 8:
      relay_wait_room_all (relays);
      break;
    case 9:
      course_lend ();
      break;
    case 10:
      if (seeds_random (4) == 0)
        course_replace (i);
      break;
    case 11:
      if (seeds_random (8) == 0)
        course_block ();
      break;
    case 12:
      if (seeds_random (2))
        course_silence (i);
      break;
    default:
      if (seeds_random (2))
        course_cut (target);
    }
}

static void
course_check (void)
{
  const gt_relay_t *relay;
  const relay_helper_t *helper;
  unsigned over_hosts = 0;
  unsigned helped = 0;

  ck_assert_uint_eq (rnet.relays->counts.phase_errors, 0);
  DL_FOREACH (rnet.relays->running, relay)
  {
    ck_assert_msg (relay_phase_holds (relay), "%.*s in phase %d",
                   (int)relay->id.len, relay->id.ptr, (int)relay->phase);
    over_hosts += relay->helper != NULL;
    over_hosts += relay_standby_helper (relay) != NULL;
  }
  for (helper = rnet.relays->helpers; helper; helper = helper->hh.next)
    helped += helper->running;
  ck_assert_uint_eq (helped, over_hosts);
}

static int
course_is_over (void)
{
  size_t i;

  for (i = 0; i < course.ncalls; i++)
    if (course.calls[i].call.exchange)
      return 0;
  return 1;
}

static void
course_run_for (el_time_t span, int until_over)
{
  el_time_t until = net_clock_now (&rnet.clock) + span;

  while (net_clock_now (&rnet.clock) < until
         && !(until_over && course_is_over ()))
    {
      course_pause ();
      relay_net_run_once ();
      course_check ();
    }
}

/* All events in order, or all of a plain answer. */
static void
course_judge_success (const course_call_t *call)
{
  el_buf_t whole = { NULL, 0, 0 };
  unsigned i;

  ck_assert (call->call.sealed);
  ck_assert_uint_ge (call->runs, 1);
  if (path_is_stream (call->path))
    for (i = 1; i <= COURSE_EVENTS; i++)
      el_buf_printf (&whole, "id: %u\ndata: t%u\n\n", i, i);
  else
    el_buf_add (&whole, EL_STR ("complete"));
  ck_assert_msg (
      el_str_eq (el_buf_str (&whole), el_buf_str (&call->call.body)),
      "%s %s net %d by close %d runs %u got %.*s", call->call.id, call->path,
      (int)call->call.net, call->call.by_close, call->runs,
      (int)call->call.body.len, call->call.body.ptr);
  el_buf_free (&whole);
}

static void
course_judge (const course_call_t *call)
{
  int idempotent = call->path[1] == 'l';

  if (!idempotent)
    ck_assert_msg (call->runs <= 1, "%s %s ran %u times", call->call.id,
                   call->path, call->runs);
  ck_assert_msg (call->runs <= COURSE_ATTEMPTS, "%s %s ran %u times",
                 call->call.id, call->path, call->runs);
  if (call->left)
    return;
  ck_assert_msg (!call->call.exchange, "%s has no answer", call->call.id);
  if (call->call.net == NET_OK && call->call.status == 503)
    ck_assert_msg (idempotent || call->runs == 0, "%s was refused, but ran",
                   call->call.id);
  if (call->call.net == NET_OK && call->call.status == 200)
    course_judge_success (call);
}

/* Whatever happens, a request has one thing at a time that acts on it, runs
   once if it may run once, and gets one true answer. */
START_TEST (test_phase_drawn_courses)
{
  size_t i;

  seeds_seed ((uint64_t)_i);
  for (i = 0; i < COURSE_ENGINES; i++)
    course_open_endpoint ("llm", 8);
  for (i = 0; i < COURSE_WORKERS; i++)
    course_open_endpoint ("app", 0);
  for (i = 0; i < COURSE_HELPERS; i++)
    {
      course.helpers[i].serve = course_help;
      peer_open (&course.helpers[i]);
      rnet.helpers[rnet.nhelpers++] = &course.helpers[i];
    }
  for (i = 0; i < COURSE_STEPS; i++)
    {
      course_step ();
      course_run_for (COURSE_STEP, 0);
    }
  course_run_for (COURSE_END, 1);
  course_run_for (300 * EL_MSEC, 0);
  for (i = 0; i < course.ncalls; i++)
    course_judge (&course.calls[i]);
  ck_assert_msg (gt_relays_running (rnet.relays) == 0, "%.*s in phase %d",
                 (int)rnet.relays->running->id.len,
                 rnet.relays->running->id.ptr,
                 (int)rnet.relays->running->phase);
}
END_TEST

static void
course_setup (void)
{
  const gt_relay_options_t options = { .borrow = course_borrow };

  relay_net_setup (&options, rules_text);
}

Suite *
phase_suite (void)
{
  Suite *suite = suite_create ("phase");
  TCase *tcase = tcase_create ("phase");
  TCase *courses = tcase_create ("courses");
  int one = (int)seeds_env ("ELMARCH_SEED", 0);
  int n = (int)seeds_env ("ELMARCH_SEEDS", COURSES);

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, phase_setup, NULL);
  ADD_LOOP (tcase, test_waiting_request_is_sent_over_one_host, 2);
  ADD_LOOP (tcase, test_waiting_stream_is_not_joined_from_two_runs, 2);
  ADD_LOOP (tcase, test_request_of_a_reset_connection_is_freed, 2);
  suite_add_tcase (suite, tcase);
  tcase_set_timeout (courses, 60);
  tcase_add_checked_fixture (courses, course_setup, NULL);
  if (test_wanted ("test_phase_drawn_courses"))
    tcase_add_loop_test (courses, test_phase_drawn_courses, one ? one : 1,
                         one ? one + 1 : n + 1);
  suite_add_tcase (suite, courses);
  return suite;
}
