/*
 * Copyright (c) 2026 The elmarch authors
 * SPDX-License-Identifier: ISC
 */
/*
 * Messages between hosts. "make proto" generates the committed peer_proto.h
 * and peer_xdr.c from this file.
 */
const PEER_MAC = 32;
const PEER_BODY_MAX = 9437184;
const PEER_TEXT_MAX = 8192;
const PEER_NAME_MAX = 512;
const PEER_HEADERS_MAX = 100;
const PEER_INCARNATION = 16;
const PEER_ADDRESS_MAX = 64;
const PEER_NEWS_MAX = 16;
const PEER_SPEC_MAX = 1048576;
const PEER_CHANGES_MAX = 65536;
const PEER_TOKENS_MAX = 262144;
const PEER_ENTRIES_MAX = 4096;
const PEER_SESSIONS_MAX = 4096;
const PEER_MEMBERS_MAX = 4096;
const PEER_ENGINES_MAX = 4096;
const PEER_RUMOR_MAX = 1000;
const PEER_RUMORS_MAX = 4096;
const PEER_REACH_MAX = 16;
const PEER_RANKS = 8;
const PEER_USES_MAX = 96;
const PEER_WAITS_MAX = 8;

/* Every call and result is sent in this form: an XDR body and its message
   authentication code, keyed with the cluster key. */
struct peer_sealed {
  opaque mac[PEER_MAC];
  opaque body<PEER_BODY_MAX>;
};

struct peer_member {
  opaque incarnation[PEER_INCARNATION];
  opaque peer<PEER_ADDRESS_MAX>;
  opaque http<PEER_ADDRESS_MAX>;
  opaque hall<PEER_ADDRESS_MAX>;
  unsigned hyper capacity;
  unsigned hyper counter;
  unsigned hyper revision;
  opaque successor[PEER_INCARNATION];
  int state;
  int offer;
};

/* Change of a member's state, for hosts that already know the member. */
struct peer_member_change {
  opaque incarnation[PEER_INCARNATION];
  unsigned hyper counter;
  int state;
  int offer;
};

struct peer_leaving {
  unsigned hyper id;
  opaque endpoint<PEER_ADDRESS_MAX>;
};

/* A membership probe and its reply, sent in datagrams; also the notice of a
   successor at a planned stop, sent over TCP. */
struct peer_gossip {
  peer_member self;
  unsigned hyper digest;
  peer_member members<PEER_NEWS_MAX>;
  peer_member_change changes<PEER_NEWS_MAX>;
  peer_leaving leaving<PEER_NEWS_MAX>;
  unsigned hyper rumors; /* digest of the set that the sender knows */
};

/* A short message that should reach all hosts soon. It was published AGE_US
   microseconds ago and is kept for another LEFT_US. */
struct peer_rumor {
  unsigned hyper id;
  unsigned hyper age_us;
  unsigned hyper left_us;
  opaque body<PEER_RUMOR_MAX>;
};

/* Rumors forwarded or returned to another host. ASK requests all rumors that
   the receiver knows. */
struct peer_rumors {
  bool ask;
  peer_rumor rumors<PEER_RUMORS_MAX>;
};

/* Requests a probe of another host on behalf of the sender; the reply is
   passed on to the sender. */
struct peer_relay {
  opaque target<PEER_ADDRESS_MAX>;
  peer_gossip gossip;
};

/* Requests a few members, for a host of HALL that has just started. A request
   with an empty body asks for all members. */
struct peer_members_args {
  opaque hall<PEER_ADDRESS_MAX>;
};

/* Reply to a host that has just started or has missed gossip: the members that
   the sender knows, those alive or suspect in full, the others as state
   changes. */
struct peer_members {
  peer_member members<PEER_MEMBERS_MAX>;
  peer_member_change changes<PEER_MEMBERS_MAX>;
};

/* Requests the configuration changes after a revision. */
struct peer_fetch_args {
  unsigned hyper after;
};

struct peer_change {
  unsigned hyper revision;
  opaque kind<PEER_ADDRESS_MAX>;
  opaque name<PEER_ADDRESS_MAX>;
  opaque spec<PEER_SPEC_MAX>;
};

struct peer_fetch_res {
  bool ready;
  bool whole;
  unsigned hyper revision;
  peer_change changes<PEER_CHANGES_MAX>;
};

struct peer_header {
  opaque name<PEER_NAME_MAX>;
  opaque value<PEER_TEXT_MAX>;
};

struct peer_forward_args {
  opaque token<PEER_NAME_MAX>;
  unsigned hyper sequence;
  unsigned hyper digest;
  unsigned hyper deadline_us;
  bool repeatable;
  unsigned hops;
  opaque target<PEER_NAME_MAX>;
  opaque method<PEER_NAME_MAX>;
  opaque path<PEER_TEXT_MAX>;
  peer_header headers<PEER_HEADERS_MAX>;
  opaque body<PEER_BODY_MAX>;
};

struct peer_forward_res {
  int verdict;
  int status;
  unsigned hyper retry_after_ms;
  peer_header headers<PEER_HEADERS_MAX>;
  opaque body<PEER_BODY_MAX>;
};

struct peer_token {
  unsigned hyper id;
  unsigned hyper len;
};

/* Answer to a request of a session that is handed over. */
struct peer_answer {
  bool chat;
  int verdict;
  int reason;
  unsigned hyper stream;
  unsigned hyper base;
  int status;
  opaque target<PEER_NAME_MAX>;
  peer_token tokens<PEER_TOKENS_MAX>;
  opaque text<PEER_BODY_MAX>;
  peer_header headers<PEER_HEADERS_MAX>;
  opaque body<PEER_BODY_MAX>;
};

struct peer_entry {
  unsigned hyper sequence;
  unsigned hyper digest;
  peer_answer *answer; /* NULL while the request runs */
};

struct peer_session {
  opaque home[PEER_INCARNATION];
  unsigned hyper id;
  unsigned hyper floor;
  opaque customer<PEER_ADDRESS_MAX>;
  peer_entry entries<PEER_ENTRIES_MAX>;
};

struct peer_handover_args {
  peer_session sessions<PEER_SESSIONS_MAX>;
};

/* For each session, whether the successor accepted it. */
struct peer_handover_res {
  bool taken<PEER_SESSIONS_MAX>;
};

/* Requests store updates after a revision of an epoch or, with READ set, the
   keys that follow CURSOR. The reply is sent at once when the other host has
   newer data, has more keys or is in another epoch, else when it has got an
   answer of the store or polled the engines of its hall. KNOWN_AGO:
   microseconds since the time as of which the requester's data is complete.
   STAND_IN: the other host is to ask the store in the requester's place.
   REPORTS_AFTER: REPORTS_AT of the last reply of this host, 0 if the last
   reply came from another one. SEQUENCE: as in the last piece of the list of
   changes that the other host sends, 0 for the first one. */
struct peer_news_args {
  unsigned hyper epoch;
  unsigned hyper after;
  unsigned hyper known_ago;
  bool read;
  bool stand_in;
  unsigned hyper reports_after;
  unsigned hyper sequence;
  opaque cursor<PEER_NAME_MAX>;
};

struct peer_item {
  unsigned hyper revision;
  bool gone;
  opaque key<PEER_NAME_MAX>;
  opaque value<PEER_SPEC_MAX>;
};

/* State of an engine. The sender received it AGE_MS milliseconds ago. */
struct peer_engine {
  opaque id<PEER_NAME_MAX>;
  unsigned hyper born;
  unsigned int fill_permille;
  unsigned int pace_percent;
  unsigned int taken_permille;
  unsigned int age_ms;
  bool silent;
};

/* KNOWN_AFTER: microseconds from the arrival of the request to the time as of
   which the reply is complete; negative when that time is earlier. REPORTS_AT:
   the sender's clock; the reply has the reports of engines that changed since
   REPORTS_AFTER of the request. SEQUENCE: of the last change in this piece, as
   counted by the sender. GAP_FROM, GAP_TO: keys that were created and removed
   between these revisions may be unknown to the sender; NEWEST_PAGE: and so
   may keys that were removed before this one. */
struct peer_news_res {
  int state; /* a pr_update_state_t */
  bool more;
  bool known; /* KNOWN_AFTER is valid */
  unsigned hyper epoch;
  unsigned hyper revision;
  unsigned hyper sequence;
  unsigned hyper gap_from;
  unsigned hyper gap_to;
  unsigned hyper newest_page;
  hyper known_after;
  unsigned hyper reports_at;
  peer_item items<PEER_CHANGES_MAX>;
  peer_engine engines<PEER_ENGINES_MAX>;
};

/* Asks the lender of an endpoint's rate limit for tokens, WANTED of them. The
   requester knows the limit since SINCE_AGO_US and heard of it last before
   HEARD_AGO_US microseconds. Without an endpoint, asks for the trial of the
   suspect cause BORN. */
struct peer_loan_args {
  opaque endpoint<PEER_NAME_MAX>;
  unsigned hyper born;
  unsigned hyper rate_milli;
  unsigned hyper since_ago_us;
  unsigned hyper heard_ago_us;
  unsigned int wanted;
};

/* The tokens lent and, if they are fewer than wanted, when to ask again. */
struct peer_loan_res {
  unsigned int tokens;
  unsigned hyper wait_us;
};

struct peer_instance {
  opaque endpoint<PEER_NAME_MAX>;
  unsigned hyper born;
};

/* Asks whether the other host can open connections to these endpoints of a
   service, which the sender can't; without any, to other endpoints of it. */
struct peer_reach_args {
  opaque service<PEER_NAME_MAX>;
  peer_instance instances<PEER_REACH_MAX>;
};

/* Whether the other host reaches any endpoint, and which of those named. */
struct peer_reach_res {
  bool any;
  bool reached<PEER_REACH_MAX>;
};

/* What requests use of an engine; HELD in units of PEER_HELD_UNIT tokens times
   layers. */
const PEER_HELD_UNIT = 256;
struct peer_use {
  unsigned hyper engine;
  unsigned int held;
  unsigned int begun;
};

/* Number of requests of a service that wait, by rank. */
struct peer_waits {
  unsigned hyper service;
  unsigned int waiting[PEER_RANKS];
};

struct peer_load {
  unsigned int hosts;
  peer_use uses<PEER_USES_MAX>;
  peer_waits waits<PEER_WAITS_MAX>;
};

/* Reports a host's load; the later of its reports has the higher sequence. The
   reply is the sum of what the other hosts of the hall reported. */
struct peer_load_args {
  opaque incarnation[PEER_INCARNATION];
  unsigned hyper sequence;
  peer_load load;
};

program ELMARCH_PEER {
  version ELMARCH_PEER_V1 {
    peer_sealed PEER_GOSSIP (peer_sealed) = 1;
    peer_sealed PEER_FORWARD (peer_sealed) = 2;
    peer_sealed PEER_RELAY (peer_sealed) = 3;
    peer_sealed PEER_FETCH (peer_sealed) = 4;
    peer_sealed PEER_HANDOVER (peer_sealed) = 5;
    peer_sealed PEER_NEWS (peer_sealed) = 6;
    peer_sealed PEER_MEMBERS (peer_sealed) = 7;
    peer_sealed PEER_RUMORS (peer_sealed) = 8;
    peer_sealed PEER_LOAN (peer_sealed) = 9;
    peer_sealed PEER_REACH (peer_sealed) = 10;
    peer_sealed PEER_LOAD (peer_sealed) = 11;
  } = 1;
} = 0x20656c6d;
