/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Drawn schedules of mirrors that read a store and each other, without I/O:
 * pages and lists cut at any size, history forgotten, the store restored from
 * an older copy, sources changed and messages lost or late at any moment.
 *
 * The store keeps all states of all keys, so that after each step it can be
 * checked that the position of each mirror covers all changes up to it.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libstore.h"
#include "seeds.h"
#include "test.h"

#define KEYS 9
#define MIRRORS 4
#define LOG_MAX 400
#define EPOCHS_MAX 4
#define STEPS 260
#define NAME_SIZE 8
#define NO_KEY ((el_str_t){ NULL, 0 })

/* The state of each key after a revision; 0: the key does not exist, else the
   revision of its last change. */
typedef struct states
{
  uint64_t since[KEYS];
} states_t;

/* A store. Values are the epoch and the revision at which they were written,
   so that a key restored from the copy of a former epoch keeps its value. */
typedef struct model
{
  uint64_t epoch;
  uint64_t revision;
  uint64_t history; /* changes up to it are forgotten */
  states_t states[EPOCHS_MAX][LOG_MAX];
  uint64_t written[EPOCHS_MAX][KEYS][LOG_MAX]; /* epoch of a value */
} model_t;

/* A message on its way to a mirror. */
typedef struct message
{
  int sent;
  int served;
  pr_store_query_t query; /* to another host; its cursor is NAME */
  char name[NAME_SIZE];
  unsigned host;
  int watch;
  int compacted;
  uint64_t read;             /* for which a page was requested */
  uint64_t epoch;            /* of the store when it answered */
  pr_store_position_t after; /* of a watch */
  pr_store_update_t update;
} message_t;

typedef struct node
{
  st_mirror_t mirror;
  uint64_t epoch; /* latest known */
  message_t store;
  message_t host;
  char view[KEYS][32]; /* what the callback was passed */
  states_t newest;     /* of each key, the newest state in newest_epoch */
  uint64_t newest_epoch;
} node_t;

static model_t model;
static node_t nodes[MIRRORS];
static uint64_t drawn;

static void
key_name (unsigned key, char *out)
{
  snprintf (out, NAME_SIZE, "k%02u", key);
}

static unsigned
key_number (el_str_t name)
{
  return (unsigned)(name.ptr[1] - '0') * 10 + (unsigned)(name.ptr[2] - '0');
}

/* The longer values make pieces of any size. */
static el_str_t
value_new (unsigned key, uint64_t epoch, uint64_t revision)
{
  char text[64];

  snprintf (text, sizeof text, "%" PRIu64 ".%" PRIu64 "%.*s", epoch, revision,
            (int)(key * 2), "..................");
  return el_str_dup (el_str (text));
}

static states_t *
states_at (uint64_t epoch, uint64_t revision)
{
  return &model.states[epoch][revision];
}

static void
model_change (unsigned key, int gone)
{
  states_t *now;

  if (model.revision + 1 == LOG_MAX)
    return;
  now = states_at (model.epoch, ++model.revision);
  *now = *states_at (model.epoch, model.revision - 1);
  now->since[key] = gone ? 0 : model.revision;
  model.written[model.epoch][key][model.revision] = model.epoch;
}

/* The store goes on from a copy of an earlier revision. */
static void
model_restore (void)
{
  uint64_t to = model.revision - seeds_random ((unsigned)model.revision);

  if (model.epoch + 1 == EPOCHS_MAX)
    return;
  memcpy (model.states[model.epoch + 1], model.states[model.epoch],
          sizeof model.states[0]);
  memcpy (model.written[model.epoch + 1], model.written[model.epoch],
          sizeof model.written[0]);
  model.epoch++;
  model.revision = to;
  model.history = to;
}

static int
node_item (void *arg, const pr_store_item_t *item)
{
  node_t *node = arg;

  snprintf (node->view[key_number (item->key)], sizeof node->view[0], "%.*s",
            item->gone ? 0 : (int)item->value.len, item->value.ptr);
  return 1;
}

static void
message_end (message_t *message)
{
  size_t i;

  for (i = 0; i < message->update.n; i++)
    {
      el_str_free (&message->update.items[i].key);
      el_str_free (&message->update.items[i].value);
    }
  free (message->update.items);
  *message = (message_t){ 0 };
}

static void
node_reread_stale (node_t *node)
{
  if (!node->mirror.reading && node->mirror.at.epoch != node->epoch)
    st_mirror_reread (&node->mirror);
}

static void
node_observe (node_t *node, uint64_t epoch)
{
  if (epoch > node->epoch)
    node->epoch = epoch;
}

/* Sends a watch or the request for a page, as the follower does. */
static void
store_send (node_t *node)
{
  message_t *call = &node->store;

  node_reread_stale (node);
  call->sent = 1;
  call->watch = !node->mirror.reading;
  call->read = node->mirror.read;
  call->after = node->mirror.at;
  snprintf (call->name, sizeof call->name, "%.*s",
            (int)node->mirror.cursor.len,
            node->mirror.cursor.ptr ? node->mirror.cursor.ptr : "");
}

static void
item_add (pr_store_update_t *update, unsigned key, uint64_t revision, int gone)
{
  char name[NAME_SIZE];

  key_name (key, name);
  update->items
      = el_grow (update->items, update->n + 1, sizeof *update->items);
  update->items[update->n++] = (pr_store_item_t){
    .key = el_str_dup (el_str (name)),
    .value = gone ? NO_KEY
                  : value_new (key, model.written[model.epoch][key][revision],
                               revision),
    .revision = revision,
    .gone = gone
  };
}

static void
store_serve_watch (message_t *call)
{
  uint64_t revision;
  unsigned key;

  call->compacted = call->after.revision < model.history
                    || call->after.revision > model.revision;
  if (call->compacted)
    return;
  for (revision = call->after.revision + 1; revision <= model.revision;
       revision++)
    for (key = 0; key < KEYS; key++)
      {
        uint64_t was = states_at (model.epoch, revision - 1)->since[key];
        uint64_t is = states_at (model.epoch, revision)->since[key];

        if (was != is)
          item_add (&call->update, key, revision, is == 0);
      }
}

static void
store_serve_page (message_t *call)
{
  size_t limit = 1 + seeds_random (4);
  char name[NAME_SIZE];
  unsigned key;

  for (key = 0; key < KEYS; key++)
    {
      uint64_t since = states_at (model.epoch, model.revision)->since[key];

      key_name (key, name);
      if (!since || strcmp (name, call->name) <= 0)
        continue;
      call->update.more = call->update.n == limit;
      if (call->update.more)
        break;
      item_add (&call->update, key, since, 0);
    }
}

static void
store_serve (message_t *call)
{
  call->served = 1;
  call->epoch = model.epoch;
  call->update.at = (pr_store_position_t){ model.epoch, model.revision };
  if (call->watch)
    store_serve_watch (call);
  else
    store_serve_page (call);
}

static void
store_take (node_t *node, message_t *call)
{
  const st_keys_page_t page = { .read = call->read,
                                .after = el_str (call->name),
                                .items = call->update.items,
                                .n = call->update.n,
                                .more = call->update.more,
                                .at = call->update.at };

  if (call->epoch < node->epoch)
    return;
  node_observe (node, call->epoch);
  if (call->watch)
    {
      if (node->mirror.at.epoch != node->epoch || call->compacted)
        st_mirror_reread (&node->mirror);
      else
        st_mirror_apply_watch (&node->mirror, call->after, call->update.items,
                               call->update.n, call->update.at.revision);
    }
  else if (st_mirror_read_is_stale (&node->mirror, node->epoch))
    st_mirror_reread (&node->mirror);
  else
    st_mirror_apply_page (&node->mirror, &page);
}

static co_incarnation_t
host_id (unsigned host)
{
  return (co_incarnation_t){ .byte = { (unsigned char)(host + 1) } };
}

static void
host_send (node_t *node, unsigned host)
{
  const co_incarnation_t id = host_id (host);
  message_t *call = &node->host;

  node_reread_stale (node);
  st_mirror_ask (&node->mirror, node->epoch, &id, &call->query);
  snprintf (call->name, sizeof call->name, "%.*s", (int)call->query.cursor.len,
            call->query.cursor.ptr ? call->query.cursor.ptr : "");
  call->query.cursor = el_str (call->name);
  call->host = host;
  call->sent = 1;
}

static void
host_serve (message_t *call)
{
  static const size_t sizes[] = { 1, 40, 100, 200, SIZE_MAX };
  node_t *host = &nodes[call->host];
  size_t i;

  node_observe (host, call->query.after.epoch);
  call->served = 1;
  st_mirror_give (&host->mirror, host->epoch, &call->query,
                  sizes[seeds_random (5)], &call->update);
  for (i = 0; i < call->update.n; i++)
    {
      pr_store_item_t *item = &call->update.items[i];

      item->key = el_str_dup (item->key);
      item->value = el_str_dup (item->value);
    }
}

static void
host_take (node_t *node, message_t *call)
{
  node_observe (node, call->update.at.epoch);
  switch (call->update.state)
    {
    case PR_UPDATE_CHANGES:
      st_mirror_take_changes (&node->mirror, node->epoch, &call->update);
      break;
    case PR_UPDATE_PAGE:
      if (node->mirror.reading
          && st_mirror_read_is_stale (&node->mirror, node->epoch))
        st_mirror_reread (&node->mirror);
      else
        st_mirror_take_page (&node->mirror, node->epoch, &call->update);
      break;
    case PR_UPDATE_READ_ALL:
      if (!node->mirror.reading && call->update.at.epoch == node->epoch)
        st_mirror_reread (&node->mirror);
      break;
    case PR_UPDATE_NONE:
      break;
    }
}

/* The keys that a mirror has, as it would pass them on. */
static states_t
node_states (node_t *node)
{
  pr_store_update_t all = { 0 };
  states_t out = { 0 };
  size_t i;

  st_keys_page (node->mirror.keys, NO_KEY, NO_KEY, SIZE_MAX, &all);
  for (i = 0; i < all.n; i++)
    out.since[key_number (all.items[i].key)] = all.items[i].revision;
  free (all.items);
  return out;
}

/* Returns whether SINCE was the state of KEY at a revision not before FROM. */
static int
state_is_covered (unsigned key, uint64_t from, uint64_t since)
{
  uint64_t revision;

  for (revision = from; revision <= model.revision; revision++)
    if (states_at (model.epoch, revision)->since[key] == since)
      return 1;
  return 0;
}

/* No key is older than the position of the mirror, nor older than it was. */
static void
node_check (node_t *node)
{
  const st_mirror_t *mirror = &node->mirror;
  states_t has;
  unsigned key;

  if (!mirror->complete || mirror->at.epoch != model.epoch)
    return;
  if (node->newest_epoch != model.epoch)
    memset (&node->newest, 0, sizeof node->newest);
  node->newest_epoch = model.epoch;
  has = node_states (node);
  for (key = 0; key < KEYS; key++)
    {
      uint64_t from = mirror->at.revision > node->newest.since[key]
                          ? mirror->at.revision
                          : node->newest.since[key];

      ck_assert_msg (state_is_covered (key, from, has.since[key]),
                     "seed %" PRIu64 ": mirror %d states revision %" PRIu64
                     ", had key %u of %" PRIu64 ", has it of %" PRIu64,
                     drawn, (int)(node - nodes), mirror->at.revision, key,
                     node->newest.since[key], has.since[key]);
      if (has.since[key])
        node->newest.since[key] = has.since[key];
    }
}

static void
message_take (node_t *node, message_t *call,
              void (*take) (node_t *, message_t *))
{
  take (node, call);
  node_check (node);
  message_end (call);
}

static void
message_step (node_t *node, message_t *call, void (*serve) (message_t *),
              void (*take) (node_t *, message_t *))
{
  if (seeds_random (12) == 0)
    message_end (call);
  else if (!call->served)
    serve (call);
  else
    message_take (node, call, take);
}

static void
node_step (node_t *node)
{
  unsigned number = (unsigned)(node - nodes);

  if (seeds_random (2))
    {
      if (node->store.sent)
        message_step (node, &node->store, store_serve, store_take);
      else if (number == 0 || seeds_random (8) == 0)
        store_send (node);
    }
  else if (node->host.sent)
    message_step (node, &node->host, host_serve, host_take);
  else
    host_send (node, (number + 1 + seeds_random (MIRRORS - 1)) % MIRRORS);
}

static void
schedule_step (void)
{
  unsigned what = seeds_random (40);

  if (what < 8)
    model_change (seeds_random (KEYS), seeds_random (3) == 0);
  else if (what == 8)
    model.history = model.revision;
  else if (what == 9 && seeds_random (6) == 0)
    model_restore ();
  else if (what == 10)
    st_keys_release_held (nodes[seeds_random (MIRRORS)].mirror.keys);
  else
    node_step (&nodes[seeds_random (MIRRORS)]);
}

static int
node_is_current (const node_t *node)
{
  return !node->mirror.reading && node->mirror.at.epoch == model.epoch
         && node->mirror.at.revision == model.revision;
}

/* Each mirror asks the one before it, the first one asks the store. */
static void
schedule_settle (void)
{
  unsigned i;
  unsigned tries;

  for (i = 0; i < MIRRORS; i++)
    {
      message_end (&nodes[i].store);
      message_end (&nodes[i].host);
    }
  for (i = 0; i < MIRRORS; i++)
    {
      node_t *node = &nodes[i];
      message_t *call = i ? &node->host : &node->store;

      for (tries = 0; tries < 200 && !node_is_current (node); tries++)
        {
          node->epoch = model.epoch;
          if (i)
            host_send (node, i - 1);
          else
            store_send (node);
          (i ? host_serve : store_serve) (call);
          message_take (node, call, i ? host_take : store_take);
        }
      ck_assert_msg (node_is_current (node), "seed %" PRIu64 ": mirror %u",
                     drawn, i);
      st_keys_release_held (node->mirror.keys);
    }
}

static void
schedule_check_equal (void)
{
  states_t *want = states_at (model.epoch, model.revision);
  unsigned key;
  unsigned i;

  for (i = 0; i < MIRRORS; i++)
    {
      states_t has = node_states (&nodes[i]);

      for (key = 0; key < KEYS; key++)
        {
          uint64_t since = want->since[key];
          el_str_t value
              = since ? value_new (key, model.written[model.epoch][key][since],
                                   since)
                      : NO_KEY;

          ck_assert_msg (has.since[key] == since
                             && el_str_eq (value, el_str (nodes[i].view[key])),
                         "seed %" PRIu64 ": mirror %u, key %u is of %" PRIu64
                         " (%s), not of %" PRIu64,
                         drawn, i, key, has.since[key], nodes[i].view[key],
                         since);
          el_str_free (&value);
        }
    }
}

static void
schedule_play (uint64_t seed)
{
  unsigned i;

  drawn = seed;
  memset (&model, 0, sizeof model);
  memset (nodes, 0, sizeof nodes);
  for (i = 0; i < MIRRORS; i++)
    {
      const st_keys_options_t options = { .item = node_item,
                                          .arg = &nodes[i],
                                          .gone_max = seed % 2 ? 0 : 2 };

      st_mirror_init (&nodes[i].mirror, &options);
    }
  model_change (0, 0);
  for (i = 0; i < STEPS; i++)
    schedule_step ();
  schedule_settle ();
  schedule_check_equal ();
  for (i = 0; i < MIRRORS; i++)
    st_mirror_free (&nodes[i].mirror);
}

/* Guards against a position that does not cover all changes up to it: a host
   that asks for later ones only never learns what was skipped. */
START_TEST (test_mirror_position_covers_all_changes)
{
  seeds_run (schedule_play);
}
END_TEST

static int
ignore_item (void *arg, const pr_store_item_t *item)
{
  (void)arg;
  (void)item;
  return 1;
}

static void
read_page (st_keys_t *keys, uint64_t before, const st_keys_page_t *page)
{
  st_keys_begin_read (keys);
  st_keys_apply_page (keys, page);
  st_keys_end_read (keys, (pr_store_position_t){ 1, before }, page->at);
}

/* Guards against a removal that is not passed on: the page of another host
   lacks the key, which was removed after that page's position; a later read
   then passes over the removal. */
START_TEST (test_keys_removal_after_page_is_passed_on)
{
  const st_keys_options_t options = { .item = ignore_item };
  const pr_store_item_t item = { .key = EL_STR ("z"), .revision = 2 };
  const pr_store_query_t query = { .after = { 1, 5 } };
  pr_store_update_t update = { .at = { 1, 9 } };
  const st_keys_page_t first = { .items = &item, .n = 1, .at = { 1, 3 } };
  const st_keys_page_t second = { .at = { 1, 5 }, .lags = 1 };
  const st_keys_page_t third = { .at = { 1, 9 } };
  st_keys_t *keys = st_keys_new (&options);

  read_page (keys, 0, &first);
  read_page (keys, 3, &second);
  read_page (keys, 5, &third);
  ck_assert_int_eq (st_keys_changes_since (keys, &query, SIZE_MAX, &update),
                    1);
  ck_assert_uint_eq (update.n, 1);
  ck_assert_int_eq (update.items[0].gone, 1);
  free (update.items);
  st_keys_free (keys);
}
END_TEST

/* Guards against a watch whose answer comes after a read of a later epoch: it
   lacks changes of that epoch before the revision it was sent with. */
START_TEST (test_mirror_watch_across_epochs_is_ignored)
{
  const st_keys_options_t options = { .item = ignore_item };
  const pr_store_item_t item = { .key = EL_STR ("z"), .revision = 6 };
  st_keys_page_t page = { .at = { 1, 4 } };
  st_mirror_t mirror;

  st_mirror_init (&mirror, &options);
  ck_assert_int_eq (st_mirror_apply_page (&mirror, &page), ST_MIRROR_WHOLE);
  st_mirror_reread (&mirror);
  ck_assert_int_eq (st_mirror_apply_watch (&mirror, page.at, &item, 1, 7),
                    ST_MIRROR_IGNORED);
  page = (st_keys_page_t){ .read = 1, .at = { 2, 2 } };
  ck_assert_int_eq (st_mirror_apply_page (&mirror, &page), ST_MIRROR_WHOLE);
  ck_assert_int_eq (st_mirror_apply_watch (
                        &mirror, (pr_store_position_t){ 1, 4 }, &item, 1, 7),
                    ST_MIRROR_IGNORED);
  ck_assert_uint_eq (mirror.at.revision, 2);
  st_mirror_free (&mirror);
}
END_TEST

/* Guards against keys that go back to an older state: the page was requested
   for the read before this one. */
START_TEST (test_mirror_page_of_former_read_is_ignored)
{
  const st_keys_options_t options = { .item = ignore_item };
  st_keys_page_t page = { .at = { 1, 4 } };
  st_mirror_t mirror;

  st_mirror_init (&mirror, &options);
  ck_assert_int_eq (st_mirror_apply_page (&mirror, &page), ST_MIRROR_WHOLE);
  st_mirror_reread (&mirror);
  page.at.revision = 2;
  ck_assert_int_eq (st_mirror_apply_page (&mirror, &page), ST_MIRROR_IGNORED);
  page.read = 1;
  ck_assert_int_eq (st_mirror_apply_page (&mirror, &page), ST_MIRROR_WHOLE);
  st_mirror_free (&mirror);
}
END_TEST

Suite *
mirror_suite (void)
{
  Suite *suite = suite_create ("mirror");
  TCase *tcase = tcase_create ("mirror");

  tcase_set_timeout (tcase, 120);
  ADD (tcase, test_mirror_position_covers_all_changes);
  ADD (tcase, test_keys_removal_after_page_is_passed_on);
  ADD (tcase, test_mirror_page_of_former_read_is_ignored);
  ADD (tcase, test_mirror_watch_across_epochs_is_ignored);
  suite_add_tcase (suite, tcase);
  return suite;
}
