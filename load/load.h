/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/** @file
 * Hard load: what the hosts of a hall tell each other of their load, the order
 * in which requests wait, and the decision whether a request starts, waits or
 * is refused. Nothing here does I/O or reads a clock.
 */
#ifndef ELMARCH_LOAD_H
#define ELMARCH_LOAD_H

#include "base.h"
#include "map.h"

/** Ranks that are told apart, 0 first; lower ones count as the last. */
#define LD_RANKS 8

/* Load that hosts tell each other. Each host of a hall reports its own to one
   of them, which answers with the sum of the others'. */

/** Maximum number of engines and services in a report. */
#define LD_USES_MAX 96
#define LD_WAITS_MAX 8
/** Highest values that a report may contain; no engine comes near them. */
#define LD_HELD_MAX 1e12
#define LD_BEGUN_MAX 65535
#define LD_WAITING_MAX 1000000

/** What requests use of an engine. */
typedef struct ld_use
{
  uint64_t engine; /**< hash of its id and start time */
  double held;     /**< KV cache reserved for them, in tokens times layers */
  double begun;    /**< streams that begin there, each in a slot */
} ld_use_t;

/** Number of requests of a service that wait, by rank. */
typedef struct ld_waits
{
  uint64_t service; /**< hash of its name */
  unsigned waiting[LD_RANKS];
} ld_waits_t;

/** The load of one host, or the sum over several. Engines and services that
    are not listed are not in use. */
typedef struct ld_report
{
  unsigned hosts; /**< that it covers */
  ld_use_t uses[LD_USES_MAX];
  size_t nuses;
  ld_waits_t waits[LD_WAITS_MAX];
  size_t nwaits;
} ld_report_t;

int ld_report_valid (const ld_report_t *report);
ld_use_t *ld_report_use (ld_report_t *report, uint64_t engine);
ld_waits_t *ld_report_waits (ld_report_t *report, uint64_t service);

/** The last report of each host of a hall. */
typedef struct ld_hall ld_hall_t;

/** Reports that may be lost in a row before a host's load counts as not
    told. */
#define LD_REPORTS_LOST 5

el_time_t ld_report_interval (el_time_t shortest, size_t hosts);
el_time_t ld_report_ttl (el_time_t interval);
ld_hall_t *ld_hall_new (void);
void ld_hall_free (ld_hall_t *hall);
int ld_hall_receive (ld_hall_t *hall, el_time_t now, el_time_t ttl,
                     uint64_t host, uint64_t sequence,
                     const ld_report_t *report);
void ld_hall_sum (ld_hall_t *hall, el_time_t now, uint64_t except,
                  ld_report_t *out);
size_t ld_hall_hosts (const ld_hall_t *hall);

/* Use of one engine by all hosts: its own report is some hundred milliseconds
   old, and this host knows only what it has sent itself. */

/** One quantity that requests use of an engine. "All" is an estimate of the
    use by all hosts, this one included. */
typedef struct ld_quantity
{
  double own_at_report; /**< this host's use at the engine's report */
  double all_at_report; /**< at the time of the values in that report */
  double own_at_told;   /**< this host's use when the others' was told */
  double told;          /**< the others' use, as told */
  double all_at_told;
  double all_before; /**< when the others' use was told the time before */
} ld_quantity_t;

/** What is known of the other hosts' use of an engine. */
typedef struct ld_others
{
  ld_quantity_t held;   /**< KV cache, in tokens times layers */
  ld_quantity_t begun;  /**< streams that begin there */
  el_time_t told_at;    /**< 0: never */
  el_time_t before_at;  /**< told the time before; 0: it was not in force when
                           the last one came */
  el_time_t told_until; /**< what they told is used until then */
  unsigned hosts;       /**< number of other hosts that told it */
} ld_others_t;

/** A report of the engine. */
typedef struct ld_reported
{
  el_time_t at;  /**< when it arrived */
  el_time_t lag; /**< age of its values then */
} ld_reported_t;

void ld_others_reported (ld_others_t *others, const ld_reported_t *report,
                         double held, double begun, double hosts);
/** Use of an engine as other hosts told it. */
typedef struct ld_told
{
  const ld_use_t *use; /**< NULL: none */
  unsigned hosts;      /**< number of hosts that told it */
  el_time_t ttl;       /**< time for which it is used */
} ld_told_t;

void ld_others_told (ld_others_t *others, el_time_t now, const ld_told_t *told,
                     double held, double begun, double all_hosts);
double ld_others_estimate (const ld_others_t *others,
                           const ld_quantity_t *quantity, el_time_t now,
                           double own, double hosts, int since_report);

/* The order in which requests of a service wait at a host. */

/** A request that may wait; the caller owns the memory. Zero it before first
    use. */
typedef struct ld_entry
{
  unsigned rank;      /**< 0 goes first */
  int begun;          /**< its caller has received a part, or it may have run:
                         it does not wait */
  int refused;        /**< it was sent and refused: goes before those of its
                         rank that are new */
  uint64_t customer;  /**< hash of the name; customers of a rank take turns */
  el_time_t in_time;  /**< it begins to wait only if it is expected to start
                         before then */
  el_time_t until;    /**< it waits until then */
  el_time_t since;    /**< when it first began to wait; 0: it has not */
  el_time_t tried_at; /**< when it was last sent and refused, or queued */
  void *owner;

  /* Owned by the queue. */
  struct ld_queue *queue; /**< NULL: it does not wait */
  uint64_t turn;          /**< customers' turns before this one */
  uint64_t sequence;
  size_t heap_index;
  struct ld_entry *prev;
  struct ld_entry *next;
} ld_entry_t;

typedef struct ld_queue ld_queue_t;

typedef struct ld_queue_options
{
  size_t max; /**< maximum number of requests that wait */
} ld_queue_options_t;

/** What became of the requests of a rank. */
typedef struct ld_rank_counts
{
  uint64_t arrivals;
  uint64_t waited;    /**< of these, requests that waited */
  uint64_t started;   /**< found room */
  uint64_t no_time;   /**< refused: no room is expected in their time */
  uint64_t displaced; /**< refused: the queue is full and others go first */
} ld_rank_counts_t;

ld_queue_t *ld_queue_new (const ld_queue_options_t *options);
void ld_queue_free (ld_queue_t *queue);
void ld_queue_add (ld_queue_t *queue, el_time_t now, ld_entry_t *entry);
void ld_queue_remove (ld_entry_t *entry);
ld_entry_t *ld_queue_first (const ld_queue_t *queue);
ld_entry_t *ld_queue_hopeless (const ld_queue_t *queue, el_time_t now);
ld_entry_t *ld_queue_displaced (const ld_queue_t *queue, unsigned rank);
size_t ld_queue_waiting (const ld_queue_t *queue, unsigned rank);
size_t ld_queue_length (const ld_queue_t *queue);
size_t ld_queue_ahead (const ld_queue_t *queue, const ld_entry_t *entry);
void ld_queue_started (ld_queue_t *queue, el_time_t now, ld_entry_t *entry,
                       int offered);
void ld_queue_served (ld_queue_t *queue, const ld_entry_t *entry);
void ld_queue_ended (ld_queue_t *queue, el_time_t duration);
double ld_queue_rate (const ld_queue_t *queue);
el_time_t ld_queue_expected_wait (const ld_queue_t *queue, unsigned rank,
                                  size_t ahead);
ld_rank_counts_t *ld_queue_counts (ld_queue_t *queue, unsigned rank);

/* Admission. */

typedef enum ld_verdict
{
  LD_START,
  LD_WAIT,
  LD_REFUSE
} ld_verdict_t;

/** The rule that decided. */
typedef enum ld_reason
{
  LD_ROOM,    /**< start: there is room, and nobody goes first */
  LD_BEGUN,   /**< start: its caller has received a part of the answer */
  LD_OFFER,   /**< start: no room is known, but the estimate is checked */
  LD_BEHIND,  /**< wait: others go first */
  LD_NO_ROOM, /**< wait: no room is known */
  LD_SHARED,  /**< wait: the room is left to other hosts by chance */
  LD_NO_TIME, /**< refuse: no room is expected in its time */
  LD_FULL,    /**< refuse: too many wait */
  LD_REASONS
} ld_reason_t;

const char *ld_reason_name (ld_reason_t reason);

/** Room for a request at the endpoints chosen for it. */
typedef struct ld_room
{
  double streams; /**< how many requests of its size fit there */
  int refused;    /**< one of them refused a request for lack of room and is
                     still avoided for that */
} ld_room_t;

/** Requests that wait at the other hosts of the hall, as they told. */
typedef struct ld_elsewhere
{
  size_t before; /**< that go before this one: of a higher rank */
  size_t beside; /**< of its rank */
} ld_elsewhere_t;

typedef struct ld_question
{
  const ld_entry_t *entry;
  ld_room_t room;
  ld_elsewhere_t elsewhere;
  double draw; /**< random, at least 0 and below 1 */
} ld_question_t;

typedef struct ld_decision
{
  ld_verdict_t verdict;
  ld_reason_t reason;
  size_t ahead;       /**< requests that go first at this host */
  el_time_t expected; /**< expected wait; 0 to start */
} ld_decision_t;

ld_decision_t ld_admit (const ld_queue_t *queue, el_time_t now,
                        const ld_question_t *question);

/** Times that bound the wait of a request. */
typedef struct ld_times
{
  el_time_t received;
  el_time_t deadline; /**< the caller's time limit */
  el_time_t target;   /**< time within which the answer should begin; 0: not
                         known */
  el_time_t patience; /**< callers leave after this time without an event; 0:
                         not known */
} ld_times_t;

void ld_entry_set_times (ld_entry_t *entry, const ld_times_t *times);
el_time_t ld_return_after (ld_queue_t *queue, el_time_t now, unsigned rank,
                           el_time_t left, uint64_t draw);

#endif
