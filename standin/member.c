/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * An endpoint of the users' platform that enters itself in the store: with a
 * card an engine that takes layers and streams events over a line, else a
 * plain service. Faults are those of the stand-ins; POST /stall {"at":
 * ADDRESS} has its streams stand still for that engine until they are moved
 * around it. A request whose body holds "deadly" ends the process soon after
 * it begins to run. POST /rest has it ask hosts for rest, or say that it
 * leaves (rest.c). GET /runs tells what ran, GET /seen the last request's
 * headers. With --record each run is noted, before it begins, as a line of a
 * file that outlives the process: "MICROSECONDS ID MEMBER CUSTOMER LINE
 * RESUMED".
 */
#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/time.h>
#include <unistd.h>

#include "libgate.h"
#include "rest.h"

#define PIECES 40
#define SEAL "seal.of.a.stand-in"
#define DEADLY "deadly"
/* From the beginning of a deadly request to the process's end. */
#define DEADLY_AFTER (20 * EL_MSEC)
/* A process that lingers cuts its streams then, and holds its port for a
   while, answering nothing. */
#define LINGERS_FOR (300 * EL_MSEC)

typedef struct member_stream
{
  struct member *member;
  h2o_req_t *req; /* NULL once the caller has gone */
  h2o_generator_t generator;
  char *id;
  char *line;
  uint64_t next; /* id of the next event */
  int sending;
  int due;
  char text[64];
  el_timer_t step;
  struct member_stream *prev;
  struct member_stream *next_stream;
} member_stream_t;

typedef struct member
{
  sn_process_t *process;
  net_client_t *client;
  member_stream_t *streams;
  char *stalled; /* address of the engine that streams wait for */
  unsigned first;
  unsigned end;
  uint64_t orders;
  uint64_t runs;
  uint64_t gone; /* callers that left while a request ran */
  json_t *seen;
  int leaving;
  int record; /* descriptor; -1 is none */
  char id[64];
  uint64_t born;    /* Unix milliseconds of the start */
  el_timer_t dying; /* a deadly request runs */
  int lingers;      /* its streams are cut before it ends */
  int mute;
  sn_rest_t *rest;
} member_t;

static void stream_step (void *arg, el_time_t now);

static void
entered (void *arg, const net_result_t *result)
{
  (void)arg;
  if (result->net != NET_OK)
    fprintf (stderr, "standin: not entered in the store\n");
}

/* Write the entry that hosts read. */
static void
member_enter (member_t *member)
{
  const sn_settings_t *set = &member->process->set;
  const char *address = set->announce[0] ? set->announce : set->listen;
  json_t *json = json_pack (
      "{s:s,s:s,s:s,s:s,s:i,s:s,s:I,s:I}", "Service", set->service, "Address",
      address, "Zone", set->hall, "Version", "v1", "Slots", 64, "State",
      member->leaving ? "draining" : "ready", "SeqNo",
      (json_int_t)member->orders, "born", (json_int_t)member->born);
  char path[128];
  char *text;
  net_request_t send = { .address = el_str (set->store),
                         .method = EL_STR ("PUT"),
                         .done = entered };

  if (set->card[0])
    json_object_set_new (json, "RouteType", json_string (set->card));
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
  if (process->set.same_id)
    snprintf (member->id, sizeof member->id, "%s", process->set.name);
  else
    snprintf (member->id, sizeof member->id, "%s-%" PRIx64, process->set.name,
              uv_hrtime ());
  member->rest
      = sn_rest_new (&process->clock, member->id, process->set.record);
  member->record = -1;
  if (process->set.record[0])
    member->record = open (process->set.record,
                           O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0600);
  process->state = member;
  member_enter (member);
}

static el_str_t
or_dash (el_str_t text)
{
  return text.len ? text : EL_STR ("-");
}

/* Note a run; the line is written whole, so that several members may share
   the file. */
static void
member_record (const member_t *member, const h2o_req_t *req)
{
  el_str_t id = or_dash (net_req_header (req, "x-elmarch-request-id"));
  el_str_t customer = or_dash (net_req_header (req, "x-elmarch-tenant"));
  el_str_t line = or_dash (net_req_header (req, "path"));
  el_str_t resumed = or_dash (net_req_header (req, "last-event-id"));
  el_buf_t out = { NULL, 0, 0 };

  if (member->record < 0)
    return;
  el_buf_printf (&out, "%" PRIu64 " %.*s %s %.*s %.*s %.*s\n",
                 uv_hrtime () / 1000, (int)id.len, id.ptr, member->id,
                 (int)customer.len, customer.ptr, (int)line.len, line.ptr,
                 (int)resumed.len, resumed.ptr);
  if (write (member->record, out.ptr, out.len) != (ssize_t)out.len)
    fprintf (stderr, "standin: a run was not noted\n");
  el_buf_free (&out);
}

static void
reply_marked (h2o_req_t *req, int status, const char *header,
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
  reply_marked (req, status, "x-elmarch-not-executed", "1", "");
}

static void
headers_note (member_t *member, const h2o_req_t *req)
{
  size_t i;

  json_decref (member->seen);
  member->seen = json_object ();
  for (i = 0; i < req->headers.size; i++)
    {
      const h2o_header_t *h = &req->headers.entries[i];
      char *name = strndup (h->name->base, h->name->len);

      json_object_set_new (member->seen, name,
                           json_stringn (h->value.base, h->value.len));
      free (name);
    }
}

static void
member_end (void *arg, el_time_t now)
{
  (void)arg;
  (void)now;
  exit (EXIT_FAILURE);
}

static void
member_dying (void *arg, el_time_t now)
{
  member_t *member = arg;
  member_stream_t *stream;

  if (!member->lingers)
    member_end (arg, now);
  member->mute = 1;
  DL_FOREACH2 (member->streams, stream, next_stream)
  net_req_abort (stream->req);
  member->dying.cb = member_end;
  net_clock_set (&member->process->clock, &member->dying, LINGERS_FOR);
}

/* Whether the request ends the process; it will soon, if so. */
static int
member_dies (member_t *member, const h2o_req_t *req)
{
  el_str_t body = net_req_body (req);
  char *text = strndup (body.ptr ? body.ptr : "", body.len);
  int dies = strstr (text, DEADLY) != NULL;

  free (text);
  if (!dies)
    return 0;
  member->dying.cb = member_dying;
  member->dying.arg = member;
  net_clock_set (&member->process->clock, &member->dying, DEADLY_AFTER);
  return 1;
}

/* Streams. */

static void
stream_free (member_stream_t *stream)
{
  DL_DELETE2 (stream->member->streams, stream, prev, next_stream);
  net_clock_cancel (&stream->member->process->clock, &stream->step);
  free (stream->id);
  free (stream->line);
  free (stream);
}

static void
stream_gone (void *arg, int freed)
{
  member_stream_t *stream = arg;

  if (!freed)
    {
      stream->member->gone++;
      net_req_abort (stream->req);
      return;
    }
  stream_free (stream);
}

static int
stream_stalled (const member_stream_t *stream)
{
  return stream->member->stalled
         && strstr (stream->line, stream->member->stalled) != NULL;
}

static void
stream_proceed (h2o_generator_t *generator, h2o_req_t *req)
{
  member_stream_t *stream
      = (member_stream_t *)((char *)generator
                            - offsetof (member_stream_t, generator));

  (void)req;
  stream->sending = 0;
  if (stream->due)
    stream_step (stream, 0);
}

static void
stream_step (void *arg, el_time_t now)
{
  member_stream_t *stream = arg;
  sn_process_t *process = stream->member->process;
  int last = stream->next == PIECES;
  h2o_iovec_t vec;

  (void)now;
  stream->due = stream->sending;
  if (stream->sending)
    return;
  net_clock_set (&process->clock, &stream->step, process->set.step_us);
  if (stream_stalled (stream))
    return;
  snprintf (stream->text, sizeof stream->text,
            "id: %" PRIu64 "\ndata: p%" PRIu64 "\n\n", stream->next,
            stream->next);
  stream->next++;
  vec = h2o_iovec_init (stream->text, strlen (stream->text));
  stream->sending = 1;
  if (last)
    net_clock_cancel (&process->clock, &stream->step);
  h2o_send (stream->req, &vec, 1,
            last ? H2O_SEND_STATE_FINAL : H2O_SEND_STATE_IN_PROGRESS);
}

/* Whether the engine holds the first part of the line, "IP:PORT=FROM-TO". */
static int
line_fits (const member_t *member, el_str_t line)
{
  el_str_t part = el_str_cut (&line, ',');
  uint64_t from = 0;
  uint64_t to = 0;

  el_str_cut (&part, '=');
  el_str_to_u64 (el_str_cut (&part, '-'), &from);
  el_str_to_u64 (part, &to);
  return from == 0 && member->first == 0 && to <= member->end;
}

static void
serve_stream (member_t *member, h2o_req_t *req, el_str_t line)
{
  member_stream_t *stream = el_alloc (sizeof *stream);
  uint64_t last = 0;

  stream->member = member;
  stream->req = req;
  stream->line = strndup (line.ptr, line.len);
  stream->id = strndup (net_req_header (req, "x-elmarch-request-id").ptr,
                        net_req_header (req, "x-elmarch-request-id").len);
  el_str_to_u64 (net_req_header (req, "last-event-id"), &last);
  stream->next = last + 1;
  stream->step.cb = stream_step;
  stream->step.arg = stream;
  stream->generator.proceed = stream_proceed;
  DL_APPEND2 (member->streams, stream, prev, next_stream);
  member->runs++;
  member_record (member, req);
  net_req_watch (req, stream_gone, stream);
  req->res.status = 200;
  req->res.reason = "OK";
  net_req_add_header (req, EL_STR ("content-type"),
                      EL_STR ("text/event-stream"));
  net_req_add_header (req, EL_STR ("x-elmarch-response-seal"), EL_STR (SEAL));
  net_req_add_header (req, EL_STR ("x-elmarch-request-id"),
                      net_req_header (req, "x-elmarch-request-id"));
  h2o_start_response (req, &stream->generator);
  if (member_dies (member, req))
    h2o_send (req, NULL, 0, H2O_SEND_STATE_IN_PROGRESS); /* the head goes */
  else
    stream_step (stream, 0);
}

/* Orders and reports. */

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
  if (member->end - member->first > member->process->set.layers_most)
    exit (EXIT_FAILURE);
  net_req_reply (req, 202, EL_STR (""), EL_STR ("{}"));
  member_enter (member);
}

static void
order_repath (member_t *member, h2o_req_t *req, json_t *json)
{
  const char *id = json_string_value (json_object_get (json, "Id"));
  const char *line = json_string_value (json_object_get (json, "Path"));
  member_stream_t *stream;

  for (stream = member->streams; stream; stream = stream->next_stream)
    if (strcmp (stream->id, id) == 0)
      {
        free (stream->line);
        stream->line = strdup (line);
        net_req_reply (req, 200, EL_STR (""), EL_STR ("{}"));
        return;
      }
  net_req_reply (req, 404, EL_STR (""), EL_STR ("{}"));
}

static void
serve_order (member_t *member, h2o_req_t *req)
{
  json_t *json = sn_body (req);
  const char *op = json_string_value (json_object_get (json, "op"));

  sn_rest_arrives (member->rest, req, SN_ORDER);
  if (sn_rest_refuses (member->rest, req, SN_ORDER))
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

  sn_rest_arrives (member->rest, req, SN_REPORT);
  if (sn_rest_refuses (member->rest, req, SN_REPORT))
    return;
  stalled = json_array ();
  for (stream = member->streams; stream; stream = stream->next_stream)
    if (stream_stalled (stream))
      json_array_append_new (stalled, json_pack ("{s:s,s:s}", "Id", stream->id,
                                                 "Address", member->stalled));
  sn_json (req, 200,
           json_pack ("{s:I,s:I,s:o}", "SeqNo", (json_int_t)member->orders,
                      "born", (json_int_t)member->born, "stalled", stalled));
}

static void
serve_stall (member_t *member, h2o_req_t *req)
{
  json_t *json = sn_body (req);
  const char *at = json_string_value (json_object_get (json, "at"));

  free (member->stalled);
  member->stalled = at ? strdup (at) : NULL;
  json_decref (json);
  net_req_reply (req, 204, EL_STR (""), EL_STR (""));
}

static void
serve_leave (member_t *member, h2o_req_t *req)
{
  member->leaving = 1;
  member_enter (member);
  net_req_reply (req, 204, EL_STR (""), EL_STR (""));
}

static void
serve_linger (member_t *member, h2o_req_t *req)
{
  member->lingers = 1;
  net_req_reply (req, 204, EL_STR (""), EL_STR (""));
}

static void
serve_rest (member_t *member, h2o_req_t *req)
{
  json_t *json = sn_body (req);

  sn_rest_set (member->rest, json);
  json_decref (json);
  net_req_reply (req, 204, EL_STR (""), EL_STR (""));
}

static void
serve_rests (member_t *member, h2o_req_t *req)
{
  sn_json (req, 200, sn_rest_json (member->rest));
}

static void
serve_runs (member_t *member, h2o_req_t *req)
{
  sn_json (
      req, 200,
      json_pack ("{s:I,s:I,s:s,s:I,s:I}", "runs", (json_int_t)member->runs,
                 "gone", (json_int_t)member->gone, "id", member->id, "first",
                 (json_int_t)member->first, "end", (json_int_t)member->end));
}

static void
serve_seen (member_t *member, h2o_req_t *req)
{
  sn_json (req, 200, member->seen ? json_incref (member->seen) : json_null ());
}

/* Plain requests. */

static void
plain_gone (void *arg, int freed)
{
  member_t *member = arg;

  if (!freed)
    member->gone++;
}

static void
plain_answer (h2o_req_t *req, json_t *answer)
{
  char *text = json_dumps (answer, JSON_COMPACT);

  reply_marked (req, 200, "x-elmarch-response-seal", SEAL, text);
  free (text);
  json_decref (answer);
}

static void
serve_plain (member_t *member, h2o_req_t *req)
{
  sn_process_t *process = member->process;
  sn_fault_t fault = sn_fault_take (process);

  if (fault == SN_BUSY || fault == SN_LEAVING)
    {
      member_refuse (req, 503);
      return;
    }
  member->runs++;
  member_record (member, req);
  if (fault == SN_DOWN)
    {
      reply_marked (req, 500, "x-elmarch-response-seal", SEAL, "");
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
                          EL_STR (SEAL));
      net_req_reply (req, 200, EL_STR (""), EL_STR ("another's"));
      return;
    }
  net_req_watch (req, plain_gone, member);
  if (fault == SN_SLOW)
    sn_rest_held (member->rest, req);
  if (member_dies (member, req) || fault == SN_HANG)
    {
      sn_rest_held (member->rest, req);
      gt_deferred_new (req);
      return;
    }
  sn_later (process, req,
            json_pack ("{s:s,s:I}", "ran", process->set.name, "run",
                       (json_int_t)member->runs),
            fault == SN_SLOW ? process->delay_ms * EL_MSEC : 0, plain_answer);
}

/* A request is served only by the start of the endpoint that it names. */
static void
serve_request (member_t *member, h2o_req_t *req)
{
  el_str_t expect = net_req_header (req, "x-elmarch-expect-instance");
  el_str_t line = net_req_header (req, "path");

  sn_rest_arrives (member->rest, req, SN_REQUEST);
  if (sn_rest_refuses (member->rest, req, SN_REQUEST))
    return;
  if (expect.len && !el_str_eq (expect, el_str (member->id)))
    {
      member_refuse (req, 421);
      return;
    }
  headers_note (member, req);
  if (line.len && !line_fits (member, line))
    member_refuse (req, 421);
  else if (line.len)
    serve_stream (member, req, line);
  else
    serve_plain (member, req);
}

static const struct
{
  el_str_t path;
  void (*serve) (member_t *member, h2o_req_t *req);
} calls[] = {
  { EL_STR ("/elmarch/order"), serve_order },
  { EL_STR ("/elmarch/report"), serve_report },
  { EL_STR ("/stall"), serve_stall },
  { EL_STR ("/leave"), serve_leave },
  { EL_STR ("/linger"), serve_linger },
  { EL_STR ("/rest"), serve_rest },
  { EL_STR ("/rests"), serve_rests },
  { EL_STR ("/runs"), serve_runs },
  { EL_STR ("/seen"), serve_seen },
};

static void
member_serve (sn_process_t *process, h2o_req_t *req)
{
  member_t *member = process->state;
  el_str_t path = net_req_path (req);
  size_t i;

  if (member->mute)
    {
      gt_deferred_new (req);
      return;
    }
  for (i = 0; i < sizeof calls / sizeof *calls; i++)
    if (el_str_eq (path, calls[i].path))
      {
        calls[i].serve (member, req);
        return;
      }
  serve_request (member, req);
}

const sn_role_t sn_member = { "member", member_open, member_serve };
