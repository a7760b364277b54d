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

/* Adds a priority in ascending order, if it is new and among the first. */
static void
priorities_add (rt_priorities_t *priorities, unsigned priority)
{
  size_t at = 0;

  while (at < priorities->n && priorities->list[at] < priority)
    at++;
  if (at == LD_RANKS
      || (at < priorities->n && priorities->list[at] == priority))
    return;
  if (priorities->n < LD_RANKS)
    priorities->n++;
  memmove (&priorities->list[at + 1], &priorities->list[at],
           (priorities->n - at - 1) * sizeof *priorities->list);
  priorities->list[at] = priority;
}

/* Collects the priorities of the streams of RULE's services. */
static void
rule_add_priorities (rt_rules_t *rules, const rt_rule_t *rule)
{
  rt_service_t *service;
  size_t i;

  for (i = 0; i < rule->nshares && rule->kind == RT_STREAM; i++)
    {
      el_str_t name = rule->shares[i].service;

      service = NULL;
      if (name.len)
        HASH_FIND (hh, rules->services_by_name, name.ptr, (unsigned)name.len,
                   service);
      if (service)
        priorities_add (&service->priorities, rule->priority);
    }
}

/** Whether requests for SERVICE are served in order of rank: the rules of its
    streams differ in priority. */
int
rt_service_has_ranks (const rt_service_t *service)
{
  return service->priorities.n > 1;
}

/* The position of PRIORITY; lower ones than the last have that of the last. */
static unsigned
priorities_find (const rt_priorities_t *priorities, unsigned priority)
{
  unsigned at = 0;

  while (at + 1 < priorities->n && priorities->list[at + 1] <= priority)
    at++;
  return at;
}

/** The rank, below LD_RANKS, of requests under RULE with KEY, which may be
    NULL: the customer's priority goes before the rule's. */
unsigned
rt_rules_rank (const rt_rules_t *rules, const rt_service_t *service,
               const rt_rule_t *rule, const rt_key_t *key)
{
  unsigned customer
      = key ? priorities_find (&rules->priorities, key->priority) : 0;
  size_t rank = customer * service->priorities.n
                + priorities_find (&service->priorities, rule->priority);

  return rank < LD_RANKS ? (unsigned)rank : LD_RANKS - 1;
}

/** Builds the hash tables and the services' ranks, once the arrays are filled
    in. */
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
      priorities_add (&rules->priorities, key->priority);
    }
  for (i = 0; i < rules->nrules; i++)
    rule_add_priorities (rules, &rules->rules[i]);
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
