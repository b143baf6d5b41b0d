/*
 * Gang start with leases and fencing (design page, sections 8.2 and 8.8).
 *
 * Holder 1 (token 1) starts attempt 0 on agents 0 and 1 and may be frozen at
 * any point. Holder 2 (token 2) takes over and starts attempt 1 on agents 0 and
 * 2, once attempt 0 has certainly stopped. Orders arrive at any later time or
 * never; agents freeze; the link between the members of attempt 0 fails.
 *
 * Checked: bodies of two attempts never run at once; a body starts only after
 * all members of its attempt were ready; a partly running gang stops in time.
 *
 * Broken variants: NO_FENCE (agents accept any token, and keep reservations of a lower one), NO_WAIT (the successor
 * doesn't wait for leases), NO_WATCH (members don't watch each other),
 * NO_ALL_READY (go is sent without waiting for all members).
 * Reachability: REACH (both attempts can run in full).
 */
#define MAXTIME 8
#define DUTY 1          /* the duty of holder 1 lapses */
#define LEASE 2         /* length of a lease of a live holder */
#define OUTAGE 4        /* no lease of holder 1 outlasts this time */
#define WORKER 2        /* the worker stops a body that its agent doesn't renew */
#define RESERVED 2      /* life of a reservation */
#define WATCH 2         /* silence after which a member stops */

#define NONE 0
#define READY 1
#define RUNNING 2
#define ENDED 3

byte now;
byte token[3];
byte lease[3];          /* end of the agent's lease */
byte worker[3];         /* end of the worker's lease for the running body */
byte alone[3];          /* ticks without a beat of the other member, or reserved */
byte st0[3], st1[3];    /* state of attempts 0 and 1 on each agent */
bool confirmed[3];      /* the agent took a lease of holder 2 */
byte partial0, partial1;
bool full0;

#define RUNS0 (st0[0] == RUNNING || st0[1] == RUNNING)
#define RUNS1 (st1[0] == RUNNING || st1[2] == RUNNING)

/* An agent accepts an order only under the token of its live lease. */
#ifdef NO_FENCE
#define ACCEPTS(a, t) (now < lease[a])
#else
#define ACCEPTS(a, t) (token[a] == t && now < lease[a])
#endif

/* Attempt 0 has certainly stopped on an agent, as holder 2 sees it. */
#ifdef NO_WAIT
#define STOPPED(a) (!confirmed[a] || st0[a] != RUNNING)
#else
#define STOPPED(a) (confirmed[a] -> st0[a] != RUNNING : now >= OUTAGE)
#endif

inline check() {
    assert(!(RUNS0 && RUNS1));
#ifdef REACH
    full0 = full0 || (st0[0] == RUNNING && st0[1] == RUNNING);
    assert(!(full0 && st1[0] == RUNNING && st1[2] == RUNNING));
#endif
}

#ifdef NO_WATCH
#define OVERDUE(a) false
#else
#define OVERDUE(a) (alone[a] >= WATCH)
#endif

#define RENEW(a) worker[a] = (lease[a] < now + WORKER -> lease[a] : now + WORKER)

/* Inline procedures take no arrays, so these are macros. */
#define START(st, a) st[a] = RUNNING; alone[a] = 0; RENEW(a); check()

/* One member of a running gang at a tick. */
#define MEMBER(st, a, hears, frozen) \
    if \
    :: st[a] == NONE || st[a] == ENDED \
    :: st[a] == READY -> \
        alone[a]++; \
        if :: alone[a] >= RESERVED -> st[a] = ENDED; alone[a] = 0 :: else fi \
    :: st[a] == RUNNING -> \
        alone[a] = (hears -> 0 : alone[a] + 1); \
        if \
        :: frozen \
        :: !frozen -> \
            RENEW(a); \
            if :: OVERDUE(a) -> st[a] = ENDED :: else fi \
        fi; \
        if :: now >= worker[a] -> st[a] = ENDED :: else fi; \
        if :: st[a] == ENDED -> alone[a] = 0; worker[a] = 0 :: else fi \
    fi

inline count(partial, one, two) {
    if
    :: (one == RUNNING) != (two == RUNNING) -> partial++
    :: else -> partial = 0
    fi;
    /* One member starts as late as its reservation allows; the other is found
       silent, or is frozen and runs until the worker's lease ends. */
    assert(partial <= RESERVED + WATCH + WORKER)
}

/* The longest leases that holder 1 can have granted. */
init {
    atomic { token[0] = 1; token[1] = 1; lease[0] = OUTAGE; lease[1] = OUTAGE }
}

active proctype clock() {
    bool up, frozen0, frozen1, both;
end:
    do
    :: now < MAXTIME -> atomic {
        now++;
        if :: up = true :: up = false fi;
        if :: frozen0 = true :: frozen0 = false fi;
        if :: frozen1 = true :: frozen1 = false fi;
        both = up && !frozen0 && !frozen1 && st0[0] == RUNNING && st0[1] == RUNNING;
        MEMBER(st0, 0, both, frozen0);
        MEMBER(st0, 1, both, frozen1);
        both = up && !frozen0 && !frozen1 && st1[0] == RUNNING && st1[2] == RUNNING;
        MEMBER(st1, 0, both, frozen0);
        MEMBER(st1, 2, both, frozen1);
        count(partial0, st0[0], st0[1]);
        count(partial1, st1[0], st1[2]);
        up = false; frozen0 = false; frozen1 = false; both = false
    }
    :: now == MAXTIME -> break
    od
}

active proctype holder1() {
    bool sent0, sent1;
    /* The duty is checked here; a freeze may follow at once. */
end0:
    now < DUTY;
end1:
    atomic { ACCEPTS(0, 1) -> st0[0] = READY; alone[0] = 0 }
#ifndef NO_ALL_READY
end2:
    atomic { ACCEPTS(1, 1) -> st0[1] = READY; alone[1] = 0 }
end3:
    now < DUTY;
#endif
end:
    do
    :: atomic { !sent0 -> sent0 = true;
        if
        :: st0[0] == READY && ACCEPTS(0, 1) ->
            assert(st0[1] != NONE); START(st0, 0)
        :: else
        fi }
    :: atomic { !sent1 -> sent1 = true;
        if
        :: st0[1] == READY && ACCEPTS(1, 1) ->
            assert(st0[0] != NONE); START(st0, 1)
        :: else
        fi }
    :: sent0 && sent1 -> break
    od
}

/* An agent takes a lease of holder 2, short or renewed to the end; a reservation
   under the lower token is released. */
inline contact(a) {
    token[a] = 2;
    confirmed[a] = true;
    if
    :: lease[a] = now + LEASE
    :: lease[a] = MAXTIME + 1
    fi;
#ifndef NO_FENCE
    if
    :: st0[a] == READY -> st0[a] = ENDED
    :: else
    fi
#endif
}

active proctype grants2() {
end:
    do
    :: atomic { now >= DUTY && !confirmed[0] -> contact(0) }
    :: atomic { now >= DUTY && !confirmed[1] -> contact(1) }
    :: atomic { now >= DUTY && !confirmed[2] -> contact(2) }
    od
}

active proctype holder2() {
end:
    now >= DUTY;
    do
    :: atomic { confirmed[0] && st0[0] == RUNNING -> st0[0] = ENDED }
    :: atomic { confirmed[1] && st0[1] == RUNNING -> st0[1] = ENDED }
    :: atomic { STOPPED(0) && STOPPED(1) -> break }
    od;
end2:
    atomic { ACCEPTS(0, 2) -> st1[0] = READY; alone[0] = 0 };
end3:
    atomic { ACCEPTS(2, 2) -> st1[2] = READY; alone[2] = 0 };
end4:
    atomic { ACCEPTS(0, 2) && st1[0] == READY -> assert(st1[2] != NONE); START(st1, 0) };
end5:
    atomic { ACCEPTS(2, 2) && st1[2] == READY -> START(st1, 2) };
}
