/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * The process's clock, and addresses as settings write them.
 */
#include <arpa/inet.h>
#include <string.h>

#include "net.h"

#define NSEC_PER_USEC 1000
#define USEC_PER_MSEC 1000
#define DRIVER_MAX_MS 60000

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

/** Now, in microseconds on a clock that never goes back. */
el_time_t
net_clock_now (const net_clock_t *clock)
{
  (void)clock;
  return uv_hrtime () / NSEC_PER_USEC;
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
