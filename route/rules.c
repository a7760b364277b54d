/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The configuration of relayed requests: looks up the rule for a request, the
 * customer of an API key, and services.
 */
#include <string.h>

#include "relay.h"

/** Creates empty rules whose strings will point into JSON; takes over the
    reference. */
rt_rules_t *
rt_rules_new (json_t *json)
{
  rt_rules_t *rules = el_alloc (sizeof *rules);

  rules->refs = 1;
  rules->json = json;
  return rules;
}

/* Joins host and prefix with a newline, which occurs in neither. */
static char *
index_key (el_str_t host, el_str_t prefix, size_t *len)
{
  char *key = el_alloc (host.len + 1 + prefix.len);

  if (host.len)
    memcpy (key, host.ptr, host.len);
  key[host.len] = '\n';
  memcpy (key + host.len + 1, prefix.ptr, prefix.len);
  *len = host.len + 1 + prefix.len;
  return key;
}

/** Builds the hash tables, once the arrays are filled in. */
void
rt_rules_build_index (rt_rules_t *rules)
{
  size_t len;
  size_t i;

  for (i = 0; i < rules->nrules; i++)
    {
      rt_rule_t *rule = &rules->rules[i];

      rule->index = index_key (rule->host, rule->prefix, &len);
      HASH_ADD_KEYPTR (hh, rules->rules_by_prefix, rule->index, (unsigned)len,
                       rule);
    }
  for (i = 0; i < rules->nservices; i++)
    {
      rt_service_t *service = &rules->services[i];

      HASH_ADD_KEYPTR (hh, rules->services_by_name, service->name.ptr,
                       (unsigned)service->name.len, service);
    }
  for (i = 0; i < rules->nkeys; i++)
    {
      rt_key_t *key = &rules->keys[i];

      HASH_ADD_KEYPTR (hh, rules->keys_by_text, key->text.ptr,
                       (unsigned)key->text.len, key);
    }
}

/** Takes a reference to RULES; rt_rules_unref releases it. */
rt_rules_t *
rt_rules_ref (rt_rules_t *rules)
{
  rules->refs++;
  return rules;
}

/** Releases a reference to RULES; the last one frees them. RULES may be
    NULL. */
void
rt_rules_unref (rt_rules_t *rules)
{
  size_t i;

  if (!rules || --rules->refs)
    return;
  HASH_CLEAR (hh, rules->rules_by_prefix);
  HASH_CLEAR (hh, rules->services_by_name);
  HASH_CLEAR (hh, rules->keys_by_text);
  for (i = 0; i < rules->nrules; i++)
    {
      free (rules->rules[i].index);
      free (rules->rules[i].shares);
    }
  for (i = 0; i < rules->nservices; i++)
    free (rules->services[i].model.cards);
  free (rules->rules);
  free (rules->services);
  free (rules->keys);
  json_decref (rules->json);
  free (rules);
}

/** The rule of HOST with the longest prefix of PATH; NULL if there is none. */
const rt_rule_t *
rt_rules_match (const rt_rules_t *rules, el_str_t host, el_str_t path)
{
  rt_rule_t *rule = NULL;
  size_t at = path.len;
  size_t len;
  char *key;

  if (path.len == 0)
    return NULL;
  key = index_key (host, path, &len);
  for (; at && !rule; at--)
    if (path.ptr[at - 1] == '/')
      HASH_FIND (hh, rules->rules_by_prefix, key,
                 (unsigned)(host.len + 1 + at), rule);
  free (key);
  return rule;
}

/** The API key with this text; NULL if no customer has it. */
const rt_key_t *
rt_rules_key (const rt_rules_t *rules, el_str_t text)
{
  rt_key_t *key = NULL;

  if (text.len)
    HASH_FIND (hh, rules->keys_by_text, text.ptr, (unsigned)text.len, key);
  return key;
}

/** The service NAME; NULL if there is none. */
const rt_service_t *
rt_rules_service (const rt_rules_t *rules, el_str_t name)
{
  rt_service_t *service = NULL;

  if (name.len)
    HASH_FIND (hh, rules->services_by_name, name.ptr, (unsigned)name.len,
               service);
  return service;
}

/** Selects by weight the service for a request of RULE; DRAW is random. */
el_str_t
rt_rule_pick_service (const rt_rule_t *rule, uint64_t draw)
{
  uint64_t total = 0;
  size_t i;

  for (i = 0; i < rule->nshares; i++)
    total += rule->shares[i].weight;
  if (total == 0)
    return rule->nshares ? rule->shares[0].service : (el_str_t){ NULL, 0 };
  draw %= total;
  for (i = 0; draw >= rule->shares[i].weight; i++)
    draw -= rule->shares[i].weight;
  return rule->shares[i].service;
}
