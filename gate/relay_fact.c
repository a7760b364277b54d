/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Facts about requests, as hosts tell them to each other: JSON, whose numbers
 * of 64 bits are text in hexadecimal.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "librelay.h"

#define HEX_MAX 17

static void runs_write (const relay_fact_t *fact, json_t *json);
static int runs_read (json_t *json, el_time_t at, relay_fact_t *out);
static void leaves_write (const relay_fact_t *fact, json_t *json);
static int leaves_read (json_t *json, el_time_t at, relay_fact_t *out);
static void rules_write (const relay_fact_t *fact, json_t *json);
static int rules_read (json_t *json, el_time_t at, relay_fact_t *out);
static void request_write (const relay_fact_t *fact, json_t *json);
static int request_read (json_t *json, el_time_t at, relay_fact_t *out);

static const struct
{
  const char *name;
  void (*write) (const relay_fact_t *fact, json_t *json);
  int (*read) (json_t *json, el_time_t at, relay_fact_t *out);
} kinds[RELAY_FACT_KINDS] = {
  [RELAY_FACT_ENDED] = { "ended", runs_write, runs_read },
  [RELAY_FACT_SURVIVED] = { "survived", request_write, request_read },
  [RELAY_FACT_BLOCKED] = { "blocked", request_write, request_read },
  [RELAY_FACT_CLEARED] = { "cleared", request_write, request_read },
  [RELAY_FACT_DRAINING] = { "leaves", leaves_write, leaves_read },
  [RELAY_FACT_RULES] = { "rules", rules_write, rules_read },
};

static json_t *
number_write (uint64_t number)
{
  char text[HEX_MAX];

  snprintf (text, sizeof text, "%" PRIx64, number);
  return json_string (text);
}

/* Gives 0 when it is none. */
static int
number_read (json_t *json, uint64_t *out)
{
  const char *text = json_string_value (json);
  char *end;

  if (!text || !*text || strlen (text) >= HEX_MAX)
    return 0;
  *out = strtoull (text, &end, 16);
  return *end == '\0';
}

static void
start_write (const rt_start_t *start, json_t *json)
{
  json_object_set_new (json, "endpoint", json_string (start->id));
  json_object_set_new (json, "born", number_write (start->born));
}

/* Gives 0 when it names none. */
static int
start_read (json_t *json, rt_start_t *out)
{
  const char *id = json_string_value (json_object_get (json, "endpoint"));

  if (!id || !*id || strlen (id) >= sizeof out->id
      || !number_read (json_object_get (json, "born"), &out->born))
    return 0;
  snprintf (out->id, sizeof out->id, "%s", id);
  return 1;
}

static void
leaves_write (const relay_fact_t *fact, json_t *json)
{
  start_write (&fact->start, json);
}

static int
leaves_read (json_t *json, el_time_t at, relay_fact_t *out)
{
  (void)at;
  return start_read (json, &out->start);
}

static void
rules_write (const relay_fact_t *fact, json_t *json)
{
  json_object_set_new (json, "version", number_write (fact->version));
}

static int
rules_read (json_t *json, el_time_t at, relay_fact_t *out)
{
  (void)at;
  return number_read (json_object_get (json, "version"), &out->version);
}

static void
runs_write (const relay_fact_t *fact, json_t *json)
{
  json_t *list = json_array ();
  const rt_ended_t *run;
  size_t i;

  start_write (&fact->runs[0].start, json);
  json_object_set_new (json, "host", number_write (fact->runs[0].host));
  for (i = 0; i < fact->nruns; i++)
    {
      run = &fact->runs[i];
      json_array_append_new (
          list, json_pack ("[o,o,I,b,I]", number_write (run->digest),
                           number_write (run->customer),
                           (json_int_t)(run->ran / EL_MSEC), run->first,
                           (json_int_t)((run->found - run->at) / EL_MSEC)));
    }
  json_object_set_new (json, "runs", list);
}

/* What is told of a request by its digest. */
static void
request_write (const relay_fact_t *fact, json_t *json)
{
  json_object_set_new (json, "digest", number_write (fact->digest));
  json_object_set_new (json, "customer", number_write (fact->customer));
  json_object_set_new (json, "holds", json_integer ((json_int_t)fact->holds));
}

static int
request_read (json_t *json, el_time_t at, relay_fact_t *out)
{
  json_int_t holds = json_integer_value (json_object_get (json, "holds"));

  (void)at;
  out->holds = holds > 0 ? (unsigned)holds : 0;
  return number_read (json_object_get (json, "digest"), &out->digest)
         && number_read (json_object_get (json, "customer"), &out->customer)
         && holds >= 0;
}

static int
run_read (json_t *row, rt_ended_t *out)
{
  json_t *digest = json_array_get (row, 0);
  json_t *customer = json_array_get (row, 1);
  json_t *ran = json_array_get (row, 2);
  json_t *ago = json_array_get (row, 4);
  el_time_t before = (el_time_t)json_integer_value (ago) * EL_MSEC;

  if (!json_is_integer (ago) || json_integer_value (ago) < 0
      || before > out->found)
    return 0;
  out->at = out->found - before;
  out->ran = (el_time_t)json_integer_value (ran) * EL_MSEC;
  out->first = json_is_true (json_array_get (row, 3));
  return number_read (digest, &out->digest)
         && number_read (customer, &out->customer) && json_is_integer (ran)
         && json_integer_value (ran) >= 0;
}

static int
runs_read (json_t *json, el_time_t at, relay_fact_t *out)
{
  json_t *list = json_object_get (json, "runs");
  rt_ended_t end = { .found = at };
  json_t *row;
  size_t i;

  if (!start_read (json, &end.start)
      || !number_read (json_object_get (json, "host"), &end.host) || !end.host
      || json_array_size (list) > RELAY_FACT_RUNS_MAX)
    return 0;
  json_array_foreach (list, i, row)
  {
    out->runs[i] = end;
    if (!run_read (row, &out->runs[i]))
      return 0;
    out->nruns++;
  }
  return out->nruns > 0;
}

/** Put FACT into a rumor's body. */
void
relay_fact_write (const relay_fact_t *fact, el_buf_t *out)
{
  json_t *json = json_pack ("{s:s}", "fact", kinds[fact->kind].name);
  char *text;

  kinds[fact->kind].write (fact, json);
  text = json_dumps (json, JSON_COMPACT);
  el_buf_add (out, el_str (text));
  free (text);
  json_decref (json);
}

/** Read a rumor's body, which was first told AT; gives 0 when it is none. */
int
relay_fact_read (el_str_t body, el_time_t at, relay_fact_t *out)
{
  json_t *json = json_loadb (body.ptr, body.len, 0, NULL);
  const char *kind = json_string_value (json_object_get (json, "fact"));
  int ok;

  memset (out, 0, sizeof *out);
  while (kind && out->kind < RELAY_FACT_KINDS
         && strcmp (kind, kinds[out->kind].name) != 0)
    out->kind++;
  ok = kind && out->kind < RELAY_FACT_KINDS
       && kinds[out->kind].read (json, at, out);
  json_decref (json);
  return ok;
}
