/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Requests that another host serves, since this host does not reach the
 * endpoints. The other host, the helper, gets the caller's request with its
 * key at its address for callers, and decides everything as for its own
 * callers. It does not forward the request again.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "libgate.h"
#include "librelay.h"

/* On a forwarded request: how many attempts may have run so far. It gives a
   caller who sends it no more than other callers have. */
#define FORWARDED_HEADER "elmarch-forwarded"
/* On a helper's refusal: it can't serve callers now, but another host may. */
#define UNSERVED_HEADER "elmarch-unserved"
/* On a helper's own refusal: the request was not run. An endpoint's answer may
   have the same status. */
#define NOT_RUN_HEADER "elmarch-not-run"
/* Headers of a forwarded request beside the caller's. */
#define OWN_HEADERS_MAX 4
/* Helpers that a request is forwarded to. */
#define HELPERS_MAX 3
/* A host that can't serve callers, or does not answer, gets no request for
   this long. */
#define HELPER_UNUSABLE (1 * EL_SEC)
/* Interval at which it is checked that the helper is live. */
#define HELPER_CHECK_INTERVAL (250 * EL_MSEC)
/* Cost of a helper in another hall, relative to one in the same hall. */
#define REMOTE_HALL_FACTOR 1.25

typedef struct helper_search
{
  gt_relays_t *relays;
  el_time_t now;
  gt_entry_host_t best[2]; /* two of the hosts, drawn at random */
  uint64_t seen;
} helper_search_t;

static relay_helper_t *
helper_find (const gt_relays_t *relays, el_str_t address)
{
  relay_helper_t *helper;

  HASH_FIND (hh, relays->helpers, address.ptr, (unsigned)address.len, helper);
  return helper;
}

static relay_helper_t *
helper_get (gt_relays_t *relays, el_str_t address)
{
  relay_helper_t *helper = helper_find (relays, address);

  if (helper)
    return helper;
  helper = el_alloc (sizeof *helper);
  helper->address = el_str_dup (address);
  HASH_ADD_KEYPTR (hh, relays->helpers, helper->address.ptr,
                   (unsigned)helper->address.len, helper);
  return helper;
}

/* Forgets helpers that are not in use, so that hosts which are gone take no
   memory. */
static void
helpers_prune (gt_relays_t *relays, el_time_t now)
{
  relay_helper_t *helper;
  relay_helper_t *next;

  HASH_ITER (hh, relays->helpers, helper, next)
  if (!helper->running && now >= helper->unusable_until)
    {
      HASH_DEL (relays->helpers, helper);
      el_str_free (&helper->address);
      free (helper);
    }
}

static void
helper_visit (void *arg, const gt_entry_host_t *host)
{
  helper_search_t *search = arg;
  const relay_helper_t *helper = helper_find (search->relays, host->address);
  uint64_t at;

  if (helper && search->now < helper->unusable_until)
    return;
  at = search->seen < 2
           ? search->seen
           : el_random (&search->relays->random) % (search->seen + 1);
  if (at < 2)
    search->best[at] = *host;
  search->seen++;
}

static double
helper_cost (const gt_relays_t *relays, const gt_entry_host_t *host)
{
  const relay_helper_t *helper = helper_find (relays, host->address);
  double capacity = host->capacity ? (double)host->capacity : 1;
  double cost = ((helper ? (double)helper->running : 0) + 1) / capacity;

  return el_str_eq (host->hall, relays->options.hall)
             ? cost
             : cost * REMOTE_HALL_FACTOR;
}

/* Picks the better one of two hosts drawn at random, so that cut-off hosts do
   not all choose the same one. Returns an empty address if there is none. */
static el_str_t
helper_pick (gt_relays_t *relays)
{
  helper_search_t search
      = { .relays = relays, .now = net_clock_now (relays->options.clock) };

  if (relays->options.entry_hosts)
    relays->options.entry_hosts (relays->options.arg, helper_visit, &search);
  if (search.seen == 0)
    return (el_str_t){ NULL, 0 };
  if (search.seen > 1
      && helper_cost (relays, &search.best[1])
             < helper_cost (relays, &search.best[0]))
    return search.best[1].address;
  return search.best[0].address;
}

/** Whether RELAY came from another host. Its attempts there count. */
int
relay_forward_read (gt_relay_t *relay)
{
  uint64_t may_have_run;

  if (!el_str_to_u64 (net_req_header (relay->req, FORWARDED_HEADER),
                      &may_have_run))
    return 0;
  relay->attempts.before = (unsigned)may_have_run;
  return 1;
}

/** Whether a header takes part in forwarding; it is not sent to endpoints. */
int
relay_forward_is_own_header (el_str_t name)
{
  return h2o_lcstris (name.ptr, name.len, FORWARDED_HEADER,
                      strlen (FORWARDED_HEADER));
}

/** Tells the host that forwarded the request that another one may serve it. */
void
relay_forward_mark_unserved (gt_relay_t *relay)
{
  if (relay->forwarded)
    net_req_add_header (relay->req, EL_STR (UNSERVED_HEADER), EL_STR ("1"));
}

/** Tells the host that forwarded the request that this one refuses it, not an
    endpoint. */
void
relay_forward_mark_refused (gt_relay_t *relay)
{
  if (relay->forwarded)
    net_req_add_header (relay->req, EL_STR (NOT_RUN_HEADER), EL_STR ("1"));
}

/** Refuses a request, as this host does not reach the endpoints. */
void
relay_forward_refuse (gt_relay_t *relay, el_time_t retry_after)
{
  relay->relays->counts.refused++;
  relay->relays->counts.refused_unreached++;
  relay_forward_mark_unserved (relay);
  relay_respond_error (relay, 503, "no endpoint reached", retry_after);
}

/** Picks a helper for RELAY. Returns 0 if there is none. */
int
relay_forward_pick (gt_relay_t *relay)
{
  gt_relays_t *relays = relay->relays;
  el_str_t address;

  if (relay->forwarded || relay->helpers >= HELPERS_MAX)
    return 0;
  address = helper_pick (relays);
  if (!address.len)
    return 0;
  relay->helper = helper_get (relays, address);
  relay->helper->running++;
  relay->helpers++;
  return 1;
}

/** Releases the helper of the current attempt. */
void
relay_forward_release (gt_relay_t *relay)
{
  gt_relays_t *relays = relay->relays;

  if (!relay->helper)
    return;
  relay->helper->running--;
  relay->helper = NULL;
  helpers_prune (relays, net_clock_now (relays->options.clock));
}

static void
forward_head (void *arg, const net_result_t *head)
{
  gt_relay_t *relay = arg;
  const gt_relay_headers_t *names = &relay->relays->options.dialect->names;

  relay->head_at = net_clock_now (relay->relays->options.clock);
  relay->stream = relay->rule->kind == RT_STREAM && head->status >= 200
                  && head->status < 300
                  && net_result_header (head, names->seal).len;
  relay_respond_begin (relay, head);
}

/* Determines what a helper's response says about the request. A response with
   a seal is an endpoint's. One without may be, unless the helper says that it
   has refused the request itself. */
static void
forward_classify (gt_relay_t *relay, const net_result_t *result,
                  rt_attempt_t *attempt)
{
  const gt_relay_headers_t *names = &relay->relays->options.dialect->names;

  *attempt = (rt_attempt_t){ .verdict = result->verdict,
                             .begun = relay->response_started,
                             .unseen = result->verdict == EL_NOT_RUN };
  if (result->net != NET_OK)
    return;
  attempt->verdict = EL_MAY_HAVE_RUN;
  if (net_result_header (result, names->seal).len)
    {
      if (relay->events.part.len)
        return;
      attempt->verdict = EL_RAN;
      attempt->answered = 1;
    }
  else if (net_result_header (result, NOT_RUN_HEADER).len)
    {
      attempt->verdict = EL_NOT_RUN;
      attempt->unseen = 1;
    }
}

/* Whether the helper can't serve the request where another one may: it says
   so, it did not answer, or its rules differ from those of this host. */
static int
forward_is_unserved (const net_result_t *result, const rt_attempt_t *attempt)
{
  return result->net != NET_OK
         || (attempt->verdict == EL_NOT_RUN
             && (result->status != 503
                 || net_result_header (result, UNSERVED_HEADER).len));
}

/* Whether another helper may serve the request. */
static int
forward_may_retry (const gt_relay_t *relay, const net_result_t *result,
                   const rt_attempt_t *attempt)
{
  return forward_is_unserved (result, attempt)
         && (attempt->verdict == EL_NOT_RUN || relay->rule->kind != RT_UNSAFE);
}

/* Passes a helper's refusal on, with its time after which to return. */
static void
forward_refuse (gt_relay_t *relay, const net_result_t *result)
{
  el_str_t after = net_result_header (result, "retry-after");

  relay->relays->counts.refused++;
  if (after.len)
    net_req_add_header (relay->req, EL_STR ("retry-after"), after);
  relay_respond_error (relay, 503, "refused over another host", 0);
}

static void
forward_done (void *arg, const net_result_t *result)
{
  gt_relay_t *relay = arg;
  gt_relays_t *relays = relay->relays;
  el_time_t now = net_clock_now (relays->options.clock);
  rt_attempt_t attempt;

  relay->exchange = NULL;
  relay_watch_stop (relay);
  relay_enter (relay, RELAY_DECIDING);
  forward_classify (relay, result, &attempt);
  if (forward_is_unserved (result, &attempt))
    relay->helper->unusable_until = now + HELPER_UNUSABLE;
  if (relay->response_started && relay->stream && attempt.answered)
    {
      relay_forward_release (relay);
      relay_respond_end (relay);
      return;
    }
  if (!attempt.answered && !relay->response_started
      && !forward_may_retry (relay, result, &attempt))
    {
      relay_log_failed (relay, &attempt, result,
                        attempt.verdict == EL_NOT_RUN ? RT_NEXT_REFUSE
                                                      : RT_NEXT_FAIL);
      relay_forward_release (relay);
      relay->attempts.sent++;
      relay->attempts.may_run += attempt.verdict != EL_NOT_RUN;
      if (relay_standby_resume (relay, "the later one failed"))
        return;
      if (attempt.verdict == EL_NOT_RUN && !relay->attempts.may_run)
        forward_refuse (relay, result);
      else
        relay_fail (relay, "may have run over another host");
      return;
    }
  if (relay->response_started)
    attempt.answered = 0;
  relay_attempt_ended (relay, &attempt, result);
}

/* A request that may be repeated leaves a helper that is no longer live. */
static void
forward_check_helper (void *arg, el_time_t now)
{
  gt_relay_t *relay = arg;
  const gt_relay_options_t *o = &relay->relays->options;

  if (o->entry_is_live (o->arg, relay->helper->address))
    {
      net_clock_set (o->clock, &relay->watch_timer, HELPER_CHECK_INTERVAL);
      return;
    }
  relay->helper->unusable_until = now + HELPER_UNUSABLE;
  if (!relay_may_repeat (relay) || !relay_standby_begin (relay))
    net_clock_set (o->clock, &relay->watch_timer, HELPER_CHECK_INTERVAL);
}

static void
forward_watch (gt_relay_t *relay)
{
  relay->watch_timer.cb = forward_check_helper;
  relay->watch_timer.arg = relay;
  net_clock_set (relay->relays->options.clock, &relay->watch_timer,
                 HELPER_CHECK_INTERVAL);
}

static void
forward_add (net_request_t *request, net_header_t *list, const char *name,
             el_str_t value)
{
  list[request->nheaders++] = (net_header_t){ el_str (name), value };
}

/* Adds the caller's headers, with its key, which the helper verifies. */
static void
forward_add_callers (const gt_relay_t *relay, net_request_t *request,
                     net_header_t *list)
{
  const gt_relay_headers_t *names = &relay->relays->options.dialect->names;
  const h2o_headers_t *from = &relay->req->headers;
  size_t i;

  for (i = 0; i < from->size; i++)
    {
      const h2o_header_t *h = &from->entries[i];
      el_str_t name = { h->name->base, h->name->len };
      int is_key = h2o_lcstris (name.ptr, name.len, "authorization", 13);

      if ((is_key || gt_header_is_forwarded (name))
          && !relay_forward_is_own_header (name)
          && !h2o_lcstris (name.ptr, name.len, names->time_left,
                           strlen (names->time_left))
          && !(relay->has_id
               && h2o_lcstris (name.ptr, name.len, names->resume,
                               strlen (names->resume))))
        list[request->nheaders++]
            = (net_header_t){ name, { h->value.base, h->value.len } };
    }
}

static void
forward_send (gt_relay_t *relay, el_time_t now)
{
  const gt_relay_options_t *o = &relay->relays->options;
  const gt_relay_headers_t *names = &o->dialect->names;
  const h2o_req_t *req = relay->req;
  net_header_t *list
      = el_alloc ((req->headers.size + OWN_HEADERS_MAX) * sizeof *list);
  char time_left[RELAY_NUMBER_MAX];
  char resume[RELAY_NUMBER_MAX];
  char may_have_run[RELAY_NUMBER_MAX];
  net_request_t send = { .address = relay->helper->address,
                         .host = { req->authority.base, req->authority.len },
                         .method = net_req_method (req),
                         .path = { req->path.base, req->path.len },
                         .body = net_req_body (req),
                         .id_header = names->id,
                         .id = relay->id,
                         .headers = list,
                         .head = forward_head,
                         .body_part = relay_attempt_body,
                         .keeps_body = relay->rule->kind != RT_STREAM,
                         .max_response = RELAY_RESPONSE_MAX,
                         .done = forward_done,
                         .arg = relay };

  forward_add_callers (relay, &send, list);
  snprintf (time_left, sizeof time_left, "%" PRIu64,
            (relay->deadline - now) / EL_MSEC);
  forward_add (&send, list, names->time_left, el_str (time_left));
  snprintf (may_have_run, sizeof may_have_run, "%u",
            relay->attempts.before + relay->attempts.may_run);
  forward_add (&send, list, FORWARDED_HEADER, el_str (may_have_run));
  if (relay->has_id)
    {
      snprintf (resume, sizeof resume, "%" PRIu64, relay->last_event_id);
      forward_add (&send, list, names->resume, el_str (resume));
    }
  relay->relays->counts.over_host++;
  EL_LOG (EL_LOG_INFO, "sent", EL_FS ("request", relay->id),
          EL_FS ("via", relay->helper->address),
          EL_FN ("attempt", relay->attempts.sent + 1),
          EL_FN ("may_have_run", relay->attempts.may_run),
          EL_FN ("running", relay->helper->running),
          EL_FN ("cut_off",
                 relay_reach_is_cut_off (relay->relays, relay->service->name)),
          EL_FN ("lost",
                 relay_service (relay->relays, relay->service->name)->lost));
  relay->exchange = net_client_send (o->client, &send);
  free (list);
  forward_watch (relay);
}

/* The helper watches the endpoints. */
static void
forward_event (gt_relay_t *relay, el_time_t now)
{
  (void)relay;
  (void)now;
}

const relay_way_t relay_way_over_host = { .send = forward_send,
                                          .watch = forward_watch,
                                          .head = forward_head,
                                          .event = forward_event,
                                          .done = forward_done };
