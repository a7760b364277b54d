/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * An endpoint of the users' platform that registers itself in the store: an
 * engine if it has a card, else a plain service. An engine loads layers and
 * streams events through a chain of engines. PUT /fault applies to requests
 * without a chain. POST /stall {"at": ADDRESS} stalls streams whose chain
 * includes that engine until they are rerouted around it. A request with
 * "deadly" in its body makes the process exit soon after it starts to run, and
 * so does one with CRASH_PART among the parts of its prompt, unless it is the
 * last part.
 * POST /rest makes the member ask hosts to back off, or announce that it is
 * leaving, POST /limit makes it name a rate limit, POST /unframed makes it end
 * its streams by closing their connections. POST /places {"streams": N} makes
 * it refuse streams beyond N at a time, {"full": true} all new ones. POST
 * /first {"ms": N} delays the head and first event of new streams. GET /runs
 * returns counters,
 * GET /seen the headers of the last request. With --record the member appends
 * a line to a file before it runs a request, so that the runs can be checked
 * after the process has exited: "MICROSECONDS ID MEMBER CUSTOMER CHAIN
 * LAST-EVENT-ID".
 */
#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/time.h>
#include <unistd.h>

#include "libgate.h"
#include "backoff.h"
#include "rate_limit.h"

#define STREAM_EVENTS 40
#define RESPONSE_SEAL "seal.of.a.stand-in"
#define CRASH_MARKER "deadly"
#define CRASH_PART "deadbeef"
/* Time from the start of a request that crashes the process to its exit. */
#define CRASH_DELAY (20 * EL_MSEC)
/* The same after POST /crash-late. */
#define LATE_CRASH_DELAY (300 * EL_MSEC)
/* With POST /linger the process first aborts its streams, then keeps its port
   open for this time without answering. */
#define LINGER_TIME (300 * EL_MSEC)

typedef struct member_stream
{
  struct member *member;
  h2o_req_t *req; /* NULL once the caller has disconnected */
  h2o_generator_t generator;
  char *id;
  char *chain;
  uint64_t next_id; /* id of the next event */
  int send_pending;
  int event_due;
  char text[64];
  el_timer_t event_timer;
  struct member_stream *prev;
  struct member_stream *next;
} member_stream_t;

typedef struct member
{
  sn_process_t *process;
  net_client_t *client;
  member_stream_t *streams;
  char *stalled_engine; /* address of the engine for which streams stall */
  unsigned first;
  unsigned end;
  uint64_t orders;
  uint64_t runs;
  uint64_t disconnected; /* callers that left while their request ran */
  json_t *last_headers;
  int leaving;
  int record_fd; /* file descriptor; -1: none */
  char id[64];
  uint64_t born;          /* start time, in Unix milliseconds */
  el_timer_t crash_timer; /* set while a request with the marker runs */
  int crash_late;         /* crash some time after the request started */
  int linger;             /* abort streams before exiting */
  int unframed;           /* streams have neither a length nor chunks */
  int unresponsive;
  uint64_t places;      /* streams at a time; 0: not limited */
  int full;             /* refuse all new streams */
  el_time_t first_wait; /* from the start of a stream to its first event */
  uint64_t refused;     /* streams refused for lack of room */
  uint64_t whole;       /* streams sent to their last event */
  sn_backoff_t *backoff;
  sn_limit_t *limit;
} member_t;

static void stream_send_event (void *arg, el_time_t now);

static void
register_done (void *arg, const net_result_t *result)
{
  (void)arg;
  if (result->net != NET_OK)
    fprintf (stderr, "standin: store registration error\n");
}

/* Writes the member's entry to the store, where hosts read it. */
static void
member_register (member_t *member)
{
  const sn_settings_t *settings = &member->process->settings;
  const char *address
      = settings->announce[0] ? settings->announce : settings->listen;
  json_t *json = json_pack (
      "{s:s,s:s,s:s,s:s,s:i,s:s,s:I,s:I}", "Service", settings->service,
      "Address", address, "Zone", settings->hall, "Version", "v1", "Slots", 64,
      "State", member->leaving ? "draining" : "ready", "SeqNo",
      (json_int_t)member->orders, "born", (json_int_t)member->born);
  char path[128];
  char *text;
  net_request_t send = { .address = el_str (settings->store),
                         .method = EL_STR ("PUT"),
                         .done = register_done };

  if (settings->card[0])
    json_object_set_new (json, "RouteType", json_string (settings->card));
  if (member->end > member->first)
    json_object_set_new (json, "layers",
                         json_pack ("{s:i,s:i,s:i}", "Source",
                                    (int)member->first, "TargetVersion",
                                    (int)member->end, "Version", 1));
  text = json_dumps (json, JSON_COMPACT);
  snprintf (path, sizeof path, "/test/servers/%s", member->id);
  send.path = el_str (path);
  send.body = el_str (text);
  net_client_send (member->client, &send);
  free (text);
  json_decref (json);
}

static void
member_open (sn_process_t *process)
{
  member_t *member = el_alloc (sizeof *member);

  struct timeval now;

  gettimeofday (&now, NULL);
  member->born = (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_usec / 1000;
  member->process = process;
  member->client = net_client_new (&process->clock);
  if (process->settings.same_id)
    snprintf (member->id, sizeof member->id, "%s", process->settings.name);
  else
    snprintf (member->id, sizeof member->id, "%s-%" PRIx64,
              process->settings.name, uv_hrtime ());
  member->backoff
      = sn_backoff_new (&process->clock, member->id, process->settings.record);
  member->limit
      = sn_limit_new (&process->clock, member->id, process->settings.record);
  member->record_fd = -1;
  if (process->settings.record[0])
    member->record_fd = open (process->settings.record,
                              O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0600);
  process->state = member;
  member_register (member);
}

static el_str_t
or_dash (el_str_t text)
{
  return text.len ? text : EL_STR ("-");
}

/* Records a run. The line is written with a single call, so that several
   members can share the file. */
static void
member_record_run (const member_t *member, const h2o_req_t *req)
{
  el_str_t id = or_dash (net_req_header (req, "x-elmarch-request-id"));
  el_str_t customer = or_dash (net_req_header (req, "x-elmarch-tenant"));
  el_str_t chain = or_dash (net_req_header (req, "path"));
  el_str_t resumed = or_dash (net_req_header (req, "last-event-id"));
  el_buf_t out = { NULL, 0, 0 };

  if (member->record_fd < 0)
    return;
  el_buf_printf (&out, "%" PRIu64 " %.*s %s %.*s %.*s %.*s\n",
                 uv_hrtime () / 1000, (int)id.len, id.ptr, member->id,
                 (int)customer.len, customer.ptr, (int)chain.len, chain.ptr,
                 (int)resumed.len, resumed.ptr);
  if (write (member->record_fd, out.ptr, out.len) != (ssize_t)out.len)
    fprintf (stderr, "standin: cannot record a run\n");
  el_buf_free (&out);
}

static void
reply_with_id (h2o_req_t *req, int status, const char *header,
               const char *value, const char *body)
{
  if (header)
    net_req_add_header (req, el_str (header), el_str (value));
  net_req_add_header (req, EL_STR ("x-elmarch-request-id"),
                      net_req_header (req, "x-elmarch-request-id"));
  net_req_reply (req, status, EL_STR ("text/plain"), el_str (body));
}

static void
member_refuse (h2o_req_t *req, int status)
{
  reply_with_id (req, status, "x-elmarch-not-executed", "1", "");
}

static void
headers_save (member_t *member, const h2o_req_t *req)
{
  size_t i;

  json_decref (member->last_headers);
  member->last_headers = json_object ();
  for (i = 0; i < req->headers.size; i++)
    {
      const h2o_header_t *h = &req->headers.entries[i];
      char *name = strndup (h->name->base, h->name->len);

      json_object_set_new (member->last_headers, name,
                           json_stringn (h->value.base, h->value.len));
      free (name);
    }
}

static void
member_exit (void *arg, el_time_t now)
{
  (void)arg;
  (void)now;
  exit (EXIT_FAILURE);
}

static void
member_crash (void *arg, el_time_t now)
{
  member_t *member = arg;
  member_stream_t *stream;

  if (!member->linger)
    member_exit (arg, now);
  member->unresponsive = 1;
  DL_FOREACH2 (member->streams, stream, next)
  net_req_abort (stream->req);
  member->crash_timer.cb = member_exit;
  net_clock_set (&member->process->clock, &member->crash_timer, LINGER_TIME);
}

/* Whether a part of the prompt, other than the last, is CRASH_PART. */
static int
prompt_crashes (const h2o_req_t *req)
{
  el_str_t rest = net_req_header (req, "x-elmarch-prompt-prefix");
  el_str_t part = el_str_cut (&rest, ',');

  for (; rest.len; part = el_str_cut (&rest, ','))
    if (el_str_eq (el_str_cut (&part, ':'), EL_STR (CRASH_PART)))
      return 1;
  return 0;
}

/* Schedules the exit if the request crashes the process; returns whether it
   does. */
static int
member_schedule_crash (member_t *member, const h2o_req_t *req)
{
  el_str_t body = net_req_body (req);
  char *text = strndup (body.ptr ? body.ptr : "", body.len);
  int crashes = strstr (text, CRASH_MARKER) != NULL;

  free (text);
  if (!crashes && !prompt_crashes (req))
    return 0;
  member->crash_timer.cb = member_crash;
  member->crash_timer.arg = member;
  net_clock_set (&member->process->clock, &member->crash_timer,
                 member->crash_late ? LATE_CRASH_DELAY : CRASH_DELAY);
  return 1;
}

/* Streams. */

static void
stream_free (member_stream_t *stream)
{
  DL_DELETE2 (stream->member->streams, stream, prev, next);
  net_clock_cancel (&stream->member->process->clock, &stream->event_timer);
  free (stream->id);
  free (stream->chain);
  free (stream);
}

static void
stream_disconnected (void *arg, int freed)
{
  member_stream_t *stream = arg;

  if (!freed)
    {
      stream->member->disconnected++;
      net_req_abort (stream->req);
      return;
    }
  stream_free (stream);
}

static int
stream_stalled (const member_stream_t *stream)
{
  return stream->member->stalled_engine
         && strstr (stream->chain, stream->member->stalled_engine) != NULL;
}

static void
stream_proceed (h2o_generator_t *generator, h2o_req_t *req)
{
  member_stream_t *stream
      = (member_stream_t *)((char *)generator
                            - offsetof (member_stream_t, generator));

  (void)req;
  stream->send_pending = 0;
  if (stream->event_due)
    stream_send_event (stream, 0);
}

static void
stream_send_event (void *arg, el_time_t now)
{
  member_stream_t *stream = arg;
  sn_process_t *process = stream->member->process;
  int last = stream->next_id == STREAM_EVENTS;
  h2o_iovec_t vec;

  (void)now;
  stream->event_due = stream->send_pending;
  if (stream->send_pending)
    return;
  net_clock_set (&process->clock, &stream->event_timer,
                 process->settings.step_us);
  if (stream_stalled (stream))
    return;
  snprintf (stream->text, sizeof stream->text,
            "id: %" PRIu64 "\ndata: p%" PRIu64 "\n\n", stream->next_id,
            stream->next_id);
  stream->next_id++;
  vec = h2o_iovec_init (stream->text, strlen (stream->text));
  stream->send_pending = 1;
  if (last)
    {
      net_clock_cancel (&process->clock, &stream->event_timer);
      stream->member->whole++;
    }
  h2o_send (stream->req, &vec, 1,
            last ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
}

/* Whether this engine holds the layers of the chain's first part,
   "IP:PORT=FROM-TO". */
static int
chain_starts_here (const member_t *member, el_str_t chain)
{
  el_str_t part = el_str_cut (&chain, ',');
  uint64_t from = 0;
  uint64_t to = 0;

  el_str_cut (&part, '=');
  el_str_to_u64 (el_str_cut (&part, '-'), &from);
  el_str_to_u64 (part, &to);
  return from == 0 && member->first == 0 && to <= member->end;
}

static void
serve_stream (member_t *member, h2o_req_t *req, el_str_t chain)
{
  member_stream_t *stream = el_alloc (sizeof *stream);
  uint64_t last = 0;

  stream->member = member;
  stream->req = req;
  stream->chain = strndup (chain.ptr, chain.len);
  stream->id = strndup (net_req_header (req, "x-elmarch-request-id").ptr,
                        net_req_header (req, "x-elmarch-request-id").len);
  el_str_to_u64 (net_req_header (req, "last-event-id"), &last);
  stream->next_id = last + 1;
  stream->event_timer.cb = stream_send_event;
  stream->event_timer.arg = stream;
  stream->generator.proceed = stream_proceed;
  DL_APPEND2 (member->streams, stream, prev, next);
  member->runs++;
  member_record_run (member, req);
  net_req_watch (req, stream_disconnected, stream);
  req->res.status = 200;
  req->res.reason = "OK";
  if (member->unframed)
    {
      req->version = 0x100; /* h2o sends no chunks to such a client */
      req->http1_is_persistent = 0;
    }
  net_req_add_header (req, EL_STR ("content-type"),
                      EL_STR ("text/event-stream"));
  net_req_add_header (req, EL_STR ("x-elmarch-response-seal"),
                      EL_STR (RESPONSE_SEAL));
  net_req_add_header (req, EL_STR ("x-elmarch-request-id"),
                      net_req_header (req, "x-elmarch-request-id"));
  h2o_start_response (req, &stream->generator);
  if (member_schedule_crash (member, req))
    h2o_send (req, NULL, 0, H2O_SEND_STATE_IN_PROGRESS); /* only headers */
  else if (member->first_wait)
    net_clock_set (&member->process->clock, &stream->event_timer,
                   member->first_wait);
  else
    stream_send_event (stream, 0);
}

/* Orders and load reports. */

static void
order_place (member_t *member, h2o_req_t *req, json_t *json)
{
  json_t *expected = json_object_get (json, "ExpectedRev");

  if (expected && json_integer_value (expected) != (json_int_t)member->orders)
    {
      net_req_reply (req, 409, EL_STR (""), EL_STR ("{}"));
      return;
    }
  member->orders++;
  member->first
      = (unsigned)json_integer_value (json_object_get (json, "Source"));
  member->end
      = (unsigned)json_integer_value (json_object_get (json, "TargetVersion"));
  if (member->end - member->first > member->process->settings.max_layers)
    exit (EXIT_FAILURE);
  net_req_reply (req, 202, EL_STR (""), EL_STR ("{}"));
  member_register (member);
}

static void
order_repath (member_t *member, h2o_req_t *req, json_t *json)
{
  const char *id = json_string_value (json_object_get (json, "Id"));
  const char *chain = json_string_value (json_object_get (json, "Path"));
  member_stream_t *stream;

  for (stream = member->streams; stream; stream = stream->next)
    if (strcmp (stream->id, id) == 0)
      {
        free (stream->chain);
        stream->chain = strdup (chain);
        net_req_reply (req, 200, EL_STR (""), EL_STR ("{}"));
        return;
      }
  net_req_reply (req, 404, EL_STR (""), EL_STR ("{}"));
}

static void
serve_order (member_t *member, h2o_req_t *req)
{
  json_t *json = sn_parse_body (req);
  const char *op = json_string_value (json_object_get (json, "op"));

  sn_backoff_count (member->backoff, req, SN_CALL_ORDER);
  if (sn_backoff_reject (member->backoff, req, SN_CALL_ORDER))
    ;
  else if (op && strcmp (op, "place") == 0)
    order_place (member, req, json);
  else if (op && strcmp (op, "repath") == 0)
    order_repath (member, req, json);
  else
    net_req_reply (req, 400, EL_STR (""), EL_STR ("{}"));
  json_decref (json);
}

static void
serve_report (member_t *member, h2o_req_t *req)
{
  json_t *stalled;
  member_stream_t *stream;

  sn_backoff_count (member->backoff, req, SN_CALL_REPORT);
  if (sn_backoff_reject (member->backoff, req, SN_CALL_REPORT))
    return;
  stalled = json_array ();
  for (stream = member->streams; stream; stream = stream->next)
    if (stream_stalled (stream))
      json_array_append_new (stalled,
                             json_pack ("{s:s,s:s}", "Id", stream->id,
                                        "Address", member->stalled_engine));
  sn_reply_json (req, 200,
                 json_pack ("{s:I,s:I,s:o}", "SeqNo",
                            (json_int_t)member->orders, "born",
                            (json_int_t)member->born, "stalled", stalled));
}

static void
serve_stall (member_t *member, h2o_req_t *req)
{
  json_t *json = sn_parse_body (req);
  const char *at = json_string_value (json_object_get (json, "at"));

  free (member->stalled_engine);
  member->stalled_engine = at ? strdup (at) : NULL;
  json_decref (json);
  net_req_reply (req, 204, EL_STR (""), EL_STR (""));
}

static void
serve_leave (member_t *member, h2o_req_t *req)
{
  member->leaving = 1;
  member_register (member);
  net_req_reply (req, 204, EL_STR (""), EL_STR (""));
}

static void
serve_crash_late (member_t *member, h2o_req_t *req)
{
  member->crash_late = 1;
  net_req_reply (req, 204, EL_STR (""), EL_STR (""));
}

static void
serve_linger (member_t *member, h2o_req_t *req)
{
  member->linger = 1;
  net_req_reply (req, 204, EL_STR (""), EL_STR (""));
}

static void
serve_unframed (member_t *member, h2o_req_t *req)
{
  member->unframed = 1;
  net_req_reply (req, 204, EL_STR (""), EL_STR (""));
}

static void
serve_places (member_t *member, h2o_req_t *req)
{
  json_t *json = sn_parse_body (req);

  member->places
      = (uint64_t)json_integer_value (json_object_get (json, "streams"));
  member->full = json_is_true (json_object_get (json, "full"));
  json_decref (json);
  net_req_reply (req, 204, EL_STR (""), EL_STR (""));
}

static void
serve_first (member_t *member, h2o_req_t *req)
{
  json_t *json = sn_parse_body (req);

  member->first_wait
      = (el_time_t)json_integer_value (json_object_get (json, "ms")) * EL_MSEC;
  json_decref (json);
  net_req_reply (req, 204, EL_STR (""), EL_STR (""));
}

static uint64_t
streams_open (const member_t *member)
{
  const member_stream_t *stream;
  uint64_t n = 0;

  for (stream = member->streams; stream; stream = stream->next)
    n++;
  return n;
}

static int
places_taken (const member_t *member)
{
  return member->full
         || (member->places && streams_open (member) >= member->places);
}

/* Refuses a stream for lack of room. */
static void
refuse_full (member_t *member, h2o_req_t *req)
{
  member->refused++;
  net_req_add_header (req, EL_STR ("at-server"),
                      el_str (member->process->settings.listen));
  member_refuse (req, 503);
}

static void
serve_backoff (member_t *member, h2o_req_t *req)
{
  json_t *json = sn_parse_body (req);

  sn_backoff_configure (member->backoff, json);
  json_decref (json);
  net_req_reply (req, 204, EL_STR (""), EL_STR (""));
}

static void
serve_backoff_stats (member_t *member, h2o_req_t *req)
{
  sn_reply_json (req, 200, sn_backoff_stats (member->backoff));
}

static void
serve_limit (member_t *member, h2o_req_t *req)
{
  json_t *json;

  if (el_str_eq (net_req_method (req), EL_STR ("GET")))
    {
      sn_reply_json (req, 200, sn_limit_stats (member->limit));
      return;
    }
  json = sn_parse_body (req);
  sn_limit_configure (member->limit, json);
  json_decref (json);
  net_req_reply (req, 204, EL_STR (""), EL_STR (""));
}

static void
serve_runs (member_t *member, h2o_req_t *req)
{
  sn_reply_json (req, 200,
                 json_pack ("{s:I,s:I,s:I,s:I,s:I,s:s,s:I,s:I}", "runs",
                            (json_int_t)member->runs, "refused",
                            (json_int_t)member->refused, "gone",
                            (json_int_t)member->disconnected, "open",
                            (json_int_t)streams_open (member), "whole",
                            (json_int_t)member->whole, "id", member->id,
                            "first", (json_int_t)member->first, "end",
                            (json_int_t)member->end));
}

static void
serve_seen (member_t *member, h2o_req_t *req)
{
  sn_reply_json (req, 200,
                 member->last_headers ? json_incref (member->last_headers)
                                      : json_null ());
}

/* Plain requests. */

static void
plain_disconnected (void *arg, int freed)
{
  member_t *member = arg;

  if (!freed)
    member->disconnected++;
}

/* ?bytes=N makes the answer N bytes long. Returns 0 without it. */
static int
plain_answer_long (h2o_req_t *req)
{
  el_buf_t body = { NULL, 0, 0 };
  el_str_t text = { NULL, 0 };
  uint64_t bytes;

  if (!net_req_query (req, EL_STR ("bytes"), &text)
      || !el_str_to_u64 (text, &bytes))
    return 0;
  while (body.len < bytes)
    el_buf_add (&body, EL_STR ("0123456789abcdef"));
  reply_with_id (req, 200, "x-elmarch-response-seal", RESPONSE_SEAL, body.ptr);
  el_buf_free (&body);
  return 1;
}

static void
plain_answer (h2o_req_t *req, json_t *answer)
{
  char *text = json_dumps (answer, JSON_COMPACT);

  reply_with_id (req, 200, "x-elmarch-response-seal", RESPONSE_SEAL, text);
  free (text);
  json_decref (answer);
}

static void
serve_plain (member_t *member, h2o_req_t *req)
{
  sn_process_t *process = member->process;
  sn_fault_t fault = sn_fault_next (process);

  if (fault == SN_BUSY || fault == SN_LEAVING)
    {
      member_refuse (req, 503);
      return;
    }
  member->runs++;
  member_record_run (member, req);
  if (fault == SN_DOWN)
    {
      reply_with_id (req, 500, "x-elmarch-response-seal", RESPONSE_SEAL, "");
      return;
    }
  if (fault == SN_UNSEALED)
    {
      reply_with_id (req, 404, NULL, NULL, "");
      return;
    }
  if (fault == SN_LOSE)
    {
      net_req_abort (req);
      net_req_reply (req, 500, EL_STR (""), EL_STR (""));
      return;
    }
  if (fault == SN_CROSS)
    {
      net_req_add_header (req, EL_STR ("x-elmarch-request-id"),
                          EL_STR ("another"));
      net_req_add_header (req, EL_STR ("x-elmarch-response-seal"),
                          EL_STR (RESPONSE_SEAL));
      net_req_reply (req, 200, EL_STR (""), EL_STR ("another's"));
      return;
    }
  if (plain_answer_long (req))
    return;
  net_req_watch (req, plain_disconnected, member);
  if (fault == SN_SLOW)
    sn_backoff_unanswered (member->backoff, req);
  if (member_schedule_crash (member, req) || fault == SN_HANG)
    {
      sn_backoff_unanswered (member->backoff, req);
      gt_deferred_new (req);
      return;
    }
  sn_reply_later (process, req,
                  json_pack ("{s:s,s:I}", "ran", process->settings.name, "run",
                             (json_int_t)member->runs),
                  fault == SN_SLOW ? process->delay_ms * EL_MSEC : 0,
                  plain_answer);
}

/* Serves a request only if it names this instance or none. */
static void
serve_request (member_t *member, h2o_req_t *req)
{
  el_str_t expect = net_req_header (req, "x-elmarch-expect-instance");
  el_str_t chain = net_req_header (req, "path");

  sn_limit_count (member->limit, req);
  sn_backoff_count (member->backoff, req, SN_CALL_REQUEST);
  if (sn_backoff_reject (member->backoff, req, SN_CALL_REQUEST))
    return;
  if (expect.len && !el_str_eq (expect, el_str (member->id)))
    {
      member_refuse (req, 421);
      return;
    }
  headers_save (member, req);
  if (chain.len && !chain_starts_here (member, chain))
    member_refuse (req, 421);
  else if (chain.len && places_taken (member))
    refuse_full (member, req);
  else if (chain.len)
    serve_stream (member, req, chain);
  else
    serve_plain (member, req);
}

static const struct
{
  el_str_t path;
  void (*serve) (member_t *member, h2o_req_t *req);
} routes[] = {
  { EL_STR ("/elmarch/order"), serve_order },
  { EL_STR ("/elmarch/report"), serve_report },
  { EL_STR ("/stall"), serve_stall },
  { EL_STR ("/leave"), serve_leave },
  { EL_STR ("/crash-late"), serve_crash_late },
  { EL_STR ("/linger"), serve_linger },
  { EL_STR ("/unframed"), serve_unframed },
  { EL_STR ("/places"), serve_places },
  { EL_STR ("/first"), serve_first },
  { EL_STR ("/rest"), serve_backoff },
  { EL_STR ("/rests"), serve_backoff_stats },
  { EL_STR ("/limit"), serve_limit },
  { EL_STR ("/runs"), serve_runs },
  { EL_STR ("/seen"), serve_seen },
};

static void
member_serve (sn_process_t *process, h2o_req_t *req)
{
  member_t *member = process->state;
  el_str_t path = net_req_path (req);
  size_t i;

  if (member->unresponsive)
    {
      gt_deferred_new (req);
      return;
    }
  for (i = 0; i < sizeof routes / sizeof *routes; i++)
    if (el_str_eq (path, routes[i].path))
      {
        routes[i].serve (member, req);
        return;
      }
  serve_request (member, req);
}

const sn_role_t sn_member = { "member", member_open, member_serve };
