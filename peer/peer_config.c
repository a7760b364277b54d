/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Applies configuration changes received from the platform or another host.
 */
#include <stdio.h>
#include <stdlib.h>

#include "libpeer.h"

#define KEY_MAX (2 * CO_NAME_MAX)

struct pr_config_update
{
  pr_config_t *config;
  json_t *listed; /* keys received in this update */
};

/* For finding the resources that a complete configuration does not contain. */
typedef struct prune_arg
{
  json_t *listed;  /* keys received */
  json_t *removed; /* keys in force that were not received */
} prune_arg_t;

/** Wrap CONFIG so that it can be updated from, and served to, other hosts. */
pr_config_t *
pr_config_new (co_config_t *config)
{
  pr_config_t *out = el_alloc (sizeof *out);

  out->config = config;
  return out;
}

/** Whether a configuration was received. */
int
pr_config_is_ready (const pr_config_t *config)
{
  return config->ready;
}

/** Counters of applied and stale changes. */
const pr_config_counts_t *
pr_config_counts (const pr_config_t *config)
{
  return &config->counts;
}

/** Start an update. */
pr_config_update_t *
pr_config_update_begin (pr_config_t *config)
{
  pr_config_update_t *update = el_alloc (sizeof *update);

  update->config = config;
  update->listed = json_object ();
  return update;
}

static void
resource_key (char *out, co_kind_t kind, el_str_t name)
{
  snprintf (out, KEY_MAX, "%s/%.*s", co_kind_name (kind), (int)name.len,
            name.ptr);
}

/** Apply one change unless a newer one is in force. A NULL SPEC removes the
    resource. */
void
pr_config_update_apply (pr_config_update_t *update, co_kind_t kind,
                        el_str_t name, uint64_t revision, json_t *spec)
{
  pr_config_t *config = update->config;
  char key[KEY_MAX];
  co_resource_t *res;
  el_status_t status;
  el_err_t err;

  resource_key (key, kind, name);
  json_object_set_new (update->listed, key, json_true ());
  if (!spec)
    status = co_config_remove (config->config, kind, name, revision, &err);
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
      status = co_config_apply (config->config, res, &err);
    }
  if (status)
    config->counts.stale++;
  else
    config->counts.applied++;
}

static void
prune_visit (void *arg, const co_resource_t *res)
{
  prune_arg_t *prune = arg;
  char key[KEY_MAX];

  resource_key (key, res->kind, res->name);
  if (!json_object_get (prune->listed, key))
    json_object_set_new (prune->removed, key, json_true ());
}

/* Remove the resources that a complete configuration does not contain. A
   resource with a later revision was added after it and stays. */
static void
update_prune (pr_config_update_t *update, uint64_t revision)
{
  prune_arg_t prune = { update->listed, json_object () };
  const co_resource_t *res;
  const char *key;
  json_t *value;
  el_str_t rest;
  co_kind_t kind;

  co_config_visit (update->config->config, prune_visit, &prune);
  json_object_foreach (prune.removed, key, value)
  {
    rest = el_str (key);
    if (!co_kind_parse (el_str_cut (&rest, '/'), &kind))
      continue;
    res = co_config_get (update->config->config, kind, rest);
    if (res && res->revision < revision)
      co_config_remove (update->config->config, kind, rest, revision, NULL);
  }
  json_decref (prune.removed);
}

/** Finish an update that included all changes up to REVISION. COMPLETE says
    that it was a complete configuration: resources that it does not contain
    are removed. */
void
pr_config_update_finish (pr_config_update_t *update, uint64_t revision,
                         int complete)
{
  pr_config_t *config = update->config;

  if (complete)
    {
      update_prune (update, revision);
      if (!config->ready || revision > co_config_revision (config->config))
        config->complete_since = revision;
      EL_LOG (EL_LOG_INFO, "config_whole", EL_FN ("revision", revision),
              EL_FN ("resources", co_config_count (config->config)));
    }
  co_config_advance (config->config, revision);
  config->ready = 1;
  if (config->peers)
    peer_set_config_revision (config->peers,
                              co_config_revision (config->config));
  pr_config_update_free (update);
}

/** End an update that does not include all changes up to a revision: what was
    applied stays, and no resource is removed. */
void
pr_config_update_free (pr_config_update_t *update)
{
  json_decref (update->listed);
  free (update);
}
