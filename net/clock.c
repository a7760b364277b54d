/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The process's clock, and parsing of ip:port addresses.
 *
 * All times that are compared come from the clock since boot, which advances
 * while the host is suspended and never goes backward. This matters as time
 * limits also bind other hosts, which are not suspended with this one: leases,
 * the age of the rules and of keys, callers' deadlines, reports about
 * endpoints and hosts, evidence about requests and how long they are blocked.
 * libuv's monotonic clock stops during a suspension: a lease of 2 s that was
 * held for 1 s before a suspension of 5 s would be considered valid for 1 s
 * more. The wall clock jumps and is used in logs only. Start times that
 * endpoints report of themselves (born) are only compared with others of the
 * same endpoint.
 */
#include <arpa/inet.h>
#include <string.h>
#include <time.h>

#include "net.h"

#define NSEC_PER_USEC 1000
#define USEC_PER_MSEC 1000
/* libuv's timer runs on its monotonic clock and is set whenever a timer here
   is. A longer wait is reduced to this, so that after a suspension a timer
   fires at most this late. */
#define DRIVER_MAX_MS 1000
/* A driver that fires this late shows that the process stalled. */
#define STALL_MIN (50 * EL_MSEC)

/* Notes a stall of the process if the driver is late. */
static void
clock_check_stall (net_clock_t *clock, el_time_t now)
{
  if (!clock->expected || now < clock->expected + STALL_MIN)
    return;
  clock->stalled_from = clock->expected;
  clock->stalled_to = now;
}

/** Returns whether the process stalled for LEAST or longer, until less than
    WITHIN ago: what is read then may have come at any time of the stall. */
int
net_clock_has_stalled (net_clock_t *clock, el_time_t least, el_time_t within)
{
  el_time_t now = net_clock_now (clock);

  clock_check_stall (clock, now);
  return clock->stalled_to && now < clock->stalled_to + within
         && clock->stalled_to - clock->stalled_from >= least;
}

static void
clock_fire (uv_timer_t *driver)
{
  net_clock_t *clock = driver->data;
  el_time_t now = net_clock_now (clock);

  clock_check_stall (clock, now);
  el_timers_run (&clock->timers, now);
  if (clock->fire)
    clock->fire (clock->arg, now);
  net_clock_arm (clock);
}

void
net_clock_init (net_clock_t *clock, uv_loop_t *loop)
{
  memset (clock, 0, sizeof *clock);
  clock->loop = loop;
  uv_timer_init (loop, &clock->driver);
  clock->driver.data = clock;
}

/** Return the time in microseconds since the host was booted, including
    suspensions. */
el_time_t
net_clock_now (const net_clock_t *clock)
{
  struct timespec now;

  (void)clock;
  clock_gettime (CLOCK_BOOTTIME, &now);
  return (el_time_t)now.tv_sec * EL_SEC
         + (el_time_t)now.tv_nsec / NSEC_PER_USEC;
}

/** Set libuv's timer to the next due time. */
void
net_clock_arm (net_clock_t *clock)
{
  el_time_t due = el_timers_next_due (&clock->timers);
  el_time_t other = clock->next ? clock->next (clock->arg) : EL_TIME_NEVER;
  el_time_t now = net_clock_now (clock);
  uint64_t wait;

  if (other < due)
    due = other;
  if (due == EL_TIME_NEVER)
    {
      uv_timer_stop (&clock->driver);
      clock->expected = 0;
      return;
    }
  wait = due <= now ? 0 : (due - now + USEC_PER_MSEC - 1) / USEC_PER_MSEC;
  if (wait > DRIVER_MAX_MS)
    wait = DRIVER_MAX_MS;
  clock_check_stall (clock, now);
  clock->expected = now + wait * EL_MSEC;
  uv_timer_start (&clock->driver, clock_fire, wait, 0);
}

/** Set TIMER to fire after WAIT microseconds. */
void
net_clock_set (net_clock_t *clock, el_timer_t *timer, el_time_t wait)
{
  el_timers_set (&clock->timers, timer, net_clock_now (clock) + wait);
  net_clock_arm (clock);
}

void
net_clock_cancel (net_clock_t *clock, el_timer_t *timer)
{
  el_timers_cancel (&clock->timers, timer);
}

/** Parse ip:port; returns 0 when TEXT is anything else. */
int
net_address_parse (el_str_t text, struct sockaddr_in *out)
{
  el_str_t rest = text;
  el_str_t host = el_str_cut (&rest, ':');
  char ip[INET_ADDRSTRLEN];
  uint64_t port;

  if (host.len == 0 || host.len >= sizeof ip || !el_str_to_u64 (rest, &port)
      || port > UINT16_MAX)
    return 0;
  memcpy (ip, host.ptr, host.len);
  ip[host.len] = '\0';
  memset (out, 0, sizeof *out);
  out->sin_family = AF_INET;
  out->sin_port = htons ((uint16_t)port);
  return inet_pton (AF_INET, ip, &out->sin_addr) == 1;
}

/** Return whether ADDRESS is ip:port. */
int
net_address_valid (el_str_t address)
{
  struct sockaddr_in addr;

  return net_address_parse (address, &addr);
}
