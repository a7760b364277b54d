/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Reach of endpoints from this host.
 */
#include "reach.h"

/* Connects in a row that regain a lost endpoint. The number doubles with each
   loss that follows a regain within FLAP_TIME, so that a path that comes and
   goes does not move the load each time. */
#define PROOFS_MIN 2U
#define PROOF_DOUBLINGS_MAX 3
#define FLAP_TIME (10 * EL_SEC)

/** Records that a connection could not be opened at AT. Returns 1 if the
    endpoint becomes lost. */
int
rt_reach_failed (rt_reach_t *reach, el_time_t at)
{
  reach->proofs = 0;
  if (reach->lost_at)
    return 0;
  if (!reach->regained_at || at > reach->regained_at + FLAP_TIME)
    reach->losses = 0;
  else if (reach->losses < PROOF_DOUBLINGS_MAX)
    reach->losses++;
  reach->lost_at = at;
  return 1;
}

/** Records that a connection which was requested at BEGUN is open. One that
   was requested before the loss proves nothing. Returns 1 if the endpoint is
    regained. */
int
rt_reach_connected (rt_reach_t *reach, el_time_t begun, el_time_t now)
{
  if (!reach->lost_at || begun < reach->lost_at
      || ++reach->proofs < PROOFS_MIN << reach->losses)
    return 0;
  reach->lost_at = 0;
  reach->proofs = 0;
  reach->regained_at = now;
  return 1;
}

/** Begins a sample of a number of ENDPOINTS. */
void
rt_reach_sample_begin (rt_reach_sample_t *sample, el_time_t now,
                       unsigned endpoints)
{
  *sample = (rt_reach_sample_t){ .begun = now, .pending = endpoints };
}

/** Adds the result of one connect. */
rt_reach_verdict_t
rt_reach_sample_add (rt_reach_sample_t *sample, int connected)
{
  sample->pending--;
  sample->connected += connected != 0;
  sample->failed += !connected;
  if (sample->connected)
    return RT_REACH_SOME;
  return sample->pending ? RT_REACH_PENDING : RT_REACH_NONE;
}

/** Begins a survey. The cause that an earlier one showed holds until then. */
void
rt_reach_survey_begin (rt_reach_survey_t *survey, el_time_t now)
{
  *survey = (rt_reach_survey_t){ .begun = now, .cause = survey->cause };
}

/** Adds a reply, one of HOSTS that were asked. One host that reaches an
    endpoint suffices; that all are gone takes most of the hosts, as one of
   them may be cut off, too. Returns 1 if the survey is complete. */
int
rt_reach_survey_add (rt_reach_survey_t *survey, unsigned hosts,
                     rt_reach_reply_t reply)
{
  survey->replies++;
  survey->reached += reply == RT_REACH_REPLY_REACHED;
  survey->unreached += reply == RT_REACH_REPLY_UNREACHED;
  if (survey->reached)
    survey->cause = RT_REACH_CAUSE_HOST;
  else if (survey->replies == hosts)
    survey->cause = 2 * survey->unreached > hosts ? RT_REACH_CAUSE_ENDPOINTS
                                                  : RT_REACH_CAUSE_UNKNOWN;
  return survey->replies == hosts;
}
