/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * What this host sees of requests and of endpoints that end, and what other
 * hosts tell of it.
 *
 * - It answers what it was asked after a break: it lives; said at once.
 * - Its connections are refused after a break and another endpoint gave a sign
 *   since: it ended, by one witness; said at once.
 * - The same, and no other gave a sign: nothing, this host may be cut off.
 * - It is silent: nothing, until it is gone.
 * - Its entry is gone or has another start, and it was not leaving: it ended,
 *   surely; said after three heartbeats or so.
 * - It refused, was slow, or was leaving: nothing.
 */
#include <stdlib.h>
#include <string.h>

#include "librelay.h"

/* A break is remembered until the entry of an endpoint that ended has gone:
   three heartbeats, and the news of it. */
#define NOTE_HOLD (8 * EL_SEC)
#define NOTES_MOST 1024
/* An answer that comes so long after a break may be that of the next start at
   the same address. */
#define ALIVE_WITHIN (1 * EL_SEC)
/* An endpoint is not asked again that was asked within this. */
#define ASK_GAP (10 * EL_MSEC)
/* So many of the other hosts look for themselves when one saw an endpoint end.
 */
#define WITNESSES 3
/* Facts are judged together that come within this. */
#define JUDGE_GAP (20 * EL_MSEC)
/* Requests that are remembered, and of these those of one customer: 240 bytes
   each. */
#define REQUESTS_MOST 4096
#define REQUESTS_CUSTOMER 1024
/* A run that broke off at an endpoint which may have ended. */
typedef struct blame_note
{
  rt_target_t *target;
  rt_ended_t ended;
  int refused; /* nobody listens there any more */
  struct blame_note *prev;
  struct blame_note *next;
} blame_note_t;

typedef struct relay_blame
{
  rt_blame_t *rt;
  blame_note_t *notes;
  size_t nnotes;
  size_t nrefused; /* notes whose endpoint refuses connections */
  el_timer_t judge;
  el_time_t judged;
} relay_blame_t;

static uint64_t
customer_key (const gt_relay_t *relay)
{
  return XXH3_64bits (relay->customer.ptr, relay->customer.len);
}

static void
note_drop (relay_blame_t *blame, blame_note_t *note)
{
  DL_DELETE (blame->notes, note);
  blame->nnotes--;
  blame->nrefused -= note->refused != 0;
  rt_target_unref (note->target);
  free (note);
}

static void
notes_fade (relay_blame_t *blame, el_time_t now)
{
  while (blame->notes
         && (blame->notes->ended.at + NOTE_HOLD < now
             || blame->nnotes > NOTES_MOST))
    note_drop (blame, blame->notes);
}

static void
note_add (relay_blame_t *blame, rt_target_t *target, const rt_ended_t *ended)
{
  blame_note_t *note = el_alloc (sizeof *note);

  note->target = rt_target_ref (target);
  note->ended = *ended;
  DL_APPEND (blame->notes, note);
  blame->nnotes++;
  notes_fade (blame, ended->at);
}

/** RELAY's run at TARGET broke off, or stands still as TARGET is silent: if
    TARGET has ended, RELAY is one of those that ran there. */
void
relay_blame_broken (gt_relay_t *relay, rt_target_t *target)
{
  gt_relays_t *relays = relay->relays;
  el_time_t now = net_clock_now (relays->options.clock);
  const rt_ended_t ended
      = { .start = rt_target_start (target),
          .digest = relay_digest (relay),
          .customer = customer_key (relay),
          .host = relays->options.witness,
          .at = now,
          .ran = now - (relay->head_at ? relay->head_at : relay->sent),
          .first = target == relay->target };

  if (!rt_target_leaves (target))
    note_add (relays->blame, target, &ended);
}

/** Whether it is not known yet what became of an endpoint where DIGEST's run
    broke off, or not judged yet: an engine may cut its streams a moment before
    its port closes. */
int
relay_blame_awaits (const gt_relays_t *relays, rt_digest_t digest)
{
  const blame_note_t *note;

  if (relays->blame->judge.slot)
    return 1;
  DL_FOREACH (relays->blame->notes, note)
  if (note->ended.digest == digest)
    return 1;
  return 0;
}

/** What is known of requests and of ends. */
rt_blame_t *
relay_blame_book (const gt_relays_t *relays)
{
  return relays->blame->rt;
}

static void
judge_soon (gt_relays_t *relays)
{
  relay_blame_t *blame = relays->blame;
  el_time_t now = net_clock_now (relays->options.clock);
  el_time_t due = blame->judged + JUDGE_GAP;

  if (!blame->judge.slot)
    net_clock_set (relays->options.clock, &blame->judge,
                   due > now ? due - now : 0);
}

static void
ended_log (const rt_target_t *target, const char *sign, size_t runs)
{
  EL_LOG (EL_LOG_WARN, "endpoint_ended", EL_FS ("endpoint", target->facts.id),
          EL_FS ("address", target->facts.address), EL_FC ("sign", sign),
          EL_FN ("runs", runs));
}

/* TARGET has ended: tell which requests of this host ran there. */
static void
notes_settle (gt_relays_t *relays, const rt_target_t *target, const char *sign)
{
  relay_blame_t *blame = relays->blame;
  relay_fact_t fact = { .kind = RELAY_FACT_ENDED };
  el_time_t now = net_clock_now (relays->options.clock);
  blame_note_t *note;
  blame_note_t *next;
  size_t runs = 0;

  DL_FOREACH_SAFE (blame->notes, note, next)
  if (note->target == target)
    {
      runs += note->ended.digest != 0;
      note->ended.found = now;
      if (rt_blame_told (blame->rt, &note->ended))
        fact.runs[fact.nruns++] = note->ended;
      rt_blame_ended (blame->rt, now, &note->ended);
      note_drop (blame, note);
      if (fact.nruns < RELAY_FACT_RUNS_MAX)
        continue;
      relay_rumor_tell (relays, &fact, el_random (&relays->random),
                        RELAY_FACT_GOSSIP_HOLD);
      fact.nruns = 0;
    }
  if (fact.nruns)
    relay_rumor_tell (relays, &fact, el_random (&relays->random),
                      RELAY_FACT_GOSSIP_HOLD);
  judge_soon (relays);
  if (runs == 0)
    return;
  relays->counts.ends++;
  relays->counts.suspects += runs;
  ended_log (target, sign, runs);
}

/* Whether other endpoints will give signs of life by themselves. */
static int
runs_elsewhere (const gt_relays_t *relays, const rt_target_t *target)
{
  const gt_relay_t *relay;

  DL_FOREACH (relays->running, relay)
  if (relay->exchange && relay->stream && relay->target != target)
    return 1;
  return 0;
}

/* Another endpoint to ask, which tells whether this host is cut off. */
static rt_target_t *
other_engine (const gt_relays_t *relays, const rt_target_t *target)
{
  el_time_t now = net_clock_now (relays->options.clock);
  rt_target_t *other;

  for (other = rt_fleet_first (relays->options.fleet); other;
       other = other->hh.next)
    if (other != target && other->facts.end > other->facts.first
        && rt_target_usable (other, now))
      return other;
  return NULL;
}

/* Another host saw TARGET end, and this one is asked to look, too. */
static void
note_witness (gt_relays_t *relays, rt_target_t *target)
{
  const rt_ended_t ended = { .start = rt_target_start (target),
                             .host = relays->options.witness,
                             .at = net_clock_now (relays->options.clock) };

  if (rt_blame_unsure (relays->blame->rt, &ended.start, ended.host))
    note_add (relays->blame, target, &ended);
}

/** TARGET refuses connections: it has ended, unless this host is cut off,
   which another endpoint tells. */
void
relay_blame_refused (gt_relays_t *relays, rt_target_t *target)
{
  relay_blame_t *blame = relays->blame;
  rt_target_t *other;
  blame_note_t *note;

  note_witness (relays, target);
  DL_FOREACH (blame->notes, note)
  if (note->target == target && !note->refused)
    {
      note->refused = 1;
      blame->nrefused++;
    }
  other = blame->nrefused && !runs_elsewhere (relays, target)
              ? other_engine (relays, target)
              : NULL;
  if (other && relays->options.dialect->check)
    relay_check_unless_recent (
        relays, other, net_clock_now (relays->options.clock) - ASK_GAP);
}

/** TARGET gave a sign of life: this host is not cut off, and endpoints that
    refuse connections have ended. */
void
relay_blame_sign (gt_relays_t *relays, const rt_target_t *target)
{
  const blame_note_t *note;
  rt_target_t *other;

  while (relays->blame->nrefused)
    {
      DL_FOREACH (relays->blame->notes, note)
      if (note->refused && note->target != target)
        break;
      if (!note)
        return;
      other = rt_target_ref (note->target);
      notes_settle (relays, other, "connections refused");
      rt_target_unref (other);
    }
}

/** TARGET answered what it was ASKED: what broke off before was not its end.
 */
void
relay_blame_alive (gt_relays_t *relays, const rt_target_t *target,
                   el_time_t asked)
{
  relay_blame_t *blame = relays->blame;
  el_time_t now = net_clock_now (relays->options.clock);
  blame_note_t *note;
  blame_note_t *next;

  relay_blame_sign (relays, target);
  DL_FOREACH_SAFE (blame->notes, note, next)
  if (note->target == target && note->ended.at <= asked
      && now < note->ended.at + ALIVE_WITHIN)
    note_drop (blame, note);
}

/** TARGET is listed no more, or as another start, and was not leaving: it has
    ended, which all hosts learn in the same way. */
void
gt_relays_engine_gone (gt_relays_t *relays, rt_target_t *target)
{
  el_time_t now = net_clock_now (relays->options.clock);
  const rt_ended_t end
      = { .start = rt_target_start (target), .at = now, .found = now };

  if (rt_target_leaves (target))
    return;
  rt_target_ref (target);
  notes_settle (relays, target, "gone");
  rt_target_unref (target);
  if (!rt_blame_ended (relays->blame->rt, now, &end))
    return;
  if (!rt_blame_empty (relays->blame->rt))
    judge_soon (relays);
}

static void
blame_judge (void *arg, el_time_t now)
{
  gt_relays_t *relays = arg;

  relays->blame->judged = now;
  rt_blame_judge (relays->blame->rt, now,
                  rt_fleet_count (relays->options.fleet), relay_block_found,
                  relays);
}

/** RELAY ran to its end. All hosts should know at its first end already: those
    that see a second one may not know that it ran well elsewhere between them.
    It is one rumor, however many hosts tell it. */
void
relay_blame_survived (gt_relay_t *relay)
{
  gt_relays_t *relays = relay->relays;
  relay_fact_t fact = { .kind = RELAY_FACT_SURVIVED };
  uint64_t news;

  if (rt_blame_empty (relays->blame->rt))
    return;
  fact.digest = relay_digest (relay);
  news = rt_blame_survived (relays->blame->rt, fact.digest,
                            net_clock_now (relays->options.clock));
  if (news)
    relay_rumor_tell (relays, &fact, fact.digest ^ news,
                      RELAY_FACT_GOSSIP_HOLD);
}

/** What is thought of RELAY now. */
rt_judgement_t
relay_blame_of (gt_relay_t *relay)
{
  const gt_relays_t *relays = relay->relays;

  if (rt_blame_empty (relays->blame->rt))
    return (rt_judgement_t){ 0 };
  return rt_blame_of (relays->blame->rt, net_clock_now (relays->options.clock),
                      relay_digest (relay));
}

/* One host alone saw an endpoint end: a few others look, too. */
static void
ended_doubt (gt_relays_t *relays, const rt_start_t *start)
{
  const gt_relay_options_t *o = &relays->options;
  rt_target_t *target = rt_fleet_find (o->fleet, el_str (start->id));

  if (target && target->facts.born == start->born && o->dialect->check
      && target->facts.end > target->facts.first
      && rt_blame_unsure (relays->blame->rt, start, o->witness)
      && el_random (&relays->random) % o->hosts (o->arg) < WITNESSES)
    relay_check_unless_recent (relays, target,
                               net_clock_now (o->clock) - ASK_GAP);
}

/** Another host saw an endpoint end where requests ran. */
void
relay_blame_hear_ended (gt_relays_t *relays, const co_rumor_t *rumor,
                        const relay_fact_t *fact)
{
  el_time_t now = net_clock_now (relays->options.clock);
  size_t i;

  (void)rumor;
  for (i = 0; i < fact->nruns; i++)
    if (rt_blame_ended (relays->blame->rt, now, &fact->runs[i]))
      judge_soon (relays);
  ended_doubt (relays, &fact->runs[0].start);
}

/** A request ran to its end at another host. */
void
relay_blame_hear_survived (gt_relays_t *relays, const co_rumor_t *rumor,
                           const relay_fact_t *fact)
{
  rt_blame_survived (relays->blame->rt, fact->digest, rumor->at);
}

/** Nothing is known yet. */
void
relay_blame_open (gt_relays_t *relays)
{
  const rt_blame_options_t options = { .most = REQUESTS_MOST,
                                       .customer_most = REQUESTS_CUSTOMER,
                                       .rule = &rt_blame_odds };
  relay_blame_t *blame = el_alloc (sizeof *blame);

  blame->rt = rt_blame_new (&options);
  blame->judge.cb = blame_judge;
  blame->judge.arg = relays;
  relays->blame = blame;
}

/** Forget all. */
void
relay_blame_close (gt_relays_t *relays)
{
  relay_blame_t *blame = relays->blame;

  net_clock_cancel (relays->options.clock, &blame->judge);
  while (blame->notes)
    note_drop (blame, blame->notes);
  rt_blame_free (blame->rt);
  free (blame);
  relays->blame = NULL;
}
