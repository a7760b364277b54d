/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Requests that wait for engines. If the requests for a service differ in
 * rank, those for which there is no room wait in order of rank, or are refused
 * (load/ld_admit.c). Streams that lost their endpoint and found no other to
 * resume on wait until their deadline or until the caller disconnects: a
 * response that the caller has partly received is worth more than a new
 * request.
 */
#include "librelay.h"

/* Retry delay of a stream in progress, doubled each time: streams end and free
   capacity every few milliseconds; other engines hold the layers of a crashed
   one after 0.4 s at the earliest. */
#define RETRY_DELAY_MIN (25 * EL_MSEC)
#define RETRY_DELAY_MAX (400 * EL_MSEC)
/* The first request that waits is looked at this often even if no room has
   appeared here. */
#define WAKE_INTERVAL (50 * EL_MSEC)
/* After an engine has refused a request for lack of room, requests that wait
   start one at a time for this long: the estimate of room may be wrong. */
#define PACED_TIME (1000 * EL_MSEC)

static void
wait_expired (void *arg, el_time_t now)
{
  gt_relay_t *relay = arg;

  (void)now;
  relay->tried.n = 0; /* endpoints that refused before may have capacity now */
  relay_attempt (relay);
}

/* RELAY makes another attempt after WAIT, at any endpoint. */
static void
wait_for (gt_relay_t *relay, el_time_t wait)
{
  relay_enter (relay, RELAY_WAITING);
  relay->retry_timer.cb = wait_expired;
  relay->retry_timer.arg = relay;
  net_clock_set (relay->relays->options.clock, &relay->retry_timer, wait);
}

/** Schedules another attempt, with a longer delay each time; REASON is why it
    can't be made now. Returns 0 if RELAY is not a stream in progress that may
    be resumed. */
int
relay_wait_endpoint (gt_relay_t *relay, const char *reason)
{
  gt_relays_t *relays = relay->relays;
  el_time_t wait = RETRY_DELAY_MAX;

  if (!relay->response_started || !relay->rule->resumable)
    return 0;
  if (relay->endpoint_waits == 0)
    {
      relays->counts.waits++;
      EL_LOG (EL_LOG_INFO, "stream_waits", EL_FS ("request", relay->id),
              EL_FN ("events", relay->nevents),
              EL_FN ("sent", relay->attempts.sent), EL_FC ("reason", reason));
    }
  if (RETRY_DELAY_MIN << relay->endpoint_waits < RETRY_DELAY_MAX)
    wait = RETRY_DELAY_MIN << relay->endpoint_waits++;
  wait_for (relay, wait);
  return 1;
}

/* Requests that wait in order of rank. */

static int
wait_applies (const gt_relay_t *relay)
{
  return relay->service && relay->service->model.layers > 0
         && rt_service_has_ranks (relay->service);
}

static void
wait_refuse (gt_relay_t *relay, const char *reason)
{
  relay->relays->counts.refused_wait++;
  relay_refuse (relay, reason);
}

static void wait_schedule (relay_service_t *service, el_time_t delay);

/* Tries the requests that wait, in order, until one finds no room. Those that
   can't start in their time are refused. */
static void
wait_wake (void *arg, el_time_t now)
{
  relay_service_t *service = arg;
  ld_queue_t *queue = service->queue;
  int paced = service->refused_at && now < service->refused_at + PACED_TIME;
  size_t n;
  ld_entry_t *entry;

  while ((entry = ld_queue_hopeless (queue, now)))
    {
      ld_queue_counts (queue, entry->rank)->no_time++;
      wait_refuse (entry->owner, ld_reason_name (LD_NO_TIME));
    }
  for (n = paced ? 1 : ld_queue_length (queue);
       n && (entry = ld_queue_first (queue)); n--)
    {
      wait_expired (entry->owner, now);
      if (ld_queue_first (queue) == entry)
        break;
    }
  if (ld_queue_length (queue))
    wait_schedule (service, WAKE_INTERVAL);
}

static void
wait_schedule (relay_service_t *service, el_time_t delay)
{
  service->wake_timer.cb = wait_wake;
  service->wake_timer.arg = service;
  net_clock_set (service->relays->options.clock, &service->wake_timer, delay);
}

/** The queue of RELAY's service, created on first use. */
ld_queue_t *
relay_wait_queue (gt_relay_t *relay)
{
  relay_service_t *service
      = relay_service (relay->relays, relay->service->name);
  const ld_queue_options_t options
      = { .max = relay->relays->options.max_waiting };

  if (!service->queue)
    service->queue = ld_queue_new (&options);
  return service->queue;
}

/** Requests of the service may find room: its streams have ended, or its
    endpoints or what is known of them have changed. */
void
relay_wait_room (relay_service_t *service)
{
  if (service->queue && ld_queue_length (service->queue))
    wait_schedule (service, 0);
}

/** As relay_wait_room, for all services. */
void
relay_wait_room_all (gt_relays_t *relays)
{
  relay_service_t *service;

  for (service = relays->services; service; service = service->hh.next)
    relay_wait_room (service);
}

/* Whether an engine has just refused a request for lack of room that was
   estimated, and no stream of this host has left room since. */
static int
estimate_is_wrong (const gt_relay_t *relay, el_time_t now)
{
  const relay_service_t *service
      = relay_service (relay->relays, relay->service->name);

  return service->refused_at > service->room_at
         && now < service->refused_at + PACED_TIME;
}

/* Whether an engine of the chain refused a request for lack of room. */
static int
chain_refused (const gt_relay_t *relay, el_time_t now)
{
  size_t i;

  for (i = 0; i < relay->chain.n; i++)
    if (rt_avail_reason_at (&relay->chain.part[i].target->avail, now)
        == RT_UNAVAIL_BUSY)
      return 1;
  return 0;
}

static ld_elsewhere_t
waiting_elsewhere (const relay_service_t *service, unsigned rank,
                   el_time_t now)
{
  ld_elsewhere_t elsewhere = { 0 };
  unsigned i;

  if (now >= service->elsewhere_until)
    return elsewhere;
  for (i = 0; i < rank; i++)
    elsewhere.before += service->elsewhere.waiting[i];
  elsewhere.beside = service->elsewhere.waiting[rank];
  return elsewhere;
}

/* Fills in the entry of a request that is decided on for the first time. */
static void
entry_fill (gt_relay_t *relay)
{
  const ld_times_t times = { .received = relay->received,
                             .deadline = relay->deadline,
                             .target = relay->rule->target,
                             .patience = relay->rule->patience };
  ld_entry_t *entry = &relay->entry;

  entry->begun = relay->response_started || relay->attempts.may_run
                 || relay->attempts.before;
  if (entry->owner)
    return;
  entry->owner = relay;
  entry->rank
      = rt_rules_rank (relay->rules, relay->service, relay->rule, relay->key);
  entry->customer = el_str_hash (relay->customer);
  ld_entry_set_times (entry, &times);
  ld_queue_counts (relay_wait_queue (relay), entry->rank)->arrivals++;
}

static void
wait_log (const gt_relay_t *relay, const ld_decision_t *decision,
          const ld_question_t *question, el_time_t now)
{
  const ld_entry_t *entry = &relay->entry;
  const ld_queue_t *queue
      = relay_service (relay->relays, relay->service->name)->queue;

  /* What starts at once is logged as sent. */
  if (decision->verdict == LD_START && !entry->queue)
    return;
  EL_LOG (EL_LOG_INFO,
          decision->verdict == LD_WAIT ? "request_waits" : "wait_ended",
          EL_FS ("request", relay->id), EL_FN ("rank", entry->rank),
          EL_FN ("refused", entry->refused),
          EL_FC ("reason", ld_reason_name (decision->reason)),
          EL_FN ("ahead", decision->ahead),
          EL_FN ("waiting", ld_queue_length (queue)),
          EL_FN ("before_elsewhere", question->elsewhere.before),
          EL_FN ("beside_elsewhere", question->elsewhere.beside),
          EL_FN ("room_milli", question->room.streams > 0
                                   ? question->room.streams * 1000
                                   : 0),
          EL_FN ("engine_refused", question->room.refused),
          EL_FN ("expected_us", decision->expected),
          EL_FN ("waited_us", entry->since ? now - entry->since : 0),
          EL_FN ("sent", relay->attempts.sent));
}

/* Puts RELAY among the requests that wait; one that engines refused goes
   before new ones. In a full queue it takes the place of one of a lower
   rank. */
static void
wait_begin (gt_relay_t *relay, el_time_t now)
{
  gt_relays_t *relays = relay->relays;
  relay_service_t *service = relay_service (relays, relay->service->name);
  ld_entry_t *displaced;

  if (ld_queue_length (service->queue) >= relays->options.max_waiting)
    {
      displaced = ld_queue_displaced (service->queue, relay->entry.rank);
      if (displaced)
        {
          ld_queue_counts (service->queue, displaced->rank)->displaced++;
          wait_refuse (displaced->owner, ld_reason_name (LD_BEHIND));
        }
    }
  relay->entry.refused |= relay->attempts.sent > 0;
  ld_queue_add (service->queue, now, &relay->entry);
  relays->counts.queued++;
  if (ld_queue_length (service->queue) == 1)
    wait_schedule (service, WAKE_INTERVAL);
}

/* RELAY keeps its place among the requests that wait, until its time is
   over. */
static void
wait_in_queue (gt_relay_t *relay, el_time_t now)
{
  wait_for (relay, relay->entry.until > now ? relay->entry.until - now : 0);
}

/* Refuses RELAY, for which a chain may be picked, but not acquired. */
static relay_pick_t
wait_turn_away (gt_relay_t *relay, const char *reason)
{
  relay->chain.n = 0;
  wait_refuse (relay, reason);
  return RELAY_PICK_TURNED_AWAY;
}

/* Decides on RELAY, for which there is ROOM. Unless it may start, it waits or
   has been refused. */
static relay_pick_t
wait_decide (gt_relay_t *relay, el_time_t now, const ld_room_t *room)
{
  gt_relays_t *relays = relay->relays;
  relay_service_t *service = relay_service (relays, relay->service->name);
  ld_question_t question = { .entry = &relay->entry, .room = *room };
  ld_decision_t decision;

  question.elsewhere = waiting_elsewhere (service, relay->entry.rank, now);
  question.draw = (double)(el_random (&relays->random) >> 11) * 0x1p-53;
  decision = ld_admit (service->queue, now, &question);
  if (decision.verdict != LD_WAIT || !relay->entry.queue)
    wait_log (relay, &decision, &question, now);
  switch (decision.verdict)
    {
    case LD_START:
      relay->offered = decision.reason == LD_OFFER;
      return RELAY_PICK_OK;
    case LD_REFUSE:
      if (decision.reason == LD_FULL)
        ld_queue_counts (service->queue, relay->entry.rank)->displaced++;
      else
        ld_queue_counts (service->queue, relay->entry.rank)->no_time++;
      return wait_turn_away (relay, ld_reason_name (decision.reason));
    default:
      if (!relay->entry.queue)
        wait_begin (relay, now);
      wait_in_queue (relay, now);
      return RELAY_PICK_WAIT;
    }
}

/** Whether the retry budget pays for the next attempt of RELAY, if it has to.
    If not, its former attempt continues, it waits for the budget if it is a
    stream in progress, or it has ended. */
relay_pick_t
relay_wait_charge (gt_relay_t *relay)
{
  if (!relay->retry_unpaid || relay_retry_left (relay))
    return RELAY_PICK_OK;
  if (relay_standby_resume (relay, "retry budget exhausted")
      || relay_wait_endpoint (relay, "retry budget exhausted"))
    return RELAY_PICK_WAIT;
  if (relay_may_have_run (relay))
    {
      relay_abort (relay, "retry budget exhausted");
      return RELAY_PICK_TURNED_AWAY;
    }
  return wait_turn_away (relay, "not run, retry budget exhausted");
}

/** Decides whether RELAY, for which a chain is picked, may be sent now; if
    not, it waits or has been refused. */
relay_pick_t
relay_wait_admit (gt_relay_t *relay, el_time_t now)
{
  ld_room_t room = { .streams = relay->chain.room };

  relay->offered = 0;
  if (!wait_applies (relay))
    return RELAY_PICK_OK;
  entry_fill (relay);
  room.refused = chain_refused (relay, now)
                 || (relay->entry.queue && estimate_is_wrong (relay, now));
  return wait_decide (relay, now, &room);
}

/** RELAY finds no engine but those that have refused it for lack of room. It
    waits for them, or is refused. CHARGED: the retry budget has paid for its
    next attempt. Returns 0 if ranks do not apply to it, or if that budget is
    exhausted. */
int
relay_wait_refused (gt_relay_t *relay, el_time_t now, int charged)
{
  const ld_room_t none = { .refused = 1 };

  if (!wait_applies (relay) || !relay->tried.n)
    return 0;
  entry_fill (relay);
  if (relay->entry.begun || (!charged && !relay_retry_left (relay)))
    return 0;
  relay->retry_unpaid |= !charged;
  if (relay->entry.queue && now < relay->entry.until)
    wait_in_queue (relay, now);
  else
    wait_decide (relay, now, &none);
  return 1;
}

/** RELAY is about to be sent, by whatever way: its wait is over, and the retry
    budget pays if it has to. */
void
relay_wait_over (gt_relay_t *relay, el_time_t now)
{
  if (relay->retry_unpaid)
    relay_retry_take (relay);
  relay->retry_unpaid = 0;
  if (!relay->entry.queue)
    return;
  el_hist_add (&relay->relays->counts.wait, now - relay->entry.since);
  EL_LOG (EL_LOG_INFO, "wait_ended", EL_FS ("request", relay->id),
          EL_FN ("rank", relay->entry.rank),
          EL_FC ("reason", "another host serves it"),
          EL_FN ("waited_us", now - relay->entry.since),
          EL_FN ("sent", relay->attempts.sent));
}

/** RELAY is about to be sent to the engines of its chain. */
void
relay_wait_started (gt_relay_t *relay, el_time_t now)
{
  if (!wait_applies (relay))
    return;
  if (relay->entry.queue)
    el_hist_add (&relay->relays->counts.wait, now - relay->entry.since);
  ld_queue_started (relay_wait_queue (relay), now, &relay->entry,
                    relay->offered);
  relay->started_at = now;
}

/** The attempt of RELAY has ended, and leaves room if it has had any. */
void
relay_wait_released (gt_relay_t *relay)
{
  gt_relays_t *relays = relay->relays;
  el_time_t now = net_clock_now (relays->options.clock);

  if (!relay->started_at)
    return;
  if (relay->refused && !relay->writing)
    relay_service (relays, relay->service->name)->refused_at = now;
  ld_queue_ended (relay_wait_queue (relay),
                  relay->writing ? now - relay->started_at : 0);
  relay->started_at = 0;
  if (!relay->writing)
    return;
  relay_service (relays, relay->service->name)->room_at = now;
  relay_wait_room (relay_service (relays, relay->service->name));
}

/** The first event of RELAY's attempt has arrived. */
void
relay_wait_served (gt_relay_t *relay)
{
  if (relay->started_at)
    ld_queue_served (relay_wait_queue (relay), &relay->entry);
}

/** Sets OUT to the time after which the caller of RELAY, which is refused for
    lack of room, should return. Returns 0 if ranks do not apply. */
int
relay_wait_return_after (gt_relay_t *relay, el_time_t now, el_time_t *out)
{
  gt_relays_t *relays = relay->relays;

  if (!wait_applies (relay))
    return 0;
  entry_fill (relay);
  *out = ld_return_after (relay_wait_queue (relay), now, relay->entry.rank,
                          relay->deadline > now ? relay->deadline - now : 0,
                          el_random (&relays->random));
  return 1;
}

/* What the hosts tell each other. */

/** Adds the requests that wait here to REPORT. */
void
gt_relays_report_waits (gt_relays_t *relays, ld_report_t *report)
{
  const relay_service_t *service;
  ld_waits_t *waits;
  unsigned i;

  for (service = relays->services; service; service = service->hh.next)
    {
      if (!service->queue || !ld_queue_length (service->queue))
        continue;
      waits = ld_report_waits (report, el_str_hash (el_str (service->name)));
      for (i = 0; waits && i < LD_RANKS; i++)
        waits->waiting[i] = (unsigned)ld_queue_waiting (service->queue, i);
    }
}

/** Records which requests wait at the other hosts of the hall, which is used
    for TTL. */
void
gt_relays_told_waits (gt_relays_t *relays, el_time_t ttl,
                      const ld_report_t *others)
{
  el_time_t now = net_clock_now (relays->options.clock);
  relay_service_t *service;
  size_t i;

  for (service = relays->services; service; service = service->hh.next)
    {
      uint64_t key = el_str_hash (el_str (service->name));

      service->elsewhere = (ld_waits_t){ .service = key };
      service->elsewhere_until = now + ttl;
      for (i = 0; i < others->nwaits; i++)
        if (others->waits[i].service == key)
          service->elsewhere = others->waits[i];
    }
  relay_wait_room_all (relays);
}

/* The state of one rank, for operators. */
static json_t *
rank_json (relay_service_t *service, unsigned rank, el_time_t now)
{
  const ld_rank_counts_t *counts = ld_queue_counts (service->queue, rank);
  size_t ahead = 0;
  unsigned i;

  for (i = 0; i <= rank; i++)
    ahead += ld_queue_waiting (service->queue, i);
  return json_pack (
      "{s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "rank", (json_int_t)rank,
      "arrivals", (json_int_t)counts->arrivals, "waited",
      (json_int_t)counts->waited, "started", (json_int_t)counts->started,
      "refusedNoTime", (json_int_t)counts->no_time, "refusedDisplaced",
      (json_int_t)counts->displaced, "waiting",
      (json_int_t)ld_queue_waiting (service->queue, rank), "waitingElsewhere",
      (json_int_t)(now < service->elsewhere_until
                       ? service->elsewhere.waiting[rank]
                       : 0),
      "expectedWaitUs",
      (json_int_t)(ahead ? ld_queue_expected_wait (service->queue, rank, ahead)
                         : 0));
}

/** Returns the requests that wait, by service and rank, as JSON. */
json_t *
gt_relays_waiting (gt_relays_t *relays)
{
  el_time_t now = net_clock_now (relays->options.clock);
  json_t *list = json_array ();
  relay_service_t *service;
  unsigned i;

  for (service = relays->services; service; service = service->hh.next)
    {
      json_t *ranks = json_array ();

      for (i = 0; service->queue && i < LD_RANKS; i++)
        if (ld_queue_counts (service->queue, i)->arrivals)
          json_array_append_new (ranks, rank_json (service, i, now));
      json_array_append_new (
          list,
          json_pack ("{s:s,s:b,s:f,s:o}", "service", service->name, "ranked",
                     service->queue != NULL, "endsPerSecond",
                     service->queue ? ld_queue_rate (service->queue) : 0.0,
                     "ranks", ranks));
    }
  return list;
}
