/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Attempts at a relayed request: where it is sent, what is made of what comes
 * back.
 */
#include "librelay.h"

/* A connection that rested longer is not used for what must not run twice:
   the endpoint may be about to close it. */
#define UNSAFE_IDLE (2 * EL_SEC)
/* When to come back after a refusal: an endpoint that is full or missing now
   may not be in a moment. Half of it is random so that callers spread. */
#define REFUSED_RETRY (100 * EL_MSEC)
/* Callers who are told to come back after a rest are spread over this part of
   what is left of it. */
#define REST_SPREAD_PART 4
/* What broke off is sent again after this: 2 ms until an engine that ended has
   refused a connection, and one that lives has answered. */
#define BROKEN_WAIT (5 * EL_MSEC)
/* An engine where something broke off is asked for a sign of life, unless it
   was within this. */
#define ASK_GAP (10 * EL_MSEC)
/* Answers of plain services that are collected before they are passed on. */
#define PLAIN_MAX ((size_t)4 << 20)

static void try_after (gt_relay_t *relay, const rt_attempt_t *attempt,
                       const net_result_t *result);

static int
is_line (const gt_relay_t *relay)
{
  return relay->service->model.layers > 0;
}

/* Let go of the endpoint or line of the attempt under way. */
static void
try_release (gt_relay_t *relay)
{
  rt_line_release (&relay->line);
  if (relay->target)
    {
      relay->target->running--;
      rt_target_unref (relay->target);
      relay->target = NULL;
    }
}

/** End the attempt under way, also at the endpoint. */
void
relay_drop (gt_relay_t *relay)
{
  relay_watch_end (relay);
  if (relay->exchange)
    net_client_cancel (relay->exchange);
  relay->exchange = NULL;
  net_clock_cancel (relay->relays->options.clock, &relay->turn);
  try_release (relay);
}

/* The request did not run: the caller may send it again, once there will be
   an endpoint that does not rest. */
static void
try_refuse (gt_relay_t *relay, const char *reason)
{
  gt_relays_t *relays = relay->relays;
  el_time_t left
      = relay_rest_left (relay, net_clock_now (relays->options.clock));
  el_time_t spread = left ? left / REST_SPREAD_PART : REFUSED_RETRY / 2;
  el_time_t wait = left ? left : REFUSED_RETRY / 2;

  relays->counts.refused++;
  relays->counts.rested += left > 0;
  relay_answer_refuse (relay, 503, left ? "all endpoints rest" : reason,
                       wait + el_random (&relays->random) % (spread + 1));
}

/* The request may have run, and there is no answer. */
static void
try_fail (gt_relay_t *relay, const char *reason)
{
  relay->relays->counts.failed++;
  relay_answer_refuse (relay, 502, reason, 0);
}

/* Find a line that begins with FIRST, or with any engine if there is none. */
static int
try_line (gt_relay_t *relay, rt_target_t *first, el_time_t now)
{
  const gt_relay_options_t *o = &relay->relays->options;
  rt_line_want_t want = { .service = relay->service,
                          .hall = o->hall,
                          .tokens = relay->tokens,
                          .tried = &relay->tried,
                          .first = first };

  if (rt_line_pick (o->fleet, now, &want, &relay->line))
    return 1;
  want.first = NULL;
  return first && rt_line_pick (o->fleet, now, &want, &relay->line);
}

/* Choose where to send; gives 0 when there is nothing to send to. */
static int
try_choose (gt_relay_t *relay, el_time_t now)
{
  gt_relays_t *relays = relay->relays;
  const gt_relay_options_t *o = &relays->options;
  rt_target_t *apart = relay_suspect_target (relay, now);

  rt_fleet_share (o->fleet, o->hall_hosts (o->arg), o->hosts (o->arg));
  if (!is_line (relay))
    relay->target = apart ? apart
                          : rt_fleet_pick (o->fleet, now, relay->service->name,
                                           o->hall, &relay->tried);
  else if (try_line (relay, apart, now))
    {
      rt_line_hold (&relay->line, NULL,
                    relay->nevents ? relay->tokens : relay->prompt);
      if (relay->course.sent == 0)
        rt_fleet_sent (o->fleet, now, relay->tokens);
      relay->target = relay->line.part[0].target;
    }
  if (!relay->target)
    return 0;
  rt_target_ref (relay->target)->running++;
  return 1;
}

/* Note how long the caller waited for this event. */
static void
event_time (gt_relay_t *relay, el_time_t now)
{
  gt_relay_counts_t *counts = &relay->relays->counts;
  el_time_t gap = now - relay->last_event;

  if (relay->nevents++ == 0)
    {
      relay->first_event = now - relay->received;
      el_hist_add (&counts->first_event, relay->first_event);
      return;
    }
  if (gap > relay->longest_gap)
    relay->longest_gap = gap;
  el_hist_add (&counts->event_gap, gap);
}

static void
try_event (void *arg, el_str_t event, int has_id, uint64_t id)
{
  gt_relay_t *relay = arg;
  gt_relays_t *relays = relay->relays;
  el_time_t now;

  if (relay->ended)
    return;
  if (has_id && relay->has_id && id <= relay->last_id)
    return; /* the caller has it from the attempt before */
  now = net_clock_now (relays->options.clock);
  relay_blame_sign (relays, relay->target);
  rt_line_event (&relay->line, now);
  relay_watch_event (relay, now - relay->still_since);
  event_time (relay, now);
  relay->last_event = now;
  relay->waits = 0;
  relays->counts.events++;
  if (has_id)
    {
      relay->last_id = id;
      relay->has_id = 1;
    }
  relay_answer_event (relay, event);
}

static void
try_head (void *arg, const net_result_t *head)
{
  gt_relay_t *relay = arg;
  const gt_relay_names_t *names = &relay->relays->options.dialect->names;

  relay->began = net_clock_now (relay->relays->options.clock);
  relay->refused
      = net_result_header (head, names->not_run).len || head->status == 421;
  relay->crossed = !el_str_eq (net_result_header (head, names->id), relay->id);
  relay->stream = relay->rule->kind == RT_STREAM && !relay->refused
                  && !relay->crossed && head->status >= 200
                  && head->status < 300
                  && net_result_header (head, names->seal).len;
  /* It counts for all choices from now on: of 102 requests that one engine
     turned away in 6 s, 70 came within the rest that it had asked for. */
  relay_rest_heard (relay, head);
  if (!relay->refused)
    relay_rest_answered (relay);
  if (relay->stream && !relay->begun)
    relay_answer_begin (relay, head);
}

/* Pieces of a stream go on at once; others are collected. */
static void
try_piece (void *arg, el_str_t bytes)
{
  gt_relay_t *relay = arg;

  if (relay->stream)
    relay_events_add (&relay->events, bytes, try_event, relay);
  else if (!relay->begun && relay->out.len + bytes.len <= PLAIN_MAX)
    el_buf_add (&relay->out, bytes);
}

/** The engine that a refusal names, else the first of the line. */
rt_target_t *
relay_at_fault (gt_relay_t *relay, const net_result_t *result)
{
  const gt_relay_names_t *names = &relay->relays->options.dialect->names;
  el_str_t address = net_result_header (result, names->at_fault);
  rt_target_t *named
      = address.len ? rt_line_engine (&relay->line, address) : NULL;

  return named ? named : relay->target;
}

/* What the exchange proves. */
static void
try_judge (gt_relay_t *relay, const net_result_t *result,
           rt_attempt_t *attempt)
{
  const gt_relay_names_t *names = &relay->relays->options.dialect->names;
  int success = result->status >= 200 && result->status < 300;
  int promise = result->status == 429 || result->status == 503
                || result->status == 408 || result->status == 421;

  *attempt
      = (rt_attempt_t){ .verdict = result->verdict, .begun = relay->begun };
  if (result->net != NET_OK)
    return;
  attempt->verdict = EL_MAY_HAVE_RUN;
  if (relay->crossed)
    {
      relay->relays->counts.crossed++;
      return;
    }
  if (relay->refused)
    {
      attempt->verdict = EL_NOT_RUN;
      return;
    }
  /* A success that the endpoint does not vouch for, and a refusal that it
     does not call one, are no answers. */
  if (promise || (success && !net_result_header (result, names->seal).len)
      || relay->events.part.len)
    return;
  attempt->verdict = EL_RAN;
  attempt->answered = 1;
  attempt->failed = result->status >= 500;
}

/* Remember how the endpoint did, for the choices to come. */
static void
try_note (gt_relay_t *relay, const net_result_t *result,
          const rt_attempt_t *attempt)
{
  el_time_t now = net_clock_now (relay->relays->options.clock);
  rt_target_t *fault = relay_at_fault (relay, result);

  if (attempt->answered && !attempt->failed)
    rt_target_served (relay->target, now - relay->sent);
  else if (attempt->verdict == EL_NOT_RUN && result->status == 421)
    rt_target_changed (fault, now);
  else if (attempt->verdict == EL_NOT_RUN && result->net == NET_OK)
    rt_target_busy (fault, now);
  else
    rt_target_failed (fault, now);
  if (relay->line.n && !attempt->answered && !relay->asks.rest)
    relay_check (relay->relays, fault);
  rt_tried_add (&relay->tried, fault);
}

/* What the exchange says of the endpoint's life, and of the request's part in
   its end. */
static void
try_blame (gt_relay_t *relay, const net_result_t *result,
           const rt_attempt_t *attempt)
{
  gt_relays_t *relays = relay->relays;

  if (result->net == NET_REFUSED)
    relay_blame_refused (relays, relay->target);
  else if (result->net == NET_OK)
    relay_blame_sign (relays, relay->target);
  if (attempt->answered)
    relay_blame_survived (relay);
  if (result->net != NET_BROKEN || attempt->verdict == EL_NOT_RUN)
    return;
  relay_blame_broken (relay, relay->target);
  if (relay->line.n)
    relay_check_poll (relays, relay->target,
                      net_clock_now (relays->options.clock) - ASK_GAP);
}

/* It never left: nothing was spent on it, and another endpoint is chosen. */
static void
try_kept (gt_relay_t *relay)
{
  relay->relays->counts.kept++;
  EL_LOG (EL_LOG_INFO, "kept_back", EL_FS ("request", relay->id),
          EL_FS ("endpoint", relay->target->facts.id));
  try_release (relay);
  relay_try (relay);
}

static int
try_may (void *arg)
{
  gt_relay_t *relay = arg;

  return relay_rest_may (relay, net_clock_now (relay->relays->options.clock));
}

static void
try_done (void *arg, const net_result_t *result)
{
  gt_relay_t *relay = arg;
  rt_attempt_t attempt;

  relay->exchange = NULL;
  relay_watch_end (relay);
  if (result->net == NET_HELD)
    {
      try_kept (relay);
      return;
    }
  try_judge (relay, result, &attempt);
  try_blame (relay, result, &attempt);
  try_note (relay, result, &attempt);
  if (relay->begun && !relay->stream)
    attempt.answered = 0; /* its failure can't follow a stream's head */
  if (relay->begun && attempt.answered)
    {
      relay_answer_end (relay);
      try_release (relay);
      return;
    }
  try_after (relay, &attempt, result);
}

/* What follows an attempt; a repeat is paid for from the budget. */
static rt_next_t
try_next (gt_relay_t *relay, const rt_attempt_t *attempt)
{
  el_time_t now = net_clock_now (relay->relays->options.clock);
  el_time_t left = relay->deadline > now ? relay->deadline - now : 0;
  rt_course_t before = relay->course;
  rt_next_t next
      = rt_course_next (&relay->course, relay->rule, attempt, 1, left);

  if (next != RT_NEXT_AGAIN || relay_spend_take (relay))
    return next;
  relay->course = before;
  return rt_course_next (&relay->course, relay->rule, attempt, 0, left);
}

/* The endpoint's answer goes to the caller, with what was collected of it. */
static void
try_pass (gt_relay_t *relay, const net_result_t *result)
{
  net_result_t whole = *result;

  whole.body = el_buf_str (&relay->out);
  relay_answer_pass (relay, &whole);
}

static void
again_due (void *arg, el_time_t now)
{
  (void)now;
  relay_try (arg);
}

/* Send once more. After a break it is known in a moment whether the endpoint
   has ended, and whether the request is to blame for it. */
static void
try_again (gt_relay_t *relay, int broken)
{
  gt_relay_counts_t *counts = &relay->relays->counts;

  counts->repeats++;
  counts->resumed += relay->begun != 0;
  relay->turn.cb = again_due;
  relay->turn.arg = relay;
  if (broken)
    net_clock_set (relay->relays->options.clock, &relay->turn, BROKEN_WAIT);
  else if (!relay->waits || !relay_wait_endpoint (relay))
    relay_try (relay);
}

/* Decide what follows an attempt that was not simply passed on. */
static void
try_after (gt_relay_t *relay, const rt_attempt_t *attempt,
           const net_result_t *result)
{
  rt_next_t next = try_next (relay, attempt);

  if (next == RT_NEXT_PASS)
    {
      try_pass (relay, result);
      return;
    }
  relay_log_failed (relay, attempt, result, next);
  try_release (relay);
  if (!relay->begun)
    el_buf_reset (&relay->out);
  relay_events_reset (&relay->events);
  if (next == RT_NEXT_AGAIN)
    try_again (relay, result->net == NET_BROKEN);
  else if (relay->begun)
    relay_answer_break (relay, "no endpoint goes on with it");
  else if (next == RT_NEXT_REFUSE)
    try_refuse (relay, "not run");
  else
    try_fail (relay, "may have run");
}

/** Whether the stream may go on at another line after the attempt under way.
 */
int
relay_may_resume (gt_relay_t *relay)
{
  return relay->rule->resumable
         && relay->course.may_run + 1 < relay->rule->attempts
         && relay_spend_left (relay);
}

/** End the attempt under way as one that may have run, and go on. */
void
relay_abandon (gt_relay_t *relay)
{
  const rt_attempt_t attempt
      = { .verdict = EL_MAY_HAVE_RUN, .begun = relay->begun };
  const net_result_t result = { .net = NET_BROKEN };

  relay_watch_end (relay);
  net_client_cancel (relay->exchange);
  relay->exchange = NULL;
  rt_tried_add (&relay->tried, relay->target);
  try_after (relay, &attempt, &result);
}

static void
try_send (gt_relay_t *relay, el_time_t now)
{
  const gt_relay_options_t *o = &relay->relays->options;
  const h2o_req_t *req = relay->req;
  relay_head_t head;
  net_send_t send
      = { .address = relay->target->facts.address,
          .host = { req->authority.base, req->authority.len },
          .method = net_req_method (req),
          .path = { req->path.base, req->path.len },
          .body = net_req_body (req),
          .max_idle = relay->rule->kind == RT_UNSAFE ? UNSAFE_IDLE : 0,
          .may = try_may,
          .head = try_head,
          .piece = try_piece,
          .done = try_done,
          .arg = relay };

  relay_head_make (relay, now, &head);
  send.headers = head.list;
  send.nheaders = head.n;
  relay->refused = 0;
  relay->crossed = 0;
  relay->stream = 0;
  relay->sent = now;
  relay->began = 0;
  relay->asks = (rt_asks_t){ 0 };
  relay->relays->counts.attempts++;
  relay_log_sent (relay, now);
  relay_rest_sent (relay, now);
  relay->exchange = net_client_send (o->client, &send);
  relay_head_free (&head);
  if (relay->line.n)
    relay_watch_begin (relay);
}

/** RELAY is not to be sent any more, nor to run on. */
void
relay_give_up (gt_relay_t *relay, const char *reason)
{
  int sent = relay->exchange != NULL;

  relay_drop (relay);
  if (relay->begun)
    relay_answer_break (relay, reason);
  else if (relay->course.may_run || sent)
    try_fail (relay, reason);
  else
    try_refuse (relay, reason);
}

/** Send the request to the endpoint or line that suits best now. */
void
relay_try (gt_relay_t *relay)
{
  el_time_t now = net_clock_now (relay->relays->options.clock);

  if (relay_blame_of (relay).state == RT_BLAME_BLOCKED)
    {
      relay_give_up (relay, "ends endpoints");
      return;
    }
  if (relay_suspect_waits (relay, now))
    return;
  if (try_choose (relay, now))
    {
      try_send (relay, now);
      return;
    }
  if (relay_wait_endpoint (relay))
    return;
  if (relay->begun)
    relay_answer_break (relay, "no endpoint to go on at");
  else if (relay->course.may_run)
    try_fail (relay, "may have run, no endpoint left");
  else
    try_refuse (relay, "no endpoint");
}
