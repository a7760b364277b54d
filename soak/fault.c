/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * What faults do to the processes and links of a run.
 */
#include <signal.h>
#include <stdio.h>

#include "soak.h"

/* An entry of an endpoint that died goes after this, as with three heartbeats
   missed. */
#define ENTRY_GOES (1500 * EL_MSEC)
/* Bytes on a slow link come this much later in the mildest variant, and by
   DELAY_STEP_MS more in each next one. */
#define DELAY_MS 20
#define DELAY_STEP_MS 60
#define RETURN_MS 100
#define RETURN_STEP_MS 500

static void
host_term (sk_world_t *world, sk_fault_t *fault)
{
  sk_proc_t *host = &world->hosts[fault->which];

  if (!host->ending)
    sk_proc_signal (host, SIGTERM);
  host->ending = 1;
}

static void
host_kill_at (sk_world_t *world, unsigned i, el_time_t lasts)
{
  sk_proc_t *host = &world->hosts[i];

  sk_proc_kill (host);
  if (!host->back)
    host->back = sk_now () + lasts;
}

static void
host_kill (sk_world_t *world, sk_fault_t *fault)
{
  host_kill_at (world, fault->which, fault->lasts);
}

static void
hosts_kill (sk_world_t *world, sk_fault_t *fault)
{
  unsigned i;

  for (i = 0; i < SK_HOSTS; i++)
    host_kill_at (world, i, fault->lasts);
}

static void
host_pause (sk_world_t *world, sk_fault_t *fault)
{
  sk_proc_pause (&world->hosts[fault->which], 1);
}

static void
host_continue (sk_world_t *world, sk_fault_t *fault)
{
  sk_proc_pause (&world->hosts[fault->which], 0);
}

static void
member_kill_for (sk_proc_t *member, el_time_t lasts)
{
  if (!member->pid)
    return;
  sk_proc_kill (member);
  member->gone = sk_now () + ENTRY_GOES;
  member->back
      = sk_now () + (lasts > ENTRY_GOES ? lasts : ENTRY_GOES + EL_MSEC);
}

static void
member_kill (sk_world_t *world, sk_fault_t *fault)
{
  member_kill_for (&world->members[fault->which], fault->lasts);
}

static void
member_pause (sk_world_t *world, sk_fault_t *fault)
{
  sk_proc_pause (&world->members[fault->which], 1);
}

static void
member_continue (sk_world_t *world, sk_fault_t *fault)
{
  sk_proc_pause (&world->members[fault->which], 0);
}

static void
member_leave (sk_world_t *world, sk_fault_t *fault)
{
  const sk_proc_t *member = &world->members[fault->which];

  snprintf (fault->member, sizeof fault->member, "%s", member->id);
  sk_http ("POST", member->address, "/leave", "{}", NULL);
}

static void
member_left (sk_world_t *world, sk_fault_t *fault)
{
  sk_proc_t *member = &world->members[fault->which];

  member_kill_for (member, 0); /* also one that is paused */
}

/* What a member asks for that turns requests away, in each variant. */
static const char *const rests[] = {
  "{\"kinds\":[\"requests\"],\"status\":503,\"asked\":[\"1.2\"],"
  "\"span_ms\":1200}",
  "{\"kinds\":[\"requests\"],\"status\":503,\"asked\":[\"0.6\"],"
  "\"span_ms\":600}",
  "{\"kinds\":[\"requests\",\"orders\"],\"status\":503,"
  "\"asked\":[\"2\"],\"span_ms\":2000}",
  "{\"kinds\":[\"requests\"],\"status\":503,"
  "\"asked\":[\"0.5\",\"1.5\"],\"span_ms\":1500}",
};

static void
member_ask (const sk_world_t *world, const sk_fault_t *fault, const char *what)
{
  const sk_proc_t *member = &world->members[fault->which];

  if (member->pid && !member->paused)
    sk_http ("POST", member->address, "/rest", what, NULL);
}

static void
member_rest (sk_world_t *world, sk_fault_t *fault)
{
  member_ask (world, fault, rests[fault->how]);
}

static void
member_rested (sk_world_t *world, sk_fault_t *fault)
{
  member_ask (world, fault, "{}");
}

static void
member_says (sk_world_t *world, sk_fault_t *fault)
{
  member_ask (world, fault, "{\"leaving\":true}");
}

/* Tell a worker how to answer from now on. */
static void
worker_tell (const sk_world_t *world, const sk_fault_t *fault,
             const char *name)
{
  char body[64];

  snprintf (body, sizeof body, "{\"fault\":\"%s\"}", name);
  sk_http ("PUT", world->members[SK_ENGINES + fault->which].address, "/fault",
           body, NULL);
}

static void
answer_wrong (sk_world_t *world, sk_fault_t *fault)
{
  static const char *const names[] = { "lose", "cross", "busy", "hang" };

  worker_tell (world, fault, names[fault->how]);
}

static void
answer_well (sk_world_t *world, sk_fault_t *fault)
{
  worker_tell (world, fault, "none");
}

static void
store_pause (sk_world_t *world, sk_fault_t *fault)
{
  (void)fault;
  sk_proc_pause (&world->store, 1);
}

static void
store_continue (sk_world_t *world, sk_fault_t *fault)
{
  (void)fault;
  sk_proc_pause (&world->store, 0);
}

static void
store_forget (sk_world_t *world, sk_fault_t *fault)
{
  (void)fault;
  sk_http ("POST", world->store.address, "/test/forget", "{}", NULL);
}

static void
store_copy (sk_world_t *world, sk_fault_t *fault)
{
  (void)fault;
  if (!world->store.paused)
    sk_http ("POST", world->store.address, "/test/copy", "{}", NULL);
}

/* Writers write again what it lost, sooner or later. */
static void
store_return (sk_world_t *world, sk_fault_t *fault)
{
  char body[64];

  snprintf (body, sizeof body, "{\"again_ms\":%u}",
            RETURN_MS + RETURN_STEP_MS * fault->how);
  if (!world->store.paused)
    sk_http ("POST", world->store.address, "/test/restore", body, NULL);
}

static void
link_delay (sk_world_t *world, sk_fault_t *fault)
{
  sk_proxy_delay (world->proxy, fault->which,
                  DELAY_MS + DELAY_STEP_MS * fault->how);
}

static void
link_swift (sk_world_t *world, sk_fault_t *fault)
{
  sk_proxy_delay (world->proxy, fault->which, 0);
}

static void
link_reset (sk_world_t *world, sk_fault_t *fault)
{
  sk_proxy_reset (world->proxy, fault->which);
}

static void
link_cut (sk_world_t *world, sk_fault_t *fault)
{
  sk_proxy_hold (world->proxy, fault->which, fault->how % 2 ? SK_UP : SK_DOWN,
                 1);
}

static void
link_silent (sk_world_t *world, sk_fault_t *fault)
{
  sk_proxy_hold (world->proxy, fault->which, SK_UP, 1);
  sk_proxy_hold (world->proxy, fault->which, SK_DOWN, 1);
}

static void
link_pass (sk_world_t *world, sk_fault_t *fault)
{
  sk_proxy_hold (world->proxy, fault->which, SK_UP, 0);
  sk_proxy_hold (world->proxy, fault->which, SK_DOWN, 0);
}

static void
config_again (sk_world_t *world, sk_fault_t *fault)
{
  (void)fault;
  if (!world->store.paused)
    sk_config_write (world);
}

static void
key_take (sk_world_t *world, sk_fault_t *fault)
{
  if (!world->store.paused)
    sk_key_take (world, fault->which);
}

/* What each kind does when it strikes and at its end; NULL is nothing. */
static const struct
{
  void (*begin) (sk_world_t *world, sk_fault_t *fault);
  void (*end) (sk_world_t *world, sk_fault_t *fault);
} kinds[SK_KINDS] = {
  [SK_HOST_TERM] = { host_term, NULL },
  [SK_HOST_KILL] = { host_kill, NULL },
  [SK_HOST_PAUSE] = { host_pause, host_continue },
  [SK_HOSTS_KILL] = { hosts_kill, NULL },
  [SK_MEMBER_KILL] = { member_kill, NULL },
  [SK_MEMBER_PAUSE] = { member_pause, member_continue },
  [SK_MEMBER_LEAVE] = { member_leave, member_left },
  [SK_MEMBER_ANSWER] = { answer_wrong, answer_well },
  [SK_STORE_PAUSE] = { store_pause, store_continue },
  [SK_STORE_FORGET] = { store_forget, NULL },
  [SK_LINK_DELAY] = { link_delay, link_swift },
  [SK_LINK_RESET] = { link_reset, NULL },
  [SK_LINK_CUT] = { link_cut, link_pass },
  [SK_LINK_SILENT] = { link_silent, link_pass },
  [SK_CONFIG] = { config_again, NULL },
  [SK_KEY] = { key_take, NULL },
  [SK_MEMBER_REST] = { member_rest, member_rested },
  [SK_MEMBER_SAYS] = { member_says, member_left },
  [SK_STORE_COPY] = { store_copy, store_return },
};

/** Have FAULT strike. */
void
sk_fault_begin (sk_world_t *world, sk_fault_t *fault)
{
  fault->begun = 1;
  kinds[fault->kind].begin (world, fault);
}

/** End what FAULT began. */
void
sk_fault_end (sk_world_t *world, sk_fault_t *fault)
{
  fault->over = 1;
  if (kinds[fault->kind].end)
    kinds[fault->kind].end (world, fault);
}
