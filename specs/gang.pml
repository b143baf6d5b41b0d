/*
 * Gang start with leases and fencing (design page, sections 8.2 and 8.8).
 *
 * Leader 1 (token 1) starts attempt 0 on agents 0 and 1 and may be paused at any
 * point. Leader 2 (token 2) takes over and starts attempt 1 on agents 0 and 2,
 * once attempt 0 has certainly stopped. Orders arrive at any later time or never,
 * agents pause, and the link between the members of attempt 0 fails.
 *
 * Checked: task processes of two attempts never run at the same time; a task
 * process starts only after all members of its attempt were ready; a gang that
 * runs partly stops within a bounded time.
 *
 * Broken variants: NO_FENCE (agents accept any token, and keep reservations of a
 * lower one), NO_WAIT (leader 2 doesn't wait until leases expire), NO_WATCH
 * (members don't check each other's heartbeats), NO_ALL_READY (start orders are
 * sent before all members are ready).
 * Reachability: REACH (both attempts can run with all members).
 */
#define MAXTIME 8
#define LEADERSHIP_END 1     /* the leader lease of leader 1 expires */
#define LEASE 2              /* length of a lease that leader 2 grants */
#define LEASE1_BOUND 4       /* leases granted by leader 1 end by this time */
#define WORKER_LEASE 2       /* validity of a worker's lease for a task process */
#define RESERVATION 2        /* validity of a reservation */
#define HEARTBEAT_TIMEOUT 2  /* a member without heartbeats for this time stops */

#define NONE 0
#define READY 1
#define RUNNING 2
#define ENDED 3

byte now;
byte token[3];
byte lease[3];              /* end of the agent's lease */
byte worker_lease[3];       /* end of the worker's lease for the task process */
byte waited[3];             /* ticks without a heartbeat, or since the reservation */
byte state0[3], state1[3];  /* state of attempts 0 and 1 on each agent */
bool confirmed[3];          /* the agent has accepted a lease of leader 2 */
byte partial0, partial1;
bool full0;

#define RUNS0 (state0[0] == RUNNING || state0[1] == RUNNING)
#define RUNS1 (state1[0] == RUNNING || state1[2] == RUNNING)

/* An agent accepts an order only under the token of its valid lease. */
#ifdef NO_FENCE
#define ACCEPTS(a, t) (now < lease[a])
#else
#define ACCEPTS(a, t) (token[a] == t && now < lease[a])
#endif

/* Whether leader 2 knows that attempt 0 has stopped on an agent. */
#ifdef NO_WAIT
#define STOPPED(a) (!confirmed[a] || state0[a] != RUNNING)
#else
#define STOPPED(a) (confirmed[a] -> state0[a] != RUNNING : now >= LEASE1_BOUND)
#endif

inline check() {
    assert(!(RUNS0 && RUNS1));
#ifdef REACH
    full0 = full0 || (state0[0] == RUNNING && state0[1] == RUNNING);
    assert(!(full0 && state1[0] == RUNNING && state1[2] == RUNNING));
#endif
}

#ifdef NO_WATCH
#define HEARTBEAT_OVERDUE(a) false
#else
#define HEARTBEAT_OVERDUE(a) (waited[a] >= HEARTBEAT_TIMEOUT)
#endif

#define RENEW(a) worker_lease[a] = (lease[a] < now + WORKER_LEASE -> lease[a] : now + WORKER_LEASE)

/* Macros, because inline procedures can't have array parameters. */
#define START(state, a) state[a] = RUNNING; waited[a] = 0; RENEW(a); check()

/* Effects of a tick on a member of a gang. */
#define MEMBER_TICK(state, a, heard, paused) \
    if \
    :: state[a] == NONE || state[a] == ENDED \
    :: state[a] == READY -> \
        waited[a]++; \
        if :: waited[a] >= RESERVATION -> state[a] = ENDED; waited[a] = 0 :: else fi \
    :: state[a] == RUNNING -> \
        waited[a] = (heard -> 0 : waited[a] + 1); \
        if \
        :: paused \
        :: !paused -> \
            RENEW(a); \
            if :: HEARTBEAT_OVERDUE(a) -> state[a] = ENDED :: else fi \
        fi; \
        if :: now >= worker_lease[a] -> state[a] = ENDED :: else fi; \
        if :: state[a] == ENDED -> waited[a] = 0; worker_lease[a] = 0 :: else fi \
    fi

inline check_partial(partial, one, two) {
    if
    :: (one == RUNNING) != (two == RUNNING) -> partial++
    :: else -> partial = 0
    fi;
    /* One member starts as late as its reservation allows. The other is found
       without heartbeats, or is paused and runs until the worker's lease ends. */
    assert(partial <= RESERVATION + HEARTBEAT_TIMEOUT + WORKER_LEASE)
}

/* The latest lease ends that leader 1 can have granted. */
init {
    atomic { token[0] = 1; token[1] = 1; lease[0] = LEASE1_BOUND; lease[1] = LEASE1_BOUND }
}

active proctype clock() {
    bool link_up, paused0, paused1, both;
end:
    do
    :: now < MAXTIME -> atomic {
        now++;
        if :: link_up = true :: link_up = false fi;
        if :: paused0 = true :: paused0 = false fi;
        if :: paused1 = true :: paused1 = false fi;
        both = link_up && !paused0 && !paused1 && state0[0] == RUNNING && state0[1] == RUNNING;
        MEMBER_TICK(state0, 0, both, paused0);
        MEMBER_TICK(state0, 1, both, paused1);
        both = link_up && !paused0 && !paused1 && state1[0] == RUNNING && state1[2] == RUNNING;
        MEMBER_TICK(state1, 0, both, paused0);
        MEMBER_TICK(state1, 2, both, paused1);
        check_partial(partial0, state0[0], state0[1]);
        check_partial(partial1, state1[0], state1[2]);
        link_up = false; paused0 = false; paused1 = false; both = false
    }
    :: now == MAXTIME -> break
    od
}

active proctype leader1() {
    bool sent0, sent1;
    /* The leader lease is checked here; a pause may follow immediately. */
end0:
    now < LEADERSHIP_END;
end1:
    atomic { ACCEPTS(0, 1) -> state0[0] = READY; waited[0] = 0 }
#ifndef NO_ALL_READY
end2:
    atomic { ACCEPTS(1, 1) -> state0[1] = READY; waited[1] = 0 }
end3:
    now < LEADERSHIP_END;
#endif
end:
    do
    :: atomic { !sent0 -> sent0 = true;
        if
        :: state0[0] == READY && ACCEPTS(0, 1) ->
            assert(state0[1] != NONE); START(state0, 0)
        :: else
        fi }
    :: atomic { !sent1 -> sent1 = true;
        if
        :: state0[1] == READY && ACCEPTS(1, 1) ->
            assert(state0[0] != NONE); START(state0, 1)
        :: else
        fi }
    :: sent0 && sent1 -> break
    od
}

/* An agent accepts a lease of leader 2, which is short or renewed until the end.
   A reservation under the lower token is released. */
inline grant_lease(a) {
    token[a] = 2;
    confirmed[a] = true;
    if
    :: lease[a] = now + LEASE
    :: lease[a] = MAXTIME + 1
    fi;
#ifndef NO_FENCE
    if
    :: state0[a] == READY -> state0[a] = ENDED
    :: else
    fi
#endif
}

active proctype leases2() {
end:
    do
    :: atomic { now >= LEADERSHIP_END && !confirmed[0] -> grant_lease(0) }
    :: atomic { now >= LEADERSHIP_END && !confirmed[1] -> grant_lease(1) }
    :: atomic { now >= LEADERSHIP_END && !confirmed[2] -> grant_lease(2) }
    od
}

active proctype leader2() {
end:
    now >= LEADERSHIP_END;
    do
    :: atomic { confirmed[0] && state0[0] == RUNNING -> state0[0] = ENDED }
    :: atomic { confirmed[1] && state0[1] == RUNNING -> state0[1] = ENDED }
    :: atomic { STOPPED(0) && STOPPED(1) -> break }
    od;
end2:
    atomic { ACCEPTS(0, 2) -> state1[0] = READY; waited[0] = 0 };
end3:
    atomic { ACCEPTS(2, 2) -> state1[2] = READY; waited[2] = 0 };
end4:
    atomic { ACCEPTS(0, 2) && state1[0] == READY -> assert(state1[2] != NONE); START(state1, 0) };
end5:
    atomic { ACCEPTS(2, 2) && state1[2] == READY -> START(state1, 2) };
}
