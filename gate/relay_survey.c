/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Surveys of reach. A host that reaches no endpoint of a service is cut off
 * from them, or they are gone. It asks a few other hosts whether they reach
 * any, and whether those are alive at which runs broke off here.
 */
#include <stdlib.h>

#include "librelay.h"

/* Interval between surveys of a service while none of its endpoints is
   reached. */
#define SURVEY_INTERVAL EL_SEC

/* A survey that is under way. */
typedef struct survey_call
{
  gt_relays_t *relays;
  relay_service_t *service;
  rt_instance_t instances[PR_REACH_MAX];
  size_t n;
} survey_call_t;

/* A query of another host, while connections are being opened for it. */
typedef struct survey_answer
{
  pr_reach_cb done;
  void *arg;
  pr_reach_answer_t answer;
  unsigned pending;
} survey_answer_t;

static const char *const cause_names[]
    = { [RT_REACH_CAUSE_UNKNOWN] = "unknown",
        [RT_REACH_CAUSE_HOST] = "host",
        [RT_REACH_CAUSE_ENDPOINTS] = "endpoints" };

/** Whether this host reaches no endpoint of SERVICE as it is cut off. */
int
relay_survey_is_host (const relay_service_t *service)
{
  return service->reach.lost_at
         && service->survey.cause == RT_REACH_CAUSE_HOST;
}

/** Whether this host reaches no endpoint of SERVICE as they are gone. */
int
relay_survey_is_endpoints (const relay_service_t *service)
{
  return service->reach.lost_at
         && service->survey.cause == RT_REACH_CAUSE_ENDPOINTS;
}

static void
survey_log (const gt_relays_t *relays, const relay_service_t *service,
            unsigned hosts)
{
  const rt_reach_survey_t *survey = &service->survey;

  EL_LOG (EL_LOG_WARN, "reach_surveyed", EL_FC ("service", service->name),
          EL_FC ("cause", cause_names[survey->cause]), EL_FN ("asked", hosts),
          EL_FN ("reached", survey->reached),
          EL_FN ("unreached", survey->unreached),
          EL_FN ("took_us",
                 net_clock_now (relays->options.clock) - survey->begun));
}

static void
survey_replied (void *arg, unsigned hosts, const pr_reach_answer_t *answer)
{
  survey_call_t *call = arg;
  relay_service_t *service = call->service;
  rt_reach_cause_t before = service->survey.cause;
  rt_reach_reply_t reply = RT_REACH_REPLY_NONE;
  size_t i;

  if (answer)
    reply = answer->any ? RT_REACH_REPLY_REACHED : RT_REACH_REPLY_UNREACHED;
  for (i = 0; answer && i < answer->n && i < call->n; i++)
    if (answer->reached[i])
      relay_runs_alive (call->relays, &call->instances[i],
                        service->survey.begun);
  if (rt_reach_survey_add (&service->survey, hosts, reply))
    service->surveying = 0;
  if (service->survey.cause != before)
    {
      survey_log (call->relays, service, hosts);
      if (relay_survey_is_host (service))
        relay_reach_retract_refusals (call->relays, service);
    }
  if (service->surveying)
    return;
  if (relay_runs_has_unasked (call->relays, el_str (service->name)))
    relay_survey_begin (call->relays, service);
  free (call);
}

/** Asks other hosts about SERVICE, of which this host reaches no endpoint,
    unless that is being done. */
void
relay_survey_begin (gt_relays_t *relays, relay_service_t *service)
{
  el_time_t now = net_clock_now (relays->options.clock);
  pr_reach_query_t query = { .service = el_str (service->name) };
  survey_call_t *call;

  if (!relays->options.ask_reach || service->surveying
      || !service->reach.lost_at)
    return;
  call = el_alloc (sizeof *call);
  call->relays = relays;
  call->service = service;
  call->n
      = relay_runs_ask (relays, query.service, call->instances, PR_REACH_MAX);
  for (; query.n < call->n; query.n++)
    query.instances[query.n]
        = (pr_instance_t){ .endpoint = el_str (call->instances[query.n].id),
                           .born = call->instances[query.n].born };
  rt_reach_survey_begin (&service->survey, now);
  service->surveying = 1;
  relays->counts.surveys++;
  if (relays->options.ask_reach (relays->options.arg, &query, survey_replied,
                                 call))
    return;
  service->surveying = 0;
  service->survey.cause = RT_REACH_CAUSE_UNKNOWN;
  free (call);
}

/** Repeats the surveys that are due. */
void
relay_survey_tick (gt_relays_t *relays, el_time_t now)
{
  relay_service_t *service;

  for (service = relays->services; service; service = service->hh.next)
    if (service->reach.lost_at
        && now >= service->survey.begun + SURVEY_INTERVAL)
      relay_survey_begin (relays, service);
}

static void
answer_connected (void *arg, size_t index, int connected)
{
  survey_answer_t *answer = arg;

  answer->answer.any |= connected;
  if (index < answer->answer.n)
    answer->answer.reached[index] = connected;
  if (--answer->pending)
    return;
  answer->done (answer->arg, 1, &answer->answer);
  free (answer);
}

/** Finds out for another host which endpoints this host reaches. It does not
    answer if it knows no endpoint of the service. */
void
gt_relays_answer_reach (gt_relays_t *relays, const pr_reach_query_t *query,
                        pr_reach_cb done, void *arg)
{
  const rt_fleet_t *fleet = relays->options.fleet;
  relay_service_t *service = relay_service (relays, query->service);
  rt_target_t *targets[PR_REACH_MAX + RELAY_REACH_SAMPLE];
  size_t index[PR_REACH_MAX + RELAY_REACH_SAMPLE];
  survey_answer_t *answer;
  rt_target_t *target;
  size_t n = 0;
  size_t i;

  for (i = 0; i < query->n; i++)
    {
      target = rt_fleet_find (fleet, query->instances[i].endpoint);
      if (!target || target->attrs.born != query->instances[i].born)
        continue;
      index[n] = i;
      targets[n++] = target;
    }
  i = n + relay_reach_choose (relays, service, 1, targets + n);
  for (; n < i; n++)
    index[n] = PR_REACH_MAX;
  if (!n)
    {
      done (arg, 1, NULL);
      return;
    }
  answer = el_alloc (sizeof *answer);
  answer->done = done;
  answer->arg = arg;
  answer->answer.n = query->n;
  answer->pending = (unsigned)n;
  while (n--)
    relay_reach_probe (relays, targets[n], answer_connected, answer, index[n]);
}
