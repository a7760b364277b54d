/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Encoding of the facts that rumors carry: JSON, with 64-bit numbers as
 * hexadecimal strings.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "librelay.h"

#define HEX_BUF_SIZE 17

static void runs_write (const relay_fact_t *fact, json_t *json);
static int runs_read (json_t *json, el_time_t at, relay_fact_t *out);
static void leaving_write (const relay_fact_t *fact, json_t *json);
static int leaving_read (json_t *json, el_time_t at, relay_fact_t *out);
static void limit_write (const relay_fact_t *fact, json_t *json);
static int limit_read (json_t *json, el_time_t at, relay_fact_t *out);
static void rules_write (const relay_fact_t *fact, json_t *json);
static int rules_read (json_t *json, el_time_t at, relay_fact_t *out);
static void cause_write (const relay_fact_t *fact, json_t *json);
static int cause_read (json_t *json, el_time_t at, relay_fact_t *out);
static void ran_well_write (const relay_fact_t *fact, json_t *json);
static int ran_well_read (json_t *json, el_time_t at, relay_fact_t *out);
static void block_write (const relay_fact_t *fact, json_t *json);
static int block_read (json_t *json, el_time_t at, relay_fact_t *out);

static const struct
{
  const char *name;
  void (*write) (const relay_fact_t *fact, json_t *json);
  int (*read) (json_t *json, el_time_t at, relay_fact_t *out);
} codecs[RELAY_FACT_KINDS] = {
  [RELAY_FACT_CRASHED] = { "ended", runs_write, runs_read },
  [RELAY_FACT_COMPLETED] = { "survived", cause_write, cause_read },
  [RELAY_FACT_BLOCKED] = { "blocked", block_write, block_read },
  [RELAY_FACT_CLEARED] = { "cleared", cause_write, cause_read },
  [RELAY_FACT_LEAVING] = { "leaves", leaving_write, leaving_read },
  [RELAY_FACT_RULES] = { "rules", rules_write, rules_read },
  [RELAY_FACT_LIMIT] = { "limit", limit_write, limit_read },
  [RELAY_FACT_UNLIMITED] = { "unlimited", leaving_write, leaving_read },
  [RELAY_FACT_RAN_WELL] = { "ran-well", ran_well_write, ran_well_read },
};

static json_t *
number_write (uint64_t number)
{
  char text[HEX_BUF_SIZE];

  snprintf (text, sizeof text, "%" PRIx64, number);
  return json_string (text);
}

/* Returns 0 if JSON is not a hexadecimal number. */
static int
number_read (json_t *json, uint64_t *out)
{
  const char *text = json_string_value (json);
  char *end;

  if (!text || !*text || strlen (text) >= HEX_BUF_SIZE)
    return 0;
  *out = strtoull (text, &end, 16);
  return *end == '\0';
}

static void
instance_write (const rt_instance_t *instance, json_t *json)
{
  json_object_set_new (json, "endpoint", json_string (instance->id));
  json_object_set_new (json, "born", number_write (instance->born));
}

/* Returns 0 if JSON does not name an endpoint instance. */
static int
instance_read (json_t *json, rt_instance_t *out)
{
  const char *id = json_string_value (json_object_get (json, "endpoint"));

  if (!id || !*id || strlen (id) >= sizeof out->id
      || !number_read (json_object_get (json, "born"), &out->born))
    return 0;
  snprintf (out->id, sizeof out->id, "%s", id);
  return 1;
}

static void
leaving_write (const relay_fact_t *fact, json_t *json)
{
  instance_write (&fact->instance, json);
}

static int
leaving_read (json_t *json, el_time_t at, relay_fact_t *out)
{
  (void)at;
  return instance_read (json, &out->instance);
}

static void
limit_write (const relay_fact_t *fact, json_t *json)
{
  instance_write (&fact->instance, json);
  json_object_set_new (json, "milli", number_write (fact->limit_milli));
  json_object_set_new (
      json, "for_ms",
      json_integer ((json_int_t)(fact->limited_for / EL_MSEC)));
}

static int
limit_read (json_t *json, el_time_t at, relay_fact_t *out)
{
  json_t *limited_for = json_object_get (json, "for_ms");

  (void)at;
  if (!json_is_integer (limited_for) || json_integer_value (limited_for) < 0)
    return 0;
  out->limited_for = (el_time_t)json_integer_value (limited_for) * EL_MSEC;
  return instance_read (json, &out->instance)
         && number_read (json_object_get (json, "milli"), &out->limit_milli);
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

static json_t *
digests_write (const rt_digest_t *digests, size_t n)
{
  json_t *list = json_array ();
  size_t i;

  for (i = 0; i < n; i++)
    json_array_append_new (list, number_write (digests[i]));
  return list;
}

/* Returns 0 if JSON is not a list of at most MAX digests. */
static int
digests_read (json_t *json, rt_digest_t *out, size_t max, size_t *n)
{
  json_t *item;
  size_t i;

  *n = json_array_size (json);
  if (*n > max)
    return 0;
  json_array_foreach (json, i, item)
  {
    if (!number_read (item, &out[i]))
      return 0;
  }
  return 1;
}

/* The number of parts that are told of a run: none if they are no causes. */
static size_t
run_parts (const rt_crash_report_t *run)
{
  return run->writing ? 0 : run->nparts;
}

/** Adds a run to a fact of kind RELAY_FACT_CRASHED. Returns 0 if it does not
    fit. */
int
relay_fact_add_run (relay_fact_t *fact, const rt_crash_report_t *run)
{
  size_t parts = 0;
  size_t i;

  for (i = 0; i < fact->nruns; i++)
    parts += RELAY_FACT_RUN_PARTS + run_parts (&fact->runs[i]);
  if (fact->nruns == RELAY_FACT_RUNS_MAX
      || (fact->nruns
          && parts + RELAY_FACT_RUN_PARTS + run_parts (run)
                 > RELAY_FACT_PARTS_MAX))
    return 0;
  fact->runs[fact->nruns++] = *run;
  return 1;
}

static void
runs_write (const relay_fact_t *fact, json_t *json)
{
  json_t *list = json_array ();
  const rt_crash_report_t *run;
  size_t i;

  instance_write (&fact->runs[0].instance, json);
  json_object_set_new (json, "host", number_write (fact->runs[0].host));
  for (i = 0; i < fact->nruns; i++)
    {
      run = &fact->runs[i];
      json_array_append_new (
          list,
          json_pack (
              "[o,o,I,b,I,b,o]", number_write (run->digest),
              number_write (run->customer), (json_int_t)(run->ran / EL_MSEC),
              run->first, (json_int_t)((run->detected_at - run->at) / EL_MSEC),
              run->writing, digests_write (run->parts, run_parts (run))));
    }
  json_object_set_new (json, "runs", list);
}

static void
cause_write (const relay_fact_t *fact, json_t *json)
{
  json_object_set_new (json, "digest", number_write (fact->digest));
  json_object_set_new (json, "customer", number_write (fact->customer));
  json_object_set_new (json, "holds", json_integer (0));
}

static int
cause_read (json_t *json, el_time_t at, relay_fact_t *out)
{
  (void)at;
  return number_read (json_object_get (json, "digest"), &out->digest)
         && number_read (json_object_get (json, "customer"), &out->customer);
}

static void
ran_well_write (const relay_fact_t *fact, json_t *json)
{
  json_object_set_new (json, "digest", number_write (fact->digest));
  json_object_set_new (json, "ago_ms",
                       json_integer ((json_int_t)(fact->ago / EL_MSEC)));
}

static int
ran_well_read (json_t *json, el_time_t at, relay_fact_t *out)
{
  json_t *ago = json_object_get (json, "ago_ms");

  if (!json_is_integer (ago) || json_integer_value (ago) < 0
      || (uint64_t)json_integer_value (ago) > at / EL_MSEC)
    return 0;
  out->ago = (el_time_t)json_integer_value (ago) * EL_MSEC;
  return number_read (json_object_get (json, "digest"), &out->digest);
}

static void
block_write (const relay_fact_t *fact, json_t *json)
{
  json_object_set_new (json, "digest", number_write (fact->block.id));
  json_object_set_new (json, "customer", number_write (fact->customer));
  json_object_set_new (json, "holds", json_integer ((json_int_t)fact->holds));
  if (fact->block.kind == RT_CAUSE_REQUEST)
    return;
  json_object_set_new (json, "kind", json_integer (fact->block.kind));
  json_object_set_new (json, "new", json_boolean (fact->block.taken_for_new));
  json_object_set_new (json, "causes",
                       digests_write (fact->block.causes, fact->block.n));
}

static int
block_read (json_t *json, el_time_t at, relay_fact_t *out)
{
  json_int_t holds = json_integer_value (json_object_get (json, "holds"));
  json_int_t kind = json_integer_value (json_object_get (json, "kind"));

  (void)at;
  if (holds < 0 || kind < 0 || kind >= RT_CAUSE_KINDS
      || !number_read (json_object_get (json, "digest"), &out->block.id)
      || !number_read (json_object_get (json, "customer"), &out->customer)
      || !digests_read (json_object_get (json, "causes"), out->block.causes,
                        RT_BLOCK_CAUSES_MAX, &out->block.n))
    return 0;
  out->holds = (unsigned)holds;
  if (!out->block.n)
    out->block = rt_block_single (RT_CAUSE_REQUEST, out->block.id);
  out->block.kind = (rt_cause_kind_t)kind;
  out->block.taken_for_new = json_is_true (json_object_get (json, "new"));
  rt_block_seal (&out->block);
  return 1;
}

static int
run_read (json_t *item, rt_crash_report_t *out)
{
  json_t *digest = json_array_get (item, 0);
  json_t *customer = json_array_get (item, 1);
  json_t *ran = json_array_get (item, 2);
  json_t *detected_after = json_array_get (item, 4);
  el_time_t detection_delay
      = (el_time_t)json_integer_value (detected_after) * EL_MSEC;

  if (!json_is_integer (detected_after)
      || json_integer_value (detected_after) < 0
      || detection_delay > out->detected_at)
    return 0;
  out->at = out->detected_at - detection_delay;
  out->ran = (el_time_t)json_integer_value (ran) * EL_MSEC;
  out->first = json_is_true (json_array_get (item, 3));
  out->writing = json_is_true (json_array_get (item, 5));
  if (!digests_read (json_array_get (item, 6), out->parts, RT_PARTS_MAX,
                     &out->nparts))
    return 0;
  return number_read (digest, &out->digest)
         && number_read (customer, &out->customer) && json_is_integer (ran)
         && json_integer_value (ran) >= 0;
}

static int
runs_read (json_t *json, el_time_t at, relay_fact_t *out)
{
  json_t *list = json_object_get (json, "runs");
  rt_crash_report_t report = { .detected_at = at };
  json_t *item;
  size_t i;

  if (!instance_read (json, &report.instance)
      || !number_read (json_object_get (json, "host"), &report.host)
      || !report.host || json_array_size (list) > RELAY_FACT_RUNS_MAX)
    return 0;
  json_array_foreach (list, i, item)
  {
    out->runs[i] = report;
    if (!run_read (item, &out->runs[i]))
      return 0;
    out->nruns++;
  }
  return out->nruns > 0;
}

/** Encodes FACT as the body of a rumor. */
void
relay_fact_encode (const relay_fact_t *fact, el_buf_t *out)
{
  json_t *json = json_pack ("{s:s}", "fact", codecs[fact->kind].name);
  char *text;

  codecs[fact->kind].write (fact, json);
  text = json_dumps (json, JSON_COMPACT);
  el_buf_add (out, el_str (text));
  free (text);
  json_decref (json);
}

/** Decodes the body of a rumor that was published at AT. Returns 0 if it is
    malformed. */
int
relay_fact_decode (el_str_t body, el_time_t at, relay_fact_t *out)
{
  json_t *json = json_loadb (body.ptr, body.len, 0, NULL);
  const char *kind = json_string_value (json_object_get (json, "fact"));
  int ok;

  memset (out, 0, sizeof *out);
  while (kind && out->kind < RELAY_FACT_KINDS
         && strcmp (kind, codecs[out->kind].name) != 0)
    out->kind++;
  ok = kind && out->kind < RELAY_FACT_KINDS
       && codecs[out->kind].read (json, at, out);
  json_decref (json);
  return ok;
}
