/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Puts what the platform or another host tells of the configuration in force.
 */
#include <stdio.h>
#include <stdlib.h>

#include "libgate.h"

#define KEY_MAX (2 * CO_NAME_MAX)

struct gt_sync
{
  gt_gate_t *gate;
  json_t *seen; /* keys that were told of */
};

/* Resources that a whole configuration no longer holds. */
typedef struct prune_arg
{
  json_t *seen;
  json_t *gone;
} prune_arg_t;

gt_sync_t *
gt_sync_begin (gt_gate_t *gate)
{
  gt_sync_t *sync = el_alloc (sizeof *sync);

  sync->gate = gate;
  sync->seen = json_object ();
  return sync;
}

static void
sync_key (char *out, co_kind_t kind, el_str_t name)
{
  snprintf (out, KEY_MAX, "%s/%.*s", co_kind_name (kind), (int)name.len,
            name.ptr);
}

/** Put one change in force unless a newer one is: SPEC, or a removal. */
void
gt_sync_item (gt_sync_t *sync, co_kind_t kind, el_str_t name,
              uint64_t revision, json_t *spec)
{
  gt_gate_t *gate = sync->gate;
  char key[KEY_MAX];
  co_resource_t *res;
  el_status_t status;
  el_err_t err;

  sync_key (key, kind, name);
  json_object_set_new (sync->seen, key, json_true ());
  if (!spec)
    status = co_config_remove (gate->config, kind, name, revision, &err);
  else
    {
      res = co_resource_parse (kind, name, spec, revision, &err);
      if (!res)
        {
          EL_LOG (EL_LOG_WARN, "config_refused",
                  EL_FC ("kind", co_kind_name (kind)), EL_FS ("name", name),
                  EL_FC ("reason", err.msg));
          return;
        }
      status = co_config_apply (gate->config, res, &err);
    }
  if (status)
    gate->counts.config_stale++;
  else
    gate->counts.config_applied++;
}

static void
prune_visit (void *arg, const co_resource_t *res)
{
  prune_arg_t *prune = arg;
  char key[KEY_MAX];

  sync_key (key, res->kind, res->name);
  if (!json_object_get (prune->seen, key))
    json_object_set_new (prune->gone, key, json_true ());
}

/* What a whole configuration does not hold was removed. A resource with a
   later revision came after it and stays. */
static void
sync_prune (gt_sync_t *sync, uint64_t revision)
{
  prune_arg_t prune = { sync->seen, json_object () };
  const co_resource_t *res;
  const char *key;
  json_t *value;
  el_str_t rest;
  co_kind_t kind;

  co_config_visit (sync->gate->config, prune_visit, &prune);
  json_object_foreach (prune.gone, key, value)
  {
    rest = el_str (key);
    if (!co_kind_parse (el_str_cut (&rest, '/'), &kind))
      continue;
    res = co_config_get (sync->gate->config, kind, rest);
    if (res && res->revision < revision)
      co_config_remove (sync->gate->config, kind, rest, revision, NULL);
  }
  json_decref (prune.gone);
}

/** All changes up to REVISION were told, by one that has a configuration.
    WHOLE: what was not told of is not there. */
void
gt_sync_end (gt_sync_t *sync, uint64_t revision, int whole)
{
  gt_gate_t *gate = sync->gate;

  if (whole)
    {
      sync_prune (sync, revision);
      if (!gate->ready || revision > co_config_revision (gate->config))
        gate->history = revision;
      EL_LOG (EL_LOG_INFO, "config_whole", EL_FN ("revision", revision),
              EL_FN ("resources", co_config_count (gate->config)));
    }
  co_config_advance (gate->config, revision);
  gate->ready = 1;
  gt_peers_seen (gate->peers, co_config_revision (gate->config));
  gt_sync_drop (sync);
}

/** Nothing more is told, and nothing is known of what was not told of. */
void
gt_sync_drop (gt_sync_t *sync)
{
  json_decref (sync->seen);
  free (sync);
}

/** Whether there is a configuration to serve with. */
int
gt_sync_ready (const gt_gate_t *gate)
{
  return gate->ready;
}
