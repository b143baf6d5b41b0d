/*
 * At most one run of a request over two entries (design page, section 8.4).
 *
 * A caller sends a request with a time-ordered key through entry 0 and repeats it
 * through entry 1 at any time. The key's home is agent 0. The agent may be paused,
 * die and restart; the leader may move the key's range to agent 1 and back.
 * Replies are lost, and entries repeat a claim only after "not run".
 *
 * Checked: the request runs at most once, and "not run" is true.
 *
 * Broken variants: NO_HISTORY (a home grants keys that are older than its takeover
 * of the range), NO_LEASE (a home serves claims without a valid lease),
 * NO_RING_WAIT (the range is moved before the lease expired), RETRY_UNCERTAIN (an
 * entry releases the claim and retries after a dispatch whose reply was lost).
 * Reachability: REACH (a request runs after its range was moved).
 */
#define MAXTIME 5
#define LEASE 2

byte now;
byte ring = 1;          /* version of the ring; odd: agent 0 is home */
byte created;           /* time at which the key was created */
byte runs;

/* For each agent: ring version of its lease, end of the lease, time at which it
   took over the range, and whether it holds a claim of the key. */
byte a_ring[2], a_lease[2], a_takeover[2];
bool a_claim[2];
byte lease_bound[2] = LEASE;  /* latest lease end granted to each agent */

#ifdef NO_RING_WAIT
#define MAY_MOVE true
#else
#define MAY_MOVE (now >= lease_bound[HOME(ring)])
#endif

#define HOME(v) ((v + 1) % 2)

#ifdef NO_LEASE
#define SERVES(a, v) (a_ring[a] == v)
#else
#define SERVES(a, v) (a_ring[a] == v && now < a_lease[a])
#endif
#ifdef NO_HISTORY
#define KNOWS_HISTORY(a) true
#else
#define KNOWS_HISTORY(a) (created > a_takeover[a])
#endif

active proctype clock() {
end:
    do
    :: now < MAXTIME -> now++
    :: now == MAXTIME -> break
    od
}

/* The leader renews leases and moves the range. An unreachable agent keeps its old
   ring version until its lease expires. */
active proctype leader() {
    byte home;
end:
    do
    :: atomic { now < MAXTIME ->
        home = HOME(ring);
        if
        :: a_ring[home] != ring ->
            a_ring[home] = ring; a_takeover[home] = now; a_claim[home] = false
        :: else
        fi;
        a_lease[home] = now + LEASE;
        lease_bound[home] = now + LEASE }
    :: atomic { ring < 3 && now < MAXTIME && MAY_MOVE -> ring++ }
    :: now == MAXTIME -> break
    od
}

/* An agent restarts without its claims and waits for a lease. */
active proctype restarts() {
end:
    atomic { now < MAXTIME -> a_claim[0] = false; a_takeover[0] = now; a_lease[0] = 0; a_ring[0] = 0 };
    skip
}

proctype entry(byte id) {
    byte ring_view, home, attempts;
    bool lost, ran;
    /* The entry's view of the ring may be outdated. */
    atomic {
        if :: ring_view = ring :: ring > 1 -> ring_view = ring - 1 fi;
        attempts = 1
    };
claim:
    /* The claim arrives at any later time. */
    atomic {
        home = HOME(ring_view);
        lost = false;
        if
        :: !SERVES(home, ring_view) && attempts < 2 -> ring_view = ring; attempts++; goto claim
        :: !SERVES(home, ring_view) && attempts == 2 -> goto not_run
        :: SERVES(home, ring_view) && (a_claim[home] || !KNOWS_HISTORY(home)) -> goto uncertain
        :: SERVES(home, ring_view) && !a_claim[home] && KNOWS_HISTORY(home) -> a_claim[home] = true;
            /* The reply may be lost. */
            if :: lost = true :: skip fi
        fi
    };
    if
    :: lost -> goto uncertain
    :: !lost
    fi;
    /* Dispatch to any agent. The run may happen much later, and the reply may be
       lost. */
    if
    :: atomic { runs++; ran = true;
        assert(runs <= 1);
#ifdef REACH
        assert(ring == 1);
#endif
       }
    :: skip     /* the request is lost in flight */
    fi;
#ifdef RETRY_UNCERTAIN
    atomic {
        a_claim[home] = false;
        if
        :: attempts < 2 -> attempts++; goto claim
        :: attempts == 2 -> goto not_run
        fi
    };
#else
    goto uncertain;
#endif
not_run:
    assert(!ran);
uncertain:
    skip
}

init {
    /* The key is created now; the home took over the range before or later. */
    atomic {
        a_ring[0] = 1; a_lease[0] = LEASE;
        if :: created = 1 :: created = 2 :: created = 3 fi;
    }
    now >= created;
    atomic { run entry(0); run entry(1) }
}
