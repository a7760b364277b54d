/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Tests of endpoints that restart under the same id, and of endpoint entries
 * that other programs write to the store.
 */
#include <stdio.h>
#include <string.h>

#include "platform.h"
#include "seeds.h"
#include "test.h"

#define TEST_TIME (100 * EL_SEC)
#define ENTRY_KEY EL_STR ("servers/e1")

/* A valid entry, as an engine writes it. */
static const char entry_text[]
    = "{\"Service\":\"pool\",\"Address\":\"10.0.0.1:80\",\"Zone\":\"h\","
      "\"Version\":\"v1\",\"Slots\":192,\"State\":\"ready\","
      "\"ColdRemainingMs\":0,\"SeqNo\":3,\"born\":1769916658364,"
      "\"RouteType\":\"large\","
      "\"layers\":{\"Source\":0,\"TargetVersion\":16,\"Version\":1}}";

/* JSON values that replace the value of a field. */
static const char *const other_values[] = { "null",
                                            "true",
                                            "-1",
                                            "1.5",
                                            "1e300",
                                            "99999999999999999999",
                                            "\"\"",
                                            "\"none\"",
                                            "[]",
                                            "{}",
                                            "[[1]]",
                                            "{\"a\":{}}",
                                            "0",
                                            "4294967296",
                                            "\"10.0.0.1\"",
                                            "\"10.0.0.1:99999\"" };

static int
read_entry (const char *text, rt_attrs_t *attrs, json_t **entry_json)
{
  el_err_t err;

  return pf_attrs_read (ENTRY_KEY, el_str (text), attrs, entry_json, &err);
}

/* Returns a copy of the entry in which a field has another value, or is
   missing if VALUE is NULL. */
static char *
entry_with_field (const char *name, const char *value)
{
  json_t *json = json_loads (entry_text, 0, NULL);
  char *text;

  if (value)
    json_object_set_new (json, name,
                         json_loads (value, JSON_DECODE_ANY, NULL));
  else
    json_object_del (json, name);
  text = json_dumps (json, JSON_COMPACT);
  json_decref (json);
  return text;
}

/* An entry with one field missing, of the wrong type, or with an invalid value
   is rejected. */
START_TEST (test_invalid_entry_is_rejected)
{
  static const struct
  {
    const char *field;
    const char *value; /* NULL: the field is missing */
  } invalid_fields[] = {
    { "Service", NULL },
    { "Service", "7" },
    { "Service", "\"\"" },
    { "Address", NULL },
    { "Address", "\"x\"" },
    { "Address", "[]" },
    { "Address", "\"10.0.0.1:99999\"" },
    { "Address", "\"10.0.0.1:0\"" },
    { "Address", "\"10.0.0.1:-1\"" },
    { "Address", "\"10.0.0.1:99999999999999999999\"" },
    { "Address", "\"10.0.0.1:80\\r\\nx: y\"" },
    { "Zone", NULL },
    { "Zone", "{}" },
    { "State", NULL },
    { "State", "\"up\"" },
    { "State", "true" },
    { "Slots", NULL },
    { "Slots", "\"6\"" },
    { "Slots", "-6" },
    { "Slots", "0" },
    { "Slots", "65537" },
    { "Slots", "9223372036854775807" },
    { "Slots", "1e300" },
    { "SeqNo", "-1" },
    { "SeqNo", "\"3\"" },
    { "born", "1.5" },
    { "born", "\"now\"" },
    { "RouteType", "4" },
    { "Version", "1" },
    { "layers", "5" },
    { "layers", "{\"Source\":5,\"TargetVersion\":2}" },
  };
  rt_attrs_t attrs;
  json_t *entry_json;
  char *text;
  size_t i;

  ck_assert_int_eq (read_entry (entry_text, &attrs, &entry_json), 1);
  ck_assert_uint_eq (attrs.born, 1769916658364);
  ck_assert_uint_eq (attrs.end, 16);
  json_decref (entry_json);
  for (i = 0; i < sizeof invalid_fields / sizeof *invalid_fields; i++)
    {
      text = entry_with_field (invalid_fields[i].field,
                               invalid_fields[i].value);
      ck_assert_msg (read_entry (text, &attrs, &entry_json) == 0, "%s", text);
      json_decref (entry_json);
      free (text);
    }
  text = entry_with_field ("Slots", "65536"); /* the most */
  ck_assert_int_eq (read_entry (text, &attrs, &entry_json), 1);
  json_decref (entry_json);
  free (text);
  text = entry_with_field ("layers", "null"); /* the engine holds no layers */
  ck_assert_int_eq (read_entry (text, &attrs, &entry_json), 1);
  ck_assert_uint_eq (attrs.end, 0);
  json_decref (entry_json);
  free (text);
  ck_assert_int_eq (read_entry ("[1,2]", &attrs, &entry_json), 0);
  json_decref (entry_json);
  ck_assert_int_eq (read_entry ("\xff\xfe not text", &attrs, &entry_json), 0);
  json_decref (entry_json);
}
END_TEST

#define NESTED_DEEP 100000

/* Guards against a process that ends at an entry of another program: nested
   too deeply to be read, or under an id that would break a head. */
START_TEST (test_odd_entry_is_rejected)
{
  static const el_str_t keys[]
      = { EL_STR ("servers/"), EL_STR ("servers/a\r\nx: y"),
          EL_STR ("servers/a b"), EL_STR ("servers/a\0b"),
          EL_STR ("servers/\xff") };
  static const char *const opening[] = { "[", "{\"a\":" };
  el_buf_t text = { NULL, 0, 0 };
  rt_attrs_t attrs;
  json_t *entry_json;
  el_err_t err;
  size_t i;

  for (i = 0; i < sizeof keys / sizeof *keys; i++)
    {
      ck_assert_int_eq (pf_attrs_read (keys[i], el_str (entry_text), &attrs,
                                       &entry_json, &err),
                        0);
      json_decref (entry_json);
    }
  for (i = 0; i < NESTED_DEEP; i++)
    el_buf_add (&text, el_str (opening[_i]));
  ck_assert_int_eq (
      pf_attrs_read (ENTRY_KEY, el_buf_str (&text), &attrs, &entry_json, &err),
      0);
  json_decref (entry_json);
  el_buf_free (&text);
}
END_TEST

/* Adds entries with fields replaced or dropped, or with corrupted bytes, to a
   fleet, then picks a chain and plans the placement of layers: entries that
   are accepted are complete, and the valid engine is unaffected. */
static void
run_invalid_entries (uint64_t seed)
{
  static const char *const fields[]
      = { "Service", "Address", "Zone",      "Version", "Slots", "State",
          "SeqNo",   "born",    "RouteType", "layers",  "Stage" };
  static rt_card_t cards[] = { { { "large", 5 }, 36000, 3.1, 3.2 } };
  const rt_service_t service = { .name = EL_STR ("pool"),
                                 .model = { .layers = 16,
                                            .layer_mb = 1750,
                                            .step_ms = 1,
                                            .token_kv_mb = 0.4,
                                            .typical_tokens = 900,
                                            .cards = cards,
                                            .ncards = 1 } };
  static const rt_tried_t none;
  const rt_chain_query_t want = {
    .service = &service, .hall = EL_STR ("h"), .tokens = 900, .tried = &none
  };
  rt_fleet_t *fleet = rt_fleet_new (seed);
  rt_order_t orders[8];
  rt_attrs_t attrs;
  rt_chain_t chain;
  json_t *entry_json;
  el_buf_t mutated;
  el_err_t err;
  char *text;
  unsigned i;

  ck_assert_int_eq (read_entry (entry_text, &attrs, &entry_json), 1);
  attrs.id = EL_STR ("sound");
  rt_fleet_update (fleet, &attrs);
  json_decref (entry_json);
  for (i = 0; i < 3; i++)
    {
      text = entry_with_field (
          fields[seeds_random (sizeof fields / sizeof *fields)],
          seeds_random (8) ? other_values[seeds_random (
              sizeof other_values / sizeof *other_values)]
                           : NULL);
      mutated
          = seeds_random (2) ? seeds_mutate (text) : (el_buf_t){ NULL, 0, 0 };
      if (pf_attrs_read (seeds_random (2) ? ENTRY_KEY : EL_STR ("servers/e2"),
                         mutated.ptr ? el_buf_str (&mutated) : el_str (text),
                         &attrs, &entry_json, &err))
        {
          ck_assert (attrs.service.len && attrs.hall.len && attrs.slots);
          ck_assert (net_address_valid (attrs.address));
          ck_assert_uint_le (attrs.first, attrs.end);
          rt_fleet_update (fleet, &attrs);
        }
      json_decref (entry_json);
      el_buf_free (&mutated);
      free (text);
    }
  ck_assert_int_eq (rt_chain_pick (fleet, TEST_TIME, &want, &chain), 1);
  rt_layout_assign (fleet, &service, NULL, 0, orders, 8);
  rt_layout_repair (fleet, &service, NULL, 0, orders, 8);
  ck_assert_uint_eq (rt_fleet_find (fleet, EL_STR ("sound"))->attrs.end, 16);
  rt_fleet_free (fleet);
}

START_TEST (test_invalid_entries_do_not_affect_valid_ones)
{
  seeds_run (run_invalid_entries);
}
END_TEST

/* An endpoint that restarted under its id is a new target: it is not leaving,
   holds nothing and has no reported load. The former target is marked as gone
   for those that still refer to it. */
START_TEST (test_restarted_endpoint_is_new_target)
{
  rt_fleet_t *fleet = rt_fleet_new (1);
  rt_attrs_t attrs = { .id = EL_STR ("e1"),
                       .service = EL_STR ("pool"),
                       .address = EL_STR ("10.0.0.1:80"),
                       .hall = EL_STR ("h"),
                       .slots = 4,
                       .born = 1000,
                       .first = 0,
                       .end = 16,
                       .leaving = 1 };
  rt_target_t *former = rt_target_ref (rt_fleet_update (fleet, &attrs));
  rt_target_t *target;
  rt_load_t load = { .fill = 0.9, .pace = 4, .taken = 1 };

  rt_target_failed (former, TEST_TIME);
  rt_target_failed (former, TEST_TIME);
  rt_target_report (fleet, former, &load, TEST_TIME);
  former->kv_held = 5000;
  attrs.born = 2000;
  attrs.leaving = 0;
  attrs.first = attrs.end = 0;
  target = rt_fleet_update (fleet, &attrs);
  ck_assert_ptr_ne (former, target);
  ck_assert_int_eq (former->avail.gone, 1);
  ck_assert_int_eq (rt_target_usable (former, TEST_TIME), 0);
  ck_assert_int_eq (rt_target_usable (target, TEST_TIME), 1);
  ck_assert (target->kv_held < 1 && target->pace < 1
             && target->reported_at == 0);
  ck_assert_uint_eq (rt_fleet_count (fleet), 1);
  ck_assert_ptr_eq (rt_fleet_find (fleet, EL_STR ("e1")), target);
  rt_target_unref (former);
  rt_fleet_free (fleet);
}
END_TEST

Suite *
starts_suite (void)
{
  Suite *suite = suite_create ("starts");
  TCase *tcase = tcase_create ("starts");

  tcase_set_timeout (tcase, (double)seeds_env ("ELMARCH_SEEDS_S", 60));
  ADD (tcase, test_invalid_entry_is_rejected);
  ADD_LOOP (tcase, test_odd_entry_is_rejected, 2);
  ADD (tcase, test_invalid_entries_do_not_affect_valid_ones);
  ADD (tcase, test_restarted_endpoint_is_new_target);
  suite_add_tcase (suite, tcase);
  return suite;
}
