/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The process's clock, and addresses as settings write them.
 *
 * One clock is right wherever a time is compared: the one since boot, which
 * goes on while the host is suspended and never goes back. What is bounded by
 * a time is bounded for others too, who don't sleep meanwhile: leases of
 * duties, the age of the rules and of keys, deadlines of callers, news of
 * endpoints and of hosts, evidence about requests and how long they are
 * blocked. The steady clock of libuv stands still in a suspension: a lease of
 * 2 s that was held for 1 s before one of 5 s would be believed for 1 s more.
 * The time of day jumps, and only stands in logs. Where endpoints tell a time
 * of theirs (born) it is compared with another one of the same endpoint alone.
 */
#include <arpa/inet.h>
#include <string.h>
#include <time.h>

#include "net.h"

#define NSEC_PER_USEC 1000
#define USEC_PER_MSEC 1000
/* libuv's timer counts on the steady clock, and is set anew whenever a timer
   of the service is; one that rests longer than this is looked at again. */
#define DRIVER_MAX_MS 1000

static void
clock_fire (uv_timer_t *driver)
{
  net_clock_t *clock = driver->data;
  el_time_t now = net_clock_now (clock);

  el_timers_run (&clock->timers, now);
  if (clock->fire)
    clock->fire (clock->arg, now);
  net_clock_arm (clock);
}

void
net_clock_open (net_clock_t *clock, uv_loop_t *loop)
{
  memset (clock, 0, sizeof *clock);
  clock->loop = loop;
  uv_timer_init (loop, &clock->driver);
  clock->driver.data = clock;
}

/** Now, in microseconds since the host was booted, suspensions included. */
el_time_t
net_clock_now (const net_clock_t *clock)
{
  struct timespec now;

  (void)clock;
  clock_gettime (CLOCK_BOOTTIME, &now);
  return (el_time_t)now.tv_sec * EL_SEC
         + (el_time_t)now.tv_nsec / NSEC_PER_USEC;
}

/** Set libuv's timer to what is due next. */
void
net_clock_arm (net_clock_t *clock)
{
  el_time_t due = el_timers_next (&clock->timers);
  el_time_t other = clock->next ? clock->next (clock->arg) : EL_TIME_NEVER;
  el_time_t now = net_clock_now (clock);
  uint64_t wait;

  if (other < due)
    due = other;
  if (due == EL_TIME_NEVER)
    {
      uv_timer_stop (&clock->driver);
      return;
    }
  wait = due <= now ? 0 : (due - now + USEC_PER_MSEC - 1) / USEC_PER_MSEC;
  if (wait > DRIVER_MAX_MS)
    wait = DRIVER_MAX_MS;
  uv_timer_start (&clock->driver, clock_fire, wait, 0);
}

/** Have TIMER fire after WAIT microseconds. */
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

/** Read ip:port; gives 0 when TEXT is anything else. */
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

/** Whether ADDRESS is ip:port. */
int
net_address_valid (el_str_t address)
{
  struct sockaddr_in addr;

  return net_address_parse (address, &addr);
}
